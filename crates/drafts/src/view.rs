//! The state that operators are shown, serialized as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

/// A snapshot of the learner.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct View {
    /// The version of the table in force.
    pub version: u64,
    /// The number of tables that came into force within the last hour: seen by this incarnation, plus the assumed maximum before
    /// it.
    pub versions_in_the_hour: usize,
    /// The maximum time for which outdated evidence is used, in milliseconds.
    pub bound_ms: u64,
    /// The number of rows of all members.
    pub rows: usize,
    /// The number of rejected counts and datagrams, by reason.
    pub refused: BTreeMap<String, u64>,
    /// The members whose rows are held.
    pub members: Vec<MemberView>,
    /// The evaluation by workload.
    pub workloads: BTreeMap<String, WorkloadView>,
}

/// The rows of one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberView {
    /// The number of the member.
    pub member: u32,
    /// The number of its incarnations that are held.
    pub lives: usize,
    /// Rounds that the member reported itself.
    pub rounds: u64,
    /// Rounds that other members relayed for it.
    pub hearsay: u64,
}

/// The evaluation of one workload.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadView {
    /// The weighted number of rounds.
    pub rounds: u64,
    /// The number of members whose counts are used.
    pub members: usize,
    /// The members whose counts are excluded as outliers, and why.
    pub left_out: BTreeMap<u32, String>,
    /// The number of epochs of evidence that are used, by drafter: fewer than the window after a change of the acceptance rates.
    pub epochs: Vec<u32>,
    /// The acceptance rate by drafter and position.
    pub acceptance: Vec<Vec<f64>>,
    /// The evaluation by load band, 0 to 3.
    pub bands: Vec<BandView>,
    /// Useful tokens per second by version of the table, newest last.
    pub versions: BTreeMap<u64, f64>,
}

/// The evaluation of one load band of a workload.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BandView {
    /// The draft in force, as `DRAFTER:LENGTH`.
    pub in_force: String,
    /// Useful tokens per second of processing time with the draft in force, if known.
    pub in_force_tokens: Option<f64>,
    /// The draft with the highest estimated throughput.
    pub best: Option<String>,
    /// Useful tokens per second of processing time with the best draft.
    pub best_tokens: Option<f64>,
    /// The estimated lead of the best draft over the one in force, as a fraction.
    pub lead: f64,
    /// The lower confidence bound of `lead`.
    pub lead_at_least: f64,
    /// Why the draft in force is kept or should be replaced.
    pub why: String,
}
