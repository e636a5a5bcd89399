//! Settings of rollouts: `[rollout]` of an operator's file, `rollout` of the platform's configuration. Without them there
//! are no rollouts.

use serde::Deserialize;
use wheellink_rollout::Plan;

/// Longest name of a version.
const MAX_NAME_BYTES: usize = 64;

/// When a rollout begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOn {
    /// On an operator's call.
    #[default]
    Call,
    /// When the host list of the new version is up to date. The plan is in the old version's file.
    Ready,
}

/// What a new process does if the old version does not support rollouts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IfUnsupported {
    /// It ends with an error; the old process keeps serving.
    #[default]
    Stop,
    /// A plain upgrade: it takes over all clients at once.
    Upgrade,
}

/// Settings of rollouts.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Setup {
    pub begin: StartOn,
    pub old_cannot: IfUnsupported,
    /// The version name that operators see, instead of the package version.
    version: Option<String>,
    pub plan: Option<Plan>,
}

impl Setup {
    /// The name of this version.
    pub fn version(&self) -> String {
        self.version.clone().unwrap_or_else(|| env!("CARGO_PKG_VERSION").into())
    }

    pub fn check(&self) -> Result<(), String> {
        let bad = |v: &String| v.is_empty() || v.len() > MAX_NAME_BYTES || v.chars().any(char::is_control);
        if self.version.as_ref().is_some_and(bad) {
            return Err(format!(
                "rollout.version must be 1 to {MAX_NAME_BYTES} bytes without control characters"
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
