//! The public types: workloads, drafts, tables, and the statistics of a call.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of load bands of a host: 0 is idle, the last one is full.
pub const LOAD_BANDS: u8 = 4;
/// The maximum draft length, in tokens.
pub const MAX_DRAFT_TOKENS: u8 = 8;
/// The maximum length of a workload's name, in bytes: the name is part of a key of the agreed document.
const MAX_WORKLOAD_NAME_BYTES: usize = 64;

/// The number of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// The unit that drafts are learned for: a class, or a class and a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Workload(std::sync::Arc<str>);

impl Workload {
    /// Creates a workload from its name.
    ///
    /// # Errors
    /// The name is not 1 to 64 bytes of printable ASCII without `/`, `,`, `=`.
    pub fn new(name: &str) -> Result<Self, Refusal> {
        let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'/' | b',' | b'=');
        if name.is_empty() || name.len() > MAX_WORKLOAD_NAME_BYTES || !name.bytes().all(plain) {
            return Err(Refusal::Workload);
        }
        Ok(Self(name.into()))
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Workload {
    type Error = Refusal;

    fn try_from(name: String) -> Result<Self, Refusal> {
        Self::new(&name)
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

/// A drafter and a draft length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Draft {
    /// The drafter, 0 for no drafting.
    pub drafter: u8,
    /// The draft length in tokens, 0 to 8; 0 if and only if `drafter` is 0.
    pub length: u8,
}

impl Draft {
    /// No drafting.
    pub const OFF: Draft = Draft { drafter: 0, length: 0 };
}

impl fmt::Display for Draft {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.drafter, self.length)
    }
}

impl FromStr for Draft {
    type Err = Refusal;

    fn from_str(text: &str) -> Result<Self, Refusal> {
        let (drafter, length) = text.split_once(':').ok_or(Refusal::Draft)?;
        let number = |t: &str| t.parse::<u8>().map_err(|_| Refusal::Draft);
        let draft = Draft { drafter: number(drafter)?, length: number(length)? };
        if draft.length > MAX_DRAFT_TOKENS || (draft.drafter == 0) != (draft.length == 0) {
            return Err(Refusal::Draft);
        }
        Ok(draft)
    }
}

/// The draft by workload and load band. An absent entry means the settings' `start`.
pub type DraftTable = BTreeMap<(Workload, u8), Draft>;

/// The statistics of one call, as the answer to the call reports them.
#[derive(Clone, Debug, PartialEq)]
pub struct CallStats {
    /// The workload of the call.
    pub workload: Workload,
    /// The draft that the call ran with.
    pub draft: Draft,
    /// The load band of the host, 0 to 3.
    pub band: u8,
    /// The version of the table in force.
    pub version: u64,
    /// Drafting rounds; steps if nothing is drafted.
    pub rounds: u32,
    /// The number of accepted tokens by position, one entry for each position of the draft.
    pub accepted: Vec<u32>,
    /// Useful tokens: at most one per round plus the accepted ones.
    pub tokens: u32,
    /// Processing time.
    pub time: Duration,
}

/// Why a call or a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The name of a workload is malformed.
    Workload,
    /// The maximum number of workloads is reached.
    Workloads,
    /// The draft is malformed, or the settings do not allow it.
    Draft,
    /// The load band does not exist.
    Band,
    /// No rounds, or fewer rounds than calls.
    Rounds,
    /// The accepted counts do not match the positions of the draft.
    Positions,
    /// More accepted tokens at a position than at the one before it, or than rounds.
    Accepted,
    /// More tokens than the draft can yield.
    Tokens,
    /// No processing time, or more per round than the settings allow.
    Time,
    /// The maximum number of rows is reached.
    StoreFull,
    /// The datagram is malformed.
    Malformed,
    /// The sender or the subject is not on the roster, or the sender claims to be this member.
    UnknownMember,
    /// The epoch is in the future or outside the window, on the clock of the member's incarnation.
    Epoch,
}

impl Refusal {
    /// The text shown to operators. It is a key in the JSON view, so it must not change.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::Workload => "a workload's word is 1 to 64 bytes of printable ASCII without / , =",
            Refusal::Workloads => "more workloads than the settings have room for",
            Refusal::Draft => "no draft of the menu",
            Refusal::Band => "no such load band",
            Refusal::Rounds => "no rounds",
            Refusal::Positions => "not one figure for each position of the draft",
            Refusal::Accepted => "more accepted at a position than at the one before it",
            Refusal::Tokens => "more tokens than such drafts can give",
            Refusal::Time => "a time of nothing, or more a round than is believed",
            Refusal::StoreFull => "no room for another row",
            Refusal::Malformed => "a datagram that cannot be read",
            Refusal::UnknownMember => "of somebody who is not on the roster",
            Refusal::Epoch => "of an epoch that does not count",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for Refusal {}

#[cfg(test)]
mod tests;
