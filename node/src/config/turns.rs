//! `[turns]` of an operator's file: conversation turns are routed to the site that holds their prefix. Without it this is
//! off, and turns in calls are ignored.

use std::time::Duration;

use serde::Deserialize;
use wheellink_turns::Settings;

/// What makes up a site: hosts that share a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteKind {
    /// The hosts of a cell; a host without a cell is a site of its own.
    Cell,
    /// The hosts of a zone.
    Zone,
    /// Each host.
    Host,
}

/// `[turns]`. Keys without a default depend on the installation.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    pub site: SiteKind,
    /// Cost of computing a block again.
    block_us: u64,
    /// Whether every host has every function with turns loaded as long as it runs, as a model server does.
    #[serde(default)]
    pub resident: bool,
    /// Number of turns that a host of size 1 runs at once.
    #[serde(default = "lanes")]
    pub lanes: u32,
    /// Cost of a call to another zone.
    #[serde(default = "cross_us")]
    cross_us: u64,
    /// Highest load of a site, relative to the mean, at which turns still go to it because it holds their prefix.
    #[serde(default = "bound")]
    bound: f64,
    #[serde(default = "memory_mb")]
    memory_mb: usize,
    /// Time between two messages to other activators.
    #[serde(default = "period_ms")]
    period_ms: u64,
    /// Longest such message.
    #[serde(default = "told_bytes")]
    told_bytes: usize,
    /// Share of the sites' capacity for computing again what a lost site held.
    #[serde(default = "share")]
    anew: f64,
    /// Share of its remaining time that a turn may wait for that.
    #[serde(default = "share")]
    hold: f64,
}

fn lanes() -> u32 {
    4
}
fn cross_us() -> u64 {
    2_000
}
fn bound() -> f64 {
    1.2
}
fn memory_mb() -> usize {
    16
}
fn period_ms() -> u64 {
    500
}
fn told_bytes() -> usize {
    9_600
}
fn share() -> f64 {
    0.3
}

impl Setup {
    /// # Errors
    /// The first problem, in one line.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=4_096).contains(&self.lanes) {
            return Err("turns.lanes: must be 1 to 4096".into());
        }
        if !(1..=4_096).contains(&self.memory_mb) {
            return Err("turns.memory_mb: must be 1 to 4096".into());
        }
        self.settings().check().map_err(|e| format!("turns: {e}"))
    }

    pub fn settings(&self) -> Settings {
        Settings {
            block_cost: Duration::from_micros(self.block_us),
            zone_cost: Duration::from_micros(self.cross_us),
            bound: self.bound,
            table_bytes: self.memory_mb << 20,
            gossip_period: Duration::from_millis(self.period_ms),
            gossip_bytes: self.told_bytes,
            recompute_share: self.anew,
            wait_share: self.hold,
        }
    }
}

#[cfg(test)]
mod tests;
