//! The schema: which values each key takes, which keys are hard, and which of two values is stricter.

use std::fmt;
use std::task::Poll;

use crate::document::{Document, Key, Value, MAX_TEXT_BYTES};
use crate::incremental::{Budget, CoverageCheck, JointTermsMerge};

/// Why a key or value is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchemaError {
    /// The key.
    pub key: String,
    /// What is wrong with the key or value.
    pub reason: String,
}

impl fmt::Display for SchemaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SchemaError {}

/// The values that a key takes.
#[derive(Clone, Copy)]
enum ValueRule {
    /// One of these texts, from loosest to strictest.
    OneOf(&'static [&'static str]),
    /// An integer in this range. On hard keys the smaller value is stricter.
    Range(i64, i64),
    /// A flag. On hard keys `true` is stricter.
    Flag,
    /// Only `true`; the absent key means false.
    TrueOnly,
    /// `DRAFTER:LENGTH`.
    Draft,
}

/// Maximum of a time in milliseconds: a day. A larger value is more likely a typing error than intended.
const MAX_TIME_MS: i64 = 86_400_000;
/// Maximum of amounts and weights: far above the needs of any fleet, and far below where their sums overflow.
const MAX_AMOUNT: i64 = 1_000_000_000_000;

/// Whether the key is hard, and the values it takes. `None` for an unknown key.
fn rule(key: &Key) -> Option<(bool, ValueRule)> {
    let mut segments = [""; 4];
    let mut count = 0;
    for (at, segment) in key.segments().enumerate() {
        segments[at] = segment;
        count = at + 1;
    }
    Some(match (count, segments[0], segments[2]) {
        (3, "class", "effect") => (true, ValueRule::OneOf(&["safe", "keyed", "unsafe"])),
        (3, "class", "scope") => (true, ValueRule::OneOf(&["all", "zone", "cell"])),
        (3, "class", "window_ms") => (true, ValueRule::Range(0, 3_600_000)),
        (3, "class", "attempts") => (true, ValueRule::Range(1, 16)),
        (3, "class", "aim_ms" | "give_up_ms") => (false, ValueRule::Range(1, MAX_TIME_MS)),
        (3, "class", "worth_milli" | "late_worth_milli") => (false, ValueRule::Range(0, MAX_AMOUNT)),
        (3, "tenant", "quota_milli") => (true, ValueRule::Range(0, MAX_AMOUNT)),
        (2, "limit", _) => (true, ValueRule::Range(0, MAX_AMOUNT)),
        (3, "site", "weight") => (false, ValueRule::Range(0, 1_000)),
        (2, "out", _) => (true, ValueRule::TrueOnly),
        (3, "list", _) => (false, ValueRule::Flag),
        (3, "draft", "0" | "1" | "2" | "3") => (false, ValueRule::Draft),
        // Keys that this crate reads itself: what happens when a member refuses a version, and which members
        // are declared gone.
        (2, "accord", _) if segments[1] == "refused" => (false, ValueRule::OneOf(&["wait", "go_on"])),
        (2, "gone", _) if segments[1].parse::<u32>().is_ok_and(|name| name.to_string() == segments[1]) => {
            (false, ValueRule::TrueOnly)
        }
        // The voters. Hard, so that members never use two lists at once.
        (2, "voter", _) if segments[1].parse::<u32>().is_ok_and(|name| name.to_string() == segments[1]) => {
            (true, ValueRule::TrueOnly)
        }
        _ => return None,
    })
}

fn rule_or_floor_rule(key: &Key) -> Option<(bool, ValueRule)> {
    match key.floor_target() {
        // A floor is hard or soft like its key. Keys below `accord/`, `gone/` and `voter/` have no floor.
        Some(key) if !matches!(key.segments().next(), Some("accord" | "gone" | "voter")) => rule(&key),
        Some(_) => None,
        None => rule(key),
    }
}

/// Whether the key is hard: no two activators may ever contradict each other on it. False for an unknown key.
pub fn is_hard(key: &Key) -> bool {
    // Long lists are soft and make up most of a document, so 100,000 lookups of their keys have to be cheap.
    if key.as_str().starts_with("list/") {
        return false;
    }
    rule_or_floor_rule(key).is_some_and(|(hard, _)| hard)
}

