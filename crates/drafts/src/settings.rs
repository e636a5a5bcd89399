//! The settings and their validation.

use std::fmt;
use std::time::Duration;

use crate::types::{Draft, MAX_DRAFT_TOKENS};

/// The settings of the learner. They must be the same at all members: rows of other epochs or drafts are refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of drafters to choose from, 1 to 4. Drafter 0, no drafting, is always allowed.
    pub drafters: u8,
    /// The maximum draft length, 1 to 8 tokens.
    pub longest: u8,
    /// The draft of workloads and bands that the table does not contain.
    pub start: Draft,
    /// The interval between two rounds of sending rows, 50 ms to 60 s.
    pub period: Duration,
    /// The number of members that own rows are sent to each period, one datagram each, 1 to 16. One more datagram relays rows of
    /// another member.
    pub fanout: usize,
    /// The time span that one row counts, at least one period.
    pub epoch: Duration,
    /// The number of epochs that count, 2 to 32; older ones are dropped.
    pub window: u32,
    /// The interval between two evaluations of the evidence, at least one period.
    pub review: Duration,
    /// The minimum number of rounds for an estimate of a position's acceptance rate, 50 to 1,000,000. Other minimums, such as that
    /// of calls for an estimate of the time per round, are fixed fractions of it.
    pub least_rounds: u32,
    /// The minimum improvement that justifies a new table, as a fraction, 0 to 0.5.
    pub hysteresis: f64,
    /// The probability that a confidence interval is ever wrong, above 0 and below 0.2.
    pub alpha: f64,
    /// The number of rounds that count as one independent sample, 1 to 100: rounds of the same call are correlated.
    pub cluster: f64,
    /// The fraction of calls that explore while the evidence is insufficient, 0 to 0.2; a quarter of it afterwards.
    pub explore: f64,
    /// The maximum number of exploration calls per second of the whole fleet, split over the members that are heard, 0 to
    /// 100,000.
    pub explore_rate: f64,
    /// The maximum share of one member in the evidence, if there are enough members, 0.1 to 1.
    pub share: f64,
    /// The deviation of an acceptance rate from the members' median above which a member is excluded, 0.01 to 1.
    pub tolerance: f64,
    /// The same for the time per round, as a fraction of the median, 0.05 to 10.
    pub cost_tolerance: f64,
    /// The maximum number of tables per hour of the whole fleet, 1 to 3,600.
    pub versions_hour: u32,
    /// The maximum number of workloads, 1 to 1,024.
    pub workloads: usize,
    /// The maximum number of rows of one incarnation of a member, 16 to 65,536.
    pub rows: usize,
    /// The maximum number of rows of all members, at least `rows`.
    pub rows_in_all: usize,
    /// The maximum number of incarnations of one member, 1 to 16.
    pub lives: usize,
    /// The maximum plausible time per round, up to 60 s.
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

/// An invalid setting: its key and the allowed values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key, as in [`Settings`].
    pub key: &'static str,
    /// The allowed values.
    pub wanted: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.wanted)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The first setting that is out of its bounds.
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

    /// Whether a draft uses an allowed drafter and length.
    pub fn allows(&self, draft: Draft) -> bool {
        draft.drafter <= self.drafters
            && draft.length <= self.longest
            && (draft.drafter == 0) == (draft.length == 0)
    }

    /// The maximum time for which outdated evidence influences a choice: the window, the epoch in which it began, and one review
    /// interval. A change of rates larger than the confidence intervals is noticed earlier: at the first review after `least_rounds`
    /// rounds with the new rates.
    pub fn max_evidence_age(&self) -> Duration {
        self.epoch * (self.window + 1) + self.review
    }

    /// The maximum number of bytes per second that one member sends.
    pub fn max_bytes_per_second(&self) -> f64 {
        (self.fanout + 1) as f64 * crate::wire::MAX_DATAGRAM_BYTES as f64 / self.period.as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
