//! Converts the start times of hosts to this process's clock. Pure: reported times and the current time are parameters.
//!
//! The host list reports start times as Unix milliseconds of another machine's clock, and this machine's wall clock may
//! have been wrong when the process initialized its clock from it. A start time that is taken as too old ends a host's
//! slow start early; one that is taken as too recent costs little. So each start time is converted once, when it is
//! first reported, and checked against two facts that need no wall clock:
//!
//! - a host has not started in the future;
//! - a start time that is new in the list is not much older than the last time at which the list was in sync with its
//!   source.
//!
//! Where the newest start time of an event shows that this process's clock is ahead, a correction is added to that
//! start time and to all later ones. Where the clock is behind, hosts count as started when they were reported.

use std::collections::BTreeMap;

use wheellink::{Condition, ListEntry, ListKind, Micros, WorkerId};

/// Maximum delay between a host's start and its report in the list; the platform counts it as delivered after 7 s.
const MAX_REPORT_DELAY_US: Micros = 10_000_000;
/// Removed hosts are kept, as they may return, until there are more entries than this multiple of the listed hosts ...
const MAX_ENTRIES_PER_LISTED: usize = 2;
/// ... and more than this number.
const MIN_CAPACITY: usize = 64;

/// A start time as reported, and converted to this process's clock.
#[derive(Clone, Copy)]
struct Start {
    reported: Micros,
    local: Micros,
    listed: bool,
}

/// Start times of all hosts that the list has reported.
#[derive(Default)]
pub struct StartTimes {
    known: BTreeMap<WorkerId, Start>,
    /// Added to reported times. Never negative, so that one host with a wrong clock cannot make all others look older.
    correction: Micros,
}

impl StartTimes {
    /// Replaces the reported start times in the entries of one event by local ones. `synced_at` is when the list was
    /// last known to be in sync with its source, if ever.
    pub fn translate<'a>(
        &mut self,
        now: Micros,
        synced_at: Option<Micros>,
        kind: ListKind,
        entries: impl Iterator<Item = &'a mut ListEntry>,
    ) {
        if kind != ListKind::Delta {
            self.known.values_mut().for_each(|start| start.listed = false);
        }
        let mut entries: Vec<&mut ListEntry> = entries.collect();
        for entry in &entries {
            let listed = entry.condition != Condition::Gone;
            self.known.entry(entry.worker.clone()).and_modify(|start| start.listed = listed);
        }
        entries.retain(|entry| entry.ready_at > 0);
        let new = entries.iter().filter(|e| self.is_new(e)).map(|e| e.ready_at);
        if let Some(newest) = new.max() {
            self.correct(now, synced_at, newest);
        }
        for entry in &mut entries {
            entry.ready_at = self.convert(now, entry);
        }
        self.evict();
    }

    /// How much is added to reported times.
    pub fn correction(&self) -> Micros {
        self.correction
    }

    fn is_new(&self, entry: &ListEntry) -> bool {
        let known = self.known.get(&entry.worker).map(|start| start.reported);
        entry.condition != Condition::Gone && known != Some(entry.ready_at)
    }

    /// Checks the newest start time of an event against its possible range, and adjusts the correction.
    fn correct(&mut self, now: Micros, synced_at: Option<Micros>, newest: Micros) {
        let local = newest + self.correction;
        let earliest = synced_at.map_or(Micros::MIN, |at| at - MAX_REPORT_DELAY_US);
        if local > now || local < earliest {
            self.correction = (now - newest).max(0);
        }
    }

    fn convert(&mut self, now: Micros, entry: &ListEntry) -> Micros {
        let listed = entry.condition != Condition::Gone;
        let reported = entry.ready_at;
        let fresh = Start { reported, local: (reported + self.correction).min(now), listed };
        let start = self.known.entry(entry.worker.clone()).or_insert(fresh);
        if start.reported != reported {
            *start = fresh;
        }
        start.local
    }

    /// Drops removed hosts once there are too many entries.
    fn evict(&mut self) {
        let listed = self.known.values().filter(|s| s.listed).count();
        if self.known.len() > MIN_CAPACITY.max(MAX_ENTRIES_PER_LISTED * listed) {
            self.known.retain(|_, s| s.listed);
        }
    }
}

#[cfg(test)]
mod tests;
