//! Edge cases of the rules, and regression tests of earlier faults, on the public interface of a router.

mod common;

use common::*;
use wheellink::*;

#[test]
fn unsafe_request_that_may_have_run_fails_and_is_neither_refused_nor_retried() {
    for end in [Outcome::TimedOut, Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut bed = TestBed::new(settings(), 3);
        let (r, out) = bed.call(UNSAFE, "f");
        let out = bed.answer(&r, 0, &sent(&out).unwrap(), end);
        assert_eq!((sent(&out), refused(&out), failed(&out)), (None, 0, 1), "{end:?}");
    }
}

#[test]
fn open_requests_keep_the_stricter_of_their_terms_and_new_ones() {
    let terms = |effect, attempts| {
        let mut s = settings();
        (s.classes[SAFE].effect, s.classes[SAFE].attempts) = (effect, attempts);
        Event::ClassTerms(Box::new(s))
    };
    for (event, retried) in [
        (terms(Effect::Safe, None), true),
        (terms(Effect::Unsafe, None), false),
        (terms(Effect::Safe, Some(1)), false),
        (terms(Effect::Safe, Some(2)), true),
    ] {
        let mut bed = TestBed::new(settings(), 3);
        let (r, out) = bed.call(SAFE, "f");
        let first = sent(&out).unwrap();
        bed.event(event.clone());
        // Looser terms that follow do not apply to open requests.
        bed.event(terms(Effect::Safe, None));
        let out = bed.answer(&r, 0, &first, Outcome::Error);
        assert_eq!(sent(&out).is_some(), retried, "{event:?}");
    }
    // Later requests have the new terms.
    let mut bed = TestBed::new(settings(), 3);
    bed.event(terms(Effect::Safe, Some(1)));
    let (r, out) = bed.call(SAFE, "f");
    assert_eq!(sent(&bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Error)), None);
}

#[test]
fn unsafe_request_that_never_ran_is_retried() {
    for end in [Outcome::Full, Outcome::ConnectFailed] {
        let mut bed = TestBed::new(settings(), 3);
        let (r, out) = bed.call(UNSAFE, "f");
        let out = bed.answer(&r, 0, &sent(&out).unwrap(), end);
        assert!(sent(&out).is_some() || sent(&bed.advance(200 * MS)).is_some(), "{end:?}");
    }
}

#[test]
fn failed_safe_request_is_retried_at_another_worker() {
    let mut bed = TestBed::new(settings(), 3);
    let (r, out) = bed.call(SAFE, "f");
    let first = sent(&out).unwrap();
    let second = sent(&bed.answer(&r, 0, &first, Outcome::Error)).unwrap();
    assert_ne!(first, second);
}

#[test]
fn keyed_request_that_may_have_run_is_not_retried_outside_its_zone_or_window() {
    let mut bed = TestBed::new(settings(), 1);
    let (r, out) = bed.call(KEYED, "f");
    let first = sent(&out).unwrap();
    let other_zone = ListEntry { zone: Some(1), ..entry("w9", Condition::Up) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![other_zone] });
    // The only other worker is in another zone.
    let out = bed.answer(&r, 0, &first, Outcome::Error);
    assert_eq!(sent(&out), None);
    // A worker of the same zone appears after the window.
    bed.advance(S);
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![entry("w8", Condition::Up)] });
    let out = bed.advance(2 * S);
    assert_eq!((sent(&out), refused(&out), failed(&out)), (None, 0, 1));
}

/// A retry decided at the end of the window could be sent after it, as it may have to wait for a connection.
#[test]
fn keyed_request_is_not_retried_at_the_end_of_its_window() {
    for (at, retried) in [(930 * MS, true), (990 * MS, false)] {
        let mut bed = TestBed::new(settings(), 2);
        let (r, out) = bed.call(KEYED, "f");
        let first = sent(&out).unwrap();
        bed.now += at;
        assert_eq!(sent(&bed.answer(&r, 0, &first, Outcome::Error)).is_some(), retried, "after {at}");
    }
}

#[test]
fn keyed_request_that_may_have_run_is_retried_within_its_zone() {
    let mut bed = TestBed::new(settings(), 2);
    let (r, out) = bed.call(KEYED, "f");
    let first = sent(&out).unwrap();
    assert!(sent(&bed.answer(&r, 0, &first, Outcome::Error)).is_some_and(|w| w != first));
}

#[test]
fn draining_and_gone_workers_get_neither_requests_nor_orders() {
    for (kind, condition) in [
        (ListKind::Delta, Some(Condition::Draining)),
        (ListKind::Delta, Some(Condition::Gone)),
        (ListKind::Full, None),
    ] {
        let mut bed = TestBed::new(settings(), 2);
        let home = bed.serve(SAFE, "f");
        let other = if home.0.as_ref() == "w0" { "w1" } else { "w0" };
        let entries = match condition {
            Some(c) => vec![entry(&home.0, c)],
            None => vec![entry(other, Condition::Up)],
        };
        bed.event(Event::List { kind, entries });
        for _ in 0..40 {
            let (_, out) = bed.call(SAFE, "f");
            let later = bed.advance(300 * MS);
            for a in out.iter().chain(&later) {
                if let Action::Send { worker, .. } | Action::Load { worker, .. } = a {
                    assert_ne!(*worker, home);
                }
            }
        }
    }
}

