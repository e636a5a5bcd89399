//! Lives of members: a name may die and come back, and no activator has a disk to remember that by.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// A member's name: the same over all its lives, and no other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// One life of a member, from its start to its death.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInstance {
    /// Whose.
    pub id: MemberId,
    /// When it began: Unix milliseconds at the start of the process, or later. Of two lives of a name the later one
    /// stands. Nothing else is ever reckoned from it, so that a wrong clock does no harm that lasts.
    pub start_ms: u64,
    /// How often it had to begin anew because others held it for dead.
    pub renewals: u8,
    /// It takes its leave: what others see last of it is no death.
    pub leaving: bool,
}

impl MemberInstance {
    /// A process that starts at this Unix time in milliseconds.
    pub fn new(id: MemberId, start_ms: u64) -> Self {
        Self { id, start_ms, renewals: 0, leaving: false }
    }

    /// Who is meant where only the name is known.
    pub(crate) fn unknown_instance(id: MemberId) -> Self {
        Self::new(id, 0)
    }

    /// The same life with its leave taken.
    pub(crate) fn into_leaving(self) -> Self {
        Self { leaving: true, start_ms: self.start_ms.saturating_add(1), ..self }
    }
}

impl Identity for MemberInstance {
    type Addr = MemberId;

    /// A life that was held for dead goes on as a later one. Steps double: a process whose clock was set back by an
    /// hour must come to stand after the life that others remember, and does so within two dozen answers.
    fn renew(&self) -> Option<Self> {
        let step = 1u64 << self.renewals.min(40);
        let renewals = self.renewals.saturating_add(1);
        (!self.leaving).then(|| Self { start_ms: self.start_ms.saturating_add(step), renewals, ..*self })
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
