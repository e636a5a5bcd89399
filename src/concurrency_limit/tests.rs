//! Tests of `concurrency_limit` that need its private state.

use super::*;

/// Feeds the limit with answers of a fleet whose running calls, as many as limit and demand allow, share `cores`.
fn run(limit: &mut ConcurrencyLimit, cores: f64, demand: f64, answers: usize) -> f64 {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..answers {
        let running = demand.min(limit.get());
        let work = -rng.f64().max(1e-9).ln() * 100.0;
        let hint = work * (0.3 + 1.4 * rng.f64());
        limit.learn(work * 1.2 * (running / cores).max(1.0), hint, running, 10.0);
    }
    limit.get()
}

#[test]
fn under_overload_the_limit_settles_slightly_above_the_number_of_cores() {
    for cores in [4.0, 5.0, 10.0, 20.0] {
        let settled = run(&mut ConcurrencyLimit::default(), cores, 400.0, 20_000);
        assert!((1.1..2.2).contains(&(settled / cores)), "{settled} for {cores} cores");
    }
}

#[test]
fn limit_does_not_restrict_a_fleet_that_is_not_overloaded() {
    let mut limit = ConcurrencyLimit::default();
    assert!(run(&mut limit, 30.0, 25.0, 20_000) >= 32.0);
    // After a slow phase, the limit recovers from its minimum within some rounds of calls.
    run(&mut limit, 1.0, 400.0, 20_000);
    assert!(limit.get() < 2.0 * MIN_LIMIT, "{}", limit.get());
    assert!(run(&mut limit, 30.0, 25.0, 10_000) > 25.0, "{}", limit.get());
}

#[test]
fn limit_grows_with_the_running_calls_beyond_its_fixed_maximum() {
    assert!(run(&mut ConcurrencyLimit::default(), 500.0, 300.0, 200_000) > 300.0);
}

#[test]
fn invalid_figures_do_not_change_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    run(&mut limit, 5.0, 400.0, 5_000);
    let before = limit.get();
    let bad = [(100.0, 0.0, 5.0), (f64::NAN, 10.0, 5.0), (-1.0, 10.0, 5.0), (9.0, 10.0, f64::INFINITY)];
    for (took, work, running) in bad {
        limit.learn(took, work, running, 10.0);
    }
    assert_eq!(limit.get(), before);
}
