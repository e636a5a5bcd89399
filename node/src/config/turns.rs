//! The part of an operator's file that has turns routed to the site that holds their prefix: `[turns]`. Where it does
//! not stand, that is off, and turns that calls carry are passed over.

use std::time::Duration;

use serde::Deserialize;
use wheellink_turns::Settings;

/// What shares a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteKind {
    /// The hosts of one cell; a host of no cell is a site of its own.
    Cell,
    /// The hosts of one zone.
    Zone,
    /// Each host by itself.
    Host,
}

/// See the module's page. Defaults are those of the crate, but for what an installation must know.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    pub site: SiteKind,
    /// Price of computing one block anew.
    block_us: u64,
    /// Every host holds every function that carries turns, loaded for as long as it runs, as a model server does.
    #[serde(default)]
    pub resident: bool,
    /// Turns that a host of size 1 runs at once.
    #[serde(default = "lanes")]
    pub lanes: u32,
    /// What a call across zones costs.
    #[serde(default = "cross")]
    cross_us: u64,
    /// A site's load over the mean, at most, for what it holds.
    #[serde(default = "bound")]
    bound: f64,
    #[serde(default = "memory")]
    memory_mb: usize,
    /// Between two tellings to other activators, and the bytes of one.
    #[serde(default = "period")]
    period_ms: u64,
    #[serde(default = "told")]
    told_bytes: usize,
    /// Share of sites' capacity for computing anew what a lost site held.
    #[serde(default = "third")]
    anew: f64,
    /// Share of its time left that a turn may wait for that.
    #[serde(default = "third")]
    hold: f64,
}

fn lanes() -> u32 {
    4
}
fn cross() -> u64 {
    2_000
}
fn bound() -> f64 {
    1.2
}
fn memory() -> usize {
    16
}
fn period() -> u64 {
    500
}
fn told() -> usize {
    9_600
}
fn third() -> f64 {
    0.3
}

impl Setup {
    /// What is wrong with it, in one line.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=4_096).contains(&self.lanes) {
            return Err("turns.lanes: turns that a host runs at once are 1 to 4096".into());
        }
        if !(1..=4_096).contains(&self.memory_mb) {
            return Err("turns.memory_mb: memory is 1 to 4096 megabytes".into());
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
