//! Lists of voters, and whose word is enough.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::{Document, Key};
use crate::settings::MemberId;

/// Most names of a list of voters: two lists stand in each record, of which a datagram has room for two.
pub const MAX_VOTERS: usize = 9;

/// A list of voters: 1 to 9 names in order, none twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Vec<MemberId>", into = "Vec<MemberId>")]
pub struct VoterList {
    names: [MemberId; MAX_VOTERS],
    count: u8,
}

/// Why names are no list of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterListError(pub String);

impl VoterList {
    /// A list of these, in whatever order they come.
    ///
    /// # Errors
    /// None at all, more than [`MAX_VOTERS`], or a name that stands twice.
    pub fn new(names: impl IntoIterator<Item = MemberId>) -> Result<VoterList, VoterListError> {
        let mut names: Vec<MemberId> = names.into_iter().take(MAX_VOTERS + 1).collect();
        names.sort_unstable();
        if names.is_empty() {
            return Err(VoterListError("at least one voter stays".into()));
        }
        if names.len() > MAX_VOTERS {
            return Err(VoterListError(format!("more than {MAX_VOTERS} voters")));
        }
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(VoterListError("a voter stands twice".into()));
        }
        let mut list = VoterList { names: [MemberId(0); MAX_VOTERS], count: names.len() as u8 };
        list.names[..names.len()].copy_from_slice(&names);
        Ok(list)
    }

    /// Those that a document names by `voter/NUMBER`; none if it names nobody.
    ///
    /// # Errors
    /// As [`VoterList::new`].
    pub fn from_document(document: &Document) -> Result<Option<VoterList>, VoterListError> {
        // Of a document's lists none is looked at: this is asked each period.
        let names = document.entries_near_voters().filter_map(|(key, _)| voter_named_by(key));
        let names: Vec<MemberId> = names.take(MAX_VOTERS + 1).collect();
        if names.is_empty() {
            return Ok(None);
        }
        VoterList::new(names).map(Some)
    }

    /// The names, the lowest first.
    pub fn iter(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.names[..usize::from(self.count)].iter().copied()
    }

    /// Whether this one votes.
    pub fn contains(&self, name: MemberId) -> bool {
        self.iter().any(|known| known == name)
    }

    /// How many there are: never 0.
    #[allow(clippy::len_without_is_empty)] // a list of nobody cannot be made
    pub fn len(&self) -> usize {
        usize::from(self.count)
    }

    /// How many of them are a majority.
    pub fn majority(&self) -> usize {
        self.len() / 2 + 1
    }
}

/// Of the names alone: the rest is always the same, and models hash millions of lists.
impl Hash for VoterList {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.names[..usize::from(self.count)].hash(state);
    }
}

impl fmt::Debug for VoterList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter().map(|name| name.0)).finish()
    }
}

impl fmt::Display for VoterList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.iter().map(|name| name.to_string()).collect();
        f.write_str(&names.join(", "))
    }
}

impl TryFrom<Vec<MemberId>> for VoterList {
    type Error = VoterListError;
    fn try_from(names: Vec<MemberId>) -> Result<VoterList, VoterListError> {
        VoterList::new(names)
    }
}

impl From<VoterList> for Vec<MemberId> {
    fn from(list: VoterList) -> Vec<MemberId> {
        list.iter().collect()
    }
}

impl fmt::Display for VoterListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for VoterListError {}

/// The voter that a key `voter/NUMBER` names.
pub(crate) fn voter_named_by(key: &Key) -> Option<MemberId> {
    key.as_str().strip_prefix("voter/").and_then(|number| number.parse().ok()).map(MemberId)
}

/// The key that names this voter.
pub(crate) fn voter_key(name: MemberId) -> Option<Key> {
    Key::new(&format!("voter/{name}")).ok()
}

/// The lists of a record: who votes, and who is to vote once the version on its way is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterLists {
    /// Of the version in force.
    pub current: VoterList,
    /// Of the one on its way, where that is another list.
    pub next: Option<VoterList>,
}

impl VoterLists {
    /// One list and no other on its way.
    pub fn unchanged(current: VoterList) -> VoterLists {
        VoterLists { current, next: None }
    }

    /// All that vote or are to vote, each once.
    pub fn all(&self) -> impl Iterator<Item = MemberId> + '_ {
        let added = self.next.iter().flat_map(VoterList::iter).filter(|name| !self.current.contains(*name));
        self.current.iter().chain(added)
    }

    /// Whether this one votes or is to vote.
    pub fn contains(&self, name: MemberId) -> bool {
        self.current.contains(name) || self.next.is_some_and(|next| next.contains(name))
    }
}

/// Whose word is enough: so many of each of these groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Quorum {
    groups: [Option<Group>; 2],
}

/// Names, shared, and how many of them are enough.
type Group = (Arc<[MemberId]>, usize);

impl Quorum {
    /// A majority of the list, and of the other if there is one.
    pub fn majorities(list: &VoterList, other: Option<&VoterList>) -> Quorum {
        let group = |list: &VoterList| (list.iter().collect(), list.majority());
        Quorum { groups: [Some(group(list)), other.map(group)] }
    }

    /// So many of these.
    pub fn threshold(names: Vec<MemberId>, need: usize) -> Quorum {
        Quorum { groups: [Some((names.into(), need)), None] }
    }

    /// Whether those that `has` says yes of are enough. A quorum of no group is never met.
    pub fn is_met(&self, has: impl Fn(MemberId) -> bool) -> bool {
        let enough = |(names, need): &Group| names.iter().filter(|n| has(**n)).count() >= *need;
        self.groups[0].is_some() && self.groups.iter().flatten().all(enough)
    }

    /// Until when they are enough, if each is counted until `end`; zero for one that is not counted.
    pub fn until(&self, end: impl Fn(MemberId) -> Duration) -> Duration {
        let of = |(names, need): &Group| {
            let mut ends: Vec<Duration> = names.iter().map(|name| end(*name)).collect();
            ends.sort_unstable();
            ends.len().checked_sub(*need).and_then(|at| ends.get(at).copied()).unwrap_or_default()
        };
        self.groups.iter().flatten().map(of).min().unwrap_or_default()
    }

    /// For tests of planted flaws: one less of each group.
    #[doc(hidden)]
    pub fn one_fewer(mut self) -> Quorum {
        self.groups.iter_mut().flatten().for_each(|(_, need)| *need -= 1);
        self
    }

    /// For tests of planted flaws: of two lists the old alone, or the new alone.
    #[doc(hidden)]
    pub fn only_list(mut self, new: bool) -> Quorum {
        if let [Some(_), Some(_)] = self.groups {
            self.groups.swap(0, usize::from(new));
            self.groups[1] = None;
        }
        self
    }
}

#[cfg(test)]
mod tests;
