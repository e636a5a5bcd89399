//! The states of the other members, as one member sees them.

use std::time::Duration;

use crate::MemberId;

/// State of a member, as one other member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers probes, directly or through other members.
    Alive,
    /// It did not answer a probe and may still refute the suspicion. It counts as alive, but is less trusted.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It sent a leave message.
    Left,
    /// No update about it has arrived yet.
    Unknown,
}

impl MemberState {
    /// Whether the member counts as present: alive or suspect.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Another member and what is known about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member.
    pub id: MemberId,
    /// Its state.
    pub state: MemberState,
    /// Start of its instance in Unix milliseconds, by its own clock; 0 while it is unknown.
    pub start_ms: u64,
    /// SWIM incarnation number: how often it refuted a suspicion in this instance.
    pub incarnation: u16,
    /// When it last became present or absent; `None` while it is unknown.
    pub state_since: Option<Duration>,
    /// When the last datagram came directly from it. A member that is alive and not heard is reachable only through
    /// others.
    pub last_heard: Option<Duration>,
}

/// What one member knows about all others at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// All members of the roster except the local one, by id.
    pub members: Vec<Member>,
    /// Whether more than half of the expected members are present, the local one included. Members that left are not
    /// expected.
    pub majority: bool,
    /// Number of pauses of its own process that the local member detected.
    pub pauses: u64,
    /// Factor by which the local member's timeouts are multiplied for its own lateness; 1 is healthy.
    pub health_multiplier: u32,
}

impl View {
    pub(crate) fn new(members: Vec<Member>, pauses: u64, health_multiplier: u32) -> Self {
        let present = 1 + members.iter().filter(|m| m.state.is_present()).count();
        let expected = 1 + members.iter().filter(|m| m.state != MemberState::Left).count();
        Self { majority: present * 2 > expected, members, pauses, health_multiplier }
    }

    /// State of this member; a member that is not on the roster is unknown.
    pub fn state(&self, id: MemberId) -> MemberState {
        self.members.iter().find(|m| m.id == id).map_or(MemberState::Unknown, |m| m.state)
    }

    /// Ids of the members that are present, without the local one.
    pub fn present(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|m| m.state.is_present()).map(|m| m.id)
    }
}

#[cfg(test)]
mod tests;
