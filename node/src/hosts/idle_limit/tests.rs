//! Tests of `idle_limit` that need its private state.

use super::*;

#[test]
fn the_idle_time_after_which_connections_break_is_found_and_forgotten() {
    let mut idle_limit = IdleLimit::default();
    for i in 0..100 {
        idle_limit.learn(HALVING, 20_000, i % 50 == 0);
        assert!(!idle_limit.too_long(20_000), "one of fifty breaks for other reasons");
        idle_limit.learn(HALVING, 150_000, i % 3 == 0);
    }
    assert!(idle_limit.too_long(150_000) && idle_limit.too_long(5_000_000) && !idle_limit.too_long(100_000));
    for i in 2..9 {
        idle_limit.learn(i * HALVING, 20_000, false);
    }
    assert!(!idle_limit.too_long(150_000), "tried anew");
}
