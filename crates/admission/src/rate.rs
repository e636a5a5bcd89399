//! Rates: the generic cell rate algorithm (ITU-T I.371), with time passed in.

use serde::{Deserialize, Serialize};
use wheellink::Micros;

/// So many a second, and so many at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// In the long run.
    pub per_second: f64,
    /// At once, after a pause.
    pub burst: f64,
}

impl Rate {
    /// Time that one takes up, in microseconds.
    fn interval(&self) -> f64 {
        1e6 / self.per_second.max(1e-6)
    }

    /// So many times as high.
    pub fn times(&self, factor: f64) -> Self {
        Self { per_second: self.per_second * factor, burst: self.burst * factor }
    }

    /// Whether the figures make sense.
    pub fn is_valid(&self) -> bool {
        let sane = |x: f64| x.is_finite() && x > 0.0;
        sane(self.per_second)
            && self.per_second >= 0.001
            && sane(self.burst)
            && self.burst >= 1.0
            && self.burst <= 1e9
    }
}

/// The theoretical arrival time of one rate, for one address: all of its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimiter(Micros);

impl RateLimiter {
    /// Takes one, or tells how long to wait for it.
    pub fn take(&mut self, now: Micros, rate: &Rate) -> Result<(), Micros> {
        let interval = rate.interval();
        let most = (interval * rate.burst) as Micros;
        // After a jump of the clock nobody waits longer than for a whole burst.
        self.0 = self.0.clamp(now, now.saturating_add(most));
        let next = self.0.saturating_add(interval.ceil() as Micros);
        let over = next - now - most;
        // Rounding up the interval must not cost the burst its last one.
        if over > rate.burst.ceil() as Micros {
            return Err(over);
        }
        self.0 = next;
        Ok(())
    }

    /// How long to wait for one, if it cannot be taken now.
    pub fn wait(&self, now: Micros, rate: &Rate) -> Option<Micros> {
        self.to_owned().take(now, rate).err()
    }

    /// Whether as many as the burst could be taken: nothing is remembered.
    pub fn is_idle(&self, now: Micros) -> bool {
        self.0 <= now
    }
}
