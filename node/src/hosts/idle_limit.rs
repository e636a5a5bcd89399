//! Learns after which idle time connections to hosts can no longer be reused. Pure.
//!
//! Hosts, and the network between, may drop an idle connection earlier than documented, and the activator only
//! notices when the next request is answered with a reset. A request that is not idempotent cannot be sent again
//! after a reset. So the usable idle time is learnt from the outcome of the first request after each idle time.

use wheellink::Micros;

/// Number of buckets for idle times: each spans half an octave, the first starts at 1 ms.
const BUCKETS: usize = 32;
/// A bucket counts as unusable once it has at least this many broken connections ...
const MIN_BREAKS: f64 = 3.0;
/// ... and more than this share of its connections broke: a few break for reasons other than the idle time.
const MAX_BREAK_SHARE: f64 = 0.05;
/// Interval at which all counts are halved, so that longer idle times are tried again.
const HALVING_INTERVAL_US: Micros = 20_000_000;

/// Counts broken connections by idle time, and derives the idle time from which on connections are not reused.
#[derive(Default)]
pub struct IdleLimit {
    /// By bucket: connections reused after that idle time, and how many of them broke.
    buckets: [(f64, f64); BUCKETS],
    halved_at: Micros,
    limit: Option<Micros>,
}

impl IdleLimit {
    fn bucket(idle: Micros) -> usize {
        let octaves = (idle.max(1) as f64 / 1000.0).log2().max(0.0);
        ((octaves * 2.0) as usize).min(BUCKETS - 1)
    }

    /// Records whether a connection broke at its first request after it had been idle for `idle`.
    pub fn record(&mut self, now: Micros, idle: Micros, broke: bool) {
        if now - self.halved_at >= HALVING_INTERVAL_US {
            self.halved_at = now;
            self.buckets
                .iter_mut()
                .for_each(|(tries, breaks)| (*tries, *breaks) = (*tries / 2.0, *breaks / 2.0));
        }
        let (tries, breaks) = &mut self.buckets[Self::bucket(idle)];
        *tries += 1.0;
        *breaks += f64::from(u8::from(broke));
        let bad = |(tries, breaks): &(f64, f64)| *breaks >= MIN_BREAKS && *breaks > MAX_BREAK_SHARE * tries;
        let first = self.buckets.iter().position(bad);
        self.limit = first.map(|bucket| (1000.0 * (bucket as f64 / 2.0).exp2()) as Micros);
    }

    /// Whether a connection that has been idle for `idle` should not be reused.
    pub fn exceeded(&self, idle: Micros) -> bool {
        self.limit.is_some_and(|limit| idle >= limit)
    }
}

#[cfg(test)]
mod tests;
