//! Tests of `succession` that need its private state.

use super::*;
use std::collections::BTreeSet;

const WINDOW: Micros = 1_000_000;

/// Reference implementation: every call of the window has a set of its followers.
#[derive(Default)]
struct Naive(Vec<(Micros, Option<usize>, FunctionId, BTreeSet<FunctionId>)>);

impl Naive {
    fn call(&mut self, now: Micros, id: &FunctionId, tenant: Option<usize>) -> BTreeMap<FunctionId, u32> {
        let mut counted = BTreeMap::new();
        self.0.retain(|c| now - c.0 <= WINDOW);
        for call in self.0.iter_mut().filter(|c| c.1 == tenant && c.2 != *id) {
            if call.3.insert(id.clone()) {
                *counted.entry(call.2.clone()).or_default() += 1;
            }
        }
        self.0.push((now, tenant, id.clone(), BTreeSet::new()));
        counted
    }
}

fn counted(
    s: &mut Succession,
    now: Micros,
    id: &FunctionId,
    tenant: Option<usize>,
) -> (BTreeMap<FunctionId, u32>, u32) {
    let (mut counted, mut steps) = (BTreeMap::new(), 0);
    s.call(now, (id, tenant), WINDOW, |other, calls| {
        counted.insert(other.clone(), calls);
        steps += 1;
    });
    (counted, steps)
}

fn function(n: usize) -> FunctionId {
    format!("f{n}").as_str().into()
}

/// Random streams of calls vary in rate, skew and number of tenants.
#[test]
fn counts_equal_those_of_the_reference_implementation() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (functions, tenants, gap) = (rng.usize(1..30), rng.usize(1..4), rng.i64(1..300_000));
        let (mut fast, mut naive, mut now) = (Succession::default(), Naive::default(), 0);
        for n in 0..1500 {
            now += if rng.u8(..) == 0 { 2 * WINDOW } else { rng.i64(0..gap) };
            // Squared, so that some functions are called far more often.
            let id = function((rng.f64().powi(2) * functions as f64) as usize);
            let tenant = Some(rng.usize(0..tenants)).filter(|t| *t > 0);
            assert_eq!(
                counted(&mut fast, now, &id, tenant).0,
                naive.call(now, &id, tenant),
                "{seed}: call {n}"
            );
        }
    }
}

/// Guards against a cost per call that grows with the rate of calls.
#[test]
fn cost_per_call_is_the_same_at_ten_and_a_thousand_times_the_rate() {
    let steps = |gap: Micros| {
        let (mut s, mut rng) = (Succession::default(), fastrand::Rng::with_seed(7));
        let calls = 20_000;
        let sum: u32 = (0..calls)
            .map(|n| counted(&mut s, n * gap, &function((rng.f64().powi(3) * 40.0) as usize), None).1)
            .sum();
        f64::from(sum) / calls as f64
    };
    let (slow, fast, fastest) = (steps(10_000), steps(1_000), steps(10));
    assert!((fast / slow - 1.0).abs() < 0.1 && (fastest / slow - 1.0).abs() < 0.1, "{slow} {fast} {fastest}");
}

#[test]
fn calls_outside_the_window_are_removed() {
    let mut s = Succession::default();
    for n in 0..1000 {
        counted(&mut s, n * 10_000, &function(n as usize), Some(n as usize % 3));
    }
    assert!(s.window.len() <= 101);
    counted(&mut s, 100 * WINDOW, &function(0), None);
    let kept: usize = s.tenants.values().map(|l| l.calls.len() + l.latest.len()).sum();
    assert_eq!((s.window.len(), s.tenants.len(), kept), (1, 1, 2));
    s.clear();
    assert_eq!((s.window.len(), s.tenants.len()), (0, 0));
}

/// A function whose calls were removed has no successors from then on; its later calls and those of others count.
#[test]
fn removed_calls_do_not_count() {
    let mut s = Succession::default();
    counted(&mut s, 0, &function(1), None);
    counted(&mut s, 1, &function(2), None);
    s.remove(&function(1));
    assert_eq!(counted(&mut s, 2, &function(3), None).0, BTreeMap::from([(function(2), 1)]));
    counted(&mut s, WINDOW - 1, &function(1), None);
    // The removed call leaves the window; the later one of the same function stays.
    let expected = BTreeMap::from([(function(1), 1), (function(3), 1)]);
    assert_eq!(counted(&mut s, WINDOW + 2, &function(2), None).0, expected);
}
