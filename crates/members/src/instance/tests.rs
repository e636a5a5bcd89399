//! Tests of `instance` that need its private state.

use super::*;

#[test]
fn the_later_of_two_instances_wins_and_never_both() {
    let first = MemberInstance::new(MemberId(3), 1_000);
    for later in [
        MemberInstance::new(MemberId(3), 1_001),
        first.renew().expect("a later instance"),
        first.into_leaving(),
    ] {
        assert!(later.win_addr_conflict(&first) && !first.win_addr_conflict(&later));
    }
    assert!(!first.win_addr_conflict(&first));
}

#[test]
fn a_clock_set_back_by_an_hour_is_overtaken_within_24_renewals() {
    let before = MemberInstance::new(MemberId(3), 7_200_000);
    let mut current = MemberInstance::new(MemberId(3), 3_600_000);
    let mut renewals = 0;
    while !current.win_addr_conflict(&before) {
        current = current.renew().expect("a renewal");
        renewals += 1;
    }
    assert!(renewals <= 24, "{renewals}");
}

#[test]
fn an_instance_that_left_is_not_renewed() {
    assert_eq!(MemberInstance::new(MemberId(3), 5).into_leaving().renew(), None);
    assert!(
        MemberInstance { start_ms: u64::MAX, ..MemberInstance::new(MemberId(3), 5) }.renew().is_some(),
        "no overflow"
    );
}
