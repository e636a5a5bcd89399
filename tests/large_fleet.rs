//! Faults in a simulated fleet of full size, with 300 routers and 120 hosts in three zones. The tests check counts of
//! served calls, loads and attempts. The simulation asserts the guarantees at each action: one final answer for each
//! call, one attempt in progress at most, no unsafe retry, no new work for draining hosts, and all load budgets.

mod common;

use common::fleet::*;
use common::*;
use wheellink::*;

const ROUTERS: usize = 300;
const HOSTS: usize = 120;
/// Calls a second: a third of the capacity of the hosts.
const RATE: f64 = 1500.0;

/// A fleet that has run for some seconds.
fn running() -> Fleet {
    let mut fleet = Fleet::new(ROUTERS, HOSTS, 400, 256);
    fleet.advance(5 * S, RATE);
    fleet.counts = Counts::default();
    fleet
}

/// Replaces hosts, `step` at once: these drain, new ones start after half of `time`, and the old ones are gone after
/// the other half.
fn replace(fleet: &mut Fleet, hosts: std::ops::Range<usize>, step: usize, time: Micros) {
    let all: Vec<_> = hosts.map(|i| format!("h{i}")).collect();
    for old in all.chunks(step) {
        old.iter().for_each(|n| fleet.list_host(n, Condition::Draining, 300 * MS));
        fleet.advance(time / 2, RATE);
        for n in old {
            let new = format!("h{}", n[1..].parse::<usize>().unwrap() + 1000);
            fleet.start_host(&new);
            fleet.list_host(&new, Condition::Up, 300 * MS);
        }
        fleet.advance(time / 2, RATE);
        old.iter().for_each(|n| fleet.list_host(n, Condition::Gone, 300 * MS));
    }
}

/// Checks the counts of a run: at least this percentage of the calls was served or abandoned by its client, each
/// function was loaded at most `max_loads` times, no host got more than this share of the attempts of an interval, and
/// no cold host more calls than the settings allow.
fn check(fleet: &mut Fleet, served: usize, max_loads: usize, max_share: f64) {
    fleet.settle();
    let (cold_use, share) = (fleet.cold_budget_used(), fleet.max_host_share(500));
    let seen = &fleet.counts;
    let loads = seen.loads.values().max().copied().unwrap_or(0);
    let counts = format!(
        "{} calls, {} served, {} late, {} refused, {} failed, {} left, {} misses, {} orders; at most {loads} loads \
         of a function, share of a host {share:.3}, {cold_use:.2} of a cold host's limit",
        seen.calls, seen.served, seen.late, seen.refused, seen.failed, seen.left, seen.misses, seen.orders
    );
    println!("{counts}");
    assert!((seen.served + seen.left) * 100 >= seen.calls * served, "{counts}");
    assert!(loads <= max_loads && share <= max_share && cold_use <= 1.0, "{counts}");
}

#[test]
fn seven_in_ten_routers_restart_at_once() {
    let mut fleet = running();
    (0..ROUTERS * 7 / 10).for_each(|r| fleet.restart(r, 2));
    fleet.advance(6 * S, RATE);
    check(&mut fleet, 90, 12, 0.05);
}

#[test]
fn routers_restart_a_tenth_at_a_time_while_half_of_the_hosts_are_replaced() {
    let mut fleet = running();
    for tenth in 0..10 {
        (tenth * 30..tenth * 30 + 30).for_each(|r| fleet.restart(r, 2));
        replace(&mut fleet, tenth * 6..tenth * 6 + 6, 6, 800 * MS);
    }
    check(&mut fleet, 90, 16, 0.06);
}

#[test]
fn six_in_ten_hosts_are_replaced_while_clients_leave_and_retry() {
    let mut fleet = running();
    fleet.early_leavers = 7;
    replace(&mut fleet, 0..72, 12, 1100 * MS);
    check(&mut fleet, 85, 30, 0.08);
}

#[test]
fn a_zone_or_a_fifth_of_the_hosts_is_silent_for_a_while() {
    for silent in [3, 5] {
        let mut fleet = running();
        let hosts: Vec<_> = (0..HOSTS).filter(|i| i % silent == 0).map(|i| format!("h{i}")).collect();
        hosts.iter().for_each(|n| fleet.hosts.get_mut(n).unwrap().silent = true);
        fleet.advance(5 * S, RATE);
        hosts.iter().for_each(|n| fleet.hosts.get_mut(n).unwrap().silent = false);
        fleet.advance(3 * S, RATE);
        check(&mut fleet, 60, 20, 0.08);
    }
}

#[test]
fn gossip_fails_for_six_seconds_in_one_or_both_directions() {
    for both in [false, true] {
        let mut fleet = running();
        let half = 0..ROUTERS / 2;
        fleet.not_sending = half.clone().collect();
        if both {
            fleet.not_receiving = (0..ROUTERS).collect();
        }
        fleet.advance(6 * S, RATE);
        (fleet.not_sending, fleet.not_receiving) = Default::default();
        fleet.advance(3 * S, RATE);
        check(&mut fleet, 90, 60, 0.09);
    }
}

