//! The number of calls that hundreds of routers without gossip together send to cold hosts.

mod common;

use common::fleet::*;
use common::*;
use wheellink::*;

const ROUTERS: u32 = 300;
const HOSTS: usize = 60;
/// Calls a second: half of the capacity of the hosts.
const RATE: f64 = 600.0;

/// A fleet without gossip that has run for this time. A call that finds no copy loads one.
fn running(time: Micros) -> Fleet {
    let settings = Settings {
        routers: ROUTERS,
        load_budget: Some(LoadBudget { free: 6.0, share: 0.2, period: 5 * S }),
        cold_from: 0.3,
        cold_for: 12 * S,
        ..settings()
    };
    let mut fleet = Fleet::with_settings(settings, HOSTS, 300);
    (fleet.work, fleet.load_time, fleet.cores) = (150 * MS, 1200 * MS, 3);
    fleet.advance(time, RATE);
    fleet.counts = Counts::default();
    fleet
}

/// Of these functions, the first `count` that have this host first in their order.
fn functions_of(host: &str, names: impl Iterator<Item = String>, count: usize) -> Vec<FunctionId> {
    let mut bed = TestBed::new(settings(), 0);
    let list = (0..HOSTS).map(|i| entry(&format!("h{i}"), Condition::Up)).collect();
    bed.event(Event::List { kind: ListKind::Full, entries: list });
    let theirs = names.filter(|f| &*bed.serve(SAFE, f).0 == host);
    theirs.take(count).map(|f| f.as_str().into()).collect()
}

type Names = Box<dyn Iterator<Item = String>>;

/// Names of functions that were never called before.
fn new_names() -> Names {
    Box::new((0..).map(|i| format!("new{i}")))
}

/// Names of functions that are called so rarely that few routers have seen a call.
fn rare_names() -> Names {
    Box::new((100..300).map(|i| format!("f{i}")))
}

fn start(fleet: &mut Fleet, hosts: impl Iterator<Item = usize>) {
    for n in hosts.map(|i| format!("h{i}")) {
        fleet.start_host(&n);
        fleet.list_host(&n, Condition::Up, 100 * MS);
    }
}

/// Checks that no host failed and that the started ones got at least this many calls.
fn check(what: &str, fleet: &Fleet, min_calls: usize) {
    let (overloaded, max) = fleet.overloaded_hosts();
    let calls: usize = fleet.hosts.values().filter(|h| h.started > 0).map(|h| h.arrivals.len()).sum();
    let (seen, loads) = (&fleet.counts, fleet.counts.loads.values().sum::<usize>());
    let counts = format!(
        "{what}: {calls} calls to started hosts, {max:.2} of the limit; {} calls in all, {} late, {loads} loads",
        seen.calls, seen.late
    );
    println!("{counts}");
    assert!(overloaded.is_empty() && calls >= min_calls, "{counts}; failed {overloaded:?}");
}

/// A host that has just started can take 41 calls in two seconds, and 600 calls of its functions arrive. If routers
/// sent it all calls of a function, the first call of each router would already be too many.
#[test]
fn functions_called_at_all_routers_at_once_overload_no_starting_host() {
    let surges = [
        ("three new functions", functions_of("h7", new_names(), 3)),
        ("many new functions of one host", functions_of("h7", new_names(), 60)),
        ("rarely called functions", functions_of("h7", rare_names(), 3)),
    ];
    for (what, functions) in surges {
        let mut fleet = running(10 * S);
        start(&mut fleet, 7..8);
        fleet.advance(S, RATE);
        fleet.surge = (0.5, functions);
        fleet.advance(4 * S, RATE);
        check(what, &fleet, 0);
    }
}

#[test]
fn popular_functions_overload_none_of_several_starting_hosts() {
    let mut fleet = running(10 * S);
    for step in 0..4 {
        start(&mut fleet, step * 6..step * 6 + 6);
        if step == 1 {
            fleet.surge = (0.5, functions_of("h7", new_names(), 3));
        }
        fleet.advance(2 * S, RATE);
    }
    fleet.advance(4 * S, RATE);
    check("24 hosts start", &fleet, 20);
}
