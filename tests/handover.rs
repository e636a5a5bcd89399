//! Handover between two routers: both count as one for the load budget and the limits of cold workers, and attempts of
//! a request at the other router count as this router's own.

mod common;

use common::*;
use rstest::rstest;
use wheellink::engine::{Command, NewRequest, Verdict};
use wheellink::*;

/// Period of the load budget.
const PERIOD_US: Micros = 10 * S;

fn with_load_budget() -> Settings {
    let load_budget = Some(LoadBudget { free: 2.0, share: 0.2, period: PERIOD_US });
    Settings { when_cold: WhenCold::Misses, load_budget, ..settings() }
}

/// Makes a call that a worker answers, so that it counts for the load budget.
fn answered_call(bed: &mut TestBed, function: &str) {
    let (request, out) = bed.call(SAFE, function);
    if let Some(worker) = sent(&out) {
        bed.answer(&request, 0, &worker, Outcome::Done);
    }
}

/// Whatever the two routers do, their orders in a period together stay within 2 and 20% of the calls, and neither is
/// denied its first order.
#[rstest]
fn one_budget_for_two(#[values(0.01, 0.25, 0.5, 1.0)] share: f64, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut bed = TestBed::new(with_load_budget(), 3);
    bed.router.set_peer_share(share);
    let (mut calls, mut orders): (Vec<Micros>, Vec<Micros>) = (Vec::new(), Vec::new());
    let mut granted = 0;
    for n in 0..600 {
        bed.now += rng.i64(0..40 * MS);
        match rng.u8(0..4) {
            // An own call that misses, mostly of a function that is loaded nowhere, so that a load is ordered.
            0 => {
                let (request, out) = bed.call(SAFE, &format!("f{n}"));
                if let Some(worker) = sent(&out) {
                    let out = bed.answer(&request, 0, &worker, Outcome::Miss);
                    calls.push(bed.now);
                    orders.extend(loads(&out).iter().map(|_| bed.now));
                }
            }
            1 => {
                answered_call(&mut bed, "hot");
                calls.push(bed.now);
            }
            2 => {
                let at = bed.now - bed.now.rem_euclid(Tally::LENGTH_US);
                let tallies = vec![Tally { at, calls: 3, orders: 0 }];
                bed.event(Event::Handover(HandoverState {
                    tallies,
                    sender_keeps_running: true,
                    ..HandoverState::default()
                }));
                calls.extend([bed.now; 3]);
            }
            _ => {
                let grant = bed.router.grant_order(bed.now);
                granted += u32::from(grant);
                orders.extend(grant.then_some(bed.now));
            }
        }
        let within = |times: &[Micros]| times.iter().filter(|t| **t > bed.now - PERIOD_US).count() as f64;
        assert!(within(&orders) <= 2.0 + 0.2 * within(&calls), "{} of {}", within(&orders), within(&calls));
    }
    assert!(granted > 0 && orders.len() > granted as usize, "one got none: {granted} of {}", orders.len());
}

/// A burst of misses at one router must not use the other's part of the load budget.
#[test]
fn a_burst_of_one_router_leaves_the_other_its_first_order() {
    let mut bed = TestBed::new(with_load_budget(), 3);
    bed.router.set_peer_share(0.5);
    let mut own = 0;
    for n in 0..8 {
        let (request, out) = bed.call(SAFE, &format!("f{n}"));
        if let Some(worker) = sent(&out) {
            own += loads(&bed.answer(&request, 0, &worker, Outcome::Miss)).len();
        }
    }
    assert!(own >= 1 && bed.router.grant_order(bed.now), "{own}");
    // Without a peer the whole budget is its own.
    bed.router.set_peer_share(0.0);
    assert!(!bed.router.grant_order(bed.now) || own < 3);
}

/// A router must not report the tallies of its peer back to it as its own while the peer runs, or they would count
/// twice.
#[test]
fn tallies_of_the_peer_are_not_reported_back_to_it() {
    let mut bed = TestBed::new(with_load_budget(), 2);
    answered_call(&mut bed, "f");
    let at = bed.now - bed.now.rem_euclid(Tally::LENGTH_US);
    let state = |sender_keeps_running| HandoverState {
        tallies: vec![Tally { at, calls: 7, orders: 0 }],
        sender_keeps_running,
        ..HandoverState::default()
    };
    bed.event(Event::Handover(state(true)));
    assert!(bed.router.grant_order(bed.now));
    let sum = |tallies: Vec<Tally>| {
        tallies.iter().fold((0, 0), |(calls, orders), t| (calls + t.calls, orders + t.orders))
    };
    assert_eq!(sum(bed.router.tallies(0)), (1, 0));
    assert_eq!(sum(bed.router.handover_state().tallies), (8, 1), "a replacing router gets all");
    bed.router.peer_gone();
    assert_eq!(sum(bed.router.tallies(0)), (8, 1));
}

