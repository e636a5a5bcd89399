//! What a router goes by that hears no other: pure figures, no router. Hundreds that each see a few calls a second
//! have to come to the same places without a word, for where a miss loads, each that goes elsewhere begins a load.
//!
//! What helps is that a worker's answers tell how many calls for the same function it held when one came, which counts
//! what all routers have there: one that is crowded is told from one that was slow once.

use crate::interface::Micros;

/// Weight of one answer: a crowd is a small number that scatters, and is seen every few seconds.
const WEIGHT: f64 = 0.5;
/// A place is crowded when such a part of its copy's lanes is taken: what comes next may wait for one.
const CROWDED: f64 = 0.5;

/// Calls for a function that a worker held when ours came, from all routers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Crowd {
    calls: f64,
    seen_at: Micros,
}

impl Crowd {
    /// What is left of it: it fades to nothing within the time that an idle copy stays, after which nobody knows.
    pub(crate) fn now(&self, now: Micros, keep: Micros) -> f64 {
        let age = (now - self.seen_at) as f64 / keep.max(1) as f64;
        self.calls * (1.0 - age).max(0.0)
    }

    /// Takes in what an answer told.
    pub(crate) fn see(&mut self, now: Micros, keep: Micros, calls: u32) {
        let before = self.now(now, keep);
        let weight = if self.seen_at == 0 { 1.0 } else { WEIGHT };
        (self.calls, self.seen_at) = (before + (f64::from(calls) - before) * weight, now);
    }

    /// Whether it takes most of these lanes.
    pub(crate) fn takes(&self, now: Micros, keep: Micros, lanes: u32) -> bool {
        self.now(now, keep) >= CROWDED * f64::from(lanes.max(1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_crowd_is_believed_as_seen_then_fades_and_scatters_less() {
        let mut crowd = Crowd::default();
        assert_eq!(crowd.now(1_000, 8_000), 0.0);
        crowd.see(1_000, 8_000, 4);
        assert_eq!(crowd.now(1_000, 8_000), 4.0);
        assert_eq!(crowd.now(5_000, 8_000), 2.0);
        assert!(crowd.takes(5_000, 8_000, 4) && !crowd.takes(5_001, 8_000, 4));
        crowd.see(5_000, 8_000, 0);
        assert_eq!(crowd.now(5_000, 8_000), 1.0);
        assert_eq!(crowd.now(60_000, 8_000), 0.0);
    }
}
