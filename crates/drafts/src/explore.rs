//! Exploration: which drafts are tried instead of the one in force, how often, and the budget of the fleet for it.

use std::time::Duration;

use crate::evaluate::BandResult;
use crate::settings::Settings;
use crate::types::Draft;

/// The budget holds at most this many seconds of a member's share.
const MAX_SAVED_SECS: f64 = 2.0;

/// The drafts that may be tried in one load band of a workload.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Arms {
    drafts: Vec<Draft>,
    /// Whether the evidence is insufficient, so that the full exploration share is used.
    uncertain: bool,
}

impl Arms {
    /// No drafting, and for each drafter the longest draft, the best one and its neighbours.
    pub(crate) fn of(band: Option<&BandResult>, settings: &Settings) -> Self {
        let mut drafts = vec![Draft::OFF];
        for drafter in 1..=settings.drafters {
            let best = band.and_then(|b| b.best_lengths.get(drafter as usize - 1).copied().flatten());
            let center = best.unwrap_or(settings.longest / 2);
            let lengths = [center.saturating_sub(1), center, center + 1, settings.longest];
            drafts.extend(lengths.map(|length| Draft { drafter, length: length.clamp(1, settings.longest) }));
        }
        drafts.sort();
        drafts.dedup();
        Self { drafts, uncertain: band.is_none_or(|b| b.uncertain) }
    }

    /// The draft that this call tries, if any. `sample` is uniform in [0, 1).
    pub(crate) fn draw(&self, in_force: Draft, sample: f64, settings: &Settings) -> Option<Draft> {
        let share = if self.uncertain { settings.explore } else { settings.explore / 4.0 };
        if self.drafts.is_empty() || sample.is_nan() || sample < 0.0 || sample >= share {
            return None;
        }
        let index = (sample / share * self.drafts.len() as f64) as usize;
        self.drafts.get(index).copied().filter(|d| *d != in_force)
    }
}

/// A token bucket of exploration calls: the rate of the fleet, split over the members that are heard.
#[derive(Clone, Debug)]
pub(crate) struct ExplorationBudget {
    tokens: f64,
    refilled_at: Duration,
}

impl ExplorationBudget {
    pub(crate) fn new(now: Duration) -> Self {
        Self { tokens: 0.0, refilled_at: now }
    }

    pub(crate) fn refill(&mut self, now: Duration, members: usize, settings: &Settings) {
        let rate = settings.explore_rate / members.max(1) as f64;
        let since = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * since).min((rate * MAX_SAVED_SECS).max(1.0));
        self.refilled_at = now.max(self.refilled_at);
    }

    pub(crate) fn take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

#[cfg(test)]
mod tests;
