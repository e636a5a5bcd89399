//! What staff are shown.

use std::collections::BTreeMap;

use serde::Serialize;

/// What is believed and why, in one piece.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct View {
    /// The version whose table is in force.
    pub version: u64,
    /// Tables that came into force within the last hour, as seen here or, of the time before this life, assumed.
    pub versions_in_the_hour: usize,
    /// How long what changed can still weigh, milliseconds.
    pub bound_ms: u64,
    /// Rows held of all.
    pub rows: usize,
    /// Counts that were not taken, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Who told what.
    pub members: Vec<MemberView>,
    /// By workload.
    pub workloads: BTreeMap<String, WorkloadView>,
}

/// One member's lives.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberView {
    /// Its number.
    pub member: u32,
    /// Lives of it that still count.
    pub lives: usize,
    /// Rounds that it told itself.
    pub rounds: u64,
    /// Rounds that others told of it.
    pub hearsay: u64,
}

/// One workload.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadView {
    /// Rounds that count.
    pub rounds: u64,
    /// Members whose counts weigh.
    pub members: usize,
    /// Members whose counts do not, and why.
    pub left_out: BTreeMap<u32, String>,
    /// Epochs of evidence that count, by drafter: fewer than the window after a change of the rates.
    pub epochs: Vec<u32>,
    /// Acceptance by drafter and position.
    pub acceptance: Vec<Vec<f64>>,
    /// By load band, 0 to 3.
    pub bands: Vec<BandView>,
    /// Useful tokens a second by version of the table, newest last.
    pub versions: BTreeMap<u64, f64>,
}

/// One load band of a workload.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BandView {
    /// `DRAFTER:LENGTH`.
    pub in_force: String,
    /// Useful tokens a second of work under it, where known.
    pub in_force_tokens: Option<f64>,
    /// The best by what is known.
    pub best: Option<String>,
    /// Useful tokens a second of work under that.
    pub best_tokens: Option<f64>,
    /// By how much the best is better, and at least, as a share.
    pub lead: f64,
    /// See `lead`.
    pub lead_at_least: f64,
    /// Why the table stays, or that it should not.
    pub why: String,
}
