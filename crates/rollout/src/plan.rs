//! The plan of a rollout: its steps, its gates, and what happens when a gate fails.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheellink::Micros;

use crate::split::Share;

const MAX_STEPS: usize = 64;
const MAX_NAME_BYTES: usize = 64;
/// Longest minimum duration of a step: one week.
const MAX_STEP_MS: u64 = 7 * 24 * 3_600_000;
/// Lower limit of `silent_ms`: an event loop under load is late by some tens of milliseconds.
const MIN_SILENCE_MS: u64 = 200;
const MAX_SILENCE_MS: u64 = 60_000;
const DEFAULT_SILENCE_MS: u64 = 1000;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Share of the calls that the new version decides, in percent with two decimals.
    pub percent: f64,
    /// Minimum duration of the step, in milliseconds.
    #[serde(default, rename = "least_ms")]
    pub min_duration_ms: u64,
    /// Minimum number of calls that the new version has to finish in the step.
    #[serde(default, rename = "least_calls")]
    pub min_calls: u64,
}

impl Step {
    /// The share as [`Split`](crate::Split) uses it.
    pub fn share(&self) -> Share {
        Share::from_percent(self.percent)
    }

    /// The minimum duration in microseconds.
    pub fn min_duration(&self) -> Micros {
        self.min_duration_ms as Micros * 1000
    }
}

/// What happens when a gate fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnFail {
    /// The share stays as it is until an operator decides.
    Hold,
    /// The share drops to 0 immediately.
    #[default]
    #[serde(rename = "back")]
    RollBack,
}

/// The gates that have to pass before the next step begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateRequirement {
    /// The gates of all classes together, and those of each class with calls in this step.
    #[default]
    #[serde(rename = "every")]
    EveryClass,
    /// Only the gates of all classes together.
    #[serde(rename = "together")]
    AllTogether,
}

/// Settings of the gates: the margins of the compared rates and the error probabilities.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Margin of the rate of failed calls, as a fraction of 1. `None` disables the gate, here and for the other
    /// margins.
    pub failed: Option<f64>,
    /// Margin of the rate of refused calls.
    pub refused: Option<f64>,
    /// Margin of the rate of late calls: served or failed after the latency target of their class.
    pub late: Option<f64>,
    /// Margin of the rate of slow calls: served calls that took longer than the old version's 95th percentile.
    pub slow: Option<f64>,
    /// Probability that any gate ever fails in a rollout of a version that is as good as the old one.
    pub alpha: f64,
    /// Probability, at one check, that a gate passes a version that is worse by the margin.
    pub beta: f64,
    /// Number of calls that may fail for one cause and then count as one. Values above 1 make the gates slower to fail,
    /// and robust against failures that come in clusters.
    #[serde(rename = "cluster")]
    pub max_cluster_size: f64,
    /// The gates that have to pass before the next step.
    #[serde(rename = "need")]
    pub requirement: GateRequirement,
}

impl Default for GateSettings {
    fn default() -> Self {
        let margin = Some(0.05);
        Self {
            failed: margin,
            refused: margin,
            late: margin,
            slow: Some(0.10),
            alpha: 0.001,
            beta: 0.01,
            max_cluster_size: 1.0,
            requirement: GateRequirement::EveryClass,
        }
    }
}

/// The plan of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Names the rollout in the status and the log, and salts its split: under another name, other calls are the
    /// first to be decided by the new version.
    pub name: String,
    /// The steps, each with a larger share than the one before.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
    /// Settings of the gates.
    #[serde(default)]
    pub gates: GateSettings,
    /// What happens when a gate fails.
    #[serde(default)]
    pub on_fail: OnFail,
    /// Whether the rollout completes without an operator after its last step, which must be 100%.
    #[serde(default, rename = "completes")]
    pub auto_complete: bool,
    /// A candidate that sends nothing for this time is given up, in milliseconds.
    #[serde(default = "default_silence_ms", rename = "silent_ms")]
    pub max_silence_ms: u64,
}

fn default_silence_ms() -> u64 {
    DEFAULT_SILENCE_MS
}

/// Why a plan is invalid. The text names the step or setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError(pub String);

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for PlanError {}

impl Plan {
    /// Checks the plan.
    ///
    /// # Errors
    /// The first step or setting that is invalid.
    pub fn check(&self) -> Result<(), PlanError> {
        let reject = |invalid: bool, why: String| if invalid { Err(PlanError(why)) } else { Ok(()) };
        let name = &self.name;
        let printable = name.chars().all(|c| !c.is_control());
        reject(
            name.is_empty() || name.len() > MAX_NAME_BYTES || !printable,
            format!("name must be 1 to {MAX_NAME_BYTES} bytes without control characters"),
        )?;
        reject(self.steps.is_empty(), "a plan needs a step".into())?;
        reject(self.steps.len() > MAX_STEPS, format!("more than {MAX_STEPS} steps"))?;
        for (i, step) in self.steps.iter().enumerate() {
            let at = i + 1;
            let in_range = step.percent.is_finite() && step.percent > 0.0 && step.percent <= 100.0;
            reject(!in_range, format!("step {at}: percent must be above 0 and at most 100"))?;
            reject(step.share() == Share::NONE, format!("step {at}: percent is below a hundredth of one"))?;
            reject(step.min_duration_ms > MAX_STEP_MS, format!("step {at}: least_ms is longer than a week"))?;
        }
        for (i, pair) in self.steps.windows(2).enumerate() {
            let rises = pair[0].share() < pair[1].share();
            reject(!rises, format!("step {}: its share must be above that of step {}", i + 2, i + 1))?;
        }
        let gates = &self.gates;
        let margins = [
            ("failed", gates.failed),
            ("refused", gates.refused),
            ("late", gates.late),
            ("slow", gates.slow),
        ];
        for (name, margin) in margins {
            let bad = margin.is_some_and(|m| !(m > 0.0 && m < 1.0));
            reject(bad, format!("gates.{name} must be above 0 and below 1"))?;
        }
        for (name, chance) in [("alpha", gates.alpha), ("beta", gates.beta)] {
            let bad = !(1e-9..=0.5).contains(&chance);
            reject(bad, format!("gates.{name} must be a chance from 1e-9 to 0.5"))?;
        }
        let cluster = (1.0..=1000.0).contains(&gates.max_cluster_size);
        reject(!cluster, "gates.cluster must be 1 to 1000".into())?;
        let whole = self.steps.last().is_some_and(|s| s.share() == Share::ALL);
        reject(self.auto_complete && !whole, "completes needs a last step of 100 percent".into())?;
        reject(self.max_silence_ms < MIN_SILENCE_MS, format!("silent_ms is below {MIN_SILENCE_MS}"))?;
        reject(self.max_silence_ms > MAX_SILENCE_MS, "silent_ms is above a minute".into())
    }

    /// How long a candidate may be silent, in microseconds.
    pub fn max_silence(&self) -> Micros {
        self.max_silence_ms as Micros * 1000
    }
}

#[cfg(test)]
mod tests;
