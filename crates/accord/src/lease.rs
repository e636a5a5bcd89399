//! The holder's side of a lease: whose grants still run by its own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quorum::Quorum;
use crate::record::Position;
use crate::settings::MemberId;
use crate::voter::Flaws;

/// The grants one activator has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    /// Whose grants make a lease under what is obeyed now.
    quorum: Quorum,
    /// A lease by the holder's clock: shorter than by the grantor's.
    lease: Duration,
    /// By voter: the mark it was asked for, and when it ends.
    grants: BTreeMap<MemberId, (Position, Duration)>,
    flaws: Flaws,
}

impl LeaseHolder {
    /// One without any.
    pub fn new(quorum: Quorum, lease: Duration) -> LeaseHolder {
        LeaseHolder { quorum, lease, grants: BTreeMap::new(), flaws: Flaws::default() }
    }

    /// For tests: plants flaws.
    pub fn flawed(mut self, flaws: Flaws) -> LeaseHolder {
        self.flaws = flaws;
        self
    }

    /// A voter granted what was asked for at `sent`. The lease runs from then: the grant may have been long on its way,
    /// or this process stopped, while the grantor's count ran.
    pub fn record_grant(&mut self, now: Duration, voter: MemberId, position: Position, sent: Duration) {
        let sent = if self.flaws.lease_from_arrival { now } else { sent.min(now) };
        let until = sent + self.lease;
        let held = self.grants.entry(voter).or_insert((position, until));
        if !held.0.same_epoch(position) || until > held.1 {
            *held = (position.max(held.0), until);
        }
    }

    /// Until when grants of a majority of each list run, in the epoch of `position`. Zero if there is none.
    pub fn until(&self, position: Position) -> Duration {
        let of = |voter: MemberId| self.grants.get(&voter).filter(|(at, _)| at.same_epoch(position));
        let end = |voter: MemberId| of(voter).map_or(Duration::ZERO, |(_, until)| *until);
        if self.flaws.half_is_majority {
            return self.quorum.clone().one_fewer().until(end);
        }
        if self.flaws.lease_from_old_list {
            return self.quorum.clone().only_list(false).until(end);
        }
        self.quorum.until(end)
    }

    /// Whether there is a lease at this moment.
    pub fn holds(&self, now: Duration, position: Position) -> bool {
        let until = self.until(position);
        until > now || (self.flaws.stale_lease && until > Duration::ZERO)
    }

    /// Whether a voter's own grant runs.
    pub fn from(&self, now: Duration, voter: MemberId) -> bool {
        self.grants.get(&voter).is_some_and(|(_, until)| *until > now)
    }

    /// When a voter's grant ends; zero if it gave none.
    pub fn ends(&self, voter: MemberId) -> Duration {
        self.grants.get(&voter).map_or(Duration::ZERO, |(_, until)| *until)
    }

    /// Another record is obeyed: under it a lease needs these. Drops what belongs to another epoch, or is of one that
    /// `votes` says neither votes nor is to vote.
    pub fn keep(&mut self, position: Position, quorum: Quorum, votes: impl Fn(MemberId) -> bool) {
        self.quorum = quorum;
        self.grants.retain(|voter, (at, _)| at.same_epoch(position) && votes(*voter));
    }
}
