//! Tests of `held_up` that need its private state.

use super::*;

#[test]
fn time_of_several_threads_is_counted_once() {
    let mut held_up = HeldUp::default();
    for (from, to) in [(10, 20), (40, 50), (45, 52), (12, 53), (80, 90)] {
        held_up.add(from, to);
    }
    assert_eq!(held_up.within(0, 100), 43 + 10);
    assert_eq!(held_up.within(50, 85), 3 + 5);
    assert_eq!(held_up.within(60, 70), 0);
}
