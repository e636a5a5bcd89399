//! Tests of `bound` that need its private state.

use super::*;

/// Answers of a fleet whose workers share `cores` among what runs, as much as the bound and the demand allow.
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
fn at_overload_somewhat_more_than_the_cores_run_whatever_their_number() {
    for cores in [4.0, 5.0, 10.0, 20.0] {
        let settled = run(&mut ConcurrencyLimit::default(), cores, 400.0, 20_000);
        assert!((1.1..2.2).contains(&(settled / cores)), "{settled} for {cores} cores");
    }
}

#[test]
fn it_never_keeps_away_what_an_easy_fleet_would_serve() {
    let mut limit = ConcurrencyLimit::default();
    assert!(run(&mut limit, 30.0, 25.0, 20_000) >= 32.0);
    // Once slow, for whatever reason, and then well: back within some rounds, from the least there is.
    run(&mut limit, 1.0, 400.0, 20_000);
    assert!(limit.get() < 2.0 * MIN_LIMIT, "{}", limit.get());
    assert!(run(&mut limit, 30.0, 25.0, 10_000) > 25.0, "{}", limit.get());
}

#[test]
fn it_grows_with_what_runs_beyond_any_fixed_number() {
    assert!(run(&mut ConcurrencyLimit::default(), 500.0, 300.0, 200_000) > 300.0);
}

#[test]
fn figures_that_are_none_change_nothing() {
    let mut limit = ConcurrencyLimit::default();
    run(&mut limit, 5.0, 400.0, 5_000);
    let before = limit.get();
    let bad = [(100.0, 0.0, 5.0), (f64::NAN, 10.0, 5.0), (-1.0, 10.0, 5.0), (9.0, 10.0, f64::INFINITY)];
    for (took, work, running) in bad {
        limit.learn(took, work, running, 10.0);
    }
    assert_eq!(limit.get(), before);
}
