//! Attempts and orders that end because the process of the router has no connection left, which says nothing about the
//! worker, and load orders that a worker rejects, which means that it has no room at present. The router must not
//! repeat either of them at once without end.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use rstest::rstest;
use wheellink::*;

const WORKERS: usize = 3;

/// A router of a deployment where only orders load, without a load budget.
fn only_orders_load(routers: u32, max_gossip_bytes: usize) -> TestBed {
    TestBed::new(Settings { when_cold: WhenCold::Misses, routers, max_gossip_bytes, ..settings() }, WORKERS)
}

fn attempt_ends(bed: &mut TestBed, request: &RequestId, worker: &WorkerId, outcome: Outcome) -> Vec<Action> {
    bed.event(Event::Answer {
        request: request.clone(),
        attempt: 0,
        worker: worker.clone(),
        outcome,
        finished: false,
        duration: 0,
        found: None,
        overlap: None,
        report: None,
    })
}

fn order_ends(bed: &mut TestBed, place: (&WorkerId, &FunctionId), outcome: Outcome) -> Vec<Action> {
    let (worker, function) = (place.0.clone(), place.1.clone());
    bed.event(Event::LoadEnded { worker, function, outcome, copies: u32::from(outcome == Outcome::Done) })
}

/// The request is retried, and its worker is used as before once a connection may be available again.
#[rstest]
fn a_missing_connection_does_not_count_against_the_worker(#[values(SAFE, UNSAFE, KEYED)] class: usize) {
    // Functions with the same first worker.
    let first = |function: &str| sent(&TestBed::new(settings(), WORKERS).call(SAFE, function).1).unwrap();
    let home = first("f");
    let mut others = (0..).map(|i| format!("g{i}")).filter(|other| first(other) == home);
    let mut bed = TestBed::new(settings(), WORKERS);
    for _ in 0..3 {
        let (request, out) = bed.call(class, &others.next().unwrap());
        assert_eq!(sent(&out), Some(home.clone()));
        let mut out = attempt_ends(&mut bed, &request, &home, Outcome::NoConnection);
        out.extend(bed.advance(200 * MS));
        assert!(sent(&out).is_some(), "it never ran, but is not retried");
        assert_eq!((refused(&out), failed(&out)), (0, 0));
        bed.event(Event::ClientLeft { request });
    }
    assert_eq!(bed.serve(class, &others.next().unwrap()), home, "its worker is not used");
}

#[test]
fn an_order_without_a_connection_is_repeated_only_at_the_next_tick() {
    let mut bed = only_orders_load(1, 0);
    let (request, out) = bed.call(SAFE, "f");
    let home = sent(&out).unwrap();
    let out = bed.answer(&request, 0, &home, Outcome::Miss);
    assert_eq!(loads(&out).len(), 1);
    assert_eq!(loads(&order_ends(&mut bed, (&home, &"f".into()), Outcome::NotSent)), []);
    let again = loads(&bed.advance(40 * MS));
    assert_eq!(again.first().map(|(worker, ..)| worker.clone()), Some(home));
}

/// Workers without copies, which reject orders until they have room.
struct FullWorkers {
    bed: TestBed,
    request: RequestId,
    attempts: u32,
    /// Number of orders that each worker got.
    orders: BTreeMap<WorkerId, usize>,
}

impl FullWorkers {
    /// Answers all attempts and orders at once; returns whether the request can be served.
    fn answer(&mut self, out: Vec<Action>, has_room: bool) -> bool {
        let mut open = VecDeque::from(out);
        while let Some(action) = open.pop_front() {
            match action {
                Action::Send { worker, .. } => {
                    let attempt = self.attempts;
                    self.attempts += 1;
                    if has_room {
                        return true;
                    }
                    open.extend(self.bed.answer(&self.request, attempt, &worker, Outcome::Miss));
                }
                Action::Load { worker, function, .. } => {
                    let count = self.orders.entry(worker.clone()).or_default();
                    *count += 1;
                    assert!(*count <= 2, "{worker:?} gets order after order");
                    let outcome = if has_room { Outcome::Done } else { Outcome::Full };
                    open.extend(order_ends(&mut self.bed, (&worker, &function), outcome));
                }
                Action::Refuse { .. } | Action::Fail { .. } => panic!("a final answer: {action:?}"),
                _ => {}
            }
        }
        false
    }
}

/// One worker rejects the order and another has room: the request must not wait for the first.
#[rstest]
fn a_request_whose_worker_has_no_room_for_its_load_is_sent_elsewhere(
    #[values((1, 0), (12, 0))] (routers, max_gossip_bytes): (u32, usize),
) {
    let mut bed = only_orders_load(routers, max_gossip_bytes);
    let (request, out) = bed.call(SAFE, "f");
    let home = sent(&out).unwrap();
    bed.answer(&request, 0, &home, Outcome::Miss);
    let mut out = order_ends(&mut bed, (&home, &"f".into()), Outcome::Full);
    out.extend(bed.advance(100 * MS));
    assert!(sent(&out).is_some_and(|worker| worker != home), "{out:?}");
}

/// Workers that reject orders at once get one order within a second, with and without gossip. Once they have room, the
/// request is served in time.
#[rstest]
fn a_worker_without_room_for_a_load_gets_no_further_orders_for_a_while(
    #[values((1, 0), (12, 0), (12, 256))] (routers, max_gossip_bytes): (u32, usize),
) {
    let mut bed = only_orders_load(routers, max_gossip_bytes);
    let (request, out) = bed.call(SAFE, "f");
    let mut workers = FullWorkers { bed, request, attempts: 0, orders: BTreeMap::new() };
    assert!(!workers.answer(out, false));
    for _ in 0..40 {
        let out = workers.bed.advance(20 * MS);
        assert!(!workers.answer(out, false));
    }
    assert!(!workers.orders.is_empty());
    assert!(workers.orders.values().all(|count| *count == 1), "{:?}", workers.orders);
    let out = workers.bed.advance(400 * MS);
    assert!(workers.answer(out, true), "not served, though there is room");
}