/// In two hours of one router's clock, functions change (its own and those that gossip reports), hosts are replaced and
/// clients leave. A router that did not remove old entries would have more of them at the end than at half time.
#[test]
fn the_tables_of_a_router_do_not_grow_over_time() {
    let large = Settings { routers: 12, max_gossip_bytes: 256, when_cold: WhenCold::Misses, ..settings() };
    let (mut bed, mut other) =
        (TestBed::new(large.clone(), 8), TestBed::new(Settings { router_index: 1, ..large }, 8));
    let mut rng = fastrand::Rng::with_seed(5);
    let mut entries = Vec::new();
    for second in 0..7200 {
        let epoch = second / 30;
        let served = |bed: &mut TestBed, rng: &mut fastrand::Rng, what: &str| {
            let (r, mut out) = bed.call(SAFE, &format!("{what}{}", epoch * 7 + rng.i32(0..20)));
            for attempt in 0..4 {
                let Some(w) = sent(&out) else { break };
                let outcome = if rng.u8(..10) == 0 { Outcome::Miss } else { Outcome::Done };
                out = bed.answer(&r, attempt, &w, outcome);
                for (worker, function, copies) in loads(&out) {
                    out = bed.event(Event::LoadEnded { worker, function, outcome: Outcome::Done, copies });
                }
            }
            bed.event(Event::ClientLeft { request: r });
        };
        served(&mut bed, &mut rng, "own");
        served(&mut other, &mut rng, "other");
        if second % 60 == 0 {
            let (gone, new) = (format!("w{}", second / 60), format!("w{}", second / 60 + 8));
            let ready_at = bed.now;
            let gone = entry(&gone, Condition::Gone);
            let list = vec![gone, ListEntry { ready_at, ..entry(&new, Condition::Up) }];
            for b in [&mut bed, &mut other] {
                b.event(Event::List { kind: ListKind::Delta, entries: list.clone() });
            }
        }
        bed.advance(S);
        for action in other.advance(S) {
            if let Action::Broadcast { data } = action {
                (1..12).for_each(|from| drop(bed.event(Event::GossipReceived { from, data: data.clone() })));
            }
        }
        // The number of entries varies as counts are halved, so means over ten minutes are compared.
        entries.push(bed.router.entries() as f64);
    }
    let mean = |from: usize| entries[from..from + 600].iter().sum::<f64>() / 600.0;
    let (half, end) = (mean(3000), mean(6600));
    assert!(half > 100.0 && (end / half - 1.0).abs() < 0.1, "{half} entries at half time, {end} at the end");
}

/// Six in ten hosts restart, under new names or their own, and the list of each router shows each start at a random
/// time within four seconds. Until then a router sends as before; the routers whose list shows the start must together
/// stay within the limit of cold hosts.
#[test]
fn routers_that_know_of_a_start_overload_no_cold_host_whenever_each_learns_of_it() {
    for (renamed, gossip) in [(true, 256), (false, 0)] {
        let mut fleet = Fleet::new(ROUTERS, HOSTS, 400, gossip);
        fleet.set_cold_limits(0.1, 1.5);
        fleet.advance(3 * S, RATE);
        for i in (0..HOSTS).filter(|i| i % 5 < 3) {
            let n = if renamed { format!("h{}", i + 1000) } else { format!("h{i}") };
            if renamed {
                fleet.list_host(&format!("h{i}"), Condition::Gone, 300 * MS);
            }
            fleet.start_host(&n);
            fleet.list_host(&n, Condition::Up, 4 * S);
        }
        fleet.advance(7 * S, RATE);
        let (overloaded, max) = fleet.overloaded_hosts();
        let sent: usize = fleet.hosts.values().filter(|h| h.started > 0).map(|h| h.arrivals.len()).sum();
        println!("renamed {renamed}, gossip {gossip}: {max:.2} of the limit, {sent} sends");
        assert!(overloaded.is_empty(), "renamed {renamed}, gossip {gossip}: {overloaded:?}, {max:.2}");
        assert!(sent > 40, "the started hosts are hardly used: {sent} sends");
        fleet.settle();
    }
}

