//! The holder's side of a lease: whose grants still run by its own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::settings::Name;
use crate::table::Mark;
use crate::voter::Flaws;

/// The grants one activator has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    majority: usize,
    /// A lease by the holder's clock: shorter than by the grantor's.
    lease: Duration,
    /// By voter: the mark it was asked for, and when it ends.
    grants: BTreeMap<Name, (Mark, Duration)>,
    flaws: Flaws,
}

impl Holder {
    /// One without any.
    pub fn new(majority: usize, lease: Duration) -> Holder {
        Holder { majority, lease, grants: BTreeMap::new(), flaws: Flaws::default() }
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

    /// Until when a majority's grants run, in the epoch of `mark`. Zero if there is no majority.
    pub fn until(&self, mark: Mark) -> Duration {
        let mut ends: Vec<Duration> =
            self.grants.values().filter(|(at, _)| at.same_epoch(mark)).map(|(_, until)| *until).collect();
        ends.sort_unstable();
        let majority = if self.flaws.half_is_majority { self.majority - 1 } else { self.majority };
        if ends.len() < majority {
            return Duration::ZERO;
        }
        ends[ends.len() - majority]
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

    /// Drops what belongs to another epoch.
    pub fn keep(&mut self, mark: Mark) {
        self.grants.retain(|_, (at, _)| at.same_epoch(mark));
    }
}
