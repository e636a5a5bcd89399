//! The fleet at full size, 300 routers and 120 hosts in three zones: the troubles of its days, seeded, by counts. That
//! each call gets one final answer, has one attempt out at most, no unsafe repeat, and that drains and rations are kept,
//! is asserted at each action by the helper.

mod common;

use common::fleet::*;
use common::*;
use wheellink::*;

const ROUTERS: usize = 300;
const HOSTS: usize = 120;
/// Calls a second: a third of what the hosts can do.
const RATE: f64 = 1500.0;

/// A fleet that has run for some seconds.
fn running() -> Fleet {
    let mut fleet = Fleet::new(ROUTERS, HOSTS, 400, 256);
    fleet.advance(5 * S, RATE);
    fleet.counts = Counts::default();
    fleet
}

/// Replaces hosts from one number on: half of each step's time to drain, then a new process elsewhere.
fn replace(fleet: &mut Fleet, hosts: std::ops::Range<usize>, step: usize, each: Micros) {
    let all: Vec<_> = hosts.map(|i| format!("h{i}")).collect();
    for old in all.chunks(step) {
        old.iter().for_each(|n| fleet.list_host(n, Condition::Draining, 300 * MS));
        fleet.advance(each / 2, RATE);
        for n in old {
            let new = format!("h{}", n[1..].parse::<usize>().unwrap() + 1000);
            fleet.start_host(&new);
            fleet.list_host(&new, Condition::Up, 300 * MS);
        }
        fleet.advance(each / 2, RATE);
        old.iter().for_each(|n| fleet.list_host(n, Condition::Gone, 300 * MS));
    }
}

/// What must hold after each of the days.
fn holds(fleet: &mut Fleet, served: usize, loads: usize, draw: f64) {
    fleet.settle();
    let (budget, largest) = (fleet.cold_budget_used(), fleet.max_host_share(500));
    let seen = &fleet.counts;
    let most = seen.loads.values().max().copied().unwrap_or(0);
    let counts = format!(
        "{} calls, {} served, {} late, {} refused, {} failed, {} left, {} misses, {} orders; a function loaded {most} \
         times, a host drew {largest:.3}, {budget:.2} of a cold budget",
        seen.calls, seen.served, seen.late, seen.refused, seen.failed, seen.left, seen.misses, seen.orders
    );
    println!("{counts}");
    assert!((seen.served + seen.left) * 100 >= seen.calls * served, "{counts}");
    assert!(most <= loads && largest <= draw && budget <= 1.0, "{counts}");
}

#[test]
fn seven_in_ten_routers_die_at_once() {
    let mut fleet = running();
    (0..ROUTERS * 7 / 10).for_each(|r| fleet.restart(r, 2));
    fleet.advance(6 * S, RATE);
    holds(&mut fleet, 90, 12, 0.05);
}

#[test]
fn routers_restart_a_tenth_at_a_time_while_half_of_the_hosts_are_replaced() {
    let mut fleet = running();
    for tenth in 0..10 {
        (tenth * 30..tenth * 30 + 30).for_each(|r| fleet.restart(r, 2));
        replace(&mut fleet, tenth * 6..tenth * 6 + 6, 6, 800 * MS);
    }
    holds(&mut fleet, 90, 16, 0.06);
}

#[test]
fn six_in_ten_hosts_are_replaced_while_clients_leave_and_come_again() {
    let mut fleet = running();
    fleet.early_leavers = 7;
    replace(&mut fleet, 0..72, 12, 1100 * MS);
    holds(&mut fleet, 85, 30, 0.08);
}

#[test]
fn a_zone_or_a_fifth_of_the_hosts_falls_silent_and_comes_back() {
    for silent in [3, 5] {
        let mut fleet = running();
        let hosts: Vec<_> = (0..HOSTS).filter(|i| i % silent == 0).map(|i| format!("h{i}")).collect();
        hosts.iter().for_each(|n| fleet.hosts.get_mut(n).unwrap().silent = true);
        fleet.advance(5 * S, RATE);
        hosts.iter().for_each(|n| fleet.hosts.get_mut(n).unwrap().silent = false);
        fleet.advance(3 * S, RATE);
        holds(&mut fleet, 60, 20, 0.08);
    }
}

#[test]
fn telling_is_cut_for_six_seconds_one_way_and_both_ways_and_heals() {
    for both in [false, true] {
        let mut fleet = running();
        let part = 0..ROUTERS / 2;
        fleet.not_sending = part.clone().collect();
        if both {
            fleet.not_receiving = (0..ROUTERS).collect();
        }
        fleet.advance(6 * S, RATE);
        (fleet.not_sending, fleet.not_receiving) = Default::default();
        fleet.advance(3 * S, RATE);
        holds(&mut fleet, 90, 60, 0.09);
    }
}

/// Two hours of one router's clock: functions come and go, its own and those that others tell of, hosts are replaced, and
/// clients leave. What it remembers at the end is what it remembered at half time.
#[test]
fn what_a_router_remembers_settles() {
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
        // A router's tables breathe with its halvings: a mean over some minutes is what settles.
        entries.push(bed.router.entries() as f64);
    }
    let mean = |from: usize| entries[from..from + 600].iter().sum::<f64>() / 600.0;
    let (half, end) = (mean(3000), mean(6600));
    assert!(half > 100.0 && (end / half - 1.0).abs() < 0.1, "{half} entries at half time, {end} at the end");
}