/// The test before comes nowhere near the limit of a cold host, as many warm hosts get its calls. Here nearly all hosts
/// restart, at a rate of calls that the whole fleet can just serve, so that every router sends as much as its share
/// allows.
#[test]
fn routers_with_hardly_any_warm_hosts_overload_no_cold_host() {
    // 40 hosts of 4 cores with 100 ms a call: 1,600 a second.
    let mut fleet = Fleet::new(100, 40, 130, 256);
    fleet.set_cold_limits(0.15, 2.0);
    fleet.advance(3 * S, 1500.0);
    for i in 0..38 {
        let n = format!("h{}", i + 1000);
        fleet.list_host(&format!("h{i}"), Condition::Gone, 100 * MS);
        fleet.start_host(&n);
        fleet.list_host(&n, Condition::Up, S);
    }
    fleet.advance(5 * S, 1500.0);
    let (overloaded, max) = fleet.overloaded_hosts();
    println!("{max:.2} of the limit");
    assert!(overloaded.is_empty(), "{overloaded:?} failed, {max:.2}");
    assert!(max > 0.3, "{max:.2} of the limit: too little load for this test");
}

/// Three classes (safe requests with a long aim, keyed ones with the highest worth, unsafe ones with the shortest aim)
/// and three tenants, under overload, with a fifth of the hosts silent, with half of the hosts replaced, and after a
/// release that unloads all copies. For each class and tenant, the share of its calls that is served in time is at
/// least half of that of all calls under overload, and 0.9 of it in the other cases. Client retries do not count.
#[test]
fn no_class_and_no_tenant_starves() {
    let settings = three_classes_and_tenants(40, 256, 400.0);
    for (case, min_part) in [("overload", 0.5), ("silent", 0.9), ("replaced", 0.9), ("released", 0.9)] {
        let mut fleet = Fleet::with_settings(settings.clone(), 24, 80);
        fleet.classes = vec![UNSAFE, SAFE, KEYED, SAFE, SAFE];
        // 24 hosts of 4 cores with 100 ms a call: 960 a second.
        let rate = if case == "overload" { 1400.0 } else { 500.0 };
        fleet.advance(3 * S, 500.0);
        (fleet.counts, fleet.counted_from) = (Counts::default(), fleet.now);
        if case == "silent" {
            (0..24).step_by(5).for_each(|i| fleet.hosts.get_mut(&format!("h{i}")).unwrap().silent = true);
        }
        if case == "released" {
            fleet.release();
        }
        if case == "replaced" {
            for i in 0..12 {
                let new = format!("h{}", i + 1000);
                fleet.list_host(&format!("h{i}"), Condition::Gone, 300 * MS);
                fleet.start_host(&new);
                fleet.list_host(&new, Condition::Up, 300 * MS);
            }
        }
        fleet.advance(5 * S, rate);
        fleet.advance(10 * S, 0.0);
        fleet.settle();
        let sum = |class: Option<usize>, tenant: Option<usize>| {
            let fits = |of: &(usize, Option<usize>)| {
                class.is_none_or(|c| of.0 == c) && tenant.is_none_or(|t| of.1 == Some(t))
            };
            let all = fleet.counts.within_aim.iter().filter(|(of, _)| fits(of)).map(|(_, share)| *share);
            let (calls, in_time) = all.fold((0, 0), |sum, share| (sum.0 + share.0, sum.1 + share.1));
            in_time as f64 / calls.max(1) as f64
        };
        let all = sum(None, None);
        let classes = [SAFE, UNSAFE, KEYED].map(|class| sum(Some(class), None));
        let tenants = [0, 1, 2].map(|tenant| sum(None, Some(tenant)));
        println!("{case}: {all:.2} of all, classes {classes:.2?}, tenants {tenants:.2?}");
        assert!(all > 0.3, "{case}: {all:.2}");
        let min = classes.iter().chain(&tenants).copied().fold(1.0, f64::min);
        assert!(
            min >= all * min_part,
            "{case}: {all:.2} of all, classes {classes:.2?}, tenants {tenants:.2?}"
        );
    }
}

/// Without gossip, where a miss loads the function, each router sees about a hundredth of the calls of a function, so
/// that its estimate of the function's share of the calls is noisy. With the overlapping calls that answers report, the
/// estimate is better, and rarely called functions are loaded at fewer hosts.
#[test]
fn reported_overlap_saves_loads_where_routers_do_not_gossip() {
    let loads = |overlap_reports: bool| {
        let settings = Settings { routers: ROUTERS as u32, ..settings() };
        let mut fleet = Fleet::with_settings(settings, HOSTS, 1200);
        (fleet.overlap_reports, fleet.load_time) = (overlap_reports, S);
        fleet.advance(20 * S, RATE);
        fleet.settle();
        let (seen, all) = (&fleet.counts, fleet.counts.loads.values().sum::<usize>());
        println!(
            "reports {overlap_reports}: {all} loads of {} functions, {} late of {}",
            seen.loads.len(),
            seen.late,
            seen.calls
        );
        (all - seen.loads.len(), seen.late)
    };
    let (with, without) = (loads(true), loads(false));
    assert!(with.0 * 10 < without.0 * 7, "{} further loads, {} without reports", with.0, without.0);
    assert!(with.1 < without.1, "{} late, {} without reports", with.1, without.1);
}