/// The limit of a cold worker counts the attempts of both routers within one window. Older ones must not accumulate.
#[test]
fn reported_sends_to_cold_workers_are_kept_for_one_window() {
    let mut bed = TestBed::new(settings(), 1);
    let mut cold = entry("w0", Condition::Up);
    cold.ready_at = bed.now;
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![cold] });
    assert!(bed.router.is_cold(&"w0".into()) && !bed.router.is_cold(&"w9".into()));
    for _ in 0..1000 {
        bed.now += 10 * MS;
        let sends = vec![("w0".into(), vec![bed.now])];
        bed.event(Event::Handover(HandoverState {
            sends,
            sender_keeps_running: true,
            ..HandoverState::default()
        }));
    }
    let kept = bed.router.handover_state().sends;
    assert!(kept[0].1.len() <= 201, "more than those of 2 s: {}", kept[0].1.len());
}

// ------------------------------------------------------------------------------- attempts at another router

/// Sends a request with these past attempts to an engine with these workers, where names with `z` are in another zone.
/// Returns the hosts of its attempts, and its answers.
fn run_with_past(class: usize, past: &[(&str, Outcome)], workers: &[&str]) -> (Vec<String>, Vec<Verdict>) {
    let mut engine = Engine::new(Router::new(settings(), 7).unwrap(), S);
    let (now, mut out) = (100 * S, Vec::new());
    let zoned = |name: &&str| ListEntry {
        zone: Some(u32::from(name.starts_with('z'))),
        ..entry(name, Condition::Up)
    };
    engine.update_hosts(now, ListKind::Cached, workers.iter().map(zoned).collect(), &mut out);
    let past = past.iter().map(|(worker, outcome)| PastAttempt {
        worker: (*worker).into(),
        sent: now - 100 * MS,
        outcome: *outcome,
    });
    let new = NewRequest {
        class,
        tenant: None,
        function: "f".into(),
        due: now + S,
        lanes: 2,
        repeat: false,
        hint: 0,
        half_closed: None,
    };
    engine.request_with_past_attempts(now, new, past.collect(), &mut out);
    for t in 1..60 {
        engine.tick(now + t * 20 * MS, &mut out);
    }
    let sends = out.iter().filter_map(|c| match c {
        Command::Send { host, .. } => Some(host.0.to_string()),
        _ => None,
    });
    let answers = out.iter().filter_map(|c| match c {
        Command::Answer { verdict, .. } => Some(*verdict),
        _ => None,
    });
    (sends.collect(), answers.collect())
}

#[rstest]
#[case::safe(SAFE, Outcome::Reset)]
#[case::never_ran(UNSAFE, Outcome::NotSent)]
#[case::never_ran_keyed(KEYED, Outcome::Full)]
fn a_request_that_may_be_retried_is_sent_once(#[case] class: usize, #[case] past: Outcome) {
    let (sends, answers) = run_with_past(class, &[("w0", past)], &["w0", "w1"]);
    assert_eq!((sends.len(), answers.len()), (1, 1), "{sends:?} {answers:?}");
}

#[test]
fn past_attempts_that_may_have_run_limit_retries_by_the_class() {
    let (sends, answers) = run_with_past(UNSAFE, &[("w0", Outcome::Reset)], &["w0", "w1"]);
    assert_eq!((sends.len(), &answers[..]), (0, &[Verdict::Failed][..]));
    // Only in the zone of the past attempt.
    let (sends, _) = run_with_past(KEYED, &[("w0", Outcome::Reset)], &["z1", "z2", "w0", "w1"]);
    assert!(sends.iter().all(|host| host.starts_with('w')) && sends.len() == 1, "{sends:?}");
    let (sends, answers) = run_with_past(KEYED, &[("w0", Outcome::Reset)], &["z1", "z2"]);
    assert_eq!((sends.len(), answers.len()), (0, 1), "no worker there drops the repeat");
}

#[test]
fn past_attempts_count_for_the_maximum() {
    let past =
        [("w0", Outcome::Reset), ("w1", Outcome::Error), ("w0", Outcome::Reset), ("w1", Outcome::Reset)];
    let (sends, answers) = run_with_past(SAFE, &past, &["w0", "w1", "w2"]);
    assert_eq!((sends.len(), answers.len()), (0, 1), "more than four attempts");
    let (sends, _) = run_with_past(SAFE, &past[..3], &["w0", "w1", "w2"]);
    assert_eq!(sends.len(), 1);
}

/// An order that was never sent says nothing about the worker: its copies are still assumed to be loaded, and the order
/// is not repeated at once.
#[test]
fn an_order_that_was_not_sent_changes_no_assumed_copies() {
    let mut bed = TestBed::new(with_load_budget(), 1);
    // Enough calls that the load budget leaves room for orders ahead of calls.
    let worker = (0..10).map(|_| bed.serve(SAFE, "f")).last().unwrap();
    // Both lanes of the only copy are in use, so the next call causes an order of another copy.
    let outs: Vec<_> = (0..3).map(|_| bed.call(SAFE, "f").1).collect();
    let ordered: usize = outs.iter().map(|out| loads(out).len()).sum();
    assert_eq!(ordered, 1, "{outs:?}");
    let ended = Event::LoadEnded { worker, function: "f".into(), outcome: Outcome::NotSent, copies: 0 };
    let out = bed.event(ended);
    assert!(loads(&out).is_empty() && sent(&out).is_none(), "{out:?}");
    assert_eq!(bed.router.handover_state().loaded.len(), 1, "the loaded copy is no longer assumed");
    assert_eq!(loads(&bed.call(SAFE, "f").1).len(), 1, "the next call causes no order");
}
