//! Releases of new function versions: all copies of the old version are unloaded at once, without notice to the
//! routers. A router finds out by a miss, after which it no longer assumes a copy at that host, and the others learn it
//! by gossip.

mod common;

use std::collections::BTreeSet;

use common::fleet::*;
use common::*;
use wheellink::*;

/// A router that assumes a copy of `f` at each of this many workers, where only orders load.
fn with_assumed_copies(workers: usize) -> TestBed {
    let mut bed = TestBed::new(Settings { when_cold: WhenCold::Misses, ..settings() }, workers);
    let copy = |i: usize| LoadedFunction {
        worker: format!("w{i}").as_str().into(),
        function: "f".into(),
        lanes: 2,
        copies: 1,
        until: bed.now + 5 * S,
        calls: 3.0,
    };
    let loaded = (0..workers).map(copy).collect();
    bed.event(Event::Handover(HandoverState { loaded, ..HandoverState::default() }));
    bed
}

/// Workers at which the router assumes a copy.
fn assumed(bed: &TestBed) -> BTreeSet<WorkerId> {
    bed.router.handover_state().loaded.into_iter().map(|copy| copy.worker).collect()
}

/// After a miss, no later call may be sent to that worker for the lost copy; copies at other workers are still assumed.
#[test]
fn a_missing_copy_is_not_assumed_until_it_is_loaded_again() {
    let mut bed = with_assumed_copies(3);
    assert_eq!(assumed(&bed).len(), 3);
    let (request, mut out) = bed.call(SAFE, "f");
    let mut missing = BTreeSet::new();
    while let Some(worker) = sent(&out) {
        assert!(missing.insert(worker.clone()), "{worker:?} is used again, though it has no copy");
        out = bed.answer(&request, missing.len() as u32 - 1, &worker, Outcome::Miss);
        assert_eq!(assumed(&bed).len(), 3 - missing.len());
    }
    assert!(!missing.is_empty());
    // No call of any class is sent to these workers until a load there has ended.
    for class in [SAFE, UNSAFE, KEYED] {
        let next = sent(&bed.call(class, "f").1);
        assert!(next.as_ref().is_none_or(|worker| !missing.contains(worker)), "class {class}: {next:?}");
    }
}

/// The load that a miss starts must serve the same call within its maximum of attempts.
#[test]
fn a_call_that_misses_a_new_version_is_served_by_the_load_that_it_started() {
    let mut bed = with_assumed_copies(1);
    let (request, out) = bed.call(UNSAFE, "f");
    let worker = sent(&out).unwrap();
    let out = bed.answer(&request, 0, &worker, Outcome::Miss);
    assert_eq!(loads(&out), vec![(worker.clone(), "f".into(), 1)]);
    assert_eq!(sent(&bed.advance(300 * MS)), None, "sent while the load is in progress");
    let ended =
        Event::LoadEnded { worker: worker.clone(), function: "f".into(), outcome: Outcome::Done, copies: 1 };
    assert_eq!(sent(&bed.event(ended)), Some(worker.clone()));
    let out = bed.answer(&request, 1, &worker, Outcome::Done);
    assert_eq!((refused(&out), failed(&out)), (0, 0));
}

const ROUTERS: usize = 40;
const HOSTS: usize = 24;
const FUNCTIONS: usize = 60;
/// Calls a second: a quarter of the capacity of the hosts.
const LOW_RATE: f64 = 240.0;

/// Whether the function is one of the four in ten that are released.
fn is_released(function: &FunctionId) -> bool {
    let number: usize = function.0[1..].parse().unwrap();
    number % 10 < 4
}

/// Counts of a run at a low rate, with a new version of four functions in ten every three seconds.
fn run_with_releases(delivery: Delivery, seed: u64) -> Counts {
    let mut fleet = Fleet::new(ROUTERS, HOSTS, FUNCTIONS, 256);
    fleet.seed(seed);
    fleet.delivery = delivery;
    fleet.advance(8 * S, LOW_RATE);
    fleet.counts = Counts::default();
    for _ in 0..4 {
        fleet.release_functions(is_released);
        fleet.advance(3 * S, LOW_RATE);
    }
    fleet.settle();
    fleet.counts
}

/// No call fails, at most one in a hundred is refused, and few are late. With gossip, a router that misses a copy saves
/// the other routers from sending calls there.
#[test]
fn releases_at_a_low_rate_affect_few_calls_and_break_no_guarantee() {
    let mut misses = [0, 0];
    for seed in 1..=3 {
        for (gossip, delivery) in [Delivery::Lost, Delivery::Normal].into_iter().enumerate() {
            let counts = run_with_releases(delivery, seed);
            let Counts { calls, late, refused, failed, misses: missed, orders, .. } = counts;
            let figures =
                format!("{calls} calls, {late} late, {refused} refused, {missed} misses, {orders} orders");
            println!("seed {seed}, gossip {}: {figures}", gossip == 1);
            assert_eq!(failed, 0, "{figures}");
            assert!(refused * 100 < calls, "{figures}");
            assert!(late * 100 < calls * 6, "{figures}");
            misses[gossip] += counts.misses;
        }
    }
    assert!(misses[1] * 3 < misses[0] * 2, "{} misses with gossip, {} without", misses[1], misses[0]);
}
