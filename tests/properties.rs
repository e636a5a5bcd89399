//! The guarantees of a router, and its determinism, under random orders of events from fixed seeds: one final answer,
//! no forbidden retry, at most one attempt in progress, no new work for workers that are not up, and the load budget.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use wheellink::*;

/// An attempt.
struct Attempt {
    worker: WorkerId,
    sent: Micros,
    ended: Option<Outcome>,
}

/// An open request.
struct Open {
    class: usize,
    due: Micros,
    attempts: Vec<Attempt>,
    /// Number of final answers.
    answers: u32,
    /// Answered, or its client has left.
    done: bool,
}

/// Runs one sequence of events and asserts the guarantees at each action; returns all actions.
fn run(seed: u64, settings: Settings) -> Vec<Action> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let budget = settings.load_budget;
    let max_attempts = settings.max_attempts;
    let classes = settings.classes.clone();
    let mut router = Router::new(settings, seed).unwrap();
    let mut now = 50 * S;
    let mut up: BTreeMap<WorkerId, bool> = BTreeMap::new();
    let mut zones: BTreeMap<WorkerId, Option<u32>> = BTreeMap::new();
    let mut requests: BTreeMap<RequestId, Open> = BTreeMap::new();
    let mut orders: Vec<(WorkerId, FunctionId)> = Vec::new();
    let mut order_times: VecDeque<Micros> = VecDeque::new();
    let mut arrival_times: VecDeque<Micros> = VecDeque::new();
    let mut wakes: Vec<Micros> = Vec::new();
    let mut all = Vec::new();
    let mut next = 0;
    for step in 0..1500 {
        now += rng.i64(0..8 * MS);
        let live = |r: &Open| !r.done || r.attempts.iter().any(|a| a.ended.is_none());
        requests.retain(|_, r| live(r) || now < r.due);
        let due_wake = wakes.iter().position(|at| *at <= now);
        let late = requests.iter().find(|(_, r)| !r.done && now >= r.due).map(|(id, _)| id.clone());
        let in_flight: Vec<(RequestId, usize)> = requests
            .iter()
            .flat_map(|(id, r)| (0..r.attempts.len()).map(move |k| (id, k, r)))
            .filter(|(_, k, r)| r.attempts[*k].ended.is_none())
            .map(|(id, k, _)| (id.clone(), k))
            .collect();
        let event = if step == 0 || rng.u32(..60) == 0 {
            let entries: Vec<_> = (0..5)
                .map(|i| {
                    let condition = match rng.u32(..6) {
                        0 => Condition::Draining,
                        1 => Condition::Gone,
                        _ => Condition::Up,
                    };
                    let ready_at = if rng.bool() { 0 } else { now - rng.i64(0..S) };
                    ListEntry { zone: Some(i % 2), ready_at, ..entry(&format!("w{i}"), condition) }
                })
                .collect();
            let full = step == 0 || rng.bool();
            if full {
                up.values_mut().for_each(|u| *u = false);
            }
            for e in &entries {
                up.insert(e.worker.clone(), e.condition == Condition::Up);
                zones.insert(e.worker.clone(), e.zone);
            }
            Event::List { kind: if full { ListKind::Full } else { ListKind::Delta }, entries }
        } else if let Some(k) = due_wake {
            wakes.remove(k);
            Event::Woken
        } else if let Some(id) = late {
            let r = requests.get_mut(&id).unwrap();
            match r.attempts.iter_mut().enumerate().find(|(_, a)| a.ended.is_none()) {
                Some((k, a)) => {
                    a.ended = Some(Outcome::TimedOut);
                    answer(&id, k, &a.worker, Outcome::TimedOut, false, now - a.sent)
                }
                None => panic!("seed {seed}: {id:?} has no final answer at its deadline"),
            }
        } else if !in_flight.is_empty() && rng.u32(..5) < 2 {
            let (id, k) = in_flight[rng.usize(..in_flight.len())].clone();
            let r = requests.get_mut(&id).unwrap();
            let ends = [
                Outcome::Done,
                Outcome::Done,
                Outcome::Error,
                Outcome::Full,
                Outcome::ConnectFailed,
                Outcome::Reset,
                Outcome::Miss,
                Outcome::Cancelled,
            ];
            let end = ends[rng.usize(..ends.len())];
            r.done |= end == Outcome::Done;
            r.attempts[k].ended = Some(end);
            answer(&id, k, &r.attempts[k].worker.clone(), end, r.done, now - r.attempts[k].sent)
        } else if !orders.is_empty() && rng.u32(..4) == 0 {
            let (worker, function) = orders.remove(rng.usize(..orders.len()));
            let outcome = if rng.bool() { Outcome::Done } else { Outcome::Full };
            Event::LoadEnded { worker, function, outcome, copies: u32::from(outcome == Outcome::Done) }
        } else if rng.u32(..40) == 0 && !requests.is_empty() {
            // Often a request that has finished or does not exist.
            let id = RequestId::from(format!("r{}", rng.u32(..next + 5)).as_str());
            if let Some(r) = requests.get_mut(&id) {
                r.done = true;
            }
            Event::ClientLeft { request: id }
        } else {
            next += 1;
            let request = RequestId::from(format!("r{next}").as_str());
            let class = rng.usize(..classes.len());
            let due = now + rng.i64(1..2 * S);
            arrival_times.push_back(now);
            requests.insert(request.clone(), Open { class, due, attempts: vec![], answers: 0, done: false });
            Event::Arrival {
                request,
                class,
                tenant: None,
                function: format!("f{}", rng.u32(..12)).as_str().into(),
                due,
                lanes: 1 + rng.u32(..2),
                repeat: rng.u32(..5) == 0,
                hint: 0,
            }
        };
        let mut out = Vec::new();
        router.handle(now, event, &mut out);
        for action in &out {
            match action {
                Action::Send { request, worker, .. } => {
                    let r = requests.get_mut(request).unwrap();
                    assert!(!r.done, "seed {seed}: sent after the final answer");
                    assert!(up[worker], "seed {seed}: sent to a worker that is not up");
                    assert!(r.attempts.iter().all(|a| a.ended.is_some()), "seed {seed}: two in progress");
                    assert!((r.attempts.len() as u32) < max_attempts);
                    let ran = r.attempts.iter().filter(|a| !a.ended.unwrap().never_ran());
                    match classes[r.class].effect {
                        Effect::Safe => {}
                        Effect::Unsafe => assert_eq!(ran.count(), 0, "seed {seed}: unsafe, sent twice"),
                        Effect::Keyed { window, .. } => ran.for_each(|a| {
                            assert!(now - a.sent <= window && zones[&a.worker] == zones[worker]);
                        }),
                    }
                    r.attempts.push(Attempt { worker: worker.clone(), sent: now, ended: None });
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    let r = requests.get_mut(request).expect("an open request");
                    assert!(!r.done, "seed {seed}: a second final answer");
                    r.answers += 1;
                    r.done = true;
                    assert_eq!(r.answers, 1);
                    if matches!(action, Action::Refuse { .. }) && classes[r.class].effect != Effect::Safe {
                        assert!(r.attempts.iter().all(|a| a.ended.is_some_and(Outcome::never_ran)));
                    }
                }
                Action::Cancel { request, attempt } => {
                    assert!((*attempt as usize) < requests[request].attempts.len());
                }
                Action::Load { worker, function, .. } => {
                    assert!(up[worker], "seed {seed}: order to a worker that is not up");
                    orders.push((worker.clone(), function.clone()));
                    order_times.push_back(now);
                    if let Some(b) = budget {
                        order_times.retain(|t| *t >= now - b.period);
                        arrival_times.retain(|t| *t > now - b.period);
                        let allowed = b.free + b.share * arrival_times.len() as f64;
                        assert!(order_times.len() as f64 <= allowed, "seed {seed}: over the load budget");
                    }
                }
                Action::Wake { at } => {
                    assert!(*at > now);
                    wakes.push(*at);
                }
                Action::Broadcast { data } => assert!(data.len() <= 256),
                Action::Subscribe | Action::Log { .. } => {}
            }
        }
        all.extend(out);
    }
    all
}

