//! When hosts started, on this program's clock. Pure: what was told and the time come in.
//!
//! The host list tells starts as Unix milliseconds of some other machine, and this machine's wall clock may have been
//! wrong when the program began by it. A start that is taken for too old frees a host from its slow start; one taken for
//! too young only costs a little. So each start is turned once into this program's time, when it is first told, and held
//! against what is known without any wall clock:
//!
//! - a host has not started in the future;
//! - a start that is news has not happened long before the last time that the list was known to be whole.
//!
//! A clock that is found to be ahead by the newest start of an event is corrected for it, and for all that follow. Where
//! it is behind, hosts are taken to have started when they were told.

use std::collections::BTreeMap;

use wheellink::{Condition, ListEntry, ListKind, Micros, WorkerId};

/// The list tells of a start at most so much later; the platform counts it as told after 7 s.
const LONGEST_DELAY: Micros = 10_000_000;
/// Hosts that have gone are remembered, as they may come back, while all together are no more than this multiple of those
/// that are listed.
const REMEMBERED: usize = 2;
/// ... or no more than these.
const FEW: usize = 64;

/// A start as it was told, and as it is taken.
#[derive(Clone, Copy)]
struct Start {
    told: Micros,
    taken: Micros,
    listed: bool,
}

/// StartTimes of all hosts that were told.
#[derive(Default)]
pub struct StartTimes {
    known: BTreeMap<WorkerId, Start>,
    /// To be added to what is told; never below 0, lest one host with a wrong clock make all others look older.
    correction: Micros,
}

impl StartTimes {
    /// Puts this program's time in the place of the time told, in the entries of one event. `whole` is when the list was
    /// last known to be as new as its source, if that was ever so.
    pub fn translate<'a>(
        &mut self,
        now: Micros,
        whole: Option<Micros>,
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
        let news = entries.iter().filter(|e| self.is_news(e)).map(|e| e.ready_at);
        if let Some(newest) = news.max() {
            self.correct(now, whole, newest);
        }
        for entry in &mut entries {
            entry.ready_at = self.take(now, entry);
        }
        self.forget();
    }

    /// How much is added to what is told.
    pub fn correction(&self) -> Micros {
        self.correction
    }

    fn is_news(&self, entry: &ListEntry) -> bool {
        let known = self.known.get(&entry.worker).map(|start| start.told);
        entry.condition != Condition::Gone && known != Some(entry.ready_at)
    }

    /// Holds the newest start of an event against what is known of its time.
    fn correct(&mut self, now: Micros, whole: Option<Micros>, newest: Micros) {
        let taken = newest + self.correction;
        let earliest = whole.map_or(Micros::MIN, |at| at - LONGEST_DELAY);
        if taken > now || taken < earliest {
            self.correction = (now - newest).max(0);
        }
    }

    fn take(&mut self, now: Micros, entry: &ListEntry) -> Micros {
        let listed = entry.condition != Condition::Gone;
        let told = entry.ready_at;
        let fresh = Start { told, taken: (told + self.correction).min(now), listed };
        let start = self.known.entry(entry.worker.clone()).or_insert(fresh);
        if start.told != told {
            *start = fresh;
        }
        start.taken
    }

    /// Drops those that have gone, when they have become many.
    fn forget(&mut self) {
        let listed = self.known.values().filter(|s| s.listed).count();
        if self.known.len() > FEW.max(REMEMBERED * listed) {
            self.known.retain(|_, s| s.listed);
        }
    }
}

#[cfg(test)]
mod tests;
