//! Adaptive limit on the calls that a worker runs at once, for workers whose number of cores is unknown. It does not
//! depend on the router or the workers.
//!
//! Running calls share the cores. Up to the number of cores, a call takes as long as its own work; beyond it, all calls
//! take longer and none ends sooner, so that under overload every call is late. The number of cores is not reported, and
//! sizes on the list have no unit. But the hint of a call is its work on a standard core, so its duration divided by the
//! hint, its stretch, shows how far the cores are shared, on any machine and at any scale. No best case has to be
//! remembered: an estimate that could only get worse while it is applied would never recover.

/// Stretch (duration divided by work) at which the limit stays constant. Cores have 0.6 to 1.1 of the speed of a
/// standard core, so an idle core has a stretch of about 1.3; it is 1.2 to 1.5 at half load and 5 to 10 under overload.
const TARGET_STRETCH: f64 = 1.8;
/// Relative change of the limit per unit of stretch, in the time in which the running calls end once.
const GAIN: f64 = 0.2;
/// Maximum difference from the target stretch that one answer counts with.
const MAX_EXCESS: f64 = 2.0;
/// Minimum limit for a worker of mean size: a worker has some cores, and without calls nothing can be learnt.
const MIN_LIMIT: f64 = 4.0;
/// The limit is at most the greater of this and [`MAX_RUNNING_MULTIPLE`] times the running calls: from a higher value it
/// would take too long to come down.
const MAX_LIMIT: f64 = 32.0;
/// See [`MAX_LIMIT`].
const MAX_RUNNING_MULTIPLE: f64 = 8.0;
/// Minimum number of calls over which duration and work are averaged: hints are rough and work is uneven.
const MIN_AVERAGED_CALLS: f64 = 60.0;

/// See the module documentation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    took: f64,
    work: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: MAX_LIMIT, took: 0.0, work: 0.0 }
    }
}

impl ConcurrencyLimit {
    /// Maximum number of calls that a worker of mean size runs at once.
    pub(crate) fn get(&self) -> f64 {
        self.limit
    }

    /// Learns from a call that found a copy with a free lane: its duration and its work, in the same unit, and the mean
    /// number of calls running on each of `workers`.
    pub(crate) fn learn(&mut self, took: f64, work: f64, running: f64, workers: f64) {
        if !(work > 0.0 && took >= 0.0 && running.is_finite() && workers.is_finite()) {
            return;
        }
        let round = (running * workers).max(MIN_AVERAGED_CALLS);
        let mean = |before: f64, now: f64| if before > 0.0 { before + (now - before) / round } else { now };
        (self.took, self.work) = (mean(self.took, took), mean(self.work, work));
        let excess = (TARGET_STRETCH - self.took / self.work).clamp(-MAX_EXCESS, MAX_EXCESS);
        let most = MAX_LIMIT.max(MAX_RUNNING_MULTIPLE * running);
        self.limit = (self.limit * (GAIN * excess / round).exp()).clamp(MIN_LIMIT, most);
    }
}

#[cfg(test)]
mod tests;
