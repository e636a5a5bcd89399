//! Tests of the guarantees of tables, rate limits, ledgers and admission control, partly over random histories.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

use proptest::prelude::*;
use rstest::rstest;
use wheellink_admission::*;

const SEC: i64 = 1_000_000;

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

    /// The rate limiter admits exactly what a plain token bucket admits, up to rounding.
    #[test]
    fn a_rate_limiter_equals_a_token_bucket(per_second in 1u32..500, burst in 1u32..50, gaps in prop::collection::vec(0i64..60_000, 1..300)) {
        let rate = Rate { per_second: per_second.into(), burst: burst.into() };
        let (mut limiter, mut tokens, mut last, mut now) = (RateLimiter::default(), f64::from(burst), 100 * SEC, 100 * SEC);
        for gap in gaps {
            now += gap;
            tokens = (tokens + (now - last) as f64 * rate.per_second / 1e6).min(rate.burst);
            last = now;
            let taken = limiter.take(now, &rate).is_ok();
            // At the boundary, rounding may decide either way.
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

    /// After any jump of the clock, a client waits at most as long as a whole burst takes.
    #[test]
    fn a_clock_jump_does_not_lock_clients_out(jumps in prop::collection::vec(-4_000_000_000_000i64..4_000_000_000_000, 1..40)) {
        let rate = Rate { per_second: 10.0, burst: 5.0 };
        let mut limiter = RateLimiter::default();
        for jump in jumps {
            while limiter.take(jump, &rate).is_ok() {}
            prop_assert!(limiter.take(jump + 600_000, &rate).is_ok());
        }
    }

    /// A ledger counts correctly and keeps its limit, and an owner within a reserve that is never lent is never refused.
    #[test]
    fn a_ledger_keeps_its_limit_and_reserves(
        reserve in prop::array::uniform5(0usize..8),
        spare in 0usize..10,
        operations in prop::collection::vec((0usize..5, any::<bool>(), 1usize..4), 1..400),
    ) {
        let limit = reserve.iter().sum::<usize>() + spare;
        let mut ledger = Ledger::new(limit, reserve).unwrap();
        let mut held = [0usize; 5];
        for (who, takes, units) in operations {
            let owner = Owner::ALL[who];
            if takes {
                let within = held[who] + units <= reserve[who];
                let sum: usize = held.iter().sum();
                match ledger.take(owner, units) {
                    TakeOutcome::Granted | TakeOutcome::Borrowed => held[who] += units,
                    TakeOutcome::OwedBy(from) => {
                        prop_assert!(within && held[from as usize] > reserve[from as usize]);
                        prop_assert!(owner == Owner::Known, "only the reserve of known clients is lent: {:?}", owner);
                    }
                    TakeOutcome::Denied => prop_assert!(!within || sum >= limit, "{owner:?} within its reserve is refused"),
                }
                if within && owner != Owner::Known {
                    prop_assert!(held.iter().sum::<usize>() > sum, "{owner:?} within its reserve is refused");
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

    /// For any history, tables stay within their capacity, and all counts return to zero when everything has ended.
    #[test]
    fn tables_are_bounded_and_counts_return_to_zero(operations in prop::collection::vec((0u32..400, 0u8..4, 0i64..200_000), 1..500)) {
        let mut admission = Admission::new(rules(r#"{"entries":128,"address":{"connections":3,"open":2,"connect_rate":{"per_second":50,"burst":10}}}"#));
        let (mut now, mut connected, mut open) = (100 * SEC, VecDeque::new(), VecDeque::new());
        for (n, operation, passed) in operations {
            now += passed;
            let from = address(n);
            match operation {
                0 if connected.len() < 64 => connected.extend(admission.connect(now, from).map(|_| from)),
                1 => connected.pop_front().iter().for_each(|from| admission.connection_closed(now, *from)),
                2 => {
                    let asks = connected.back().map(|from| info(*from, Some(0), 1.0));
                    open.extend(asks.filter(|a| admission.admit_request(now, a).is_ok()));
                }
                _ => open.pop_front().iter().for_each(|a| admission.request_done(now, a, 0, Some(10_000))),
            }
            prop_assert!(admission.tables().0.len() <= 128 && admission.tables().1.len() <= 128);
        }
        open.iter().for_each(|a| admission.request_done(now, a, 0, None));
        connected.iter().for_each(|from| admission.connection_closed(now, *from));
        let (clients, subnets) = admission.tables();
        prop_assert!(clients.iter().chain(subnets.iter()).all(|(_, e)| (e.connections, e.open, e.bytes) == (0, 0, 0)));
    }
}

/// A flood of a million addresses with one connection each must not evict the entry of a misbehaving client.
#[test]
fn a_misbehaving_client_stays_in_the_table_during_a_flood() {
    let mut admission = Admission::new(rules(r#"{"entries":1024,"address":{"connections":1}}"#));
    let worst = address(1 << 23);
    admission.connect(SEC, worst).unwrap();
    for n in 0..5_000 {
        assert_eq!(
            admission.connect(SEC + n, worst),
            Err(if n < 50 { Reason::Connections } else { Reason::Penalty })
        );
    }
    admission.connection_closed(2 * SEC, worst);
    for n in 0..1_000_000 {
        let from = address(n);
        admission.connect(2 * SEC, from).unwrap();
        admission.connection_closed(2 * SEC, from);
    }
    let (clients, _) = admission.tables();
    assert_eq!(clients.len(), 1024);
    let (first, weight, error, entry) = clients.heaviest(2 * SEC, 1)[0];
    assert_eq!((first, entry.refused), (Prefix::client(worst), 5_000));
    assert!(weight - error > 40_000.0, "{weight} {error}");
    assert!(clients.evicted > 990_000);
}

/// Penalties double up to the maximum and end by themselves. During a penalty connections are closed at accept.
#[test]
fn penalties_double_up_to_the_maximum_and_end() {
    let mut admission = Admission::new(rules(
        r#"{"entries":128,"address":{"connections":1},"penalty":{"refusals":3,"window_ms":1000,"first_ms":1000,"longest_ms":4000}}"#,
    ));
    let bad = address(7);
    admission.connect(SEC, bad).unwrap();
    let mut now = SEC;
    let mut closed = Vec::new();
    for _ in 0..5 {
        while admission.connect(now, bad) != Err(Reason::Penalty) {
            now += 1000;
        }
        let started = now;
        while admission.connect(now, bad) == Err(Reason::Penalty) {
            now += 100_000;
        }
        closed.push((now - started + 50_000) / SEC);
    }
    assert_eq!(closed, [1, 2, 4, 4, 4]);
    // After a minute without refusals the next penalty has the initial duration again.
    now += 60 * SEC;
    while admission.connect(now, bad) != Err(Reason::Penalty) {
        now += 1000;
    }
    assert!(admission.connect(now + SEC, bad) != Err(Reason::Penalty));
    // A clock that jumps back by an hour does not extend the penalty by an hour.
    assert!(admission.connect(now - 3600 * SEC, bad) != Err(Reason::Penalty));
    // An operator ends a penalty at once.
    while admission.connect(now, bad) != Err(Reason::Penalty) {}
    admission.unblock(now, Prefix::client(bad));
    assert_eq!(admission.connect(now, bad), Err(Reason::Connections));
}

/// Served calls make a client known. A refusal for its own behaviour suspends this for a time.
#[test]
fn served_clients_become_known_unless_they_misbehave() {
    let mut admission = Admission::new(rules(
        r#"{"entries":128,"address":{"connections":2},"learn_calls":5,"spoilt_ms":10000}"#,
    ));
    let (served, listed) = (address(1), address(2));
    assert!(admission.set_known(Prefix::of(listed), true));
    assert_eq!(admission.client_status(SEC, served), ClientStatus::Unknown);
    assert_eq!(admission.client_status(SEC, listed), ClientStatus::Known);
    admission.connect(SEC, served).unwrap();
    for _ in 0..6 {
        let call = info(served, None, 1.0);
        admission.admit_request(SEC, &call).unwrap();
        admission.request_done(SEC, &call, 0, Some(1000));
    }
    assert_eq!(admission.client_status(SEC, served), ClientStatus::Known);
    // Known clients have four times the caps; exceeding those is misbehaviour.
    for _ in 0..7 {
        assert_eq!(admission.connect(SEC, served), Ok(ClientStatus::Known));
    }
    assert_eq!(admission.connect(SEC, served), Err(Reason::Connections));
    assert_eq!(admission.client_status(SEC + 1, served), ClientStatus::Unknown, "suspended");
    assert_eq!(admission.client_status(SEC + 11 * SEC, served), ClientStatus::Known);
    assert_eq!(
        admission.client_status(SEC + 3600 * SEC, served),
        ClientStatus::Unknown,
        "calls decay within an hour"
    );
    // A known client is not affected by a misbehaving client in its neighbourhood.
    let bad = address(3);
    for _ in 0..60 {
        let _ = admission.connect(2 * SEC, bad);
    }
    assert_eq!(admission.connect(2 * SEC, listed), Ok(ClientStatus::Known));
    assert!(admission.block(Prefix::client(listed)));
    assert_eq!(admission.connect(2 * SEC, listed), Err(Reason::Blocked));
}

/// A tenant gets its share within a second although another tenant uses the whole limit.
#[rstest]
fn a_tenant_above_its_share_yields(#[values(1, 2, 3)] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut adaptive = AdaptiveLimit::new(AdaptiveRules { least: 100, most: 100, tolerance: 3.0 });
    let mut open: VecDeque<(i64, usize)> = VecDeque::new();
    let (mut now, mut served) = (0, [[0u32; 2]; 5]);
    // Calls take 50 ms. Tenant 0 requests ten times its half, tenant 1 starts after two seconds.
    while now < 5 * SEC {
        now += 100;
        while open.front().is_some_and(|(end, _)| *end <= now) {
            let (_, tenant) = open.pop_front().unwrap();
            adaptive.done(now, 0, Some(tenant), Some(50_000));
        }
        let asks = if now < 2 * SEC { 0 } else { usize::from(rng.bool()) };
        if adaptive.take(now, 1.0, Some(asks), 0.5).is_ok() {
            open.push_back((now + 50_000, asks));
            served[(now / SEC).min(4) as usize][asks] += 1;
        }
    }
    assert!(served[1][0] > 1900, "a single tenant gets the whole limit: {served:?}");
    assert!(served[3][0].abs_diff(served[3][1]) < 150, "{served:?}");
    assert!(adaptive.state().1 <= 100);
}

/// The limit falls while service times are above the tolerance and rises afterwards. Requests of low value are refused first.
#[test]
fn the_adaptive_limit_follows_service_times() {
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
    let low_value_admitted = adaptive.state().1;
    assert!(f64::from(low_value_admitted) <= 0.8 * 200.0 + 1.0);
    assert!(adaptive.take(now, 1.0, None, 1.0).is_ok(), "a request of higher value is still admitted");
}

#[test]
fn the_unused_reserve_of_known_clients_is_lent_and_returned() {
    // Reserves: hosts 4, known 4, others 0, operators 1, own 1; 2 units are not reserved.
    let mut ledger = Ledger::new(12, [4, 4, 0, 1, 1]).unwrap();
    assert_eq!((0..2).map(|_| ledger.take(Owner::Others, 1)).collect::<Vec<_>>(), [TakeOutcome::Granted; 2]);
    assert_eq!((0..4).map(|_| ledger.take(Owner::Others, 1)).collect::<Vec<_>>(), [TakeOutcome::Borrowed; 4]);
    assert_eq!(
        ledger.take(Owner::Others, 1),
        TakeOutcome::Denied,
        "the reserves of hosts, operators and own are not lent"
    );
    assert_eq!(ledger.take(Owner::Known, 1), TakeOutcome::OwedBy(Owner::Others));
    ledger.release(Owner::Others, 1);
    assert_eq!(ledger.take(Owner::Known, 1), TakeOutcome::Granted);
    assert!(
        (0..4).all(|_| ledger.take(Owner::Hosts, 1) == TakeOutcome::Granted),
        "an admitted call reaches its host"
    );
    // The limit falls below what is held: nothing is granted until enough units are released.
    ledger.set_limits(6, [2, 2, 0, 1, 1]).unwrap();
    assert_eq!((ledger.total_held(), ledger.take(Owner::Hosts, 1)), (10, TakeOutcome::Denied));
    assert!(ledger.set_limits(3, [2, 2, 0, 1, 1]).unwrap_err().0.contains("more than the limit of 3"));
}

/// The system runs out of units although the ledger has room: the ceiling falls and rises again in doubling steps.
#[test]
fn an_exhausted_ledger_recovers_step_by_step() {
    let mut ledger = Ledger::new(100, [10, 10, 0, 1, 1]).unwrap();
    for _ in 0..5 {
        ledger.take(Owner::Others, 1);
    }
    ledger.set_exhausted(10 * SEC);
    assert_eq!((ledger.limit(), ledger.take(Owner::Hosts, 1)), (5, TakeOutcome::OwedBy(Owner::Others)));
    ledger.tick(10 * SEC + SEC / 10);
    assert_eq!(
        (ledger.take(Owner::Hosts, 1), ledger.take(Owner::Others, 1)),
        (TakeOutcome::Granted, TakeOutcome::Denied)
    );
    ledger.tick(5 * SEC);
    ledger.tick(5 * SEC + SEC / 5);
    assert_eq!(ledger.limit(), 5 + 1 + 2 + 4, "a clock that jumps back does not stop the recovery");
    ledger.set_exhausted(6 * SEC);
    assert_eq!(ledger.limit(), 6, "the steps start at one again");
    ledger.tick(1000 * SEC);
    assert_eq!(ledger.limit(), 100);
}

/// A successor process inherits penalties, blocks and known clients.
#[test]
fn a_successor_inherits_the_learned_state() {
    let text = r#"{"entries":128,"address":{"connections":1},"known":["10.9.0.0/16"],"learn_calls":3}"#;
    let mut old = Admission::new(rules(text));
    let (bad, good) = (address(1), address(2));
    old.connect(SEC, bad).unwrap();
    for _ in 0..60 {
        let _ = old.connect(SEC, bad);
    }
    for _ in 0..4 {
        old.request_done(SEC, &info(good, None, 1.0), 0, Some(1));
    }
    old.block("10.1.0.0/16".parse().unwrap());
    old.set_known("10.2.0.0/16".parse().unwrap(), true);
    let handed_over = serde_json::to_string(&old.learned_state(SEC)).unwrap();
    let mut new = Admission::new(rules(text));
    new.restore(SEC, serde_json::from_str(&handed_over).unwrap());
    assert_eq!(new.connect(SEC + 1, bad), Err(Reason::Penalty));
    assert_eq!(new.client_status(SEC + 1, good), ClientStatus::Known);
    assert_eq!(new.connect(SEC + 1, "10.1.2.3".parse().unwrap()), Err(Reason::Blocked));
    assert_eq!(new.client_status(SEC + 1, "10.2.2.3".parse().unwrap()), ClientStatus::Known);
}

/// A reload changes the caps and keeps the counts.
#[test]
fn a_reload_keeps_counts() {
    let mut admission =
        Admission::new(rules(r#"{"entries":128,"address":{"connections":9},"known":["10.0.0.0/24"]}"#));
    let from = address(1);
    for _ in 0..5 {
        let _ = admission.connect(SEC, from);
    }
    admission.set_rules(rules(r#"{"entries":128,"address":{"connections":5}}"#));
    assert_eq!(admission.client_status(SEC, from), ClientStatus::Unknown, "the new settings do not list it");
    assert_eq!(admission.connect(SEC, from), Err(Reason::Connections));
    admission.connection_closed(SEC, from);
    assert!(admission.connect(SEC, from).is_ok());
}

/// A table full of active entries refuses new addresses until one of them is inactive.
#[test]
fn a_table_full_of_active_entries_refuses_new_addresses() {
    let rules: Rules = serde_json::from_str(r#"{"entries":2}"#).unwrap();
    let mut admission = Admission::new(rules);
    // All these addresses share one neighbourhood, so that only the table of clients is full.
    for n in 0..2 {
        admission.connect(SEC, address(n)).unwrap();
    }
    assert_eq!(admission.connect(SEC, address(2)), Err(Reason::TableFull));
    assert_eq!(admission.client_status(SEC, address(2)), ClientStatus::Unknown);
    admission.connection_closed(SEC, address(0));
    assert!(admission.connect(SEC, address(2)).is_ok());
    assert_eq!(admission.tables().0.len(), 2);
}

/// The refusal summary lists prefix, reason and count, and is bounded.
#[test]
fn refusals_are_summarized_within_bounds() {
    let mut admission = Admission::new(rules(r#"{"entries":1024,"address":{"connections":1}}"#));
    assert_eq!(admission.take_refusal_summary(SEC), None);
    for n in 0..300 {
        admission.connect(SEC, address(n)).unwrap();
        for _ in 0..=n % 3 {
            let _ = admission.connect(SEC, address(n));
        }
    }
    assert_eq!(admission.take_refusal_summary(SEC + 1000), None, "the interval is not over");
    let window = admission.take_refusal_summary(3 * SEC).unwrap();
    assert_eq!(window.top.len(), 20);
    let sum: u64 = window.top.iter().map(|(.., n)| n).sum::<u64>() + window.others;
    assert_eq!((sum, admission.total_refusals, admission.take_refusal_summary(5 * SEC)), (600, 600, None));
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
fn invalid_rules_are_refused_with_the_key(#[case] json: &str, #[case] expected: &str) {
    let rules: Rules = serde_json::from_str(json).unwrap();
    let error = rules.check(64).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
