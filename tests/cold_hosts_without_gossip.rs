//! Hundreds of routers that hear no other, and hosts that start cold: what all of them together send.

mod common;

use common::fleet::*;
use common::*;
use wheellink::*;

const ROUTERS: u32 = 300;
const HOSTS: usize = 60;
/// Calls a second: half of what the hosts can do.
const RATE: f64 = 600.0;

/// A fleet that has run for so long. A call that finds no copy loads one; nobody tells anybody.
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

/// Of these functions, those that have this host first in their order.
fn at_home(host: &str, names: impl Iterator<Item = String>, many: usize) -> Vec<FunctionId> {
    let mut bed = TestBed::new(settings(), 0);
    let list = (0..HOSTS).map(|i| entry(&format!("h{i}"), Condition::Up)).collect();
    bed.event(Event::List { kind: ListKind::Full, entries: list });
    let theirs = names.filter(|f| &*bed.serve(SAFE, f).0 == host);
    theirs.take(many).map(|f| f.as_str().into()).collect()
}

type Names = Box<dyn Iterator<Item = String>>;

/// Names that nobody called before.
fn new() -> Names {
    Box::new((0..).map(|i| format!("new{i}")))
}

/// Names that have been called for long, each so seldom that few routers met it.
fn seldom() -> Names {
    Box::new((100..300).map(|i| format!("f{i}")))
}

fn start(fleet: &mut Fleet, hosts: impl Iterator<Item = usize>) {
    for n in hosts.map(|i| format!("h{i}")) {
        fleet.start_host(&n);
        fleet.list_host(&n, Condition::Up, 100 * MS);
    }
}

/// No host fell, and those that started were asked so often at the least.
fn holds(what: &str, fleet: &Fleet, least: usize) {
    let (fallen, most) = fleet.overloaded_hosts();
    let asked: usize = fleet.hosts.values().filter(|h| h.started > 0).map(|h| h.arrivals.len()).sum();
    let (seen, loads) = (&fleet.counts, fleet.counts.loads.values().sum::<usize>());
    let counts = format!(
        "{what}: {asked} calls to starting hosts, {most:.2} of what fells one; {} calls in all, {} late, {loads} loads",
        seen.calls, seen.late
    );
    println!("{counts}");
    assert!(fallen.is_empty() && asked >= least, "{counts}; fallen {fallen:?}");
}

/// A host bears 41 calls in two seconds when it starts, and 600 come for it. Where starting hosts take whole functions,
/// the first call of each router is too many already.
#[test]
fn functions_hot_at_all_routers_at_once_push_no_starting_host_over() {
    let surges = [
        ("three new functions", at_home("h7", new(), 3)),
        ("many new functions of one home", at_home("h7", new(), 60)),
        ("functions that were seldom called", at_home("h7", seldom(), 3)),
    ];
    for (what, functions) in surges {
        let mut fleet = running(10 * S);
        start(&mut fleet, 7..8);
        fleet.advance(S, RATE);
        fleet.surge = (0.5, functions);
        fleet.advance(4 * S, RATE);
        holds(what, &fleet, 0);
    }
}

#[test]
fn hot_functions_push_none_of_several_starting_hosts_over() {
    let mut fleet = running(10 * S);
    for step in 0..4 {
        start(&mut fleet, step * 6..step * 6 + 6);
        if step == 1 {
            fleet.surge = (0.5, at_home("h7", new(), 3));
        }
        fleet.advance(2 * S, RATE);
    }
    fleet.advance(4 * S, RATE);
    holds("24 hosts start", &fleet, 20);
}
