use std::time::Duration;

use super::*;

#[test]
fn time_stands_still_while_it_is_held_and_never_runs_backwards() {
    let mut clock = Clock::default();
    let before = clock.now();
    let held = clock.freeze();
    std::thread::sleep(Duration::from_millis(2));
    assert_eq!(clock.now(), held);
    let again = clock.freeze();
    assert!(before <= held && held < again, "held anew, by the time of then");
    std::thread::sleep(Duration::from_millis(2));
    clock.unfreeze();
    assert!(clock.now() > again);
}

#[test]
fn two_clocks_of_one_base_show_one_time() {
    let first = Clock::default();
    std::thread::sleep(Duration::from_millis(2));
    let second = Clock::from_base(first.base());
    let (before, between, after) = (first.now(), second.now(), first.now());
    // Each base is as exact as its two readings.
    let exact = 2 * MAX_READING_GAP_US;
    assert!(before - exact <= between && between <= after + exact, "{before} {between} {after}");
}
