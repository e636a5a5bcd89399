//! Instances of members: a member may die and restart, and no activator has a disk to record that on.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Identifies a member. It stays the same over restarts and is unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// One instance of a member: a run of its process, from its start to its death.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInstance {
    /// The member.
    pub id: MemberId,
    /// Start of the process in Unix milliseconds, or a later time after a renewal. Of two instances of a member the one
    /// with the later start wins. The value has no other use, so that a wrong clock does no lasting harm.
    pub start_ms: u64,
    /// How often this instance was renewed because others had declared it dead.
    pub renewals: u8,
    /// The member leaves the fleet: others record it as left, not as dead.
    pub leaving: bool,
}

impl MemberInstance {
    /// The instance of a process that starts at this Unix time in milliseconds.
    pub fn new(id: MemberId, start_ms: u64) -> Self {
        Self { id, start_ms, renewals: 0, leaving: false }
    }

    /// Addresses a member whose instance is not known. Every real instance wins against it.
    pub(crate) fn with_unknown_start(id: MemberId) -> Self {
        Self::new(id, 0)
    }

    /// The instance that the leave message carries. It wins against this one.
    pub(crate) fn into_leaving(self) -> Self {
        Self { leaving: true, start_ms: self.start_ms.saturating_add(1), ..self }
    }
}

impl Identity for MemberInstance {
    type Addr = MemberId;

    /// Renews an instance that others declared dead, with a later start. The steps double: a process whose clock was
    /// set back by an hour has to overtake the instance that others remember, and does so within 24 renewals.
    fn renew(&self) -> Option<Self> {
        let step_ms = 1u64 << self.renewals.min(40);
        let renewals = self.renewals.saturating_add(1);
        (!self.leaving).then(|| Self { start_ms: self.start_ms.saturating_add(step_ms), renewals, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.id
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.start_ms, self.renewals, self.leaving) > (other.start_ms, other.renewals, other.leaving)
    }
}

#[cfg(test)]
mod tests;
