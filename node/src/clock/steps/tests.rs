use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn steps_are_distinguished_from_slewing_and_added_up() {
    let mut steps = StepDetector::default();
    assert_eq!(steps.compare(100 * SECOND), None);
    assert_eq!(steps.compare(100 * SECOND + MIN_STEP_US - 1), None);
    assert_eq!(steps.compare(120 * SECOND + MIN_STEP_US - 1), Some(20 * SECOND));
    assert_eq!(steps.compare(117 * SECOND + MIN_STEP_US - 1), Some(-3 * SECOND));
    assert_eq!((steps.count(), steps.total()), (2, 17 * SECOND));
}

#[test]
fn a_wall_clock_that_is_not_stepped_has_no_steps() {
    let mut steps = StepDetector::default();
    (0..1000).for_each(|_| assert_eq!(steps.poll(), None));
    assert_eq!(steps.count(), 0);
}
