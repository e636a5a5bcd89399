//! Tests of `recompute` that need its private state.

use super::*;

#[test]
fn grants_are_bounded_and_expire() {
    let mut turns = TurnRouter::new(Settings::default(), MemberId(1), 1, 1, Duration::ZERO).unwrap();
    let place = turns.sites.get_or_insert(Duration::ZERO, SiteId(1)).unwrap();
    let turn = |i: u64| Turn {
        conversation: i,
        tenant: 0,
        prefix: vec![i + 1],
        new_blocks: 0,
        worth: 1.0,
        time_left: Duration::from_secs(1),
    };
    for i in 0..3 * MAX_GRANTS as u64 {
        turns.grant(Duration::from_millis(i), &turn(i), place, 1.0);
    }
    assert_eq!((turns.queue.grants.len(), turns.queue.grant_order.len()), (MAX_GRANTS, MAX_GRANTS));
    // Repeated grants of the same turn count once, and the expiry of an old one does not remove the newer one.
    for i in 0..3 * MAX_GRANTS as u64 {
        turns.grant(Duration::from_secs(100) + Duration::from_millis(i), &turn(7), place, 1.0);
    }
    assert!(turns.queue.grants.len() == 1 && turns.queue.grant_order.len() <= MAX_GRANTS);
    turns.grant(Duration::from_secs(1_000), &turn(8), place, 1.0);
    assert_eq!((turns.queue.grants.len(), turns.queue.grant_order.len()), (1, 1));
}
