//! What one member holds of the others.

use std::time::Duration;

use crate::MemberId;

/// How a member stands, as one other holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers, itself or by way of others.
    Alive,
    /// It does not, and may still speak for itself; to be taken for alive, with less trust.
    Suspect,
    /// It did not speak for itself in time.
    Dead,
    /// It said that it goes.
    Left,
    /// Nobody has told of it yet.
    Unknown,
}

impl MemberState {
    /// Whether it counts among those that are there.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A member and what is held of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who.
    pub id: MemberId,
    /// How it stands.
    pub state: MemberState,
    /// Start of its life, in Unix milliseconds as it told them; 0 where it is unmet.
    pub start_ms: u64,
    /// How often it spoke for itself in this life.
    pub incarnation: u16,
    /// When it was last held to have come or gone; never, if it is unmet.
    pub state_since: Option<Duration>,
    /// When a datagram of its own came here last: alive but not heard means that only others hear it.
    pub last_heard: Option<Duration>,
}

/// All that one member holds, at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Every name of the roster and every other that was met, this one left out, by name.
    pub members: Vec<Member>,
    /// Whether more than half of all that should be there are, this one among them. Who has left is not counted.
    pub majority: bool,
    /// Pauses of its own that this member noticed.
    pub pauses: u64,
    /// What its times are stretched by for its own lateness; 1 is well.
    pub health_multiplier: u32,
}

impl View {
    pub(crate) fn new(members: Vec<Member>, pauses: u64, health_multiplier: u32) -> Self {
        let there = 1 + members.iter().filter(|m| m.state.is_present()).count();
        let due = 1 + members.iter().filter(|m| m.state != MemberState::Left).count();
        Self { majority: there * 2 > due, members, pauses, health_multiplier }
    }

    /// How this name stands; nobody has told of one that is on no roster.
    pub fn state(&self, id: MemberId) -> MemberState {
        self.members.iter().find(|m| m.id == id).map_or(MemberState::Unknown, |m| m.state)
    }

    /// Names of those that are there, this one left out.
    pub fn present(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|m| m.state.is_present()).map(|m| m.id)
    }
}

#[cfg(test)]
mod tests;
