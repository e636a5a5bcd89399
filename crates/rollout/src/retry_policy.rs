//! Two versions that disagree on a class: the stricter side binds, in both.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheellink::{Effect, Micros, Scope};

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// How strictly, and where and for how long a repeat may go: see [`strictest_policies`].
    rank: Rank,
    /// For keyed classes, microseconds; else 0.
    window: Micros,
    /// Attempts that a call may have.
    pub attempts: u32,
}

/// From lenient to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum Rank {
    Safe,
    KeyedAll,
    KeyedZone,
    KeyedCell,
    Unsafe,
}

impl RetryPolicy {
    /// Of this effect and number of attempts.
    pub fn new(effect: Effect, attempts: u32) -> Self {
        let (rank, window) = match effect {
            Effect::Safe => (Rank::Safe, 0),
            Effect::Keyed { scope: Scope::All, window } => (Rank::KeyedAll, window),
            Effect::Keyed { scope: Scope::Zone, window } => (Rank::KeyedZone, window),
            Effect::Keyed { scope: Scope::Cell, window } => (Rank::KeyedCell, window),
            Effect::Unsafe => (Rank::Unsafe, 0),
        };
        Self { rank, window, attempts }
    }

    /// The effect in the library's words.
    pub fn effect(&self) -> Effect {
        let keyed = |scope| Effect::Keyed { scope, window: self.window };
        match self.rank {
            Rank::Safe => Effect::Safe,
            Rank::KeyedAll => keyed(Scope::All),
            Rank::KeyedZone => keyed(Scope::Zone),
            Rank::KeyedCell => keyed(Scope::Cell),
            Rank::Unsafe => Effect::Unsafe,
        }
    }

    fn is_keyed(&self) -> bool {
        !matches!(self.rank, Rank::Safe | Rank::Unsafe)
    }

    /// The stricter of both in everything: unsafe over keyed over safe, the narrower scope, the shorter window,
    /// the fewer attempts.
    pub fn stricter(self, other: Self) -> Self {
        let rank = self.rank.max(other.rank);
        let window = match (self.is_keyed(), other.is_keyed()) {
            _ if rank == Rank::Unsafe => 0,
            (true, true) => self.window.min(other.window),
            (true, false) => self.window,
            (false, true) => other.window,
            (false, false) => 0,
        };
        Self { rank, window, attempts: self.attempts.min(other.attempts) }
    }
}

impl fmt::Display for RetryPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scope = match self.rank {
            Rank::Safe => return write!(f, "safe, {} attempts", self.attempts),
            Rank::Unsafe => return write!(f, "unsafe, {} attempts", self.attempts),
            Rank::KeyedAll => "all",
            Rank::KeyedZone => "zone",
            Rank::KeyedCell => "cell",
        };
        write!(f, "keyed by {scope} for {} ms, {} attempts", self.window / 1000, self.attempts)
    }
}

/// A class by its name, as one version knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPolicy {
    /// Its name.
    pub name: String,
    /// What it allows there.
    #[serde(rename = "terms")]
    pub policy: RetryPolicy,
}

/// Where the two versions differ, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyDifference {
    /// The class.
    pub class: String,
    /// What each knows of it, if anything.
    pub old: Option<RetryPolicy>,
    /// The candidate's side.
    pub new: Option<RetryPolicy>,
    /// What binds; `None` where only one knows the class, and calls of it stay there.
    pub bound: Option<RetryPolicy>,
}

impl fmt::Display for PolicyDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new, &self.bound) {
            (Some(old), Some(new), Some(bound)) => {
                write!(f, "class {}: old {old}; new {new}; bound to {bound}", self.class)
            }
            (Some(_), ..) => {
                write!(f, "class {} stays with the old version, the only one to know it", self.class)
            }
            _ => write!(f, "class {} stays with the new version, the only one to know it", self.class),
        }
    }
}

/// What binds both versions for the classes that both know, and where they differ.
pub fn strictest_policies(
    old: &[ClassPolicy],
    new: &[ClassPolicy],
) -> (Vec<ClassPolicy>, Vec<PolicyDifference>) {
    let find = |list: &[ClassPolicy], name: &str| list.iter().find(|c| c.name == name).map(|c| c.policy);
    let (mut bound, mut differ) = (Vec::new(), Vec::new());
    for c in old {
        let theirs = find(new, &c.name);
        let both = theirs.map(|t| c.policy.stricter(t));
        bound.extend(both.map(|policy| ClassPolicy { name: c.name.clone(), policy }));
        if theirs != Some(c.policy) {
            differ.push(PolicyDifference {
                class: c.name.clone(),
                old: Some(c.policy),
                new: theirs,
                bound: both,
            });
        }
    }
    for c in new.iter().filter(|c| find(old, &c.name).is_none()) {
        differ.push(PolicyDifference { class: c.name.clone(), old: None, new: Some(c.policy), bound: None });
    }
    (bound, differ)
}

#[cfg(test)]
mod tests;
