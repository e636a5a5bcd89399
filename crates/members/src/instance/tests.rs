//! Tests of `life` that need its private state.

use super::*;

#[test]
fn of_two_lives_the_later_one_stands_and_never_both() {
    let first = MemberInstance::new(MemberId(3), 1_000);
    for later in
        [MemberInstance::new(MemberId(3), 1_001), first.renew().expect("a later life"), first.into_leaving()]
    {
        assert!(later.win_addr_conflict(&first) && !first.win_addr_conflict(&later));
    }
    assert!(!first.win_addr_conflict(&first));
}

#[test]
fn a_clock_set_back_an_hour_is_made_up_for_in_two_dozen_renewals() {
    let before = MemberInstance::new(MemberId(3), 7_200_000);
    let mut now = MemberInstance::new(MemberId(3), 3_600_000);
    let mut steps = 0;
    while !now.win_addr_conflict(&before) {
        now = now.renew().expect("it goes on");
        steps += 1;
    }
    assert!(steps <= 24, "{steps}");
}

#[test]
fn who_has_left_does_not_come_back_by_itself() {
    assert_eq!(MemberInstance::new(MemberId(3), 5).into_leaving().renew(), None);
    assert!(
        MemberInstance { start_ms: u64::MAX, ..MemberInstance::new(MemberId(3), 5) }.renew().is_some(),
        "no overflow"
    );
}
