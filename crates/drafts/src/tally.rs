//! The sums of one workload and one reporter that the evaluation uses, without outdated rows.

use crate::types::{Draft, LOAD_BANDS, MAX_DRAFT_TOKENS};

const MAX_DRAFTERS: usize = 4;
const POSITIONS: usize = MAX_DRAFT_TOKENS as usize;

/// The acceptance at one position: the rounds in which it was drafted and those in which it was accepted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    pub rounds: f64,
    pub hits: f64,
}

impl Rate {
    pub(crate) fn rate(&self) -> f64 {
        if self.rounds > 0.0 {
            self.hits / self.rounds
        } else {
            0.0
        }
    }
}

/// The processing time of one draft in one load band.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    pub calls: f64,
    pub rounds: f64,
    pub micros: f64,
    pub squares: f64,
}

impl Cost {
    /// The mean time per round, in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.micros / self.rounds.max(1e-9)
    }

    /// The variance over calls of the time per round.
    pub(crate) fn variance(&self) -> f64 {
        (self.squares / self.calls.max(1e-9) - self.mean().powi(2)).max(0.0)
    }
}

/// Sums of acceptance and processing time; see the module documentation.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// Acceptance by drafter (from 1) and position.
    rates: [[Rate; POSITIONS]; MAX_DRAFTERS],
    /// Processing time by band, drafter and length. Length 0 is shared by all drafters and stored with drafter 1.
    costs: [[[Cost; POSITIONS + 1]; MAX_DRAFTERS]; LOAD_BANDS as usize],
    pub rounds: f64,
}

impl Default for Tally {
    fn default() -> Self {
        Self { rates: Default::default(), costs: Default::default(), rounds: 0.0 }
    }
}

/// One row as the evaluation reads it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    /// The index of the reporter.
    pub reporter: usize,
    pub age: u32,
    pub draft: Draft,
    pub band: u8,
    pub calls: f64,
    pub rounds: f64,
    pub micros: f64,
    pub squares: f64,
    pub accepted: [f64; POSITIONS],
}

impl Tally {
    /// The acceptance of one drafter by position.
    pub(crate) fn rates(&self, drafter: u8) -> &[Rate; POSITIONS] {
        &self.rates[(drafter.max(1) - 1) as usize]
    }

    pub(crate) fn cost(&self, band: u8, draft: Draft) -> &Cost {
        &self.costs[band as usize][(draft.drafter.max(1) - 1) as usize][draft.length as usize]
    }

    pub(crate) fn count_rates(&mut self, row: &Row, weight: f64) {
        if row.draft.length == 0 {
            return;
        }
        let rates = &mut self.rates[(row.draft.drafter - 1) as usize];
        for (rate, hits) in rates.iter_mut().zip(row.accepted).take(row.draft.length as usize) {
            rate.rounds += weight * row.rounds;
            rate.hits += weight * hits;
        }
    }

    pub(crate) fn count_cost(&mut self, row: &Row, weight: f64) {
        let drafter = (row.draft.drafter.max(1) - 1) as usize;
        let cost = &mut self.costs[row.band as usize][drafter][row.draft.length as usize];
        cost.calls += weight * row.calls;
        cost.rounds += weight * row.rounds;
        cost.micros += weight * row.micros;
        cost.squares += weight * row.squares;
    }

    /// Adds the sums of `other` times `weight`; a negative weight subtracts them.
    pub(crate) fn add(&mut self, other: &Tally, weight: f64) {
        self.rounds += weight * other.rounds;
        for (to, from) in self.rates.iter_mut().flatten().zip(other.rates.iter().flatten()) {
            to.rounds += weight * from.rounds;
            to.hits += weight * from.hits;
        }
        let from = other.costs.iter().flatten().flatten();
        for (to, from) in self.costs.iter_mut().flatten().flatten().zip(from) {
            to.calls += weight * from.calls;
            to.rounds += weight * from.rounds;
            to.micros += weight * from.micros;
            to.squares += weight * from.squares;
        }
    }
}
