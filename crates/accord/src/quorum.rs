//! Lists of voters, and quorums of them.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::{Document, Key};
use crate::settings::MemberId;

/// Maximum number of voters in a list. Each record holds two lists, and a datagram has room for two records.
pub const MAX_VOTERS: usize = 9;

/// A list of 1 to 9 distinct voters, sorted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Vec<MemberId>", into = "Vec<MemberId>")]
pub struct VoterList {
    names: [MemberId; MAX_VOTERS],
    count: u8,
}

/// Why a set of members is not a valid list of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterListError(pub String);

impl VoterList {
    /// Creates a list from members in any order.
    ///
    /// # Errors
    /// No member, more than [`MAX_VOTERS`], or a duplicate.
    pub fn new(names: impl IntoIterator<Item = MemberId>) -> Result<VoterList, VoterListError> {
        let mut names: Vec<MemberId> = names.into_iter().take(MAX_VOTERS + 1).collect();
        names.sort_unstable();
        if names.is_empty() {
            return Err(VoterListError("at least one voter must remain".into()));
        }
        if names.len() > MAX_VOTERS {
            return Err(VoterListError(format!("more than {MAX_VOTERS} voters")));
        }
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(VoterListError("a voter is listed twice".into()));
        }
        let mut list = VoterList { names: [MemberId(0); MAX_VOTERS], count: names.len() as u8 };
        list.names[..names.len()].copy_from_slice(&names);
        Ok(list)
    }

    /// The voters that a document names by `voter/NUMBER` keys; `None` if it names none.
    ///
    /// # Errors
    /// See [`VoterList::new`].
    pub fn from_document(document: &Document) -> Result<Option<VoterList>, VoterListError> {
        // This runs in each period, so it skips buckets without `voter/` keys.
        let names = document.entries_of_voter_buckets().filter_map(|(key, _)| voter_named_by(key));
        let names: Vec<MemberId> = names.take(MAX_VOTERS + 1).collect();
        if names.is_empty() {
            return Ok(None);
        }
        VoterList::new(names).map(Some)
    }

    /// The voters in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.names[..usize::from(self.count)].iter().copied()
    }

    /// Whether the member is on the list.
    pub fn contains(&self, name: MemberId) -> bool {
        self.iter().any(|known| known == name)
    }

    /// Number of voters; never 0.
    #[allow(clippy::len_without_is_empty)] // an empty list cannot be created
    pub fn len(&self) -> usize {
        usize::from(self.count)
    }

    /// Size of a majority of the list.
    pub fn majority(&self) -> usize {
        self.len() / 2 + 1
    }
}

/// Hashes the used entries only: the others are always the same, and models hash millions of lists.
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

/// The lists of voters in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterLists {
    /// The list of the version in force.
    pub current: VoterList,
    /// The list of the pending version, if it differs.
    pub next: Option<VoterList>,
}

impl VoterLists {
    /// Lists without a change of voters.
    pub fn unchanged(current: VoterList) -> VoterLists {
        VoterLists { current, next: None }
    }

    /// All current and future voters, each once.
    pub fn all(&self) -> impl Iterator<Item = MemberId> + '_ {
        let added = self.next.iter().flat_map(VoterList::iter).filter(|name| !self.current.contains(*name));
        self.current.iter().chain(added)
    }

    /// Whether the member is a current or future voter.
    pub fn contains(&self, name: MemberId) -> bool {
        self.current.contains(name) || self.next.is_some_and(|next| next.contains(name))
    }
}

/// A quorum: a threshold in each of one or two groups of members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Quorum {
    groups: [Option<Group>; 2],
}

/// The members of a group, and how many of them are enough.
type Group = (Arc<[MemberId]>, usize);

impl Quorum {
    /// A majority of the list, and of the other list if there is one.
    pub fn majorities(list: &VoterList, other: Option<&VoterList>) -> Quorum {
        let group = |list: &VoterList| (list.iter().collect(), list.majority());
        Quorum { groups: [Some(group(list)), other.map(group)] }
    }

    /// At least `need` of the members.
    pub fn threshold(names: Vec<MemberId>, need: usize) -> Quorum {
        Quorum { groups: [Some((names.into(), need)), None] }
    }

    /// Whether the members for which `has` is true form a quorum. A quorum without groups is never met.
    pub fn is_met(&self, has: impl Fn(MemberId) -> bool) -> bool {
        let enough = |(names, need): &Group| names.iter().filter(|n| has(**n)).count() >= *need;
        self.groups[0].is_some() && self.groups.iter().flatten().all(enough)
    }

    /// The time until which a quorum lasts, if each member counts until `expiry`; zero for a member that does
    /// not count.
    pub fn expires_at(&self, expiry: impl Fn(MemberId) -> Duration) -> Duration {
        let group_expiry = |(names, need): &Group| {
            let mut ends: Vec<Duration> = names.iter().map(|name| expiry(*name)).collect();
            ends.sort_unstable();
            ends.len().checked_sub(*need).and_then(|at| ends.get(at).copied()).unwrap_or_default()
        };
        self.groups.iter().flatten().map(group_expiry).min().unwrap_or_default()
    }

    /// Lowers each threshold by one, for tests with injected faults.
    #[doc(hidden)]
    pub fn one_fewer(mut self) -> Quorum {
        self.groups.iter_mut().flatten().for_each(|(_, need)| *need -= 1);
        self
    }

    /// Keeps the old or the new list of two only, for tests with injected faults.
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
