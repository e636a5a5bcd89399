//! The part of a configuration that sets gradual versions up: `[rollout]` of an operator's file, `rollout` of the
//! platform's. Where it does not stand, they are off.

use serde::Deserialize;
use wheellink_rollout::Plan;

/// Longest name of a version, in bytes.
const LONGEST_VERSION: usize = 64;

/// When a rollout begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOn {
    /// With an operator's call.
    #[default]
    Call,
    /// When the new version's host list is as new as can be told; the old version's file has the plan.
    Ready,
}

/// What a new process does where the old version takes no part in rollouts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IfUnsupported {
    /// It ends with an error: the old one serves on.
    #[default]
    Stop,
    /// A plain upgrade: it takes all clients at once.
    Upgrade,
}

/// See the module's page.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Setup {
    pub begin: StartOn,
    pub old_cannot: IfUnsupported,
    /// Its name for operators, instead of the package's version.
    version: Option<String>,
    pub plan: Option<Plan>,
}

impl Setup {
    /// The name of this version.
    pub fn version(&self) -> String {
        self.version.clone().unwrap_or_else(|| env!("CARGO_PKG_VERSION").into())
    }

    /// Checks it as a whole.
    pub fn check(&self) -> Result<(), String> {
        let long = |v: &String| v.is_empty() || v.len() > LONGEST_VERSION || v.chars().any(char::is_control);
        if self.version.as_ref().is_some_and(long) {
            return Err(format!(
                "rollout.version must be 1 to {LONGEST_VERSION} bytes without control characters"
            ));
        }
        if self.begin == StartOn::Ready && self.plan.is_none() {
            return Err("rollout.begin = \"ready\" needs a rollout.plan".into());
        }
        match self.plan.as_ref().map(Plan::check) {
            Some(Err(problem)) => Err(format!("rollout.plan: {problem}")),
            _ => Ok(()),
        }
    }
}
