//! What an operator, or a test, may set.

use std::fmt;
use std::time::Duration;

use crate::types::{Draft, MAX_DRAFT_TOKENS};

/// The same at all members: rows of other epochs or menus are refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Drafters that may be chosen, 1 to this; 0 is off and is always there. 1 to 4.
    pub drafters: u8,
    /// The longest draft, 1 to 8 tokens.
    pub longest: u8,
    /// What runs where no table says anything.
    pub start: Draft,
    /// Between two tellings. 50 ms to 60 s.
    pub period: Duration,
    /// Others told of one's own sums each period, one datagram each; one more is told of somebody else's. 1 to 16.
    pub fanout: usize,
    /// What is counted into one row. At least one period.
    pub epoch: Duration,
    /// Epochs that count; older ones are forgotten. 2 to 32.
    pub window: u32,
    /// Between two looks at the evidence. At least one period.
    pub review: Duration,
    /// Rounds without which nothing is said of a position, and a quarter of it in calls for a cost. 50 to 1,000,000.
    pub least_rounds: u32,
    /// A table must be better by this share. 0 to 0.5.
    pub hysteresis: f64,
    /// The chance of ever being wrong, per bound. 0 to 0.2, excluded.
    pub alpha: f64,
    /// Rounds of one call that count as one: those of one text are alike. 1 to 100.
    pub cluster: f64,
    /// Share of calls that try something else while too little is known; a quarter of it after. 0 to 0.2.
    pub explore: f64,
    /// Calls a second that the whole fleet may spend on that, split over those who are heard. 0 to 100,000.
    pub explore_rate: f64,
    /// The largest share of the evidence that one member has, where there are enough of them. 0.1 to 1.
    pub share: f64,
    /// A member whose acceptance is further from the members' median than this is left out. 0.01 to 1.
    pub tolerance: f64,
    /// The same of the time of a round, as a share of the median. 0.05 to 10.
    pub cost_tolerance: f64,
    /// Tables an hour, of the whole fleet. 1 to 3,600.
    pub versions_hour: u32,
    /// Workloads. 1 to 1,024.
    pub workloads: usize,
    /// Rows held of one life of a member. 16 to 65,536.
    pub rows: usize,
    /// Rows held of all. At least `rows`.
    pub rows_in_all: usize,
    /// Lives held of one member. 1 to 16.
    pub lives: usize,
    /// The longest time of a round that is believed. Up to 60 s.
    pub longest_round: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            drafters: 1,
            longest: 8,
            start: Draft::OFF,
            period: Duration::from_secs(1),
            fanout: 3,
            epoch: Duration::from_secs(15),
            window: 12,
            review: Duration::from_secs(5),
            least_rounds: 400,
            hysteresis: 0.015,
            alpha: 0.01,
            cluster: 1.5,
            explore: 0.03,
            explore_rate: 20.0,
            share: 0.34,
            tolerance: 0.1,
            cost_tolerance: 0.5,
            versions_hour: 30,
            workloads: 64,
            rows: 1_024,
            rows_in_all: 65_536,
            lives: 4,
            longest_round: Duration::from_secs(4),
        }
    }
}

/// What is wrong with settings: the key and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key, as in [`Settings`].
    pub key: &'static str,
    /// What is allowed.
    pub wanted: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.wanted)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// # Errors
    /// The first key that is out of its bounds.
    pub fn check(&self) -> Result<(), SettingsError> {
        let ms = Duration::from_millis;
        let checks = [
            ((1..=4).contains(&self.drafters), "drafters", "1 to 4"),
            ((1..=MAX_DRAFT_TOKENS).contains(&self.longest), "longest", "1 to 8"),
            (self.allows(self.start), "start", "a draft of the drafters and lengths that are set"),
            ((ms(50)..=ms(60_000)).contains(&self.period), "period", "50 ms to 60 s"),
            ((1..=16).contains(&self.fanout), "fanout", "1 to 16"),
            ((self.period..=ms(3_600_000)).contains(&self.epoch), "epoch", "one period to one hour"),
            ((2..=32).contains(&self.window), "window", "2 to 32 epochs"),
            ((self.period..=ms(3_600_000)).contains(&self.review), "review", "one period to one hour"),
            ((50..=1_000_000).contains(&self.least_rounds), "least_rounds", "50 to 1,000,000"),
            ((0.0..=0.5).contains(&self.hysteresis), "hysteresis", "0 to 0.5"),
            (self.alpha > 0.0 && self.alpha < 0.2, "alpha", "above 0, below 0.2"),
            ((1.0..=100.0).contains(&self.cluster), "cluster", "1 to 100"),
            ((0.0..=0.2).contains(&self.explore), "explore", "0 to 0.2"),
            ((0.0..=100_000.0).contains(&self.explore_rate), "explore_rate", "0 to 100,000 calls a second"),
            ((0.1..=1.0).contains(&self.share), "share", "0.1 to 1"),
            ((0.01..=1.0).contains(&self.tolerance), "tolerance", "0.01 to 1"),
            ((0.05..=10.0).contains(&self.cost_tolerance), "cost_tolerance", "0.05 to 10"),
            ((1..=3_600).contains(&self.versions_hour), "versions_hour", "1 to 3,600"),
            ((1..=1_024).contains(&self.workloads), "workloads", "1 to 1,024"),
            ((16..=65_536).contains(&self.rows), "rows", "16 to 65,536"),
            ((self.rows..=1 << 20).contains(&self.rows_in_all), "rows_in_all", "rows to 1,048,576"),
            ((1..=16).contains(&self.lives), "lives", "1 to 16"),
            ((ms(1)..=ms(60_000)).contains(&self.longest_round), "longest_round", "1 ms to 60 s"),
        ];
        let wrong = checks.into_iter().find(|(right, ..)| !right);
        wrong.map_or(Ok(()), |(_, key, wanted)| Err(SettingsError { key, wanted }))
    }

    /// Whether a draft is on the menu.
    pub fn allows(&self, draft: Draft) -> bool {
        draft.drafter <= self.drafters
            && draft.length <= self.longest
            && (draft.drafter == 0) == (draft.length == 0)
    }

    /// How long what no longer holds can weigh on a choice: a window and the epoch that it began in. Rates that change by more than
    /// the bounds' width are noticed earlier, by `least_rounds` of the new ones and a look.
    pub fn max_evidence_age(&self) -> Duration {
        self.epoch * (self.window + 1) + self.review
    }

    /// Bytes that one member sends a second at the most.
    pub fn max_bytes_per_second(&self) -> f64 {
        (self.fanout + 1) as f64 * crate::wire::MAX_DATAGRAM_BYTES as f64 / self.period.as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
