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
const SHARED: f64 = 1.8;
/// A bound changes by this share, for one more unit of time over work, in the time that what runs takes.
const GAIN: f64 = 0.2;
/// One answer moves the bound by no more than such an excess would.
const MOST_EXCESS: f64 = 2.0;
/// Never less than this on a worker of mean size: a worker has some cores, and what is not asked is not learnt.
const LEAST: f64 = 4.0;
/// Never more than this, nor than so many times what runs: from there it takes too long to come down.
const MOST: f64 = 32.0;
const MOST_RUNNING: f64 = 8.0;
/// Calls at least over which time and work are averaged: hints are rough and work is uneven.
const FEWEST: f64 = 60.0;

/// See the module's page.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bound {
    bound: f64,
    took: f64,
    work: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self { bound: MOST, took: 0.0, work: 0.0 }
    }
}

impl Bound {
    /// Calls that one worker of mean size is to run at the most.
    pub(crate) fn get(&self) -> f64 {
        self.bound
    }

    /// A call that found a copy and room in it took this long for this work, both in the same unit, while
    /// `running` ran on each of `workers` alike.
    pub(crate) fn learn(&mut self, took: f64, work: f64, running: f64, workers: f64) {
        if !(work > 0.0 && took >= 0.0 && running.is_finite() && workers.is_finite()) {
            return;
        }
        let round = (running * workers).max(FEWEST);
        let mean = |before: f64, now: f64| if before > 0.0 { before + (now - before) / round } else { now };
        (self.took, self.work) = (mean(self.took, took), mean(self.work, work));
        let excess = (SHARED - self.took / self.work).clamp(-MOST_EXCESS, MOST_EXCESS);
        let most = MOST.max(MOST_RUNNING * running);
        self.bound = (self.bound * (GAIN * excess / round).exp()).clamp(LEAST, most);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Answers of a fleet whose workers share `cores` among what runs, as much as the bound and the demand allow.
    fn run(bound: &mut Bound, cores: f64, demand: f64, answers: usize) -> f64 {
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..answers {
            let running = demand.min(bound.get());
            let work = -rng.f64().max(1e-9).ln() * 100.0;
            let hint = work * (0.3 + 1.4 * rng.f64());
            bound.learn(work * 1.2 * (running / cores).max(1.0), hint, running, 10.0);
        }
        bound.get()
    }

    #[test]
    fn at_overload_somewhat_more_than_the_cores_run_whatever_their_number() {
        for cores in [4.0, 5.0, 10.0, 20.0] {
            let settled = run(&mut Bound::default(), cores, 400.0, 20_000);
            assert!((1.1..2.2).contains(&(settled / cores)), "{settled} for {cores} cores");
        }
    }

    #[test]
    fn it_never_keeps_away_what_an_easy_fleet_would_serve() {
        let mut bound = Bound::default();
        assert!(run(&mut bound, 30.0, 25.0, 20_000) >= 32.0);
        // Once slow, for whatever reason, and then well: back within some rounds, from the least there is.
        run(&mut bound, 1.0, 400.0, 20_000);
        assert!(bound.get() < 2.0 * LEAST, "{}", bound.get());
        assert!(run(&mut bound, 30.0, 25.0, 10_000) > 25.0, "{}", bound.get());
    }

    #[test]
    fn it_grows_with_what_runs_beyond_any_fixed_number() {
        assert!(run(&mut Bound::default(), 500.0, 300.0, 200_000) > 300.0);
    }

    #[test]
    fn figures_that_are_none_change_nothing() {
        let mut bound = Bound::default();
        run(&mut bound, 5.0, 400.0, 5_000);
        let before = bound.get();
        let bad = [(100.0, 0.0, 5.0), (f64::NAN, 10.0, 5.0), (-1.0, 10.0, 5.0), (9.0, 10.0, f64::INFINITY)];
        for (took, work, running) in bad {
            bound.learn(took, work, running, 10.0);
        }
        assert_eq!(bound.get(), before);
    }
}
