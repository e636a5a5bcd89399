//! What tables, rates, ledgers and gate promise, over random histories.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

use proptest::prelude::*;
use rstest::rstest;
use wheellink_admission::*;

const S: i64 = 1_000_000;

fn address(n: u32) -> IpAddr {
    Ipv4Addr::from(0x0a00_0000 + n).into()
}

fn rules(json: &str) -> Rules {
    let rules: Rules = serde_json::from_str(json).unwrap();
    rules.check(64).unwrap();
    rules
}

fn info(from: IpAddr, tenant: Option<usize>, share: f64) -> RequestInfo {
    RequestInfo { from, tenant, share, worth: 1.0, size: 100 }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more than its rate and burst in any stretch, and never less than it may have.
    #[test]
    fn a_rate_is_a_naive_bucket(per_second in 1u32..500, burst in 1u32..50, gaps in prop::collection::vec(0i64..60_000, 1..300)) {
        let rate = Rate { per_second: per_second.into(), burst: burst.into() };
        let (mut tat, mut tokens, mut last, mut now) = (RateLimiter::default(), f64::from(burst), 100 * S, 100 * S);
        for gap in gaps {
            now += gap;
            tokens = (tokens + (now - last) as f64 * rate.per_second / 1e6).min(rate.burst);
            last = now;
            let taken = tat.take(now, &rate).is_ok();
            // The edge itself may round either way.
            if tokens >= 1.01 {
                prop_assert!(taken, "{tokens} at {now}");
            } else if tokens < 0.99 {
                prop_assert!(!taken, "{tokens} at {now}");
            }
            if taken {
                tokens -= 1.0;
            }
        }
    }

    /// A clock that jumps locks nobody out for longer than a burst takes.
    #[test]
    fn a_clock_that_jumps_locks_nobody_out(jumps in prop::collection::vec(-4_000_000_000_000i64..4_000_000_000_000, 1..40)) {
        let rate = Rate { per_second: 10.0, burst: 5.0 };
        let mut tat = RateLimiter::default();
        for jump in jumps {
            while tat.take(jump, &rate).is_ok() {}
            prop_assert!(tat.take(jump + 600_000, &rate).is_ok());
        }
    }

    /// Ledgers add up, keep to their limit, and whoever is within a reserve that is not lent is never refused.
    #[test]
    fn a_ledger_keeps_its_limit_and_its_reserves(
        reserve in prop::array::uniform5(0usize..8),
        spare in 0usize..10,
        words in prop::collection::vec((0usize..5, any::<bool>(), 1usize..4), 1..400),
    ) {
        let limit = reserve.iter().sum::<usize>() + spare;
        let mut ledger = Ledger::new(limit, reserve).unwrap();
        let mut held = [0usize; 5];
        for (who, takes, units) in words {
            let owner = Owner::ALL[who];
            if takes {
                let within = held[who] + units <= reserve[who];
                let sum: usize = held.iter().sum();
                match ledger.take(owner, units) {
                    TakeOutcome::Granted | TakeOutcome::Borrowed => held[who] += units,
                    TakeOutcome::OwedBy(from) => {
                        prop_assert!(within && held[from as usize] > reserve[from as usize]);
                        prop_assert!(owner == Owner::Known, "only what known clients lend is owed: {:?}", owner);
                    }
                    TakeOutcome::Denied => prop_assert!(!within || sum >= limit, "{owner:?} is within its reserve"),
                }
                if within && owner != Owner::Known {
                    prop_assert!(held.iter().sum::<usize>() > sum, "{owner:?} within its reserve was refused");
                }
            } else {
                let units = units.min(held[who]);
                ledger.release(owner, units);
                held[who] -= units;
            }
            prop_assert_eq!(Owner::ALL.map(|o| ledger.held(o)), held);
            prop_assert!(ledger.total_held() <= limit);
        }
    }

    /// Whatever comes: no table grows beyond its bound, and counts come back to nothing when all have gone.
    #[test]
    fn tables_are_bounded_and_counts_come_back(words in prop::collection::vec((0u32..400, 0u8..4, 0i64..200_000), 1..500)) {
        let mut admission = Admission::new(rules(r#"{"entries":128,"address":{"connections":3,"open":2,"connect_rate":{"per_second":50,"burst":10}}}"#));
        let (mut now, mut here, mut open) = (100 * S, VecDeque::new(), VecDeque::new());
        for (n, word, passed) in words {
            now += passed;
            let from = address(n);
            match word {
                0 if here.len() < 64 => here.extend(admission.connect(now, from).map(|_| from)),
                1 => here.pop_front().iter().for_each(|from| admission.connection_closed(now, *from)),
                2 => {
                    let asks = here.back().map(|from| info(*from, Some(0), 1.0));
                    open.extend(asks.filter(|a| admission.admit_request(now, a).is_ok()));
                }
                _ => open.pop_front().iter().for_each(|a| admission.request_done(now, a, 0, Some(10_000))),
            }
            prop_assert!(admission.tables().0.len() <= 128 && admission.tables().1.len() <= 128);
        }
        open.iter().for_each(|a| admission.request_done(now, a, 0, None));
        here.iter().for_each(|from| admission.connection_closed(now, *from));
        let (per_client, per_neighbourhood) = admission.tables();
        prop_assert!(per_client.iter().chain(per_neighbourhood.iter()).all(|(_, e)| (e.connections, e.open, e.bytes) == (0, 0, 0)));
    }
}

/// A million addresses that come once do not push out the worst one.
#[test]
fn the_worst_outlasts_a_million_that_come_once() {
    let mut admission = Admission::new(rules(r#"{"entries":1024,"address":{"connections":1}}"#));
    let worst = address(1 << 23);
    admission.connect(S, worst).unwrap();
    for n in 0..5_000 {
        assert_eq!(
            admission.connect(S + n, worst),
            Err(if n < 50 { RefusalReason::Connections } else { RefusalReason::Penalty })
        );
    }
    admission.connection_closed(2 * S, worst);
    for n in 0..1_000_000 {
        let from = address(n);
        admission.connect(2 * S, from).unwrap();
        admission.connection_closed(2 * S, from);
    }
    let (per_client, _) = admission.tables();
    assert_eq!(per_client.len(), 1024);
    let (first, weight, error, entry) = per_client.heaviest(2 * S, 1)[0];
    assert_eq!((first, entry.refused), (Prefix::client(worst), 5_000));
    assert!(weight - error > 40_000.0, "{weight} {error}");
    assert!(per_client.evicted > 990_000);
}

/// A penalty doubles, is capped, and ends by itself; while it lasts nothing is read.
#[test]
fn a_penalty_doubles_and_ends_by_itself() {
    let mut admission = Admission::new(rules(
        r#"{"entries":128,"address":{"connections":1},"penalty":{"refusals":3,"window_ms":1000,"first_ms":1000,"longest_ms":4000}}"#,
    ));
    let bad = address(7);
    admission.connect(S, bad).unwrap();
    let mut now = S;
    let mut closed = Vec::new();
    for _ in 0..5 {
        while admission.connect(now, bad) != Err(RefusalReason::Penalty) {
            now += 1000;
        }
        let begun = now;
        while admission.connect(now, bad) == Err(RefusalReason::Penalty) {
            now += 100_000;
        }
        closed.push((now - begun + 50_000) / S);
    }
    assert_eq!(closed, [1, 2, 4, 4, 4]);
    // A minute of peace, and it begins with the first again.
    now += 60 * S;
    while admission.connect(now, bad) != Err(RefusalReason::Penalty) {
        now += 1000;
    }
    assert!(admission.connect(now + S, bad) != Err(RefusalReason::Penalty));
    // A clock that jumps back an hour does not make it last an hour.
    assert!(admission.connect(now - 3600 * S, bad) != Err(RefusalReason::Penalty));
    // And by hand it ends at once.
    while admission.connect(now, bad) != Err(RefusalReason::Penalty) {}
    admission.unblock(now, Prefix::client(bad));
    assert_eq!(admission.connect(now, bad), Err(RefusalReason::Connections));
}

/// Served calls make a client known, bad behaviour spoils that, and it comes back.
#[test]
fn known_is_who_was_served_and_behaves() {
    let mut admission = Admission::new(rules(
        r#"{"entries":128,"address":{"connections":2},"learn_calls":5,"spoilt_ms":10000}"#,
    ));
    let (teacher, listed) = (address(1), address(2));
    assert!(admission.set_known(Prefix::of(listed), true));
    assert_eq!(admission.client_status(S, teacher), ClientStatus::Unknown);
    assert_eq!(admission.client_status(S, listed), ClientStatus::Known);
    admission.connect(S, teacher).unwrap();
    for _ in 0..6 {
        let call = info(teacher, None, 1.0);
        admission.admit_request(S, &call).unwrap();
        admission.request_done(S, &call, 0, Some(1000));
    }
    assert_eq!(admission.client_status(S, teacher), ClientStatus::Known);
    // Known clients have four times the caps; beyond that it is bad behaviour.
    for _ in 0..7 {
        assert_eq!(admission.connect(S, teacher), Ok(ClientStatus::Known));
    }
    assert_eq!(admission.connect(S, teacher), Err(RefusalReason::Connections));
    assert_eq!(admission.client_status(S + 1, teacher), ClientStatus::Unknown, "spoilt");
    assert_eq!(admission.client_status(S + 11 * S, teacher), ClientStatus::Known);
    assert_eq!(
        admission.client_status(S + 3600 * S, teacher),
        ClientStatus::Unknown,
        "calls of an hour ago count for little"
    );
    // A known one that shares its neighbourhood with a bad one is not spoilt with it.
    let bad = address(3);
    for _ in 0..60 {
        let _ = admission.connect(2 * S, bad);
    }
    assert_eq!(admission.connect(2 * S, listed), Ok(ClientStatus::Known));
    assert!(admission.block(Prefix::client(listed)));
    assert_eq!(admission.connect(2 * S, listed), Err(RefusalReason::Blocked));
}

/// Each tenant gets its share within a second, however far above it another was.
#[rstest]
fn a_tenant_above_its_share_gives_way(#[values(1, 2, 3)] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut adaptive = AdaptiveLimit::new(AdaptiveRules { least: 100, most: 100, tolerance: 3.0 });
    let mut open: VecDeque<(i64, usize)> = VecDeque::new();
    let (mut now, mut served) = (0, [[0u32; 2]; 5]);
    // Calls of 50 ms; tenant 0 asks for ten times its half, tenant 1 comes in after two seconds.
    while now < 5 * S {
        now += 100;
        while open.front().is_some_and(|(end, _)| *end <= now) {
            let (_, tenant) = open.pop_front().unwrap();
            adaptive.done(now, 0, Some(tenant), Some(50_000));
        }
        let asks = if now < 2 * S { 0 } else { usize::from(rng.bool()) };
        if adaptive.take(now, 1.0, Some(asks), 0.5).is_ok() {
            open.push_back((now + 50_000, asks));
            served[(now / S).min(4) as usize][asks] += 1;
        }
    }
    assert!(served[1][0] > 1900, "alone it has all: {served:?}");
    assert!(served[3][0].abs_diff(served[3][1]) < 150, "{served:?}");
    assert!(adaptive.state().1 <= 100);
}

/// The limit falls while times are beyond their floor, and rises again; the least worth go first.
#[test]
fn the_limit_follows_the_hosts() {
    let mut adaptive = AdaptiveLimit::new(AdaptiveRules { least: 4, most: 200, tolerance: 3.0 });
    let mut now = 0;
    let mut round = |adaptive: &mut AdaptiveLimit, took: i64, rounds: u32| {
        for _ in 0..rounds {
            let mut taken = 0;
            while adaptive.take(now, 1.0, None, 1.0).is_ok() {
                taken += 1;
            }
            now += 100_000;
            (0..taken).for_each(|_| adaptive.done(now, 0, None, Some(took)));
        }
        adaptive.state().0
    };
    assert_eq!(round(&mut adaptive, 100_000, 5), 200);
    assert!(round(&mut adaptive, 900_000, 10) < 80);
    assert!(round(&mut adaptive, 900_000, 100) >= 4);
    assert!(round(&mut adaptive, 100_000, 150) > 150);
    while adaptive.take(now, 0.0, None, 1.0).is_ok() {}
    let cheap = adaptive.state().1;
    assert!(f64::from(cheap) <= 0.8 * 200.0 + 1.0);
    assert!(adaptive.take(now, 1.0, None, 1.0).is_ok(), "what is worth more still is taken");
}

#[test]
fn a_ledger_lends_what_known_clients_do_not_use_and_is_owed_it_back() {
    // Hosts 4, known 4, others 0, operators 1, own 1; 2 anybody's.
    let mut l = Ledger::new(12, [4, 4, 0, 1, 1]).unwrap();
    assert_eq!((0..2).map(|_| l.take(Owner::Others, 1)).collect::<Vec<_>>(), [TakeOutcome::Granted; 2]);
    assert_eq!((0..4).map(|_| l.take(Owner::Others, 1)).collect::<Vec<_>>(), [TakeOutcome::Borrowed; 4]);
    assert_eq!(l.take(Owner::Others, 1), TakeOutcome::Denied, "hosts, operators and own lend nothing");
    assert_eq!(l.take(Owner::Known, 1), TakeOutcome::OwedBy(Owner::Others));
    l.release(Owner::Others, 1);
    assert_eq!(l.take(Owner::Known, 1), TakeOutcome::Granted);
    assert!(
        (0..4).all(|_| l.take(Owner::Hosts, 1) == TakeOutcome::Granted),
        "a call that was taken reaches its host"
    );
    // The limit falls below what is in use: nothing more is taken until enough has gone.
    l.set_limits(6, [2, 2, 0, 1, 1]).unwrap();
    assert_eq!((l.total_held(), l.take(Owner::Hosts, 1)), (10, TakeOutcome::Denied));
    assert!(l.set_limits(3, [2, 2, 0, 1, 1]).unwrap_err().0.contains("more than the limit of 3"));
}

/// The system says that it has no more although the ledger has room.
#[test]
fn a_starved_ledger_recovers_by_and_by() {
    let mut l = Ledger::new(100, [10, 10, 0, 1, 1]).unwrap();
    for _ in 0..5 {
        l.take(Owner::Others, 1);
    }
    l.set_exhausted(10 * S);
    assert_eq!((l.limit(), l.take(Owner::Hosts, 1)), (5, TakeOutcome::OwedBy(Owner::Others)));
    l.tick(10 * S + S / 10);
    assert_eq!(
        (l.take(Owner::Hosts, 1), l.take(Owner::Others, 1)),
        (TakeOutcome::Granted, TakeOutcome::Denied)
    );
    l.tick(5 * S);
    l.tick(5 * S + S / 5);
    assert_eq!(l.limit(), 5 + 1 + 2 + 4, "a clock that jumps back does not stop it");
    l.set_exhausted(6 * S);
    assert_eq!(l.limit(), 6, "again, and by one again");
    l.tick(1000 * S);
    assert_eq!(l.limit(), 100);
}

/// What one process learnt another takes up; it is as strict and as kind.
#[test]
fn a_successor_knows_whom_to_refuse() {
    let text = r#"{"entries":128,"address":{"connections":1},"known":["10.9.0.0/16"],"learn_calls":3}"#;
    let mut old = Admission::new(rules(text));
    let (bad, good) = (address(1), address(2));
    old.connect(S, bad).unwrap();
    for _ in 0..60 {
        let _ = old.connect(S, bad);
    }
    for _ in 0..4 {
        old.request_done(S, &info(good, None, 1.0), 0, Some(1));
    }
    old.block("10.1.0.0/16".parse().unwrap());
    old.set_known("10.2.0.0/16".parse().unwrap(), true);
    let told = serde_json::to_string(&old.learned_state(S)).unwrap();
    let mut new = Admission::new(rules(text));
    new.restore(S, serde_json::from_str(&told).unwrap());
    assert_eq!(new.connect(S + 1, bad), Err(RefusalReason::Penalty));
    assert_eq!(new.client_status(S + 1, good), ClientStatus::Known);
    assert_eq!(new.connect(S + 1, "10.1.2.3".parse().unwrap()), Err(RefusalReason::Blocked));
    assert_eq!(new.client_status(S + 1, "10.2.2.3".parse().unwrap()), ClientStatus::Known);
}

/// Other caps at a reload, and nothing is forgotten.
#[test]
fn a_reload_forgets_no_count() {
    let mut admission =
        Admission::new(rules(r#"{"entries":128,"address":{"connections":9},"known":["10.0.0.0/24"]}"#));
    let from = address(1);
    for _ in 0..5 {
        let _ = admission.connect(S, from);
    }
    admission.set_rules(rules(r#"{"entries":128,"address":{"connections":5}}"#));
    assert_eq!(admission.client_status(S, from), ClientStatus::Unknown, "the new file does not know it");
    assert_eq!(admission.connect(S, from), Err(RefusalReason::Connections));
    admission.connection_closed(S, from);
    assert!(admission.connect(S, from).is_ok());
}

/// A table whose entries are all active takes nobody new, and does so again when one has gone.
#[test]
fn a_table_full_of_active_entries_takes_nobody() {
    let rules: Rules = serde_json::from_str(r#"{"entries":2}"#).unwrap();
    let mut admission = Admission::new(rules);
    // Neighbourhoods have a table of their own: these share one.
    for n in 0..2 {
        admission.connect(S, address(n)).unwrap();
    }
    assert_eq!(admission.connect(S, address(2)), Err(RefusalReason::TableFull));
    assert_eq!(admission.client_status(S, address(2)), ClientStatus::Unknown);
    admission.connection_closed(S, address(0));
    assert!(admission.connect(S, address(2)).is_ok());
    assert_eq!(admission.tables().0.len(), 2);
}

/// The log has whom, why and how often, bounded.
#[test]
fn refusals_are_told_in_windows() {
    let mut admission = Admission::new(rules(r#"{"entries":1024,"address":{"connections":1}}"#));
    assert_eq!(admission.take_refusal_summary(S), None);
    for n in 0..300 {
        admission.connect(S, address(n)).unwrap();
        for _ in 0..=n % 3 {
            let _ = admission.connect(S, address(n));
        }
    }
    assert_eq!(admission.take_refusal_summary(S + 1000), None, "not yet");
    let window = admission.take_refusal_summary(3 * S).unwrap();
    assert_eq!(window.top.len(), 20);
    let sum: u64 = window.top.iter().map(|(.., n)| n).sum::<u64>() + window.others;
    assert_eq!((sum, admission.total_refusals, admission.take_refusal_summary(5 * S)), (600, 600, None));
    assert!(window.top.windows(2).all(|w| w[0].2 >= w[1].2));
}

#[rstest]
#[case(r#"{"entries":64}"#, "entries must be at least 128")]
#[case(r#"{"address":{"connections":0}}"#, "a cap of 0")]
#[case(r#"{"address":{"connect_rate":{"per_second":0,"burst":1}}}"#, "address.connect_rate")]
#[case(r#"{"neighbourhood":{"request_rate":{"per_second":1,"burst":0.5}}}"#, "neighbourhood.request_rate")]
#[case(r#"{"tenant":{"connections":5}}"#, "connections have no tenant")]
#[case(r#"{"reserve":1.5}"#, "reserve must be")]
#[case(r#"{"known_factor":0.5}"#, "known_factor")]
#[case(r#"{"penalty":{"first_ms":100,"longest_ms":50}}"#, "penalty")]
#[case(r#"{"adaptive":{"least":0,"most":5}}"#, "adaptive: least")]
#[case(r#"{"adaptive":{"least":1,"most":5,"tolerance":1}}"#, "adaptive: tolerance")]
fn rules_that_make_no_sense_are_turned_down(#[case] json: &str, #[case] wanted: &str) {
    let rules: Rules = serde_json::from_str(json).unwrap();
    let problem = rules.check(64).unwrap_err().to_string();
    assert!(problem.contains(wanted), "{problem}");
}
