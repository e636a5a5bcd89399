//! Tests of `trust` that need its private state.

use super::*;

#[test]
fn a_liar_is_not_believed_and_all_together_are_no_liars() {
    let mut trust = Trust::new();
    for _ in 0..60 {
        trust.learn(1, 0.0);
        trust.learn(2, 1.0);
    }
    assert_eq!((trust.of(1), trust.of(2), trust.distrusted()), (0.0, 1.0, 1));
    (0..40).for_each(|_| trust.learn(1, 1.0));
    assert_eq!(trust.of(1), 1.0);
    // A fleet that finds 4 in 10 everywhere: nobody is doubted for it.
    let mut trust = Trust::new();
    (0..4_000).for_each(|i| trust.learn(i % 50, 0.4));
    assert!((0..50).all(|tenant| trust.of(tenant) > 0.9));
}
