//! Tests of `view` that need its private state.

use super::*;

fn view(states: &[MemberState]) -> View {
    let member = |(i, state): (usize, &MemberState)| Member {
        id: MemberId(i as u32),
        state: *state,
        start_ms: 0,
        incarnation: 0,
        state_since: None,
        last_heard: None,
    };
    View::new(states.iter().enumerate().map(member).collect(), 0, 1)
}

#[test]
fn half_is_no_majority_and_members_that_left_do_not_count() {
    use MemberState::*;
    assert!(view(&[]).majority, "one of one");
    assert!(!view(&[Dead]).majority);
    assert!(!view(&[Alive, Alive, Dead, Dead, Unknown]).majority, "three of six");
    assert!(view(&[Alive, Suspect, Alive, Dead, Unknown]).majority, "four of six");
    assert!(view(&[Alive, Alive, Dead, Dead, Left]).majority, "three of five");
}
