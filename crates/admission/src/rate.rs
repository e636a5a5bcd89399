//! Rate limits: the generic cell rate algorithm (GCRA, ITU-T I.371), with the time passed in.

use serde::{Deserialize, Serialize};
use wheellink::Micros;

/// A sustained rate and a burst size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// The sustained rate, per second.
    pub per_second: f64,
    /// The number that may arrive at once after a pause.
    pub burst: f64,
}

impl Rate {
    /// The emission interval, in microseconds.
    fn interval(&self) -> f64 {
        1e6 / self.per_second.max(1e-6)
    }

    /// The rate and the burst multiplied by a factor.
    pub fn times(&self, factor: f64) -> Self {
        Self { per_second: self.per_second * factor, burst: self.burst * factor }
    }

    /// Whether both numbers are finite and within the supported range.
    pub fn is_valid(&self) -> bool {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        positive(self.per_second)
            && self.per_second >= 0.001
            && positive(self.burst)
            && self.burst >= 1.0
            && self.burst <= 1e9
    }
}

/// The state of one rate limit of one address: its theoretical arrival time (TAT).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimiter(Micros);

impl RateLimiter {
    /// Admits one event, or returns how long to wait before it would be admitted.
    pub fn take(&mut self, now: Micros, rate: &Rate) -> Result<(), Micros> {
        let interval = rate.interval();
        let burst_duration = (interval * rate.burst) as Micros;
        // Limits the wait after a jump of the clock to the time that a whole burst takes.
        self.0 = self.0.clamp(now, now.saturating_add(burst_duration));
        let next_tat = self.0.saturating_add(interval.ceil() as Micros);
        let over = next_tat - now - burst_duration;
        // The interval is rounded up: the tolerance keeps this from refusing the last event of a burst.
        if over > rate.burst.ceil() as Micros {
            return Err(over);
        }
        self.0 = next_tat;
        Ok(())
    }

    /// How long to wait for one event, or `None` if it would be admitted now. Changes nothing.
    pub fn wait(&self, now: Micros, rate: &Rate) -> Option<Micros> {
        self.to_owned().take(now, rate).err()
    }

    /// Whether a whole burst would be admitted, so that the state carries no information.
    pub fn is_idle(&self, now: Micros) -> bool {
        self.0 <= now
    }
}
