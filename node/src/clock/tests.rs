use std::time::Duration;

use super::*;

#[test]
fn a_frozen_clock_stands_still_and_time_never_runs_backwards() {
    let mut clock = Clock::default();
    let before = clock.now();
    let frozen = clock.freeze();
    std::thread::sleep(Duration::from_millis(2));
    assert_eq!(clock.now(), frozen);
    let again = clock.freeze();
    assert!(before <= frozen && frozen < again, "freezing again takes the current time");
    std::thread::sleep(Duration::from_millis(2));
    clock.unfreeze();
    assert!(clock.now() > again);
}

#[test]
fn a_clock_from_another_clocks_base_shows_the_same_time() {
    let first = Clock::default();
    std::thread::sleep(Duration::from_millis(2));
    let second = Clock::from_base(first.base());
    let (before, between, after) = (first.now(), second.now(), first.now());
    // Each of the two simultaneous readings adds its own error.
    let error = 2 * MAX_READING_GAP_US;
    assert!(before - error <= between && between <= after + error, "{before} {between} {after}");
}
