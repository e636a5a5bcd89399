//! What is tried beside the draft in force, how often, and what all members together may spend on it.

use std::time::Duration;

use crate::evaluate::Band;
use crate::settings::Settings;
use crate::types::Draft;

/// What is left of one's share for this many seconds may be saved up.
const SAVED: f64 = 2.0;

/// What may be tried in one band of a workload.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Arms {
    drafts: Vec<Draft>,
    /// Too little is known: the whole share is used.
    insufficient: bool,
}

impl Arms {
    /// Off, and of each drafter the shortest and longest, the best and its neighbours.
    pub(crate) fn of(band: Option<&Band>, settings: &Settings) -> Self {
        let mut drafts = vec![Draft::OFF];
        for drafter in 1..=settings.drafters {
            let best = band.and_then(|b| b.lengths.get(drafter as usize - 1).copied().flatten());
            let near = best.unwrap_or(settings.longest / 2);
            let lengths = [near.saturating_sub(1), near, near + 1, settings.longest];
            drafts.extend(lengths.map(|length| Draft { drafter, length: length.clamp(1, settings.longest) }));
        }
        drafts.sort();
        drafts.dedup();
        Self { drafts, insufficient: band.is_none_or(|b| b.insufficient) }
    }

    /// What this call tries, if anything. `lot` is uniform in [0, 1).
    pub(crate) fn draw(&self, in_force: Draft, lot: f64, settings: &Settings) -> Option<Draft> {
        let share = if self.insufficient { settings.explore } else { settings.explore / 4.0 };
        if self.drafts.is_empty() || lot.is_nan() || lot < 0.0 || lot >= share {
            return None;
        }
        let at = (lot / share * self.drafts.len() as f64) as usize;
        self.drafts.get(at).copied().filter(|d| *d != in_force)
    }
}

/// Calls that may still try something: the fleet's rate, split over those who are heard.
#[derive(Clone, Debug)]
pub(crate) struct ExplorationBudget {
    left: f64,
    filled: Duration,
}

impl ExplorationBudget {
    pub(crate) fn new(now: Duration) -> Self {
        Self { left: 0.0, filled: now }
    }

    pub(crate) fn fill(&mut self, now: Duration, members: usize, settings: &Settings) {
        let rate = settings.explore_rate / members.max(1) as f64;
        let since = now.saturating_sub(self.filled).as_secs_f64();
        self.left = (self.left + rate * since).min((rate * SAVED).max(1.0));
        self.filled = now.max(self.filled);
    }

    pub(crate) fn take(&mut self) -> bool {
        let has = self.left >= 1.0;
        if has {
            self.left -= 1.0;
        }
        has
    }
}

#[cfg(test)]
mod tests;
