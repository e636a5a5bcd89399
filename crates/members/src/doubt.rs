//! Doubt in oneself. A process that was stopped, or whose loop was held up, finds its timers overdue and its probes
//! unanswered, all at once. Taken at its word it would accuse the whole fleet. Who notices a pause of its own
//! first lets its timers wait as long as it was away, and accuses nobody until it has heard somebody again.
//! Who is late time and again gives answers more time, as Lifeguard does (Dadgar, Phillips, Currey: "Lifeguard:
//! Local Health Awareness for More Accurate Failure Detection", 2018).

use std::time::Duration;

/// Late by this many periods is a pause.
const PAUSE: f64 = 2.0;
/// Late by this part of a period speaks against one's own health.
const LATE: f64 = 0.2;
/// Worst health: times are stretched so many times more.
const WORST: u32 = 8;
/// Doubt ends after so many periods though nobody was heard: all others may be gone.
const LONGEST: f64 = 20.0;

/// See the module's page.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Doubt {
    /// Since when nobody may be accused.
    since: Option<Duration>,
    /// 0 is well.
    health: u32,
    pauses: u64,
}

impl Doubt {
    /// The next timer was due then, and it is now. If that tells of a pause: for how long all must wait.
    pub(crate) fn late(&mut self, now: Duration, due: Duration, period: Duration) -> Option<Duration> {
        let late = now.saturating_sub(due);
        if late <= period.mul_f64(PAUSE) {
            return None;
        }
        (self.since, self.pauses) = (Some(now), self.pauses + 1);
        self.health = (self.health + 1).min(WORST);
        Some(late)
    }

    /// A probe that was due then goes out now.
    pub(crate) fn probed(&mut self, now: Duration, due: Duration, period: Duration) {
        let late = now.saturating_sub(due) > period.mul_f64(LATE);
        self.health = if late { (self.health + 1).min(WORST) } else { self.health.saturating_sub(1) };
    }

    /// Somebody was heard. What had come in while this one was away is read in one go, and is no sign of now.
    pub(crate) fn heard(&mut self, now: Duration, period: Duration) {
        self.since = self.since.filter(|since| now.saturating_sub(*since) <= period.mul_f64(LATE));
    }

    /// Whether others may be accused now.
    pub(crate) fn accuses(&mut self, now: Duration, period: Duration) -> bool {
        let over = |since| now.saturating_sub(since) > period.mul_f64(LONGEST);
        if self.since.is_some_and(over) {
            self.since = None;
        }
        self.since.is_none()
    }

    /// What times are stretched by.
    pub(crate) fn stretch(&self) -> u32 {
        1 + self.health
    }

    /// Pauses of its own that it noticed.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const P: Duration = Duration::from_millis(500);

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn after_a_pause_nobody_is_accused_until_somebody_was_heard() {
        let mut doubt = Doubt::default();
        assert_eq!(doubt.late(at(1_000), at(990), P), None);
        assert!(doubt.accuses(at(1_000), P));
        assert_eq!(doubt.late(at(11_000), at(1_500), P), Some(at(9_500)));
        assert!(!doubt.accuses(at(12_000), P));
        doubt.heard(at(11_050), P);
        assert!(!doubt.accuses(at(12_000), P), "that had waited to be read");
        doubt.heard(at(11_200), P);
        assert!(doubt.accuses(at(12_000), P));
        assert_eq!(doubt.pauses(), 1);
    }

    #[test]
    fn doubt_ends_though_nobody_is_left_to_hear() {
        let mut doubt = Doubt::default();
        doubt.late(at(11_000), at(1_500), P);
        assert!(!doubt.accuses(at(20_900), P));
        assert!(doubt.accuses(at(21_100), P));
    }

    #[test]
    fn who_is_late_gives_more_time_and_takes_it_back() {
        let mut doubt = Doubt::default();
        (0..100).for_each(|_| doubt.probed(at(1_300), at(1_000), P));
        assert_eq!(doubt.stretch(), 1 + WORST);
        (0..100).for_each(|_| doubt.probed(at(1_010), at(1_000), P));
        assert_eq!(doubt.stretch(), 1);
    }
}
