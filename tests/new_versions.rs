//! New versions of what is loaded: copies that were believed warm are void all at once, and nobody is told. A router
//! finds out by a miss, which says that what it believed of that host is void; the others learn it by gossip.

mod common;

use std::collections::BTreeSet;

use common::fleet::*;
use common::*;
use wheellink::*;

/// A router that believes a copy of `f` at each of so many workers, where only orders load.
fn believes_copies_at(workers: usize) -> TestBed {
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

/// Workers that the router believes to hold a copy.
fn believed(bed: &TestBed) -> BTreeSet<WorkerId> {
    bed.router.handover_state().loaded.into_iter().map(|copy| copy.worker).collect()
}

/// Each miss voids what was believed of its worker, for every call that comes after it, and of no other worker.
#[test]
fn a_copy_found_void_is_not_believed_until_it_is_loaded_again() {
    let mut bed = believes_copies_at(3);
    assert_eq!(believed(&bed).len(), 3);
    let (request, mut out) = bed.call(SAFE, "f");
    let mut void = BTreeSet::new();
    while let Some(worker) = sent(&out) {
        assert!(void.insert(worker.clone()), "{worker:?} is asked again, and holds nothing");
        out = bed.answer(&request, void.len() as u32 - 1, &worker, Outcome::Miss);
        assert_eq!(believed(&bed).len(), 3 - void.len());
    }
    assert!(!void.is_empty());
    // Calls of any class leave these alone as long as no load there has ended.
    for class in [SAFE, UNSAFE, KEYED] {
        let to = sent(&bed.call(class, "f").1);
        assert!(to.as_ref().is_none_or(|worker| !void.contains(worker)), "class {class}: {to:?}");
    }
}

/// The call that found out is served by the load that its own miss began, within its attempts.
#[test]
fn a_call_that_meets_a_new_version_is_served_by_the_load_that_it_began() {
    let mut bed = believes_copies_at(1);
    let (request, out) = bed.call(UNSAFE, "f");
    let worker = sent(&out).unwrap();
    let out = bed.answer(&request, 0, &worker, Outcome::Miss);
    assert_eq!(loads(&out), vec![(worker.clone(), "f".into(), 1)]);
    assert_eq!(sent(&bed.advance(300 * MS)), None, "nothing is sent while the load is under way");
    let ended =
        Event::LoadEnded { worker: worker.clone(), function: "f".into(), outcome: Outcome::Done, copies: 1 };
    assert_eq!(sent(&bed.event(ended)), Some(worker.clone()));
    let out = bed.answer(&request, 1, &worker, Outcome::Done);
    assert_eq!((refused(&out), failed(&out)), (0, 0));
}

const ROUTERS: usize = 40;
const HOSTS: usize = 24;
const FUNCTIONS: usize = 60;
/// Calls a second of a quiet day: a quarter of what the hosts bear.
const QUIET: f64 = 240.0;

/// Four functions in ten.
fn is_released(function: &FunctionId) -> bool {
    let number: usize = function.0[1..].parse().unwrap();
    number % 10 < 4
}

/// A quiet day with a new version of four functions in ten every three seconds; what was seen of it.
fn day_of_versions(post: Delivery, seed: u64) -> Counts {
    let mut fleet = Fleet::new(ROUTERS, HOSTS, FUNCTIONS, 256);
    fleet.seed(seed);
    fleet.delivery = post;
    fleet.advance(8 * S, QUIET);
    fleet.counts = Counts::default();
    for _ in 0..4 {
        fleet.release_functions(is_released);
        fleet.advance(3 * S, QUIET);
    }
    fleet.settle();
    fleet.counts
}

/// None fails, one in a hundred is refused at the most, and few come late. With gossip, one that finds a place void spares the others the way there.
#[test]
fn versions_on_a_quiet_day_cost_few_calls_and_break_no_rule() {
    let mut misses = [0, 0];
    for seed in 1..=3 {
        for (told, post) in [Delivery::Lost, Delivery::Normal].into_iter().enumerate() {
            let seen = day_of_versions(post, seed);
            let Counts { calls, late, refused, failed, misses: missed, orders, .. } = seen;
            let figures =
                format!("{calls} calls, {late} late, {refused} refused, {missed} misses, {orders} orders");
            println!("seed {seed}, gossip {}: {figures}", told == 1);
            assert_eq!(failed, 0, "{figures}");
            assert!(refused * 100 < calls, "{figures}");
            assert!(late * 100 < calls * 6, "{figures}");
            misses[told] += seen.misses;
        }
    }
    assert!(misses[1] * 3 < misses[0] * 2, "{} misses with gossip, {} without", misses[1], misses[0]);
}
