//! A gradual change of versions: an old process, the *holder*, has the clients, and a new one, the *candidate*,
//! decides a share of their calls.
//!
//! This crate owns the decisions: which version a call meets ([`Split`]), whether the new one is as good as the
//! old ([`Gates`]), when the share rises or falls ([`Rollout`]), whose word on a class binds ([`strictest_policies`]),
//! and what may still happen to a passed call when the candidate is gone ([`Ledger`]). It promises that the
//! same words in the same order give the same decisions, and that a call that may have run is never given out
//! to be run again beyond what its class allows. It knows no wire, no socket, no clock and no randomness: time
//! is passed in, in microseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod evidence;
mod gates;
mod ledger;
mod plan;
mod retry_policy;
mod rollout;
mod split;

pub use evidence::{Count, Evidence};
pub use gates::{CallOutcome, Gate, Gates, Metric, Verdict};
pub use ledger::{AttemptRecord, Ledger, LedgerFull, ProtocolViolation, Recovery};
pub use plan::{GateRequirement, GateSettings, OnFail, Plan, PlanError, Step};
pub use retry_policy::{strictest_policies, ClassPolicy, PolicyDifference, RetryPolicy};
pub use rollout::{Action, Cause, Phase, Rejection, Rollout, Transition};
pub use split::{Share, Split};

/// Who decides a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Version {
    /// The holder of the clients' connections.
    Old,
    /// The candidate.
    New,
}
