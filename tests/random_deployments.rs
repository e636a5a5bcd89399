//! Random deployments with properties between those of the two real ones: after each kind of fault, the share of served
//! calls recovers.

mod common;

use common::fleet::*;
use common::*;
use wheellink::*;

/// A random deployment: hosts that miss or load, few routers, any sizes and speeds, with or without load reports.
struct Deployment {
    fleet: Fleet,
    /// Calls a second that its hosts can run.
    capacity: f64,
    /// Description for messages.
    text: String,
}

fn deployment(seed: u64) -> Deployment {
    let mut rng = fastrand::Rng::with_seed(seed);
    let misses = rng.bool();
    let (routers, hosts, cores) = (rng.u32(1..=3), rng.usize(6..=14), [4, 5, 16][rng.usize(..3)]);
    let work = rng.i64(60..180) * MS;
    let settings = Settings {
        routers,
        when_cold: if misses { WhenCold::Misses } else { WhenCold::Loads },
        load_budget: misses.then_some(LoadBudget { free: 2.0, share: 0.2, period: 10 * S }),
        cold_for: rng.i64(5..18) * S,
        fall_multiple: if misses { 4.0 } else { 2.0 },
        fall_window: if misses { 3 * S } else { S },
        ..settings()
    };
    let mut fleet = Fleet::with_settings(settings, hosts, rng.usize(20..60));
    (fleet.work, fleet.load_time, fleet.cores) = (work, rng.i64(300..900) * MS, cores);
    fleet.load_reports = !misses;
    let capacity = hosts as f64 * f64::from(cores) * 1e6 / work as f64;
    let text =
        format!("seed {seed}: {routers} routers, {hosts} hosts of {cores}, misses {misses}, work {work} us");
    Deployment { fleet, capacity, text }
}

impl Deployment {
    /// Runs for this time at this part of the capacity, and returns the share of the calls that was served.
    fn run(&mut self, time: Micros, load: f64) -> f64 {
        self.fleet.counts = Counts::default();
        self.fleet.advance(time, load * self.capacity);
        self.fleet.counts.served as f64 / self.fleet.counts.calls as f64
    }

    /// Checks that the share of served calls has recovered after this fault.
    fn check_recovered(&mut self, what: &str) {
        let after = self.run(5 * S, 0.5);
        assert!(after > 0.9, "{}: {after:.2} served after {what}", self.text);
    }

    /// Replaces these hosts by new, cold ones without copies and with the same names.
    fn replace(&mut self, hosts: std::ops::Range<usize>) {
        for i in hosts {
            let n = format!("h{i}");
            self.fleet.start_host(&n);
            self.fleet.list_host(&n, Condition::Up, 500 * MS);
        }
    }
}

const SEEDS: std::ops::Range<u64> = 0..5;

/// Found in the second deployment: after a release, 98 in 100 calls were refused for the rest of the day.
#[test]
fn the_served_share_recovers_after_a_release_of_all_hosts() {
    for seed in SEEDS {
        let mut d = deployment(seed);
        d.run(6 * S, 0.5);
        let hosts = d.fleet.hosts.len();
        d.replace(0..hosts / 2);
        d.run(3 * S, 0.5);
        d.replace(hosts / 2..hosts);
        d.run(20 * S, 0.5);
        d.check_recovered("a release");
        d.fleet.settle();
    }
}

#[test]
fn the_served_share_recovers_after_failing_and_silent_hosts() {
    for seed in SEEDS {
        let mut d = deployment(seed);
        d.run(6 * S, 0.5);
        let third = d.fleet.hosts.len() / 3;
        for (i, h) in d.fleet.hosts.values_mut().enumerate() {
            (h.failing, h.silent) = (i < third, (third..third + third / 2).contains(&i));
        }
        d.run(8 * S, 0.5);
        d.fleet.hosts.values_mut().for_each(|h| (h.failing, h.silent) = (false, false));
        d.run(10 * S, 0.5);
        d.check_recovered("failures");
        d.fleet.settle();
    }
}

#[test]
fn overload_is_served_up_to_the_capacity_and_refusals_end_with_it() {
    for seed in SEEDS {
        let mut d = deployment(seed);
        d.run(6 * S, 0.5);
        let share = d.run(15 * S, 1.3);
        assert!(share * 1.3 > 0.7, "{}: {share:.2} served at overload", d.text);
        d.run(3 * S, 0.5);
        d.check_recovered("overload");
        d.fleet.settle();
    }
}

#[test]
fn the_served_share_recovers_after_a_release_with_a_slow_function_store() {
    for seed in SEEDS {
        let mut d = deployment(seed);
        d.run(6 * S, 0.5);
        let usual = d.fleet.load_time;
        d.fleet.load_time = 6 * usual;
        d.fleet.release();
        d.run(10 * S, 0.5);
        d.fleet.load_time = usual;
        d.run(5 * S, 0.5);
        d.check_recovered("a slow store");
        d.fleet.settle();
    }
}
