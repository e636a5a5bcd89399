//! Tests of `retry_policy` that need its private state.

use super::*;
use rstest::rstest;

fn keyed(scope: Scope, window: Micros) -> Effect {
    Effect::Keyed { scope, window }
}

#[rstest]
#[case(Effect::Safe, Effect::Safe, Effect::Safe)]
#[case(Effect::Safe, Effect::Unsafe, Effect::Unsafe)]
#[case(Effect::Safe, keyed(Scope::All, 5), keyed(Scope::All, 5))]
#[case(keyed(Scope::Cell, 5), Effect::Unsafe, Effect::Unsafe)]
#[case(keyed(Scope::Cell, 9), keyed(Scope::All, 5), keyed(Scope::Cell, 5))]
#[case(keyed(Scope::Zone, 4), keyed(Scope::All, 5), keyed(Scope::Zone, 4))]
fn the_stricter_of_two_policies_is_binding(#[case] a: Effect, #[case] b: Effect, #[case] wanted: Effect) {
    let (x, y) = (RetryPolicy::new(a, 3), RetryPolicy::new(b, 5));
    assert_eq!((x.stricter(y).effect(), x.stricter(y).attempts), (wanted, 3));
    assert_eq!(x.stricter(y), y.stricter(x));
    assert_eq!(x.stricter(y).stricter(x), x.stricter(y));
}

#[test]
fn a_class_that_only_one_version_knows_has_no_binding_policy() {
    let class = |name: &str, effect| ClassPolicy { name: name.into(), policy: RetryPolicy::new(effect, 5) };
    let old = [class("a", Effect::Safe), class("b", Effect::Safe)];
    let new = [class("b", Effect::Unsafe), class("c", Effect::Safe)];
    let (binding, differences) = strictest_policies(&old, &new);
    assert_eq!(binding, [class("b", Effect::Unsafe)]);
    let texts: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "class a stays with the old version, the only one to know it",
            "class b: old safe, 5 attempts; new unsafe, 5 attempts; bound to unsafe, 5 attempts",
            "class c stays with the new version, the only one to know it",
        ]
    );
}
