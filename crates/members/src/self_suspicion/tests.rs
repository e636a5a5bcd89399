//! Tests of `doubt` that need its private state.

use super::*;

const P: Duration = Duration::from_millis(500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn after_a_pause_nobody_is_accused_until_somebody_has_answered_since() {
    let mut doubt = SelfSuspicion::new(at(0));
    assert_eq!(doubt.late(at(1_000), at(990), P), None);
    assert!(doubt.accuses(at(1_000), P));
    assert_eq!(doubt.late(at(11_000), at(1_500), P), Some(at(9_500)));
    assert!(!doubt.accuses(at(11_000), P) && !doubt.is_alone(at(11_000), P), "time away does not count");
    assert!(!doubt.answered(at(11_050), P) && !doubt.accuses(at(11_050), P), "that had waited to be read");
    assert!(doubt.answered(at(11_200), P) && doubt.accuses(at(11_200), P));
    assert_eq!(doubt.pauses(), 1);
}

#[test]
fn who_is_not_answered_first_falls_silent_and_is_then_alone() {
    let mut doubt = SelfSuspicion::new(at(0));
    doubt.answered(at(1_000), P);
    assert!(doubt.accuses(at(3_000), P) && !doubt.accuses(at(3_100), P));
    assert!(!doubt.is_alone(at(9_000), P) && doubt.is_alone(at(9_100), P));
    doubt.begin(at(9_100));
    assert!(!doubt.is_alone(at(9_200), P));
}

#[test]
fn who_is_late_gives_more_time_and_takes_it_back() {
    let mut doubt = SelfSuspicion::new(at(0));
    (0..100).for_each(|_| doubt.probed(at(1_300), at(1_000), P));
    assert_eq!(doubt.stretch(), 1 + WORST);
    (0..100).for_each(|_| doubt.probed(at(1_010), at(1_000), P));
    assert_eq!(doubt.stretch(), 1);
}
