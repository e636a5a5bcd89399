//! The records that voters choose, and the table of allowed transitions between them.

use serde::{Deserialize, Serialize};

use crate::document::Digest;
use crate::quorum::{Quorum, VoterList, VoterLists};
use crate::settings::MemberId;

/// A version of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Increases by one with each change.
    pub number: u64,
    /// Digest of the document.
    pub digest: Digest,
}

/// Identifies a proposed change: the proposer, the incarnation of its process, and a count within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The proposer.
    pub proposer: MemberId,
    /// Incarnation of the proposer.
    pub incarnation: u64,
    /// Starts at 1 in each incarnation.
    pub count: u64,
}

/// Position of a record in the sequence. A new epoch is bootstrapped after a majority of voters started
/// without state. The salt tells apart two bootstraps of the same epoch number. The index counts records
/// within the epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Number of the epoch.
    pub epoch: u32,
    /// Random number of this bootstrap.
    pub salt: u32,
    /// Number of records since the bootstrap.
    pub index: u32,
}

impl Position {
    /// Whether both positions belong to the same bootstrap.
    pub fn same_epoch(self, other: Position) -> bool {
        (self.epoch, self.salt) == (other.epoch, other.salt)
    }

    /// The next position.
    pub fn next(self) -> Position {
        Position { index: self.index + 1, ..self }
    }
}

/// What activators obey under a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// One version.
    Single(Version),
    /// The old version, while all members fetch and prepare the new one.
    Prepare {
        /// The version in force.
        old: Version,
        /// The pending version.
        new: Version,
        /// Whether the floor of the new version is stricter than the old one. Such a version needs the
        /// consent of the whole roster.
        tightens_floor: bool,
    },
    /// Both versions: the stricter value of each hard key.
    Joint {
        /// Obeyed until all leases on it alone have ended.
        old: Version,
        /// Obeyed from now on.
        new: Version,
    },
}

/// A record that the voters choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The position.
    pub position: Position,
    /// What is obeyed.
    pub phase: Phase,
    /// The oldest position whose terms are compatible with the terms of this record. Leases are granted for
    /// records from there on.
    pub leases_from: Position,
    /// The change that led to this record. If there is none, it names the member that bootstrapped the epoch.
    pub change: ProposalId,
    /// The voters. They are part of the record so that a member which knows the record also knows the quorum
    /// for the next one, whether or not it has the document.
    pub lists: VoterLists,
}

impl Record {
    /// The quorum for a lease under this record, and for the choice of the next record, whatever that is.
    pub fn quorum(&self) -> Quorum {
        let joint = matches!(self.phase, Phase::Joint { .. });
        Quorum::majorities(&self.lists.current, self.lists.next.as_ref().filter(|_| joint))
    }

    /// The quorum that chooses `next`. For the joint step of a change of voters it includes a majority of the
    /// new list, because nothing proceeds without them after that.
    pub fn quorum_for(&self, next: &Record) -> Quorum {
        match next.phase {
            Phase::Joint { .. } => next.quorum(),
            _ => self.quorum(),
        }
    }

    /// The voters once the pending version is in force.
    pub fn final_voters(&self) -> VoterList {
        self.lists.next.unwrap_or(self.lists.current)
    }

    /// The newest version that activators obey.
    pub fn active_version(&self) -> Version {
        match self.phase {
            Phase::Single(version) => version,
            Phase::Prepare { old, .. } => old,
            Phase::Joint { new, .. } => new,
        }
    }

    /// The pending version, if there is one.
    pub fn pending_version(&self) -> Option<Version> {
        match self.phase {
            Phase::Single(_) => None,
            Phase::Prepare { new, .. } | Phase::Joint { new, .. } => Some(new),
        }
    }

    /// The versions whose documents are needed under this record, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        let (a, b) = match self.phase {
            Phase::Single(version) => (version, None),
            Phase::Prepare { old, new, .. } | Phase::Joint { old, new } => (old, Some(new)),
        };
        std::iter::once(a).chain(b)
    }
}

/// A transition from one record to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A change is accepted: all members fetch and prepare the new version.
    Prepare,
    /// All lease holders are prepared: both versions are obeyed.
    Join,
    /// No lease on the old version alone is left: only the new version is obeyed.
    Finish,
    /// The new version is given up before any member acted on it.
    Withdraw,
}

/// The transition table: which record may follow which within an epoch. `None` if it may not.
///
/// | from | Single(a) | Prepare(a, b) | Joint(a, b) | Single(b) |
/// | --- | --- | --- | --- | --- |
/// | Single(a) | | Prepare, if b has a's number + 1 | **never**: it would skip the preparation | **never** |
/// | Prepare(a, b) | Withdraw | | Join | **never**: leases on a alone may last |
/// | Joint(a, b) | **never**: some members act on b | | | Finish |
///
/// Only *Finish* changes the list of voters in force, to the list that *Prepare* named.
pub fn legal_transition(from: &Record, to: &Record) -> Option<Transition> {
    if to.position != from.position.next() {
        return None;
    }
    match (from.phase, to.phase) {
        (Phase::Single(a), Phase::Prepare { old, new, .. }) => {
            let valid = to.lists.current == from.lists.current && to.lists.next != Some(from.lists.current);
            (old == a && new.number == a.number + 1 && to.leases_from == from.leases_from && valid)
                .then_some(Transition::Prepare)
        }
        (Phase::Prepare { old, new, .. }, Phase::Joint { old: a, new: b }) => {
            let valid = to.change == from.change && to.lists == from.lists;
            (a == old && b == new && to.leases_from == to.position && valid).then_some(Transition::Join)
        }
        (Phase::Prepare { old, .. }, Phase::Single(a)) => {
            let unchanged = VoterLists::unchanged(from.lists.current);
            (a == old && to.leases_from == from.leases_from && to.lists == unchanged)
                .then_some(Transition::Withdraw)
        }
        (Phase::Joint { new, .. }, Phase::Single(b)) => {
            let valid = to.change == from.change && to.lists == VoterLists::unchanged(from.final_voters());
            (b == new && to.leases_from == from.leases_from && valid).then_some(Transition::Finish)
        }
        _ => None,
    }
}
