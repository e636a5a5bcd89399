//! The vocabulary: workloads, drafts, tables, and what a call ran.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load bands: 0 is idle, the last is full.
pub const LOAD_BANDS: u8 = 4;
/// The longest draft, in tokens.
pub const MAX_DRAFT_TOKENS: u8 = 8;
/// The longest word of a workload, in bytes: it is a part of a document's key.
const MAX_WORKLOAD_NAME_BYTES: usize = 64;

/// A member, by the number that stands for its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// What is drafted for: a class, or a class and a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Workload(std::sync::Arc<str>);

impl Workload {
    /// # Errors
    /// Where it is not 1 to 64 bytes of printable ASCII without `/`, `,`, `=`.
    pub fn new(word: &str) -> Result<Self, Rejection> {
        let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'/' | b',' | b'=');
        if word.is_empty() || word.len() > MAX_WORKLOAD_NAME_BYTES || !word.bytes().all(plain) {
            return Err(Rejection::Workload);
        }
        Ok(Self(word.into()))
    }

    /// The word.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Workload {
    type Error = Rejection;

    fn try_from(word: String) -> Result<Self, Rejection> {
        Self::new(&word)
    }
}

impl From<Workload> for String {
    fn from(workload: Workload) -> Self {
        workload.0.to_string()
    }
}

impl fmt::Display for Workload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Who drafts, and how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Draft {
    /// 0: off.
    pub drafter: u8,
    /// Tokens, 0 to 8; 0 exactly where the drafter is.
    pub length: u8,
}

impl Draft {
    /// Nothing is drafted.
    pub const OFF: Draft = Draft { drafter: 0, length: 0 };
}

impl fmt::Display for Draft {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.drafter, self.length)
    }
}

impl FromStr for Draft {
    type Err = Rejection;

    fn from_str(text: &str) -> Result<Self, Rejection> {
        let (drafter, length) = text.split_once(':').ok_or(Rejection::Draft)?;
        let number = |t: &str| t.parse::<u8>().map_err(|_| Rejection::Draft);
        let draft = Draft { drafter: number(drafter)?, length: number(length)? };
        if draft.length > MAX_DRAFT_TOKENS || (draft.drafter == 0) != (draft.length == 0) {
            return Err(Rejection::Draft);
        }
        Ok(draft)
    }
}

/// What runs by workload and load band. What is not in it runs as the settings' `start`.
pub type DraftTable = BTreeMap<(Workload, u8), Draft>;

/// What one call ran, as its answer tells.
#[derive(Clone, Debug, PartialEq)]
pub struct CallStats {
    /// For whom.
    pub workload: Workload,
    /// The draft that it ran under.
    pub draft: Draft,
    /// The load band that it ran in, 0 to 3.
    pub band: u8,
    /// The version of the table that was in force.
    pub version: u64,
    /// Rounds of drafting; of steps where nothing is drafted.
    pub rounds: u32,
    /// How often the drafted token of each position was accepted, one figure for each position of the draft.
    pub accepted: Vec<u32>,
    /// Useful tokens; at most one a round and those that were accepted.
    pub tokens: u32,
    /// Time of work.
    pub time: Duration,
}

/// Why a count was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejection {
    /// A workload's word has a wrong form.
    Workload,
    /// More workloads than the settings have room for.
    Workloads,
    /// No draft, or none of the menu.
    Draft,
    /// No such load band.
    Band,
    /// No round, or fewer rounds than calls.
    Rounds,
    /// Figures for other positions than those of the draft.
    Positions,
    /// More were accepted at a position than at the one before it, or than there were rounds.
    Accepted,
    /// More tokens than such drafts can give.
    Tokens,
    /// No time, or more a round than is believed.
    Time,
    /// No room for another row.
    StoreFull,
    /// A datagram that cannot be read.
    Malformed,
    /// Of a member that is not on the roster, or in this member's own name.
    UnknownMember,
    /// Of an epoch that its member's own clock has not reached or has left behind.
    Epoch,
}

impl Rejection {
    /// What is told to staff.
    pub fn reason(self) -> &'static str {
        match self {
            Rejection::Workload => "a workload's word is 1 to 64 bytes of printable ASCII without / , =",
            Rejection::Workloads => "more workloads than the settings have room for",
            Rejection::Draft => "no draft of the menu",
            Rejection::Band => "no such load band",
            Rejection::Rounds => "no rounds",
            Rejection::Positions => "not one figure for each position of the draft",
            Rejection::Accepted => "more accepted at a position than at the one before it",
            Rejection::Tokens => "more tokens than such drafts can give",
            Rejection::Time => "a time of nothing, or more a round than is believed",
            Rejection::StoreFull => "no room for another row",
            Rejection::Malformed => "a datagram that cannot be read",
            Rejection::UnknownMember => "of somebody who is not on the roster",
            Rejection::Epoch => "of an epoch that does not count",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for Rejection {}

#[cfg(test)]
mod tests;
