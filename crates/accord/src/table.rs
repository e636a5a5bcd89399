//! What a record of the register is, and the one table that judges which may follow which.

use serde::{Deserialize, Serialize};

use crate::document::Digest;
use crate::quorum::{Lists, Quorum, Voters};
use crate::settings::Name;

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
    pub name: Name,
    /// Its life.
    pub life: u64,
    /// Counted from 1 within the life.
    pub count: u64,
}

/// Where a record stands. An epoch begins when a majority of voters has started from nothing; its salt keeps two
/// foundings apart; steps count within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Foundings before this.
    pub epoch: u32,
    /// Of this founding.
    pub salt: u32,
    /// Records since.
    pub step: u32,
}

impl Mark {
    /// Whether both belong to one founding.
    pub fn same_epoch(self, other: Mark) -> bool {
        (self.epoch, self.salt) == (other.epoch, other.salt)
    }

    /// The place after this.
    pub fn next(self) -> Mark {
        Mark { step: self.step + 1, ..self }
    }
}

/// What activators obey under a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// One version.
    Pure(Version),
    /// The old version, while all fetch and prepare the new one.
    Prepare {
        /// In force.
        old: Version,
        /// To come.
        new: Version,
        /// Its floor is stricter than the old one's: it needs the word of the whole roster.
        tightens: bool,
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
    pub mark: Mark,
    /// What is obeyed.
    pub phase: Phase,
    /// The oldest mark under which the same is obeyed, or something that agrees with it: leases are granted from there.
    pub least: Mark,
    /// Whose change led here; the founder's where there was none.
    pub by: ProposalId,
    /// Who votes. It stands in the record itself: whose word chooses the next one is known wherever this one is, whether or not a
    /// document came.
    pub lists: Lists,
}

impl Record {
    /// Whose word a lease under it needs, and the choice of the place after it, whatever is put there.
    pub fn quorum(&self) -> Quorum {
        let joint = matches!(self.phase, Phase::Joint { .. });
        Quorum::majorities(&self.lists.now, self.lists.next.as_ref().filter(|_| joint))
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
    pub fn last_list(&self) -> Voters {
        self.lists.next.unwrap_or(self.lists.now)
    }

    /// The newest version that activators obey.
    pub fn obeyed(&self) -> Version {
        match self.phase {
            Phase::Pure(version) => version,
            Phase::Prepare { old, .. } => old,
            Phase::Joint { new, .. } => new,
        }
    }

    /// The version on its way, if one is.
    pub fn coming(&self) -> Option<Version> {
        match self.phase {
            Phase::Pure(_) => None,
            Phase::Prepare { new, .. } | Phase::Joint { new, .. } => Some(new),
        }
    }

    /// The versions whose documents are needed under it, the oldest first.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        let (a, b) = match self.phase {
            Phase::Pure(version) => (version, None),
            Phase::Prepare { old, new, .. } | Phase::Joint { old, new } => (old, Some(new)),
        };
        std::iter::once(a).chain(b)
    }
}

/// A move from one record to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// A change is taken in: all fetch and prepare it.
    Take,
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
pub fn legal(from: &Record, to: &Record) -> Option<Move> {
    if to.mark != from.mark.next() {
        return None;
    }
    match (from.phase, to.phase) {
        (Phase::Pure(a), Phase::Prepare { old, new, .. }) => {
            let lists = to.lists.now == from.lists.now && to.lists.next != Some(from.lists.now);
            (old == a && new.number == a.number + 1 && to.least == from.least && lists).then_some(Move::Take)
        }
        (Phase::Prepare { old, new, .. }, Phase::Joint { old: a, new: b }) => {
            let same = to.by == from.by && to.lists == from.lists;
            (a == old && b == new && to.least == to.mark && same).then_some(Move::Join)
        }
        (Phase::Prepare { old, .. }, Phase::Pure(a)) => {
            let lists = Lists::only(from.lists.now);
            (a == old && to.least == from.least && to.lists == lists).then_some(Move::Withdraw)
        }
        (Phase::Joint { new, .. }, Phase::Pure(b)) => {
            let same = to.by == from.by && to.lists == Lists::only(from.last_list());
            (b == new && to.least == from.least && same).then_some(Move::Finish)
        }
        _ => None,
    }
}
