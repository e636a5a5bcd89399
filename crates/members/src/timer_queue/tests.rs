//! Tests of `timer_queue` that need its private state.

use super::*;

#[test]
fn timers_fire_by_due_time_and_then_in_order_of_insertion() {
    let at = Duration::from_millis;
    let mut timers = TimerQueue::default();
    for (ms, timer) in [(30, 'd'), (10, 'a'), (20, 'b'), (20, 'c')] {
        timers.insert(at(ms), timer);
    }
    assert_eq!(timers.pop_due(at(9)), None);
    timers.postpone(at(5));
    assert_eq!((timers.next_due(), timers.len()), (Some(at(15)), 4));
    let all: String = std::iter::from_fn(|| timers.pop_due(at(100)).map(|(_, timer)| timer)).collect();
    assert_eq!(all, "abcd");
}
