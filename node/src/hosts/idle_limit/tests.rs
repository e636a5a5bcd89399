//! Tests of `idle_limit` that need its private state.

use super::*;

#[test]
fn the_idle_time_at_which_connections_break_is_learnt_and_forgotten() {
    let mut limit = IdleLimit::default();
    for i in 0..100 {
        limit.record(HALVING_INTERVAL_US, 20_000, i % 50 == 0);
        assert!(!limit.exceeded(20_000), "1 break in 50 has other causes");
        limit.record(HALVING_INTERVAL_US, 150_000, i % 3 == 0);
    }
    assert!(limit.exceeded(150_000) && limit.exceeded(5_000_000) && !limit.exceeded(100_000));
    for i in 2..9 {
        limit.record(i * HALVING_INTERVAL_US, 20_000, false);
    }
    assert!(!limit.exceeded(150_000), "longer idle times are tried again");
}