#[test]
fn load_orders_stop_exactly_at_the_budget() {
    let budget = LoadBudget { free: 2.0, share: 0.0, period: 5 * S };
    let settings =
        Settings { when_cold: WhenCold::Misses, load_budget: Some(budget), max_attempts: 2, ..settings() };
    let mut bed = TestBed::new(settings, 4);
    let mut ordered = 0;
    for i in 0..6 {
        let (r, out) = bed.call(SAFE, &format!("f{i}"));
        let out = bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Miss);
        ordered += loads(&out).len();
    }
    assert_eq!(ordered, 2);
    // An order counts until the whole period has passed.
    bed.now += 5 * S;
    let (r, out) = bed.call(SAFE, "g");
    assert_eq!(loads(&bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Miss)).len(), 0);
    bed.now += 1;
    let (r, out) = bed.call(SAFE, "h");
    assert_eq!(loads(&bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Miss)).len(), 1);
}

#[test]
fn held_requests_are_answered_before_their_due_time() {
    let mut bed = TestBed::new(settings(), 0);
    let (_, out) = bed.call(UNSAFE, "f");
    assert_eq!(sent(&out), None);
    let start = bed.now;
    let mut answered = None;
    while bed.now < start + 3 * S {
        let out = bed.advance(20 * MS);
        if refused(&out) + failed(&out) > 0 {
            assert!(answered.replace(bed.now).is_none(), "answered twice");
        }
    }
    assert!(answered.is_some_and(|t| t <= start + 2 * S));
}

#[test]
fn a_client_that_left_gets_neither_an_answer_nor_a_retry() {
    let mut bed = TestBed::new(settings(), 2);
    let (r, out) = bed.call(SAFE, "f");
    bed.event(Event::ClientLeft { request: r.clone() });
    let out = bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Error);
    assert!(sent(&out).is_none() && refused(&out) + failed(&out) == 0);
}

#[test]
fn a_cold_worker_gets_fewer_requests_than_it_fails_at() {
    let mut bed = TestBed::new(settings(), 1);
    for i in 0..100 {
        bed.serve(SAFE, &format!("f{}", i % 20));
        bed.advance(40 * MS);
    }
    // One worker serves about 11 calls a second. A new one of its size starts with a fifth of that capacity and fails
    // above twice as much: 9 calls within the two seconds.
    let started = bed.now;
    let fresh = ListEntry { ready_at: started, ..entry("w1", Condition::Up) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![fresh] });
    let mut cold = 0;
    for i in 0..40 {
        let (r, out) = bed.call(SAFE, &format!("g{i}"));
        if let Some(w) = sent(&out) {
            cold += u32::from(w.0.as_ref() == "w1");
            bed.now += 10 * MS;
            bed.answer(&r, 0, &w, Outcome::Done);
        }
        bed.advance(40 * MS);
    }
    assert!(cold >= 1, "it gets no requests to warm up with");
    assert!(cold <= 9, "{cold} calls within the window");
}

#[test]
fn calls_stay_at_the_worker_with_a_loaded_copy() {
    let mut bed = TestBed::new(settings(), 5);
    let home = bed.serve(SAFE, "f");
    for _ in 0..10 {
        assert_eq!(bed.serve(SAFE, "f"), home);
    }
}

#[test]
fn routers_without_gossip_choose_the_same_first_worker() {
    for f in ["a", "b", "c", "d", "e"] {
        let mut one = TestBed::new(settings(), 6);
        let mut two = TestBed::new(settings(), 6);
        two.serve(SAFE, "other");
        assert_eq!(one.serve(SAFE, f), two.serve(SAFE, f));
    }
}

#[test]
fn a_likely_successor_is_preloaded_at_the_worker_that_gets_its_calls() {
    let mut bed = TestBed::new(settings(), 5);
    for _ in 0..6 {
        bed.serve(SAFE, "first");
        bed.serve(SAFE, "second");
        bed.now += 2 * S;
    }
    bed.now += 10 * S; // the copy of "second" is no longer assumed loaded, but the call counts remain
    let (_, out) = bed.call(SAFE, "first");
    let ordered = loads(&out);
    assert_eq!(ordered.len(), 1, "{out:?}");
    assert_eq!((&*ordered[0].1 .0, ordered[0].2), ("second", 1));
    let (_, out) = bed.call(SAFE, "second");
    assert_eq!(sent(&out), Some(ordered[0].0.clone()));
}

#[test]
fn an_unlikely_or_rare_successor_is_not_preloaded() {
    let mut bed = TestBed::new(settings(), 5);
    for i in 0..9 {
        bed.serve(SAFE, "first");
        if i % 3 == 0 {
            bed.serve(SAFE, "second");
        }
        bed.now += 2 * S;
    }
    bed.now += 10 * S;
    assert_eq!(loads(&bed.call(SAFE, "first").1), vec![]);
    let mut bed = TestBed::new(settings(), 5);
    for _ in 0..2 {
        bed.serve(SAFE, "first");
        bed.serve(SAFE, "second");
        bed.now += 2 * S;
    }
    bed.now += 10 * S;
    assert_eq!(loads(&bed.call(SAFE, "first").1), vec![]);
}

