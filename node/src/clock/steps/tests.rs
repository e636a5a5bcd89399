use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn steps_are_told_from_slewing_and_added_up() {
    let mut steps = Steps::default();
    assert_eq!(steps.compare(100 * SECOND), None);
    assert_eq!(steps.compare(100 * SECOND + LEAST_STEP - 1), None);
    assert_eq!(steps.compare(120 * SECOND + LEAST_STEP - 1), Some(20 * SECOND));
    assert_eq!(steps.compare(117 * SECOND + LEAST_STEP - 1), Some(-3 * SECOND));
    assert_eq!((steps.count(), steps.total()), (2, 17 * SECOND));
}

#[test]
fn a_clock_that_nobody_sets_has_no_steps() {
    let mut steps = Steps::default();
    (0..1000).for_each(|_| assert_eq!(steps.look(), None));
    assert_eq!(steps.count(), 0);
}
