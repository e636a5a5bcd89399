//! The plan of a rollout: its steps, its gates, and what happens when a gate fails. Checked as a whole.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheellink::Micros;

use crate::split::Share;

/// Steps that a plan may have.
pub const MOST_STEPS: usize = 64;
/// Longest name of a plan, in bytes.
const LONGEST_NAME: usize = 64;
/// Longest least time of a step: a week, in milliseconds.
const LONGEST_STEP_MS: u64 = 7 * 24 * 3_600_000;
/// A candidate may be silent at least this long, in milliseconds: a loop under load is late by some tens.
const SHORTEST_SILENCE_MS: u64 = 200;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Share of the calls that the new version decides, in percent, to a hundredth of one.
    pub percent: f64,
    /// The step lasts at least this long, in milliseconds.
    #[serde(default, rename = "least_ms")]
    pub min_duration_ms: u64,
    /// And until the new version has finished at least this many calls in it.
    #[serde(default, rename = "least_calls")]
    pub min_calls: u64,
}

impl Step {
    /// The share as the split counts it.
    pub fn share(&self) -> Share {
        Share::from_percent(self.percent)
    }

    /// The least time in the crate's unit.
    pub fn min_duration(&self) -> Micros {
        self.min_duration_ms as Micros * 1000
    }
}

/// What happens when a gate fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnFail {
    /// The share stays where it is until an operator decides.
    Hold,
    /// The share falls to 0 at once.
    #[default]
    #[serde(rename = "back")]
    RollBack,
}

/// What must be known to be good before the share rises by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateRequirement {
    /// Every class that the old version finished calls of in this step.
    #[default]
    #[serde(rename = "every")]
    EveryClass,
    /// All classes taken together.
    #[serde(rename = "together")]
    AllTogether,
}

/// The gates: what is compared, and how surely.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Margin of the rate of failed calls, in parts of 1; `None` does not look at it.
    pub failed: Option<f64>,
    /// Margin of the rate of refused calls.
    pub refused: Option<f64>,
    /// Margin of the rate of calls served after their class's aim, or not in time at all.
    pub late: Option<f64>,
    /// Margin of the rate of served calls that took longer than 95 in 100 of the old version's.
    pub slow: Option<f64>,
    /// The chance that a rollout of an equal version is ever stopped by any of the gates.
    pub alpha: f64,
    /// The chance, at a look, that a version worse by the margin is taken for good.
    pub beta: f64,
    /// So many calls may fail for one cause, and then count as one: above 1 makes the gates slower and robust
    /// against failures that come in clusters.
    #[serde(rename = "cluster")]
    pub max_cluster_size: f64,
    /// What must be good for a step.
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

/// A whole plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Names the rollout in status and log, and salts its split: with another name other calls go first.
    pub name: String,
    /// The steps, each with a larger share than the one before.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
    /// The gates.
    #[serde(default)]
    pub gates: GateSettings,
    /// What happens when one fails.
    #[serde(default)]
    pub on_fail: OnFail,
    /// Whether the rollout completes by itself after its last step, which must be 100 percent.
    #[serde(default, rename = "completes")]
    pub completes_automatically: bool,
    /// A candidate that says nothing for so long is given up, in milliseconds.
    #[serde(default = "default_max_silence_ms", rename = "silent_ms")]
    pub max_silence_ms: u64,
}

fn default_max_silence_ms() -> u64 {
    1000
}

/// What is wrong with a plan; it names the place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError(pub String);

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for PlanError {}

impl Plan {
    /// Checks the plan as a whole.
    ///
    /// # Errors
    /// The first fault, with the step or gate that has it.
    pub fn check(&self) -> Result<(), PlanError> {
        let wrong = |wrong: bool, what: String| if wrong { Err(PlanError(what)) } else { Ok(()) };
        let name = &self.name;
        let printable = name.chars().all(|c| !c.is_control());
        wrong(
            name.is_empty() || name.len() > LONGEST_NAME || !printable,
            format!("name must be 1 to {LONGEST_NAME} bytes without control characters"),
        )?;
        wrong(self.steps.is_empty(), "a plan needs a step".into())?;
        wrong(self.steps.len() > MOST_STEPS, format!("more than {MOST_STEPS} steps"))?;
        for (i, step) in self.steps.iter().enumerate() {
            let at = i + 1;
            let in_range = step.percent.is_finite() && step.percent > 0.0 && step.percent <= 100.0;
            wrong(!in_range, format!("step {at}: percent must be above 0 and at most 100"))?;
            wrong(step.share() == Share::NONE, format!("step {at}: percent is below a hundredth of one"))?;
            wrong(
                step.min_duration_ms > LONGEST_STEP_MS,
                format!("step {at}: least_ms is longer than a week"),
            )?;
        }
        for (i, pair) in self.steps.windows(2).enumerate() {
            let rises = pair[0].share() < pair[1].share();
            wrong(!rises, format!("step {}: its share must be above that of step {}", i + 2, i + 1))?;
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
            wrong(bad, format!("gates.{name} must be above 0 and below 1"))?;
        }
        for (name, chance) in [("alpha", gates.alpha), ("beta", gates.beta)] {
            let bad = !(1e-9..=0.5).contains(&chance);
            wrong(bad, format!("gates.{name} must be a chance from 1e-9 to 0.5"))?;
        }
        let cluster = (1.0..=1000.0).contains(&gates.max_cluster_size);
        wrong(!cluster, "gates.cluster must be 1 to 1000".into())?;
        let whole = self.steps.last().is_some_and(|s| s.share() == Share::ALL);
        wrong(self.completes_automatically && !whole, "completes needs a last step of 100 percent".into())?;
        wrong(
            self.max_silence_ms < SHORTEST_SILENCE_MS,
            format!("silent_ms is below {SHORTEST_SILENCE_MS}"),
        )?;
        wrong(self.max_silence_ms > 60_000, "silent_ms is above a minute".into())
    }

    /// How long a candidate may be silent, in the crate's unit.
    pub fn max_silence(&self) -> Micros {
        self.max_silence_ms as Micros * 1000
    }
}

#[cfg(test)]
mod tests;