/// Six in ten hosts start anew, under new names or their own, and each router is told of each at a moment of its
/// own within four seconds. Who was not told yet goes on as before; those told keep to what cold hosts bear, all together.
#[test]
fn told_routers_push_no_cold_host_over_whenever_each_is_told() {
    for (anew, tell) in [(true, 256), (false, 0)] {
        let mut fleet = Fleet::new(ROUTERS, HOSTS, 400, tell);
        fleet.set_cold_limits(0.1, 1.5);
        fleet.advance(3 * S, RATE);
        for i in (0..HOSTS).filter(|i| i % 5 < 3) {
            let n = if anew { format!("h{}", i + 1000) } else { format!("h{i}") };
            if anew {
                fleet.list_host(&format!("h{i}"), Condition::Gone, 300 * MS);
            }
            fleet.start_host(&n);
            fleet.list_host(&n, Condition::Up, 4 * S);
        }
        fleet.advance(7 * S, RATE);
        let (fallen, most) = fleet.overloaded_hosts();
        let sent: usize = fleet.hosts.values().filter(|h| h.started > 0).map(|h| h.arrivals.len()).sum();
        println!("anew {anew}, tell {tell}: {most:.2} of what fells one, {sent} sends");
        assert!(fallen.is_empty(), "anew {anew}, tell {tell}: {fallen:?} fell, {most:.2}");
        assert!(sent > 40, "they are put to use: {sent} sends");
        fleet.settle();
    }
}

/// The case before comes nowhere near what fells a cold host, as hundreds of warm ones take its calls. Here all but a few
/// start anew at a rate that the fleet as a whole just bears, so that every router uses all that it grants itself.
#[test]
fn told_routers_that_have_next_to_nothing_but_cold_hosts_push_none_over() {
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
    let (fallen, most) = fleet.overloaded_hosts();
    println!("{most:.2} of what fells one");
    assert!(fallen.is_empty(), "{fallen:?} fell, {most:.2}");
    assert!(most > 0.3, "{most:.2} of what fells one: this case presses on nothing");
}

/// Three classes as the days have them (reads with time, keyed ones worth most, mails with the tightest aim that never may
/// be repeated) and three tenants, on days that starve somebody: more calls than the hosts bear, a fifth of the hosts silent,
/// half of the hosts
/// replaced, all copies void. None gets less than half of what all get under overload, and about as much on the others.
#[test]
fn no_class_and_no_tenant_starves() {
    let settings = three_classes_and_tenants(40, 256, 400.0);
    for (day, least_part) in [("overload", 0.5), ("silent", 0.9), ("replaced", 0.9), ("released", 0.9)] {
        let mut fleet = Fleet::with_settings(settings.clone(), 24, 80);
        fleet.classes = vec![UNSAFE, SAFE, KEYED, SAFE, SAFE];
        // 24 hosts of 4 cores with 100 ms a call: 960 a second.
        let rate = if day == "overload" { 1400.0 } else { 500.0 };
        fleet.advance(3 * S, 500.0);
        (fleet.counts, fleet.counted_from) = (Counts::default(), fleet.now);
        if day == "silent" {
            (0..24).step_by(5).for_each(|i| fleet.hosts.get_mut(&format!("h{i}")).unwrap().silent = true);
        }
        if day == "released" {
            fleet.release();
        }
        if day == "replaced" {
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
            let (tries, in_time) = all.fold((0, 0), |sum, share| (sum.0 + share.0, sum.1 + share.1));
            in_time as f64 / tries.max(1) as f64
        };
        let all = sum(None, None);
        let classes = [SAFE, UNSAFE, KEYED].map(|class| sum(Some(class), None));
        let tenants = [0, 1, 2].map(|tenant| sum(None, Some(tenant)));
        println!("{day}: {all:.2} of all, classes {classes:.2?}, tenants {tenants:.2?}");
        assert!(all > 0.3, "{day}: {all:.2}");
        let least = classes.iter().chain(&tenants).copied().fold(1.0, f64::min);
        assert!(
            least >= all * least_part,
            "{day}: {all:.2} of all, classes {classes:.2?}, tenants {tenants:.2?}"
        );
    }
}

/// Routers that hear no other, where a miss loads: each sees a hundredth of the calls for a function, and its share of them
/// is chance. What answers tell of the crowd there says more, so that fewer places are loaded for what few call.
#[test]
fn crowds_that_answers_tell_spare_loads_where_no_router_hears_another() {
    let loads = |crowds: bool| {
        let told = Settings { routers: ROUTERS as u32, ..settings() };
        let mut fleet = Fleet::with_settings(told, HOSTS, 1200);
        (fleet.overlap_reports, fleet.load_time) = (crowds, S);
        fleet.advance(20 * S, RATE);
        fleet.settle();
        let (seen, all) = (&fleet.counts, fleet.counts.loads.values().sum::<usize>());
        println!(
            "crowds {crowds}: {all} loads of {} functions, {} late of {}",
            seen.loads.len(),
            seen.late,
            seen.calls
        );
        (all - seen.loads.len(), seen.late)
    };
    let (told, untold) = (loads(true), loads(false));
    assert!(
        told.0 * 10 < untold.0 * 7,
        "{} loads besides the first, {} where nothing is told",
        told.0,
        untold.0
    );
    assert!(told.1 < untold.1, "{} late, {} where nothing is told", told.1, untold.1);
}