#[test]
fn after_a_miss_one_copy_is_ordered_and_the_request_is_retried_when_it_is_loaded() {
    let mut bed = TestBed::new(Settings { when_cold: WhenCold::Misses, ..settings() }, 3);
    let (r, out) = bed.call(UNSAFE, "f");
    let worker = sent(&out).unwrap();
    let out = bed.answer(&r, 0, &worker, Outcome::Miss);
    assert_eq!(loads(&out), vec![(worker.clone(), "f".into(), 1)]);
    // Requests that arrive meanwhile wait for the same load.
    let (_, out) = bed.call(SAFE, "f");
    assert!(sent(&out).is_none() && loads(&out).is_empty());
    let ended = Event::LoadEnded { worker, function: "f".into(), outcome: Outcome::Done, copies: 1 };
    let out = bed.event(ended);
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 2);
}

#[test]
fn a_silent_worker_is_rested_and_its_safe_requests_are_cancelled() {
    let mut bed = TestBed::new(settings(), 3);
    let home = bed.serve(SAFE, "f");
    let (r, _) = bed.call(SAFE, "f");
    bed.call(UNSAFE, "f");
    bed.advance(100 * MS);
    let out = bed.advance(2 * S);
    let cancel = Action::Cancel { request: r, attempt: 0 };
    assert!(out.contains(&cancel), "{out:?}");
    let (_, out) = bed.call(UNSAFE, "f");
    assert!(sent(&out).is_some_and(|w| w != home));
}

#[test]
fn a_worker_that_answers_with_errors_is_rested() {
    let mut bed = TestBed::new(settings(), 3);
    let home = bed.serve(SAFE, "f");
    for _ in 0..8 {
        let (r, out) = bed.call(UNSAFE, "f");
        if sent(&out) == Some(home.clone()) {
            bed.answer(&r, 0, &home, Outcome::Error);
        }
    }
    assert!(sent(&bed.call(UNSAFE, "f").1).is_some_and(|w| w != home));
}

#[test]
fn slow_answers_never_stop_all_traffic() {
    // Incident i179b7e: once all answers were late, the router sent nothing and so never learnt of faster ones.
    let mut bed = TestBed::new(settings(), 2);
    for _ in 0..300 {
        let (r, out) = bed.call(SAFE, "f");
        if let Some(w) = sent(&out) {
            bed.now += 10 * MS;
            bed.event(Event::Answer {
                request: r,
                attempt: 0,
                worker: w,
                outcome: Outcome::Done,
                finished: true,
                duration: 900 * MS,
                found: Some(Found::Warm),
                overlap: None,
                report: None,
            });
        }
    }
    assert!(sent(&bed.call(SAFE, "f").1).is_some());
}

#[test]
fn time_outs_during_loads_do_not_count_against_the_worker() {
    // Fault of the first version: loads timed out, their workers were rested, and the same loads began elsewhere.
    let mut bed = TestBed::new(settings(), 3);
    let (r, out) = bed.call(SAFE, "f");
    let home = sent(&out).unwrap();
    let mut out = bed.answer(&r, 0, &home, Outcome::TimedOut);
    out.extend(bed.advance(100 * MS));
    assert!(!out.iter().any(|a| matches!(a, Action::Log { .. })), "{out:?}");
}

#[test]
fn invalid_settings_are_rejected() {
    let bad = [
        Settings { classes: vec![], ..settings() },
        Settings { keep: -1, ..settings() },
        Settings { cold_from: f64::NAN, ..settings() },
        Settings { routers: 0, ..settings() },
        Settings { max_attempts: 0, ..settings() },
        Settings { tenants: vec![Tenant { quota: f64::INFINITY }], ..settings() },
    ];
    for s in bad {
        assert!(Router::new(s.clone(), 1).is_err(), "{s:?}");
    }
    assert!(Router::new(settings(), 1).is_ok());
}

#[test]
fn a_retry_that_is_due_soon_is_answered_in_time_while_other_requests_are_held() {
    // Found by replaying an incident: a client's retry with some milliseconds left was held past its due time.
    let mut bed = TestBed::new(settings(), 0);
    bed.call(SAFE, "f");
    bed.advance(40 * MS);
    let out = bed.event(Event::Arrival {
        request: "late".into(),
        class: SAFE,
        tenant: None,
        function: "f".into(),
        due: bed.now + 10 * MS,
        lanes: 1,
        repeat: true,
        hint: 0,
    });
    assert_eq!(refused(&out), 1);
}

#[test]
fn a_copy_in_use_is_renewed_before_it_is_unloaded() {
    let mut bed = TestBed::new(settings(), 3);
    bed.serve(SAFE, "f");
    let home = bed.serve(SAFE, "f");
    assert_eq!(loads(&bed.advance(6 * S)), vec![]);
    assert_eq!(loads(&bed.advance(2 * S)), vec![(home, "f".into(), 1)]);
    // The copy of a function that was called only once is not renewed.
    let mut bed = TestBed::new(settings(), 3);
    bed.serve(SAFE, "g");
    assert_eq!(loads(&bed.advance(9 * S)), vec![]);
}

