//! Two routers that are one to the rules: the ration of orders, and attempts that a request had elsewhere.

mod common;

use common::*;
use rstest::rstest;
use wheellink::engine::{Command, NewRequest, Verdict};
use wheellink::*;

const PERIOD: Micros = 10 * S;

fn rationed() -> Settings {
    let load_budget = Some(LoadBudget { free: 2.0, share: 0.2, period: PERIOD });
    Settings { when_cold: WhenCold::Misses, load_budget, ..settings() }
}

/// A call that a worker answered: it counts for the ration.
fn counted(bed: &mut TestBed, function: &str) {
    let (request, out) = bed.call(SAFE, function);
    if let Some(worker) = sent(&out) {
        bed.answer(&request, 0, &worker, Outcome::Done);
    }
}

/// Whatever either does: orders of the window, both taken together, stay within 2 and 20% of the calls, and
/// neither is kept from its first.
#[rstest]
fn one_ration_for_two(#[values(0.01, 0.25, 0.5, 1.0)] share: f64, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut bed = TestBed::new(rationed(), 3);
    bed.router.set_peer_share(share);
    let (mut calls, mut orders): (Vec<Micros>, Vec<Micros>) = (Vec::new(), Vec::new());
    let mut granted = 0;
    for n in 0..600 {
        bed.now += rng.i64(0..40 * MS);
        match rng.u8(0..4) {
            // A call of its own that misses, mostly of a function that is loaded nowhere: orders one there.
            0 => {
                let (request, out) = bed.call(SAFE, &format!("f{n}"));
                if let Some(worker) = sent(&out) {
                    let out = bed.answer(&request, 0, &worker, Outcome::Miss);
                    calls.push(bed.now);
                    orders.extend(loads(&out).iter().map(|_| bed.now));
                }
            }
            1 => {
                counted(&mut bed, "hot");
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
                let yes = bed.router.grant_order(bed.now);
                granted += u32::from(yes);
                orders.extend(yes.then_some(bed.now));
            }
        }
        let within = |times: &[Micros]| times.iter().filter(|t| **t > bed.now - PERIOD).count() as f64;
        assert!(within(&orders) <= 2.0 + 0.2 * within(&calls), "{} of {}", within(&orders), within(&calls));
    }
    assert!(granted > 0 && orders.len() > granted as usize, "both had some: {granted} of {}", orders.len());
}

/// A burst of one leaves the other its due.
#[test]
fn a_burst_of_one_leaves_the_other_its_first_order() {
    let mut bed = TestBed::new(rationed(), 3);
    bed.router.set_peer_share(0.5);
    let mut own = 0;
    for n in 0..8 {
        let (request, out) = bed.call(SAFE, &format!("f{n}"));
        if let Some(worker) = sent(&out) {
            own += loads(&bed.answer(&request, 0, &worker, Outcome::Miss)).len();
        }
    }
    assert!(own >= 1 && bed.router.grant_order(bed.now), "{own}");
    // Without anybody beside it all of it is its own.
    bed.router.set_peer_share(0.0);
    assert!(!bed.router.grant_order(bed.now) || own < 3);
}

/// What the other told is not told on as this one's own, until it is gone.
#[test]
fn what_the_other_told_is_not_told_back() {
    let mut bed = TestBed::new(rationed(), 2);
    counted(&mut bed, "f");
    let at = bed.now - bed.now.rem_euclid(Tally::LENGTH_US);
    let told = |sender_keeps_running| HandoverState {
        tallies: vec![Tally { at, calls: 7, orders: 0 }],
        sender_keeps_running,
        ..HandoverState::default()
    };
    bed.event(Event::Handover(told(true)));
    assert!(bed.router.grant_order(bed.now));
    let sum = |tallies: Vec<Tally>| {
        tallies.iter().fold((0, 0), |(calls, orders), t| (calls + t.calls, orders + t.orders))
    };
    assert_eq!(sum(bed.router.tallies(0)), (1, 0));
    assert_eq!(sum(bed.router.handover_state().tallies), (8, 1), "whoever takes its place is told all");
    bed.router.peer_gone();
    assert_eq!(sum(bed.router.tallies(0)), (8, 1));
}

