//! A gradual change of versions: an old process, the *holder*, has the clients, and a new one, the *candidate*,
//! decides a share of their calls.
//!
//! This crate owns the decisions: which version a call meets ([`Split`]), whether the new one is as good as the
//! old ([`Gates`]), when the share rises or falls ([`Rollout`]), whose word on a class binds ([`strictest`]),
//! and what may still happen to a passed call when the candidate is gone ([`Ledger`]). It promises that the
//! same words in the same order give the same decisions, and that a call that may have run is never given out
//! to be run again beyond what its class allows. It knows no wire, no socket, no clock and no randomness: time
//! is passed in, in microseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod evidence;
mod gates;
mod ledger;
mod life;
mod plan;
mod split;
mod terms;

pub use evidence::{Count, Evidence};
pub use gates::{Gate, Gates, Kind, Outcome, Verdict};
pub use ledger::{Fate, Fault, Full, Ledger, Past};
pub use life::{Act, Cause, Change, Life, Refusal, Rollout};
pub use plan::{GateTable, Need, OnFail, Plan, PlanError, Step};
pub use split::{Share, Split};
pub use terms::{strictest, ClassTerms, Disagreement, Terms};

/// Who decides a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Version {
    /// The holder of the clients' connections.
    Old,
    /// The candidate.
    New,
}
