//! How many calls a worker is given to run at once: an estimate that follows the answers, for workers whose
//! cores nobody tells. It knows no router and no worker.
//!
//! What runs shares the cores. Up to their number a call takes its own work; beyond, all take longer together
//! and none is done sooner, so that at overload everything is late. How many cores there are is told nowhere,
//! and sizes on the list have no unit. But a call's hint is its work on a standard core, so time over hint says
//! how far the cores are shared, on any machine and at any scale, and needs no best case to be remembered: an
//! estimate that only grows worse while it is obeyed would never come back.

/// Time over work at which the bound stays as it is: a standard core is yardstick 1 and cores have 0.6 to 1.1 of
/// it, so an idle one takes about 1.3 times the work (measured 1.2 to 1.5 at half load, 5 to 10 at overload).
const TARGET_STRETCH: f64 = 1.8;
/// A bound changes by this share, for one more unit of time over work, in the time that what runs takes.
const GAIN: f64 = 0.2;
/// One answer moves the bound by no more than such an excess would.
const MAX_EXCESS: f64 = 2.0;
/// Never less than this on a worker of mean size: a worker has some cores, and what is not asked is not learnt.
const MIN_LIMIT: f64 = 4.0;
/// Never more than this, nor than so many times what runs: from there it takes too long to come down.
const MAX_LIMIT: f64 = 32.0;
const MAX_RUNNING_MULTIPLE: f64 = 8.0;
/// Calls at least over which time and work are averaged: hints are rough and work is uneven.
const MIN_AVERAGED_CALLS: f64 = 60.0;

/// See the module's page.
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
    /// Calls that one worker of mean size is to run at the most.
    pub(crate) fn get(&self) -> f64 {
        self.limit
    }

    /// A call that found a copy and room in it took this long for this work, both in the same unit, while
    /// `running` ran on each of `workers` alike.
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