#[test]
fn refused_clients_get_the_longest_wait_that_they_honour() {
    let mut bed = TestBed::new(settings(), 0);
    let (r, _) = bed.call(SAFE, "f");
    let refusal = Action::Refuse { request: r, retry_after: S };
    assert!(bed.advance(2 * S).contains(&refusal));
}

#[test]
fn one_router_of_many_spreads_a_popular_function_over_several_workers() {
    // Hundreds of routers would otherwise all send a popular function to one worker.
    let workers = |routers| {
        let mut bed = TestBed::new(Settings { routers, ..settings() }, 20);
        let calls = (0..60).map(|i| if i % 2 == 0 { "popular".to_string() } else { format!("rare{i}") });
        let routed: Vec<_> = calls.map(|f| (f.clone(), bed.serve(SAFE, &f))).collect();
        let popular = routed.into_iter().filter(|(f, _)| f == "popular").map(|(_, w)| w);
        popular.collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!(workers(1), 1);
    assert!(workers(300) > 8, "{}", workers(300));
}

#[test]
fn one_router_of_many_tries_further_workers_when_some_are_full() {
    let mut bed = TestBed::new(Settings { routers: 300, ..settings() }, 20);
    let (r, out) = bed.call(UNSAFE, "f");
    let mut tried = vec![sent(&out).unwrap()];
    for k in 0..3 {
        let worker = tried.last().unwrap().clone();
        tried.push(sent(&bed.answer(&r, k, &worker, Outcome::Full)).expect("another worker"));
    }
    let different: std::collections::BTreeSet<_> = tried.iter().collect();
    assert_eq!(different.len(), 4, "{tried:?}");
}

#[test]
fn one_router_of_many_admits_a_part_of_the_requests_when_the_fleet_is_slow() {
    let mut bed = TestBed::new(Settings { routers: 300, ..settings() }, 20);
    let mut served = 0;
    for i in 0..200 {
        let (r, out) = bed.call(SAFE, "f");
        let Some(worker) = sent(&out) else { continue };
        served += u32::from(i >= 100);
        bed.now += 900 * MS;
        bed.answer(&r, 0, &worker, Outcome::Done);
    }
    // Answers take 1.8 times the aim: about a third of the requests is admitted, and never none.
    assert!((15..60).contains(&served), "{served} of 100");
}

#[test]
fn a_slow_rejection_excludes_the_worker_for_that_class_only() {
    let mut bed = TestBed::new(Settings { max_attempts: 1, ..settings() }, 2);
    let home = bed.serve(SAFE, "f");
    let (r, out) = bed.call(SAFE, "f");
    assert_eq!(sent(&out), Some(home.clone()));
    bed.answer(&r, 0, &home, Outcome::Full); // after 50 ms
    bed.advance(S);
    assert_eq!(sent(&bed.call(UNSAFE, "f").1), Some(home.clone()), "other classes are still sent there");
    assert!(sent(&bed.call(SAFE, "f").1).is_some_and(|w| w != home));
}

#[test]
fn a_worker_that_refused_a_connection_is_treated_as_cold() {
    // A worker restarts and accepts connections long before the list shows it: the trial requests of many routers would
    // make it fail. Before any answers are observed, a worker that may be cold gets no requests.
    let mut bed = TestBed::new(Settings { routers: 300, ..settings() }, 1);
    let (r, out) = bed.call(SAFE, "f");
    let only = sent(&out).unwrap();
    bed.answer(&r, 0, &only, Outcome::ConnectFailed);
    let out = bed.advance(9 * S);
    assert_eq!(sent(&out), None);
    let sends = (0..20).filter(|_| sent(&bed.call(SAFE, "f").1).is_some()).count();
    assert_eq!(sends, 0);
    bed.advance(12 * S);
    assert!(sent(&bed.call(SAFE, "f").1).is_some(), "warm by now");
}

#[test]
fn one_router_of_many_rests_a_worker_after_one_failure() {
    let rests = |routers| {
        let mut bed = TestBed::new(Settings { routers, ..settings() }, 5);
        let (r, out) = bed.call(UNSAFE, "f");
        let out = bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Error);
        out.iter().any(|a| matches!(a, Action::Log { .. }))
    };
    assert!(!rests(1));
    assert!(rests(300));
}

