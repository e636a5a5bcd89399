//! Gradual rollout of a version: the old process, the *holder*, has the clients' connections, and the new process, the
//! *candidate*, decides a share of their calls.
//!
//! This crate makes the decisions: which version decides a call ([`Split`]), whether the new version is as good as the
//! old one ([`Gates`]), when the share rises or falls ([`Rollout`]), which version's policy for a class is binding
//! ([`strictest_policies`]), and how a call is recovered whose candidate is lost ([`Ledger`]). It guarantees that the
//! same inputs in the same order give the same decisions, and that a call that may have run is never handed out to be
//! run again beyond what its class allows. It uses no wire format, no sockets, no clock and no randomness: time is an
//! argument, in microseconds.
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

/// The version that decides a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Version {
    /// The holder of the clients' connections: the baseline.
    Old,
    /// The candidate.
    New,
}