/// Cold workers stand what both send together: what the other tells is kept no longer than it matters.
#[test]
fn sends_that_the_other_tells_are_bounded() {
    let mut bed = TestBed::new(settings(), 1);
    let mut young = entry("w0", Condition::Up);
    young.ready_at = bed.now;
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![young] });
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
    assert!(kept[0].1.len() <= 201, "those of 2 s: {}", kept[0].1.len());
}

// ------------------------------------------------------------------------------- attempts elsewhere

fn again(class: usize, past: &[(&str, Outcome)], workers: &[&str]) -> (Vec<String>, Vec<Verdict>) {
    let mut engine = Engine::new(Router::new(settings(), 7).unwrap(), S);
    let (now, mut out) = (100 * S, Vec::new());
    let zoned =
        |name: &&str| ListEntry { zone: u32::from(name.starts_with('z')), ..entry(name, Condition::Up) };
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
#[case::proven(UNSAFE, Outcome::NotSent)]
#[case::proven_keyed(KEYED, Outcome::Full)]
fn what_may_go_on_is_sent_once(#[case] class: usize, #[case] past: Outcome) {
    let (sends, answers) = again(class, &[("w0", past)], &["w0", "w1"]);
    assert_eq!((sends.len(), answers.len()), (1, 1), "{sends:?} {answers:?}");
}

#[test]
fn what_may_have_run_is_bound_by_its_class() {
    let (sends, answers) = again(UNSAFE, &[("w0", Outcome::Reset)], &["w0", "w1"]);
    assert_eq!((sends.len(), &answers[..]), (0, &[Verdict::Failed][..]));
    // The zone of the first attempt, and no other.
    let (sends, _) = again(KEYED, &[("w0", Outcome::Reset)], &["z1", "z2", "w0", "w1"]);
    assert!(sends.iter().all(|host| host.starts_with('w')) && sends.len() == 1, "{sends:?}");
    let (sends, answers) = again(KEYED, &[("w0", Outcome::Reset)], &["z1", "z2"]);
    assert_eq!((sends.len(), answers.len()), (0, 1), "nobody there drops the repeat");
}

#[test]
fn attempts_elsewhere_count() {
    let past =
        [("w0", Outcome::Reset), ("w1", Outcome::Error), ("w0", Outcome::Reset), ("w1", Outcome::Reset)];
    let (sends, answers) = again(SAFE, &past, &["w0", "w1", "w2"]);
    assert_eq!((sends.len(), answers.len()), (0, 1), "four are allowed");
    let (sends, _) = again(SAFE, &past[..3], &["w0", "w1", "w2"]);
    assert_eq!(sends.len(), 1);
}

/// An order that was never given tells nothing of the worker: what is believed there stays, and it is not asked
/// for again at once.
#[test]
fn an_order_that_was_not_given_changes_no_belief() {
    let mut bed = TestBed::new(rationed(), 1);
    // Calls enough that the ration leaves room for orders ahead of need.
    let worker = (0..10).map(|_| bed.serve(SAFE, "f")).last().unwrap();
    // Two lanes of the one copy are taken: the next call has another copy ordered.
    let outs: Vec<_> = (0..3).map(|_| bed.call(SAFE, "f").1).collect();
    let wanted: usize = outs.iter().map(|out| loads(out).len()).sum();
    assert_eq!(wanted, 1, "{outs:?}");
    let ended = Event::LoadEnded { worker, function: "f".into(), outcome: Outcome::NotSent, copies: 0 };
    let out = bed.event(ended);
    assert!(loads(&out).is_empty() && sent(&out).is_none(), "{out:?}");
    assert_eq!(bed.router.handover_state().loaded.len(), 1, "the copy that stands is still believed in");
    assert_eq!(loads(&bed.call(SAFE, "f").1).len(), 1, "the next call wants it again");
}
