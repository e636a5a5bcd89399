//! What a record of the register is, and the one table that judges which may follow which.

use serde::{Deserialize, Serialize};

use crate::document::Digest;
use crate::quorum::{Quorum, VoterList, VoterLists};
use crate::settings::MemberId;

/// A version of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// One more for each change.
    pub number: u64,
    /// Of its content.
    pub digest: Digest,
}

/// Who proposed a change: the name, the life of its process, and a count within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The proposer.
    pub name: MemberId,
    /// Its life.
    pub incarnation: u64,
    /// Counted from 1 within the life.
    pub count: u64,
}

/// Where a record stands. An epoch begins when a majority of voters has started from nothing; its salt keeps two
/// foundings apart; steps count within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Foundings before this.
    pub epoch: u32,
    /// Of this founding.
    pub salt: u32,
    /// Records since.
    pub index: u32,
}

impl Position {
    /// Whether both belong to one founding.
    pub fn same_epoch(self, other: Position) -> bool {
        (self.epoch, self.salt) == (other.epoch, other.salt)
    }

    /// The place after this.
    pub fn next(self) -> Position {
        Position { index: self.index + 1, ..self }
    }
}

/// What activators obey under a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// One version.
    Single(Version),
    /// The old version, while all fetch and prepare the new one.
    Prepare {
        /// In force.
        old: Version,
        /// To come.
        new: Version,
        /// Its floor is stricter than the old one's: it needs the word of the whole roster.
        tightens_floor: bool,
    },
    /// Both: the stricter of each on hard keys.
    Joint {
        /// Obeyed until all leases on it alone have ended.
        old: Version,
        /// Obeyed from now on.
        new: Version,
    },
}

/// One record of the register on which voters agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Where it stands.
    pub position: Position,
    /// What is obeyed.
    pub phase: Phase,
    /// The oldest mark under which the same is obeyed, or something that agrees with it: leases are granted from there.
    pub oldest_compatible: Position,
    /// Whose change led here; the founder's where there was none.
    pub proposal_id: ProposalId,
    /// Who votes. It stands in the record itself: whose word chooses the next one is known wherever this one is, whether or not a
    /// document came.
    pub lists: VoterLists,
}

impl Record {
    /// Whose word a lease under it needs, and the choice of the place after it, whatever is put there.
    pub fn quorum(&self) -> Quorum {
        let joint = matches!(self.phase, Phase::Joint { .. });
        Quorum::majorities(&self.lists.current, self.lists.next.as_ref().filter(|_| joint))
    }

    /// Whose word the choice of `next` needs at the place after it: for the joint step of a change of voters also a majority of
    /// those to come, as nothing goes on without them from there.
    pub fn quorum_for(&self, next: &Record) -> Quorum {
        match next.phase {
            Phase::Joint { .. } => next.quorum(),
            _ => self.quorum(),
        }
    }

    /// Who votes once the version on its way is in force.
    pub fn final_voters(&self) -> VoterList {
        self.lists.next.unwrap_or(self.lists.current)
    }

    /// The newest version that activators obey.
    pub fn obeyed(&self) -> Version {
        match self.phase {
            Phase::Single(version) => version,
            Phase::Prepare { old, .. } => old,
            Phase::Joint { new, .. } => new,
        }
    }

    /// The version on its way, if one is.
    pub fn pending_version(&self) -> Option<Version> {
        match self.phase {
            Phase::Single(_) => None,
            Phase::Prepare { new, .. } | Phase::Joint { new, .. } => Some(new),
        }
    }

    /// The versions whose documents are needed under it, the oldest first.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        let (a, b) = match self.phase {
            Phase::Single(version) => (version, None),
            Phase::Prepare { old, new, .. } | Phase::Joint { old, new } => (old, Some(new)),
        };
        std::iter::once(a).chain(b)
    }
}

/// A move from one record to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A change is taken in: all fetch and prepare it.
    Prepare,
    /// All who hold a lease are ready: both are obeyed.
    Join,
    /// No lease on the old alone is left: the new is obeyed.
    Finish,
    /// The new one is given up before anybody acted on it.
    Withdraw,
}

/// The table: which record may follow which, within an epoch. None where it may not.
///
/// | from | Pure(a) | Prepare(a, b) | Joint(a, b) | Pure(b) |
/// | --- | --- | --- | --- | --- |
/// | Pure(a) | | Take, if b is a's number + 1 | **never**: it would skip the preparing | **never** |
/// | Prepare(a, b) | Withdraw | | Join | **never**: leases on a alone may last |
/// | Joint(a, b) | **never**: some act on b | | | Finish |
///
/// The list of voters in force changes with *Finish* alone, to the one that *Take* named.
pub fn legal_transition(from: &Record, to: &Record) -> Option<Transition> {
    if to.position != from.position.next() {
        return None;
    }
    match (from.phase, to.phase) {
        (Phase::Single(a), Phase::Prepare { old, new, .. }) => {
            let lists = to.lists.current == from.lists.current && to.lists.next != Some(from.lists.current);
            (old == a
                && new.number == a.number + 1
                && to.oldest_compatible == from.oldest_compatible
                && lists)
                .then_some(Transition::Prepare)
        }
        (Phase::Prepare { old, new, .. }, Phase::Joint { old: a, new: b }) => {
            let same = to.proposal_id == from.proposal_id && to.lists == from.lists;
            (a == old && b == new && to.oldest_compatible == to.position && same).then_some(Transition::Join)
        }
        (Phase::Prepare { old, .. }, Phase::Single(a)) => {
            let lists = VoterLists::unchanged(from.lists.current);
            (a == old && to.oldest_compatible == from.oldest_compatible && to.lists == lists)
                .then_some(Transition::Withdraw)
        }
        (Phase::Joint { new, .. }, Phase::Single(b)) => {
            let same =
                to.proposal_id == from.proposal_id && to.lists == VoterLists::unchanged(from.final_voters());
            (b == new && to.oldest_compatible == from.oldest_compatible && same).then_some(Transition::Finish)
        }
        _ => None,
    }
}
