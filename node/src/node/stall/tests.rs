use super::*;

const WAIT: Duration = Duration::from_millis(50);

#[test]
fn only_a_late_look_says_that_it_was_held_up_and_for_so_many_looks() {
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

/// Time is counted back over the last looks only, however long a process goes on without enough of a processor.
#[test]
fn who_is_held_up_all_the_time_counts_back_a_few_looks() {
    let mut stalls = StallDetector::default();
    for look in 0..100 {
        stalls.polled(look * 1_000_000, WAIT);
    }
    assert_eq!(stalls.earliest_arrival(99_000_000), (99 - AFFECTED_POLLS as Micros) * 1_000_000);
}
