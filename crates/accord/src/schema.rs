//! What each key may say, which keys are hard, and which of two values is the stricter.

use std::fmt;
use std::task::Poll;

use crate::document::{Document, Key, Value, MOST_WORD};
use crate::work::{Budget, Covering, Stricter};

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
enum Takes {
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
fn rule(key: &Key) -> Option<(bool, Takes)> {
    let mut words = [""; 4];
    let mut count = 0;
    for (at, word) in key.words().enumerate() {
        words[at] = word;
        count = at + 1;
    }
    Some(match (count, words[0], words[2]) {
        (3, "class", "effect") => (true, Takes::Ladder(&["safe", "keyed", "unsafe"])),
        (3, "class", "scope") => (true, Takes::Ladder(&["all", "zone", "cell"])),
        (3, "class", "window_ms") => (true, Takes::Range(0, 3_600_000)),
        (3, "class", "attempts") => (true, Takes::Range(1, 16)),
        (3, "class", "aim_ms" | "give_up_ms") => (false, Takes::Range(1, DAY_MS)),
        (3, "class", "worth_milli" | "late_worth_milli") => (false, Takes::Range(0, MOST)),
        (3, "tenant", "quota_milli") => (true, Takes::Range(0, MOST)),
        (2, "limit", _) => (true, Takes::Range(0, MOST)),
        (3, "site", "weight") => (false, Takes::Range(0, 1_000)),
        (2, "out", _) => (true, Takes::Present),
        (3, "list", _) => (false, Takes::Flag),
        (3, "draft", "0" | "1" | "2" | "3") => (false, Takes::Draft),
        // What the accord itself reads: what becomes of a version that one refuses, and who is declared gone.
        (2, "accord", _) if words[1] == "refused" => (false, Takes::Ladder(&["wait", "go_on"])),
        (2, "gone", _) if words[1].parse::<u32>().is_ok_and(|name| name.to_string() == words[1]) => {
            (false, Takes::Present)
        }
        // Who votes. Hard: no two lists are ever gone by at once.
        (2, "voter", _) if words[1].parse::<u32>().is_ok_and(|name| name.to_string() == words[1]) => {
            (true, Takes::Present)
        }
        _ => return None,
    })
}

fn looked_up(key: &Key) -> Option<(bool, Takes)> {
    match key.floored() {
        // A floor is hard or soft as its key is. Only keys below `accord/`, `gone/` and `voter/` have none.
        Some(of) if !matches!(of.words().next(), Some("accord" | "gone" | "voter")) => rule(&of),
        Some(_) => None,
        None => rule(key),
    }
}

/// Whether the key is hard: no two activators may ever contradict each other on it. False for an unknown key.
pub fn hard(key: &Key) -> bool {
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
pub fn check(key: &Key, value: &Value) -> Result<(), SchemaError> {
    let refuse = |reason: String| Err(SchemaError { key: key.to_string(), reason });
    let Some((_, takes)) = looked_up(key) else { return refuse("no such key is known".into()) };
    match (takes, value) {
        (_, Value::Word(word)) if word.len() > MOST_WORD => {
            refuse(format!("a word has at most {MOST_WORD} bytes"))
        }
        (Takes::Ladder(words), Value::Word(word)) if words.contains(&word.as_str()) => Ok(()),
        (Takes::Ladder(words), value) => refuse(format!("{value} is none of {}", words.join(", "))),
        (Takes::Range(least, most), Value::Int(int)) if (least..=most).contains(int) => Ok(()),
        (Takes::Range(least, most), value) => refuse(format!("{value} is no number of {least} to {most}")),
        (Takes::Flag, Value::Flag(_)) | (Takes::Present, Value::Flag(true)) => Ok(()),
        (Takes::Flag, value) => refuse(format!("{value} is neither true nor false")),
        (Takes::Present, value) => refuse(format!("{value}: only true is allowed; to say no, drop the key")),
        (Takes::Draft, Value::Word(word)) => {
            let parts =
                word.split_once(':').map(|(drafter, length)| (drafter.parse::<u8>(), length.parse::<u8>()));
            match parts {
                Some((Ok(_), Ok(0..=8))) => Ok(()),
                _ => refuse(format!(
                    "{word} is not DRAFTER:LENGTH with a drafter of 0 to 255 and a length of 0 to 8"
                )),
            }
        }
        (Takes::Draft, value) => refuse(format!("{value} is not DRAFTER:LENGTH")),
    }
}

/// The stricter of two values of a hard key; of a soft key `b`, the newer.
pub fn stricter<'a>(key: &Key, a: &'a Value, b: &'a Value) -> &'a Value {
    match (looked_up(key), a, b) {
        (Some((true, Takes::Ladder(words))), Value::Word(x), Value::Word(y)) => {
            let place = |word: &String| words.iter().position(|known| known == word);
            if place(x) > place(y) {
                a
            } else {
                b
            }
        }
        (Some((true, Takes::Range(..))), Value::Int(x), Value::Int(y)) if x < y => a,
        (Some((true, Takes::Flag | Takes::Present)), Value::Flag(true), _) => a,
        _ => b,
    }
}

/// What obeys two documents at once: on hard keys the stricter of each, on soft keys what `new` says.
pub fn stricter_of(old: &Document, new: &Document) -> Document {
    let mut made = Stricter::new(new);
    loop {
        if let Poll::Ready(terms) = made.step(old, new, &mut Budget::endless()) {
            return terms;
        }
    }
}

/// The first hard key on which `floor` is looser than `terms`, or silent: one that acts on the floor would contradict one
/// that acts on the terms. None if the floor covers them.
pub fn uncovered(terms: &Document, floor: &Document) -> Option<Key> {
    let mut covering = Covering::default();
    loop {
        if let Poll::Ready(open) = covering.step(terms, floor, &mut Budget::endless()) {
            return open;
        }
    }
}

/// The first hard key on which those who obey `a` break what those who obey `b` keep: the checkers' word of contradiction
/// between documents. None if there is none.
pub fn breach(a: &Document, b: &Document) -> Option<Key> {
    let keys = a.beside_lists().chain(b.beside_lists()).map(|(key, _)| key);
    keys.filter(|key| hard(key) && key.floored().is_none() && a.get(key) != b.get(key)).min().cloned()
}