#[test]
fn the_attempt_of_a_client_that_left_is_cancelled() {
    let mut bed = TestBed::new(settings(), 2);
    let (r, _) = bed.call(UNSAFE, "f");
    let out = bed.event(Event::ClientLeft { request: r.clone() });
    assert!(out.contains(&Action::Cancel { request: r, attempt: 0 }));
    let mut bed = TestBed::new(Settings { cancel: false, ..settings() }, 2);
    let (r, _) = bed.call(UNSAFE, "f");
    let out = bed.event(Event::ClientLeft { request: r });
    assert!(!out.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

fn with_load_budget() -> Settings {
    let load_budget = Some(LoadBudget { free: 2.0, share: 0.5, period: 10 * S });
    Settings { when_cold: WhenCold::Misses, load_budget, ..settings() }
}

/// Found in a run with misbehaving clients: hundreds of calls of invented functions, many of them abandoned at
/// once, raised the load budget, for which only calls of known functions may count.
#[test]
fn calls_of_unknown_functions_do_not_raise_the_load_budget() {
    for leaves in [true, false] {
        let mut bed = TestBed::new(with_load_budget(), 3);
        for i in 0..100 {
            let (request, out) = bed.call(UNSAFE, &format!("made-up{i}"));
            if leaves {
                bed.event(Event::ClientLeft { request });
            } else {
                bed.answer(&request, 0, &sent(&out).unwrap(), Outcome::Error);
            }
        }
        let mut orders = 0;
        for i in 0..20 {
            let (request, out) = bed.call(UNSAFE, &format!("f{i}"));
            orders += loads(&bed.answer(&request, 0, &sent(&out).unwrap(), Outcome::Miss)).len();
        }
        // Half of twenty calls of known functions, and the two orders allowed without calls.
        assert!((1..=12).contains(&orders), "{orders} orders, leaving: {leaves}");
    }
}

/// Found in a run with faulty connections: each one that broke, or whose answer was invalid, had its worker
/// rested and treated as cold, until a healthy fleet refused four requests of five.
#[test]
fn a_broken_connection_neither_rests_the_worker_nor_drops_its_copies() {
    let mut bed = TestBed::new(settings(), 1);
    for _ in 0..5 {
        bed.serve(SAFE, "f");
    }
    let calls: Vec<_> = (0..8).map(|_| bed.call(SAFE, "f").0).collect();
    for request in &calls {
        let out = bed.answer(request, 0, &"w0".into(), Outcome::Reset);
        assert!(sent(&out).is_some(), "no retry, even at the only worker");
    }
    assert!(sent(&bed.call(UNSAFE, "f").1).is_some());
}

/// Found in a run with clients that give up early: a time-out after a fifth of the aim counted as an answer after
/// twice the aim, so that healthy workers were considered slow and requests were refused.
#[test]
fn a_time_out_of_a_client_that_gives_up_early_does_not_make_its_worker_slow() {
    let mut bed = TestBed::new(settings(), 1);
    for _ in 0..10 {
        bed.serve(SAFE, "f");
        let (request, out) = bed.call(SAFE, "f");
        assert!(sent(&out).is_some());
        bed.serve(SAFE, "f");
        bed.event(Event::ClientLeft { request: request.clone() });
        bed.answer(&request, 0, &"w0".into(), Outcome::TimedOut);
    }
    let sends = (0..8).filter(|i| sent(&bed.call(SAFE, &format!("g{i}")).1).is_some()).count();
    assert_eq!(sends, 8, "not all were sent at once");
}

/// An early refusal leaves the client time for a retry.
#[test]
fn a_request_without_room_is_refused_before_half_of_its_clients_time_has_passed() {
    let mut bed = TestBed::new(settings(), 0);
    let request: RequestId = "r".into();
    bed.event(Event::Arrival {
        request,
        class: SAFE,
        tenant: None,
        function: "f".into(),
        due: bed.now + 200 * MS,
        lanes: 1,
        repeat: false,
        hint: 0,
    });
    assert_eq!(refused(&bed.advance(100 * MS)), 1);
}

/// Found in a run of recorded traffic: two workers answered rarely and a hundred times too late. They counted as
/// neither silent nor failing, and safe requests stayed with them until they timed out.
#[test]
fn safe_requests_at_a_worker_that_has_almost_stopped_are_cancelled() {
    let settings = Settings { when_cold: WhenCold::Misses, ..settings() };
    let mut bed = TestBed::new(settings, 3);
    let homes: Vec<_> = (0..12).map(|i| (bed.serve(SAFE, &format!("f{i}")), format!("f{i}"))).collect();
    let slow = homes[0].0.clone();
    let (here, there): (Vec<_>, Vec<_>) = homes.into_iter().partition(|(w, _)| *w == slow);
    let calls = here.iter().chain(&here).chain(&here).map(|(_, f)| bed.call(SAFE, f));
    let held: Vec<_> = calls.filter(|(_, out)| sent(out).as_ref() == Some(&slow)).map(|(r, _)| r).collect();
    bed.advance(100 * MS);
    // After one answer the worker is not silent.
    bed.answer(&held[0], 0, &slow, Outcome::Done);
    let mut cancelled = 0;
    for _ in 0..20 {
        for (worker, f) in &there {
            let (request, out) = bed.call(SAFE, f);
            if sent(&out).as_ref() == Some(worker) {
                bed.answer(&request, 0, worker, Outcome::Done);
            }
        }
        let out = bed.advance(60 * MS);
        cancelled += out.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    }
    assert!(held.len() > 3 && cancelled == held.len() - 1, "{cancelled} of {}", held.len());
}

/// Found in the same run: functions with the slow worker first in their order were refused, though other workers
/// had room.
#[test]
fn a_function_whose_first_worker_is_slow_is_sent_to_the_next_one() {
    let mut bed = TestBed::new(settings(), 6);
    let slow = bed.serve(SAFE, "f");
    for i in 0..60 {
        let (request, out) = bed.call(SAFE, &format!("f{}", i % 20));
        let worker = sent(&out).expect("an attempt");
        let duration = if worker == slow { 400 * MS } else { 60 * MS };
        bed.now += 20 * MS;
        bed.answer_warm(&request, &worker, duration);
    }
    // It would be the first worker of more of these calls than it gets.
    let sends: Vec<_> = (0..60).filter_map(|i| sent(&bed.call(SAFE, &format!("g{i}")).1)).collect();
    assert_eq!(sends.len(), 60, "some calls were held");
    assert!(sends.iter().filter(|w| **w == slow).count() < 8, "{sends:?}");
}

/// Found in a run of recorded traffic: one answer of a hundred never came, on connections that still worked, and safe
/// requests waited until they timed out. Where overdue answers mostly come late instead, attempts are not cancelled.
#[test]
fn an_overdue_safe_request_is_retried_once_where_overdue_answers_are_mostly_lost() {
    for (end, retried) in [(Outcome::TimedOut, true), (Outcome::Done, false)] {
        let mut bed = TestBed::new(Settings { when_cold: WhenCold::Misses, ..settings() }, 3);
        for _ in 0..12 {
            let (lost, out) = bed.call(UNSAFE, "f");
            let worker = sent(&out).unwrap();
            bed.now += 300 * MS;
            bed.serve(SAFE, "f");
            bed.event(Event::Answer {
                request: lost,
                attempt: 0,
                worker,
                outcome: end,
                finished: true,
                duration: 1000 * MS,
                found: None,
                overlap: None,
                report: None,
            });
        }
        let (late, out) = bed.call(SAFE, "f");
        let worker = sent(&out).unwrap();
        bed.advance(100 * MS);
        bed.serve(SAFE, "f");
        let out = bed.advance(800 * MS);
        let cancelled = out.iter().any(|a| matches!(a, Action::Cancel { request, .. } if *request == late));
        assert_eq!(cancelled, retried, "{end:?}");
        if retried {
            assert!(sent(&bed.answer(&late, 0, &worker, Outcome::Cancelled)).is_some_and(|w| w != worker));
            let out = bed.advance(800 * MS);
            assert!(!out.iter().any(|a| matches!(a, Action::Cancel { .. })), "cancelled twice");
        }
    }
}

/// Found in a run of recorded traffic with half of the hosts replaced: the new ones counted as warm, which lowered the
/// estimated rate of a warm worker and so the number of requests that each new one got.
#[test]
fn cold_workers_do_not_lower_each_others_limit() {
    let mut bed = TestBed::new(settings(), 2);
    for i in 0..200 {
        bed.serve(SAFE, &format!("f{}", i % 20));
        bed.now -= 40 * MS;
    }
    let cold = |i| ListEntry { ready_at: bed.now, ..entry(&format!("c{i}"), Condition::Up) };
    let entries = (0..4).map(cold).collect();
    bed.event(Event::List { kind: ListKind::Delta, entries });
    let sends: Vec<_> = (0..150).filter_map(|i| sent(&bed.call(SAFE, &format!("g{i}")).1)).collect();
    let first = sends.iter().filter(|w| **w == "c0".into()).count();
    assert!(first > 12, "{first}");
}

/// No list event returns a worker that an operator took out of service. Once the operator returns it, no copies are
/// assumed to be loaded there, and functions that it is first for are loaded ahead of their calls.
#[test]
fn a_worker_out_of_service_gets_nothing_until_the_operator_returns_it() {
    let mut bed = TestBed::new(Settings { when_cold: WhenCold::Misses, ..settings() }, 3);
    let home = bed.serve(SAFE, "f");
    bed.event(Event::OutOfService { worker: home.clone(), out: true });
    for condition in [Condition::Gone, Condition::Up] {
        bed.event(Event::List { kind: ListKind::Delta, entries: vec![entry(&home.0, condition)] });
    }
    let elsewhere: Vec<_> = (0..20).map(|_| bed.serve(SAFE, "f")).collect();
    assert!(!elsewhere.contains(&home));
    bed.event(Event::OutOfService { worker: home.clone(), out: false });
    let (r, out) = bed.call(SAFE, "f");
    let ordered: Vec<_> = loads(&out).into_iter().map(|(n, ..)| n).collect();
    assert_eq!((sent(&out).as_ref(), ordered), (elsewhere.last(), vec![home.clone()]));
    bed.answer(&r, 0, &sent(&out).unwrap(), Outcome::Done);
    let (worker, function) = (home.clone(), "f".into());
    bed.event(Event::LoadEnded { worker, function, outcome: Outcome::Done, copies: 1 });
    assert!((0..20).any(|_| bed.serve(SAFE, "f") == home), "it gets no calls again");
}

/// Open requests also have no more attempts than either the old or the new settings allow.
#[test]
fn open_requests_keep_their_class_when_the_settings_change() {
    let mut bed = TestBed::new(settings(), 4);
    let (open, out) = bed.call(SAFE, "f");
    let first = sent(&out).unwrap();
    let classes = vec![class(Effect::Unsafe)];
    bed.event(Event::Settings(Box::new(Settings { classes, max_attempts: 2, ..settings() })));
    let out = bed.answer(&open, 0, &first, Outcome::Error);
    let second = sent(&out).expect("still a safe request");
    let out = bed.answer(&open, 1, &second, Outcome::Error);
    assert_eq!((sent(&out), refused(&out)), (None, 1), "at most two attempts");
    let (later, out) = bed.call(0, "f");
    let out = bed.answer(&later, 0, &sent(&out).unwrap(), Outcome::Error);
    assert_eq!((sent(&out), failed(&out)), (None, 1), "later requests have the new class of that index");
}

/// A router that replaces another one takes over which copies are loaded.
#[test]
fn a_replacing_router_finds_the_copies_that_its_predecessor_knew() {
    let settings = || Settings { when_cold: WhenCold::Misses, ..settings() };
    let mut old = TestBed::new(settings(), 9);
    let places: Vec<_> = (0..9).map(|i| old.serve(SAFE, &format!("f{i}"))).collect();
    let mut new = TestBed::new(settings(), 9);
    new.now = old.now;
    // Each copy is at another worker than the first of its function's order.
    for (i, place) in places.iter().enumerate() {
        let other = format!("w{}", (0..9).find(|n| format!("w{n}") != *place.0).unwrap());
        let copy = LoadedFunction {
            worker: other.as_str().into(),
            function: format!("f{i}").as_str().into(),
            lanes: 2,
            copies: 1,
            until: new.now + 5 * S,
            calls: 3.0,
        };
        new.event(Event::Handover(HandoverState { loaded: vec![copy], ..HandoverState::default() }));
        assert_eq!(&*new.serve(SAFE, &format!("f{i}")).0, other);
    }
    let known: Vec<_> =
        old.router.handover_state().loaded.into_iter().map(|l| (l.function, l.worker)).collect();
    assert!(places
        .iter()
        .enumerate()
        .all(|(i, p)| known.contains(&(format!("f{i}").as_str().into(), p.clone()))));
}

/// Found in a run with an upgrade: a replacing router used a whole load budget on top of what its predecessor had used
/// in the same period.
#[test]
fn the_load_budget_counts_the_orders_of_the_predecessor() {
    let budget = LoadBudget { free: 2.0, share: 0.5, period: 10 * S };
    let settings = || Settings { load_budget: Some(budget), when_cold: WhenCold::Misses, ..settings() };
    let ordered = |bed: &mut TestBed| -> usize {
        let calls = (0..12).map(|i| {
            let (r, out) = bed.call(SAFE, &format!("g{i}"));
            let Some(worker) = sent(&out) else { return 0 };
            loads(&bed.answer(&r, 0, &worker, Outcome::Miss)).len()
        });
        calls.sum()
    };
    let mut old = TestBed::new(settings(), 3);
    let before = ordered(&mut old);
    let tallies = old.router.tallies(0);
    assert_eq!(tallies.iter().map(|t| t.orders as usize).sum::<usize>(), before);
    let mut new = TestBed::new(settings(), 3);
    new.now = old.now;
    new.event(Event::Handover(HandoverState { tallies, ..HandoverState::default() }));
    let after = ordered(&mut new);
    assert!(before > 0 && before + after <= 2 + 24 / 2, "{before} and {after} orders for 24 calls");
}

/// Found in runs with an upgrade after a release: with all workers cold, a new router had observed no answers, and so
/// assumed that no worker had capacity. What its predecessor sent to cold workers counts for their limits too.
#[test]
fn a_replacing_router_knows_the_capacity_of_cold_workers() {
    let restart_all = |bed: &mut TestBed| {
        let cold = |i| ListEntry { ready_at: bed.now, ..entry(&format!("w{i}"), Condition::Up) };
        let entries = (0..3).map(cold).collect();
        bed.event(Event::List { kind: ListKind::Full, entries });
    };
    let calls = |bed: &mut TestBed| -> usize {
        (0..60).filter(|i| sent(&bed.call(SAFE, &format!("f{}", i % 9)).1).is_some()).count()
    };
    let mut old = TestBed::new(settings(), 3);
    (0..200).for_each(|i| drop(old.serve(SAFE, &format!("f{}", i % 9))));
    restart_all(&mut old);
    let now = old.now;
    let replacing = |state: HandoverState| {
        let mut new = TestBed::new(settings(), 3);
        new.now = now;
        restart_all(&mut new);
        new.event(Event::Handover(state));
        new
    };
    let (early, before) = (old.router.handover_state(), calls(&mut old));
    let nothing = calls(&mut replacing(HandoverState::default()));
    assert!(before > 6 && nothing <= 6, "two for each worker without a state: {nothing}, {before}");
    assert_eq!(calls(&mut replacing(early)), before);
    assert!(calls(&mut replacing(old.router.handover_state())) <= 2, "the predecessor has used the limit");
}

/// Found in the second deployment, whose calls take a third of their aim on an idle worker: after a release each worker
/// counted as slow and got one call at a time, so that the estimate could not improve, and 98 in 100 calls were
/// refused.
#[test]
fn a_high_slowness_estimate_excludes_no_worker() {
    let mut bed = TestBed::new(settings(), 2);
    for i in 0..60 {
        let (request, out) = bed.call(SAFE, &format!("f{}", i % 8));
        let worker = sent(&out).expect("an attempt");
        bed.now += 20 * MS;
        bed.answer_warm(&request, &worker, 900 * MS);
    }
    let sends = (0..16).filter(|i| sent(&bed.call(SAFE, &format!("f{}", i % 8)).1).is_some()).count();
    assert!(sends >= 12, "{sends} of 16");
}

/// Calls that await a load use no core.
#[test]
fn calls_that_await_a_load_leave_room_for_others() {
    let mut bed = TestBed::new(settings(), 1);
    bed.serve(SAFE, "warm");
    let awaiting = (0..12).filter(|i| sent(&bed.call(SAFE, &format!("new{i}")).1).is_some()).count();
    assert!(awaiting >= 10, "{awaiting}");
    assert!(sent(&bed.call(SAFE, "warm").1).is_some());
}

/// The limit for cold workers follows the highest sustained rate. With the present rate, fewer answers would lower the
/// limit, which again means fewer answers, down to none.
#[test]
fn the_limit_for_cold_workers_does_not_fall_with_the_served_rate() {
    let mut bed = TestBed::new(Settings { fall_multiple: 3.0, ..settings() }, 3);
    for i in 0..200 {
        bed.serve(SAFE, &format!("f{}", i % 20));
    }
    bed.advance(10 * S);
    let cold = |i| ListEntry { ready_at: bed.now, ..entry(&format!("w{i}"), Condition::Up) };
    let entries = (0..3).map(cold).collect();
    bed.event(Event::List { kind: ListKind::Full, entries });
    let sends = (0..30).filter(|i| sent(&bed.call(SAFE, &format!("f{}", i % 20)).1).is_some()).count();
    assert!((7..=24).contains(&sends), "{sends}: not between two for each worker and their limit");
    // A router that has observed no answers sends two to each: it cannot know their capacity.
    let mut bed = TestBed::new(settings(), 0);
    let cold = |i| ListEntry { ready_at: bed.now, ..entry(&format!("w{i}"), Condition::Up) };
    let entries = (0..3).map(cold).collect();
    bed.event(Event::List { kind: ListKind::Full, entries });
    let sends = (0..30).filter(|i| sent(&bed.call(SAFE, &format!("f{i}")).1).is_some()).count();
    assert!((1..=6).contains(&sends), "{sends}");
}

/// Found by a test of the node with one host: once it had rejected requests, it was passed over as slow for ever,
/// though there was no other host.
#[test]
fn the_only_workers_are_used_again_however_slow_they_were() {
    for workers in [1, 2] {
        let mut bed = TestBed::new(settings(), workers);
        for _ in 0..4 {
            let (r, out) = bed.call(SAFE, "f");
            let mut next = sent(&out);
            for attempt in 0.. {
                let Some(worker) = next else { break };
                bed.now += MS;
                next = sent(&bed.event(Event::Answer {
                    request: r.clone(),
                    attempt,
                    worker,
                    outcome: Outcome::Full,
                    finished: false,
                    duration: MS,
                    found: None,
                    overlap: None,
                    report: None,
                }));
            }
            bed.event(Event::ClientLeft { request: r });
        }
        bed.advance(S);
        assert!(sent(&bed.call(SAFE, "g").1).is_some(), "{workers} workers");
    }
}

/// The list changes twice while attempts are in progress: the worker drains, and then a new process has its id. Answers
/// of the earlier process show no loaded copy, no failure and no load at the new one.
#[test]
fn answers_of_an_earlier_process_do_not_apply_to_the_next_one() {
    for end in [Outcome::Done, Outcome::Reset, Outcome::Error, Outcome::TimedOut] {
        let mut bed = TestBed::new(Settings { when_cold: WhenCold::Misses, ..settings() }, 1);
        bed.serve(SAFE, "f");
        let open: Vec<_> = (0..4).map(|_| bed.call(SAFE, "f").0).collect();
        let (missed, out) = bed.call(SAFE, "g");
        assert!(sent(&out).is_some());
        let out = bed.answer(&missed, 0, &"w0".into(), Outcome::Miss);
        assert_eq!(loads(&out).len(), 1, "an order is in progress too");
        for condition in [Condition::Draining, Condition::Up] {
            bed.now += 100 * MS;
            let ready_at = if condition == Condition::Up { bed.now } else { 0 };
            let entries = vec![ListEntry { ready_at, ..entry("w0", condition) }];
            bed.event(Event::List { kind: ListKind::Delta, entries });
        }
        for request in &open {
            let out = bed.answer(request, 0, &"w0".into(), end);
            assert!(!out.iter().any(|a| matches!(a, Action::Log { .. })), "{end:?}: {out:?} at the new one");
            bed.event(Event::ClientLeft { request: request.clone() });
        }
        let reset = Outcome::Reset;
        bed.event(Event::LoadEnded { worker: "w0".into(), function: "g".into(), outcome: reset, copies: 0 });
        bed.advance(100 * MS);
        let assumed = bed.router.handover_state().loaded;
        assert!(assumed.is_empty(), "{end:?}: {assumed:?} at a process that has loaded nothing");
    }
}
