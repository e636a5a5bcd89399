//! Retry policies of classes. Where two versions have different policies for a class, the stricter one is binding for
//! both.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheellink::{Effect, Micros, Scope};

/// How often, where and for how long calls of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Which repeats are allowed; see [`RetryPolicy::stricter`].
    rank: Rank,
    /// For keyed classes, the time in microseconds in which a call may be repeated; otherwise 0.
    window: Micros,
    /// Maximum number of attempts per call.
    pub attempts: u32,
}

/// Effect and scope of a class, ordered from lenient to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum Rank {
    Safe,
    KeyedAll,
    KeyedZone,
    KeyedCell,
    Unsafe,
}

impl RetryPolicy {
    /// The policy of a class with this effect and maximum number of attempts.
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

    /// The effect as the `wheellink` crate represents it.
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

    /// Combines two policies; of each property the stricter one applies: unsafe before keyed before safe, the narrower
    /// scope, the shorter window, the fewer attempts.
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

/// The policy that one version has for a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPolicy {
    /// Name of the class.
    pub name: String,
    /// Its policy in that version.
    #[serde(rename = "terms")]
    pub policy: RetryPolicy,
}

/// A class for which the two versions differ; shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyDifference {
    /// Name of the class.
    pub class: String,
    /// The old version's policy; `None` if it does not know the class.
    pub old: Option<RetryPolicy>,
    /// The new version's policy; `None` if it does not know the class.
    pub new: Option<RetryPolicy>,
    /// The binding policy. `None` if only one version knows the class; its calls stay with that version.
    pub binding: Option<RetryPolicy>,
}

impl fmt::Display for PolicyDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new, &self.binding) {
            (Some(old), Some(new), Some(binding)) => {
                write!(f, "class {}: old {old}; new {new}; bound to {binding}", self.class)
            }
            (Some(_), ..) => {
                write!(f, "class {} stays with the old version, the only one to know it", self.class)
            }
            _ => write!(f, "class {} stays with the new version, the only one to know it", self.class),
        }
    }
}

/// Returns the binding policies of the classes that both versions know, and the classes for which they differ.
pub fn strictest_policies(
    old: &[ClassPolicy],
    new: &[ClassPolicy],
) -> (Vec<ClassPolicy>, Vec<PolicyDifference>) {
    let find = |list: &[ClassPolicy], name: &str| list.iter().find(|c| c.name == name).map(|c| c.policy);
    let (mut binding, mut differences) = (Vec::new(), Vec::new());
    for c in old {
        let theirs = find(new, &c.name);
        let both = theirs.map(|t| c.policy.stricter(t));
        binding.extend(both.map(|policy| ClassPolicy { name: c.name.clone(), policy }));
        if theirs != Some(c.policy) {
            let (class, old) = (c.name.clone(), Some(c.policy));
            differences.push(PolicyDifference { class, old, new: theirs, binding: both });
        }
    }
    for c in new.iter().filter(|c| find(old, &c.name).is_none()) {
        let (class, new) = (c.name.clone(), Some(c.policy));
        differences.push(PolicyDifference { class, old: None, new, binding: None });
    }
    (binding, differences)
}

#[cfg(test)]
mod tests;
