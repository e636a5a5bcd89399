//! Which functions follow which: the counting of the paper's hit_candidate_path, on order-one paths.
//!
//! Each call counts each function that follows it within the window, once, for the same tenant. So a call of `g`
//! counts for every call of another function since the last call of `g`: those before it have `g` counted already. No
//! call needs a set of its followers, and a call costs one step for each function that was called since the last
//! call of its own, however many calls these had.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{FunctionId, Micros};

/// The calls of one tenant within the window.
#[derive(Default)]
struct Line {
    /// By function, numbers of its calls, oldest first.
    calls: BTreeMap<FunctionId, VecDeque<u64>>,
    /// By the number of its last call, each of these functions.
    latest: BTreeMap<u64, FunctionId>,
}

/// The calls of the window.
#[derive(Default)]
pub(crate) struct Succession {
    number: u64,
    /// Oldest first: what bounds everything here is the number of calls in the window.
    window: VecDeque<(Micros, Option<usize>, FunctionId)>,
    lines: BTreeMap<Option<usize>, Line>,
}

impl Succession {
    /// Takes a call: `followed` is told, for each other function, how many of its calls this is the first to follow.
    pub(crate) fn call(
        &mut self,
        now: Micros,
        (id, tenant): (&FunctionId, Option<usize>),
        window: Micros,
        mut followed: impl FnMut(&FunctionId, u32),
    ) {
        self.expire(now, window);
        self.number += 1;
        let line = self.lines.entry(tenant).or_default();
        let own = line.calls.entry(id.clone()).or_default();
        let since = own.back().copied().unwrap_or(0);
        own.push_back(self.number);
        line.latest.remove(&since);
        for other in line.latest.range(since + 1..).map(|(_, other)| other) {
            let calls = &line.calls[other];
            let before = calls.partition_point(|number| *number <= since);
            followed(other, (calls.len() - before) as u32);
        }
        line.latest.insert(self.number, id.clone());
        self.window.push_back((now, tenant, id.clone()));
    }

    /// How much is remembered.
    pub(crate) fn entries(&self) -> usize {
        let of = |l: &Line| l.latest.len() + l.calls.values().map(|c| 1 + c.len()).sum::<usize>();
        self.window.len() + self.lines.values().map(of).sum::<usize>()
    }

    /// Forgets all: tenants go by other numbers.
    pub(crate) fn clear(&mut self) {
        self.window.clear();
        self.lines.clear();
    }

    fn expire(&mut self, now: Micros, window: Micros) {
        while self.window.front().is_some_and(|(at, ..)| now - at > window) {
            let Some((_, tenant, id)) = self.window.pop_front() else { return };
            let Some(line) = self.lines.get_mut(&tenant) else { continue };
            let Some(calls) = line.calls.get_mut(&id) else { continue };
            let last = calls.pop_front();
            if calls.is_empty() {
                line.calls.remove(&id);
                last.map(|number| line.latest.remove(&number));
            }
            if line.calls.is_empty() {
                self.lines.remove(&tenant);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    const WINDOW: Micros = 1_000_000;

    /// The counting as it was: every call of the window with a set of its followers.
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

    /// The same counts as before, on streams of any density, skew and number of tenants.
    #[test]
    fn the_counts_are_those_of_the_naive_way() {
        for seed in 0..60 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (functions, tenants, gap) = (rng.usize(1..30), rng.usize(1..4), rng.i64(1..300_000));
            let (mut fast, mut naive, mut now) = (Succession::default(), Naive::default(), 0);
            for n in 0..1500 {
                now += if rng.u8(..) == 0 { 2 * WINDOW } else { rng.i64(0..gap) };
                // Squared, so that some are called far more often.
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

    /// The work of a call does not grow with the rate.
    #[test]
    fn ten_and_a_thousand_times_the_rate_cost_the_same_a_call() {
        let steps = |gap: Micros| {
            let (mut s, mut rng) = (Succession::default(), fastrand::Rng::with_seed(7));
            let calls = 20_000;
            let sum: u32 = (0..calls)
                .map(|n| counted(&mut s, n * gap, &function((rng.f64().powi(3) * 40.0) as usize), None).1)
                .sum();
            f64::from(sum) / calls as f64
        };
        let (slow, fast, fastest) = (steps(10_000), steps(1_000), steps(10));
        assert!(
            (fast / slow - 1.0).abs() < 0.1 && (fastest / slow - 1.0).abs() < 0.1,
            "{slow} {fast} {fastest}"
        );
    }

    /// Nothing is kept beyond the window.
    #[test]
    fn what_is_kept_is_the_window() {
        let mut s = Succession::default();
        for n in 0..1000 {
            counted(&mut s, n * 10_000, &function(n as usize), Some(n as usize % 3));
        }
        assert!(s.window.len() <= 101);
        counted(&mut s, 100 * WINDOW, &function(0), None);
        let kept: usize = s.lines.values().map(|l| l.calls.len() + l.latest.len()).sum();
        assert_eq!((s.window.len(), s.lines.len(), kept), (1, 1, 2));
        s.clear();
        assert_eq!((s.window.len(), s.lines.len()), (0, 0));
    }
}
