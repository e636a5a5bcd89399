//! What each key may say, which keys are hard, and which of two values is the stricter.

use std::fmt;
use std::task::Poll;

use crate::document::{Document, Key, Value, MAX_TEXT_BYTES};
use crate::incremental::{Budget, CoverageCheck, JointTermsMerge};

/// Why a key or value is refused: names the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchemaError {
    /// The key.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for SchemaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SchemaError {}

/// What a key takes.
#[derive(Clone, Copy)]
enum ValueRule {
    /// One of these words, loosest first.
    Ladder(&'static [&'static str]),
    /// A number of this range; of hard ones the smaller is the stricter.
    Range(i64, i64),
    /// A flag; of hard ones `true` is the stricter.
    Flag,
    /// Only `true`: absent is the other.
    Present,
    /// `DRAFTER:LENGTH`.
    Draft,
}

/// The longest time a number of milliseconds may say: a day, beyond which a slip of the pen is likelier than a wish.
const DAY_MS: i64 = 86_400_000;
/// The largest of the sums and worths: far above any fleet, far below where adding them up overflows.
const MOST: i64 = 1_000_000_000_000;

/// Kind (hard or soft) and what it takes.
fn rule(key: &Key) -> Option<(bool, ValueRule)> {
    let mut words = [""; 4];
    let mut count = 0;
    for (at, word) in key.segments().enumerate() {
        words[at] = word;
        count = at + 1;
    }
    Some(match (count, words[0], words[2]) {
        (3, "class", "effect") => (true, ValueRule::Ladder(&["safe", "keyed", "unsafe"])),
        (3, "class", "scope") => (true, ValueRule::Ladder(&["all", "zone", "cell"])),
        (3, "class", "window_ms") => (true, ValueRule::Range(0, 3_600_000)),
        (3, "class", "attempts") => (true, ValueRule::Range(1, 16)),
        (3, "class", "aim_ms" | "give_up_ms") => (false, ValueRule::Range(1, DAY_MS)),
        (3, "class", "worth_milli" | "late_worth_milli") => (false, ValueRule::Range(0, MOST)),
        (3, "tenant", "quota_milli") => (true, ValueRule::Range(0, MOST)),
        (2, "limit", _) => (true, ValueRule::Range(0, MOST)),
        (3, "site", "weight") => (false, ValueRule::Range(0, 1_000)),
        (2, "out", _) => (true, ValueRule::Present),
        (3, "list", _) => (false, ValueRule::Flag),
        (3, "draft", "0" | "1" | "2" | "3") => (false, ValueRule::Draft),
        // What the accord itself reads: what becomes of a version that one refuses, and who is declared gone.
        (2, "accord", _) if words[1] == "refused" => (false, ValueRule::Ladder(&["wait", "go_on"])),
        (2, "gone", _) if words[1].parse::<u32>().is_ok_and(|name| name.to_string() == words[1]) => {
            (false, ValueRule::Present)
        }
        // Who votes. Hard: no two lists are ever gone by at once.
        (2, "voter", _) if words[1].parse::<u32>().is_ok_and(|name| name.to_string() == words[1]) => {
            (true, ValueRule::Present)
        }
        _ => return None,
    })
}

fn looked_up(key: &Key) -> Option<(bool, ValueRule)> {
    match key.floor_target() {
        // A floor is hard or soft as its key is. Only keys below `accord/`, `gone/` and `voter/` have none.
        Some(of) if !matches!(of.segments().next(), Some("accord" | "gone" | "voter")) => rule(&of),
        Some(_) => None,
        None => rule(key),
    }
}

/// Whether the key is hard: no two activators may ever contradict each other on it. False for an unknown key.
pub fn is_hard(key: &Key) -> bool {
    // The long lists are soft, and are most of a document: 100,000 looks at them are to cost next to nothing.
    if key.as_str().starts_with("list/") {
        return false;
    }
    looked_up(key).is_some_and(|(hard, _)| hard)
}

