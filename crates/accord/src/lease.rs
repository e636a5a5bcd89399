//! The holder's side of a lease: the grants of voters that still run by the holder's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quorum::Quorum;
use crate::record::Position;
use crate::settings::MemberId;
use crate::voter::Faults;

/// The lease grants that one activator holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    /// The quorum of grants that makes a lease under the adopted record.
    quorum: Quorum,
    /// Duration of a lease by the holder's clock; shorter than the grantor's, to allow for clock drift.
    lease: Duration,
    /// By voter: the position that the grant was requested for, and when the grant ends.
    grants: BTreeMap<MemberId, (Position, Duration)>,
    faults: Faults,
}

impl LeaseHolder {
    /// Creates a holder without grants.
    pub fn new(quorum: Quorum, lease: Duration) -> LeaseHolder {
        LeaseHolder { quorum, lease, grants: BTreeMap::new(), faults: Faults::default() }
    }

    /// Injects faults, for tests.
    pub fn with_faults(mut self, faults: Faults) -> LeaseHolder {
        self.faults = faults;
        self
    }

    /// Records a grant for a request sent at `sent`. The lease is counted from then, because the grantor's
    /// count may have run for long while the grant was in transit or this process was paused.
    pub fn record_grant(&mut self, now: Duration, voter: MemberId, position: Position, sent: Duration) {
        let sent = if self.faults.lease_from_arrival { now } else { sent.min(now) };
        let until = sent + self.lease;
        let held = self.grants.entry(voter).or_insert((position, until));
        if !held.0.same_epoch(position) || until > held.1 {
            *held = (position.max(held.0), until);
        }
    }

    /// When the lease ends, by grants of the epoch of `position`. Zero if there is none.
    pub fn expires_at(&self, position: Position) -> Duration {
        let grant = |voter: MemberId| self.grants.get(&voter).filter(|(at, _)| at.same_epoch(position));
        let expiry = |voter: MemberId| grant(voter).map_or(Duration::ZERO, |(_, until)| *until);
        if self.faults.half_is_majority {
            return self.quorum.clone().one_fewer().expires_at(expiry);
        }
        if self.faults.lease_from_old_list {
            return self.quorum.clone().only_list(false).expires_at(expiry);
        }
        self.quorum.expires_at(expiry)
    }

    /// Whether a lease is held at `now`.
    pub fn is_held(&self, now: Duration, position: Position) -> bool {
        let until = self.expires_at(position);
        until > now || (self.faults.stale_lease && until > Duration::ZERO)
    }

    /// Whether the grant of this voter runs at `now`.
    pub fn has_grant_from(&self, now: Duration, voter: MemberId) -> bool {
        self.grants.get(&voter).is_some_and(|(_, until)| *until > now)
    }

    /// When the grant of a voter ends; zero if there is none.
    pub fn grant_expiry(&self, voter: MemberId) -> Duration {
        self.grants.get(&voter).map_or(Duration::ZERO, |(_, until)| *until)
    }

    /// Sets the quorum that a lease needs under a newly adopted record. Drops grants of other epochs, and of
    /// members that `is_voter` denies.
    pub fn adopt_record(&mut self, position: Position, quorum: Quorum, is_voter: impl Fn(MemberId) -> bool) {
        self.quorum = quorum;
        self.grants.retain(|voter, (at, _)| at.same_epoch(position) && is_voter(*voter));
    }
}
