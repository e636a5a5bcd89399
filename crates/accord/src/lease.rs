//! The holder's side of a lease: whose grants still run by its own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quorum::Quorum;
use crate::settings::Name;
use crate::table::Mark;
use crate::voter::Flaws;

/// The grants one activator has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Whose grants make a lease under what is obeyed now.
    quorum: Quorum,
    /// A lease by the holder's clock: shorter than by the grantor's.
    lease: Duration,
    /// By voter: the mark it was asked for, and when it ends.
    grants: BTreeMap<Name, (Mark, Duration)>,
    flaws: Flaws,
}

impl Holder {
    /// One without any.
    pub fn new(quorum: Quorum, lease: Duration) -> Holder {
        Holder { quorum, lease, grants: BTreeMap::new(), flaws: Flaws::default() }
    }

    /// For tests: plants flaws.
    pub fn flawed(mut self, flaws: Flaws) -> Holder {
        self.flaws = flaws;
        self
    }

    /// A voter granted what was asked for at `sent`. The lease runs from then: the grant may have been long on its way,
    /// or this process stopped, while the grantor's count ran.
    pub fn granted(&mut self, now: Duration, voter: Name, mark: Mark, sent: Duration) {
        let sent = if self.flaws.from_arrival { now } else { sent.min(now) };
        let until = sent + self.lease;
        let held = self.grants.entry(voter).or_insert((mark, until));
        if !held.0.same_epoch(mark) || until > held.1 {
            *held = (mark.max(held.0), until);
        }
    }

    /// Until when grants of a majority of each list run, in the epoch of `mark`. Zero if there is none.
    pub fn until(&self, mark: Mark) -> Duration {
        let of = |voter: Name| self.grants.get(&voter).filter(|(at, _)| at.same_epoch(mark));
        let end = |voter: Name| of(voter).map_or(Duration::ZERO, |(_, until)| *until);
        if self.flaws.half_is_majority {
            return self.quorum.clone().less().until(end);
        }
        if self.flaws.lease_of_old {
            return self.quorum.clone().alone(false).until(end);
        }
        self.quorum.until(end)
    }

    /// Whether there is a lease at this moment.
    pub fn holds(&self, now: Duration, mark: Mark) -> bool {
        let until = self.until(mark);
        until > now || (self.flaws.stale_lease && until > Duration::ZERO)
    }

    /// Whether a voter's own grant runs.
    pub fn from(&self, now: Duration, voter: Name) -> bool {
        self.grants.get(&voter).is_some_and(|(_, until)| *until > now)
    }

    /// When a voter's grant ends; zero if it gave none.
    pub fn ends(&self, voter: Name) -> Duration {
        self.grants.get(&voter).map_or(Duration::ZERO, |(_, until)| *until)
    }

    /// Another record is obeyed: under it a lease needs these. Drops what belongs to another epoch, or is of one that
    /// `votes` says neither votes nor is to vote.
    pub fn keep(&mut self, mark: Mark, quorum: Quorum, votes: impl Fn(Name) -> bool) {
        self.quorum = quorum;
        self.grants.retain(|voter, (at, _)| at.same_epoch(mark) && votes(*voter));
    }
}
