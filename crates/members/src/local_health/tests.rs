//! Tests of `local_health` that need its private state.

use super::*;

const PERIOD: Duration = Duration::from_millis(500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn after_a_pause_no_member_is_suspected_until_an_answer_arrives() {
    let mut health = LocalHealth::new(at(0));
    assert_eq!(health.detect_pause(at(1_000), at(990), PERIOD), None);
    assert!(health.may_suspect_others(at(1_000), PERIOD));
    assert_eq!(health.detect_pause(at(11_000), at(1_500), PERIOD), Some(at(9_500)));
    assert!(
        !health.may_suspect_others(at(11_000), PERIOD) && !health.is_isolated(at(11_000), PERIOD),
        "the pause itself does not count"
    );
    assert!(
        !health.record_answer(at(11_050), PERIOD) && !health.may_suspect_others(at(11_050), PERIOD),
        "the answer was queued during the pause"
    );
    assert!(health.record_answer(at(11_200), PERIOD) && health.may_suspect_others(at(11_200), PERIOD));
    assert_eq!(health.pause_count(), 1);
}

#[test]
fn a_member_without_answers_stops_suspecting_others_and_is_then_isolated() {
    let mut health = LocalHealth::new(at(0));
    health.record_answer(at(1_000), PERIOD);
    assert!(health.may_suspect_others(at(3_000), PERIOD) && !health.may_suspect_others(at(3_100), PERIOD));
    assert!(!health.is_isolated(at(9_000), PERIOD) && health.is_isolated(at(9_100), PERIOD));
    health.restart(at(9_100));
    assert!(!health.is_isolated(at(9_200), PERIOD));
}

#[test]
fn lateness_raises_the_timeout_multiplier_and_punctuality_lowers_it() {
    let mut health = LocalHealth::new(at(0));
    (0..100).for_each(|_| health.record_probe(at(1_300), at(1_000), PERIOD));
    assert_eq!(health.timeout_multiplier(), 1 + MAX_SCORE);
    (0..100).for_each(|_| health.record_probe(at(1_010), at(1_000), PERIOD));
    assert_eq!(health.timeout_multiplier(), 1);
}