/// Checks whether a document may have this entry.
///
/// # Errors
/// An unknown key, a value of the wrong type, or a value out of range.
pub fn check_entry(key: &Key, value: &Value) -> Result<(), SchemaError> {
    let refuse = |reason: String| Err(SchemaError { key: key.to_string(), reason });
    let Some((_, value_rule)) = rule_or_floor_rule(key) else { return refuse("no such key is known".into()) };
    match (value_rule, value) {
        (_, Value::Text(text)) if text.len() > MAX_TEXT_BYTES => {
            refuse(format!("a text has at most {MAX_TEXT_BYTES} bytes"))
        }
        (ValueRule::OneOf(texts), Value::Text(text)) if texts.contains(&text.as_str()) => Ok(()),
        (ValueRule::OneOf(texts), value) => refuse(format!("{value} is not one of {}", texts.join(", "))),
        (ValueRule::Range(min, max), Value::Int(int)) if (min..=max).contains(int) => Ok(()),
        (ValueRule::Range(min, max), value) => refuse(format!("{value} is not a number from {min} to {max}")),
        (ValueRule::Flag, Value::Flag(_)) | (ValueRule::TrueOnly, Value::Flag(true)) => Ok(()),
        (ValueRule::Flag, value) => refuse(format!("{value} is neither true nor false")),
        (ValueRule::TrueOnly, value) => {
            refuse(format!("{value}: only true is allowed; to say no, drop the key"))
        }
        (ValueRule::Draft, Value::Text(text)) => {
            let parts = text.split_once(':').map(|(d, l)| (d.parse::<u8>(), l.parse::<u8>()));
            match parts {
                Some((Ok(_), Ok(0..=8))) => Ok(()),
                _ => refuse(format!("{text} is not DRAFTER:LENGTH, drafter of 0 to 255, length of 0 to 8")),
            }
        }
        (ValueRule::Draft, value) => refuse(format!("{value} is not DRAFTER:LENGTH")),
    }
}

/// The stricter of two values of a hard key. For a soft key `b`, the newer value.
pub fn stricter<'a>(key: &Key, a: &'a Value, b: &'a Value) -> &'a Value {
    match (rule_or_floor_rule(key), a, b) {
        (Some((true, ValueRule::OneOf(texts))), Value::Text(x), Value::Text(y)) => {
            let rank = |text: &String| texts.iter().position(|known| known == text);
            if rank(x) > rank(y) {
                a
            } else {
                b
            }
        }
        (Some((true, ValueRule::Range(..))), Value::Int(x), Value::Int(y)) if x < y => a,
        (Some((true, ValueRule::Flag | ValueRule::TrueOnly)), Value::Flag(true), _) => a,
        _ => b,
    }
}

/// Terms that satisfy two documents at once: the stricter value of each hard key, and the value of `new` for
/// each soft key.
pub fn joint_terms(old: &Document, new: &Document) -> Document {
    let mut merge = JointTermsMerge::new(new);
    loop {
        if let Poll::Ready(terms) = merge.step(old, new, &mut Budget::unlimited()) {
            return terms;
        }
    }
}

/// The least hard key on which `floor` is looser than `terms`, or has no value: a member on the floor would
/// contradict one on the terms. `None` if the floor covers the terms.
pub fn find_uncovered(terms: &Document, floor: &Document) -> Option<Key> {
    let mut check = CoverageCheck::default();
    loop {
        if let Poll::Ready(uncovered) = check.step(terms, floor, &mut Budget::unlimited()) {
            return uncovered;
        }
    }
}

/// The least hard key on which members that obey `a` contradict members that obey `b`. This is the definition
/// of a contradiction that the checkers use. `None` if there is none.
pub fn find_contradiction(a: &Document, b: &Document) -> Option<Key> {
    let keys = a.entries_outside_lists().chain(b.entries_outside_lists()).map(|(key, _)| key);
    keys.filter(|key| is_hard(key) && key.floor_target().is_none() && a.get(key) != b.get(key)).min().cloned()
}
