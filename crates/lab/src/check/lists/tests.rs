//! Tests of `lists` that need its private state.

use super::super::tests_of::{broken, setup};
use super::*;

fn listed(be: Be) -> Saw {
    Saw::Listed { site: 0, host: 0, be }
}

fn call(id: u64, host: usize) -> Vec<Saw> {
    let came = Saw::Came { id, site: 0, host, repeat: false, blocks: 0, found: 0 };
    vec![Saw::Sent { id, to: 0, class: "s".into() }, came, Saw::Answered { id, status: 200, found: None }]
}

fn with(grace_us: u64, saw: &[Vec<Saw>]) -> Vec<&'static str> {
    broken(Setup { list_grace_us: grace_us, ..setup() }, saw.concat())
}

#[test]
fn what_comes_after_the_grace_is_a_flaw_and_what_comes_before_is_none() {
    // Two seconds after it was told, one of them for what is under way.
    let drained = [vec![listed(Be::Draining)], call(5, 0)];
    assert_eq!(with(1_500_000, &drained), [DRAINED]);
    assert!(with(2_500_000, &drained).is_empty());
    assert!(with(1_500_000, &[vec![listed(Be::Draining)], call(5, 1)]).is_empty(), "another host");
    assert_eq!(with(1_500_000, &[vec![listed(Be::Gone)], call(5, 0)]), [DRAINED]);
    let read_late = |held_us| [vec![listed(Be::Draining), Saw::HeldUp { held_us }], call(5, 0)];
    assert!(with(2_500_000, &read_late(500_000)).is_empty());
    assert_eq!(with(2_499_999, &read_late(500_000)), [DRAINED]);
}

#[test]
fn one_that_is_back_or_whose_address_another_has_may_be_sent_to() {
    for be in [Be::Up, Be::Replaced] {
        let back = [vec![listed(Be::Draining)], vec![listed(be)], call(5, 0)];
        assert!(with(0, &back).is_empty(), "{be:?}");
    }
    // Drained again within the grace: it counts from then on.
    let twice = [vec![listed(Be::Draining)], vec![listed(Be::Up)], vec![listed(Be::Draining)], call(5, 0)];
    assert!(with(2_500_000, &twice).is_empty());
    assert_eq!(with(1_500_000, &twice), [DRAINED]);
    // First told to drain, then that it is gone: it counts from the first.
    let then_gone = [vec![listed(Be::Draining)], vec![listed(Be::Gone)], call(5, 0)];
    assert_eq!(with(2_500_000, &then_gone), [DRAINED]);
}

#[test]
fn a_host_that_was_never_used_proves_nothing() {
    let unused = Saw::Listed { site: 1, host: 1, be: Be::Draining };
    assert_eq!(with(0, &[vec![unused]]), [DRAINED]);
}
