use super::*;

const WAIT: Duration = Duration::from_millis(50);

#[test]
fn a_late_poll_reports_a_stall_that_affects_the_following_polls() {
    let mut stalls = StallDetector::default();
    assert_eq!(stalls.polled(1_000_000, WAIT), None);
    let last = 1_050_000 + MIN_STALL_US - 1;
    assert_eq!(stalls.polled(last, WAIT), None);
    assert_eq!(stalls.earliest_arrival(last), last);
    let late = 3_000_000;
    assert_eq!(stalls.polled(late, WAIT), Some(late - last - 50_000));
    for look in 1..=AFFECTED_POLLS as Micros {
        assert_eq!(stalls.earliest_arrival(late + look), last, "look {look}");
        assert_eq!(stalls.polled(late + look, WAIT), None);
    }
    assert_eq!(stalls.earliest_arrival(late + 10), late + 10);
}

/// The arrival time goes back over the latest polls only, also for a process that is starved of processor time for
/// long.
#[test]
fn repeated_stalls_move_the_arrival_back_a_few_polls_only() {
    let mut stalls = StallDetector::default();
    for look in 0..100 {
        stalls.polled(look * 1_000_000, WAIT);
    }
    assert_eq!(stalls.earliest_arrival(99_000_000), (99 - AFFECTED_POLLS as Micros) * 1_000_000);
}