/// Whether a document may say this.
///
/// # Errors
/// A key that no schema knows, a value of another kind, or one out of its range.
pub fn check_entry(key: &Key, value: &Value) -> Result<(), SchemaError> {
    let refuse = |reason: String| Err(SchemaError { key: key.to_string(), reason });
    let Some((_, takes)) = looked_up(key) else { return refuse("no such key is known".into()) };
    match (takes, value) {
        (_, Value::Text(word)) if word.len() > MAX_TEXT_BYTES => {
            refuse(format!("a word has at most {MAX_TEXT_BYTES} bytes"))
        }
        (ValueRule::Ladder(words), Value::Text(word)) if words.contains(&word.as_str()) => Ok(()),
        (ValueRule::Ladder(words), value) => refuse(format!("{value} is none of {}", words.join(", "))),
        (ValueRule::Range(least, most), Value::Int(int)) if (least..=most).contains(int) => Ok(()),
        (ValueRule::Range(least, most), value) => {
            refuse(format!("{value} is no number of {least} to {most}"))
        }
        (ValueRule::Flag, Value::Flag(_)) | (ValueRule::Present, Value::Flag(true)) => Ok(()),
        (ValueRule::Flag, value) => refuse(format!("{value} is neither true nor false")),
        (ValueRule::Present, value) => {
            refuse(format!("{value}: only true is allowed; to say no, drop the key"))
        }
        (ValueRule::Draft, Value::Text(word)) => {
            let parts =
                word.split_once(':').map(|(drafter, length)| (drafter.parse::<u8>(), length.parse::<u8>()));
            match parts {
                Some((Ok(_), Ok(0..=8))) => Ok(()),
                _ => refuse(format!(
                    "{word} is not DRAFTER:LENGTH with a drafter of 0 to 255 and a length of 0 to 8"
                )),
            }
        }
        (ValueRule::Draft, value) => refuse(format!("{value} is not DRAFTER:LENGTH")),
    }
}

/// The stricter of two values of a hard key; of a soft key `b`, the newer.
pub fn stricter<'a>(key: &Key, a: &'a Value, b: &'a Value) -> &'a Value {
    match (looked_up(key), a, b) {
        (Some((true, ValueRule::Ladder(words))), Value::Text(x), Value::Text(y)) => {
            let place = |word: &String| words.iter().position(|known| known == word);
            if place(x) > place(y) {
                a
            } else {
                b
            }
        }
        (Some((true, ValueRule::Range(..))), Value::Int(x), Value::Int(y)) if x < y => a,
        (Some((true, ValueRule::Flag | ValueRule::Present)), Value::Flag(true), _) => a,
        _ => b,
    }
}

/// What obeys two documents at once: on hard keys the stricter of each, on soft keys what `new` says.
pub fn joint_terms(old: &Document, new: &Document) -> Document {
    let mut made = JointTermsMerge::new(new);
    loop {
        if let Poll::Ready(terms) = made.step(old, new, &mut Budget::unlimited()) {
            return terms;
        }
    }
}

/// The first hard key on which `floor` is looser than `terms`, or silent: one that acts on the floor would contradict one
/// that acts on the terms. None if the floor covers them.
pub fn find_uncovered(terms: &Document, floor: &Document) -> Option<Key> {
    let mut covering = CoverageCheck::default();
    loop {
        if let Poll::Ready(open) = covering.step(terms, floor, &mut Budget::unlimited()) {
            return open;
        }
    }
}

/// The first hard key on which those who obey `a` break what those who obey `b` keep: the checkers' word of contradiction
/// between documents. None if there is none.
pub fn find_contradiction(a: &Document, b: &Document) -> Option<Key> {
    let keys = a.entries_outside_lists().chain(b.entries_outside_lists()).map(|(key, _)| key);
    keys.filter(|key| is_hard(key) && key.floor_target().is_none() && a.get(key) != b.get(key)).min().cloned()
}