fn answer(id: &RequestId, k: usize, worker: &WorkerId, outcome: Outcome, done: bool, took: Micros) -> Event {
    Event::Answer {
        request: id.clone(),
        attempt: k as u32,
        worker: worker.clone(),
        outcome,
        finished: done,
        duration: took,
        found: None,
        overlap: None,
        report: None,
    }
}

fn variants() -> [Settings; 2] {
    let budget = LoadBudget { free: 3.0, share: 0.1, period: 5 * S };
    [
        settings(),
        Settings { when_cold: WhenCold::Misses, load_budget: Some(budget), routers: 3, ..settings() },
    ]
}

#[test]
fn the_guarantees_hold_under_random_orders_of_events() {
    for seed in 0..12 {
        for s in variants() {
            assert!(!run(seed, s).is_empty());
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for s in variants() {
        assert_eq!(run(99, s.clone()), run(99, s));
    }
}

#[test]
fn hundreds_of_routers_together_do_not_overload_a_cold_worker() {
    let routers = 300;
    let settings = Settings { routers, ..settings() };
    let mut beds: Vec<TestBed> = (0..routers)
        .map(|seed| {
            let mut bed = TestBed::new(settings.clone(), 0);
            bed.router = Router::new(settings.clone(), seed.into()).unwrap();
            let warm = (0..4).map(|i| entry(&format!("w{i}"), Condition::Up)).collect();
            bed.event(Event::List { kind: ListKind::Full, entries: warm });
            bed
        })
        .collect();
    // Each router has four calls a second served: 1200 a second at four workers, 300 a second at each.
    for step in 0..20 {
        for bed in &mut beds {
            bed.serve(SAFE, &format!("f{step}"));
            bed.advance(200 * MS);
        }
    }
    // A fifth worker starts with a fifth of that capacity: it fails above 240 requests within two seconds.
    let mut cold = Vec::new();
    for bed in &mut beds {
        let fresh = ListEntry { ready_at: bed.now, ..entry("w9", Condition::Up) };
        let start = bed.now;
        bed.event(Event::List { kind: ListKind::Delta, entries: vec![fresh] });
        for i in 0..16 {
            let (request, out) = bed.call(SAFE, &format!("g{i}"));
            let worker = sent(&out).expect("a worker with room");
            if &*worker.0 == "w9" {
                cold.push(bed.now - start);
            }
            bed.now += 50 * MS;
            bed.answer(&request, 0, &worker, Outcome::Done);
            bed.advance(200 * MS);
        }
    }
    let max = cold.iter().map(|from| cold.iter().filter(|t| (*from..from + 2 * S).contains(t)).count()).max();
    let max = max.unwrap_or(0);
    assert!((20..240).contains(&max), "{max} requests within two seconds");
}
