//! Tests of `timers` that need its private state.

use super::*;

#[test]
fn they_come_in_order_of_time_and_then_as_they_were_put_in() {
    let at = Duration::from_millis;
    let mut timers = TimerQueue::default();
    for (ms, what) in [(30, 'd'), (10, 'a'), (20, 'b'), (20, 'c')] {
        timers.put(at(ms), what);
    }
    assert_eq!(timers.pop(at(9)), None);
    timers.delay(at(5));
    assert_eq!((timers.next(), timers.len()), (Some(at(15)), 4));
    let all: String = std::iter::from_fn(|| timers.pop(at(100)).map(|(_, what)| what)).collect();
    assert_eq!(all, "abcd");
}
