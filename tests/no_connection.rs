//! A router whose process has no connection to spare, and workers that turn orders to load away. The first says nothing of a
//! worker; the second says that it has no room for now. Neither is asked for again at once, for ever.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use rstest::rstest;
use wheellink::*;

const WORKERS: usize = 3;

/// Where only orders load, and no ration bounds them.
fn loaded_by_orders(routers: u32, max_gossip_bytes: usize) -> TestBed {
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

/// The call goes elsewhere, and its worker is as well as before once there may be a connection again.
#[rstest]
fn an_attempt_without_a_connection_says_nothing_of_its_worker(#[values(SAFE, UNSAFE, KEYED)] class: usize) {
    // Functions that have the same worker first in their order.
    let first = |function: &str| sent(&TestBed::new(settings(), WORKERS).call(SAFE, function).1).unwrap();
    let home = first("f");
    let mut others = (0..).map(|i| format!("g{i}")).filter(|other| first(other) == home);
    let mut bed = TestBed::new(settings(), WORKERS);
    for _ in 0..3 {
        let (request, out) = bed.call(class, &others.next().unwrap());
        assert_eq!(sent(&out), Some(home.clone()));
        let mut out = attempt_ends(&mut bed, &request, &home, Outcome::NoConnection);
        out.extend(bed.advance(200 * MS));
        assert!(sent(&out).is_some(), "it never ran, and is sent again");
        assert_eq!((refused(&out), failed(&out)), (0, 0));
        bed.event(Event::ClientLeft { request });
    }
    assert_eq!(bed.serve(class, &others.next().unwrap()), home, "nothing speaks against it");
}

#[test]
fn an_order_without_a_connection_is_given_again_at_the_next_look_alone() {
    let mut bed = loaded_by_orders(1, 0);
    let (request, out) = bed.call(SAFE, "f");
    let home = sent(&out).unwrap();
    let out = bed.answer(&request, 0, &home, Outcome::Miss);
    assert_eq!(loads(&out).len(), 1);
    assert_eq!(loads(&order_ends(&mut bed, (&home, &"f".into()), Outcome::NotSent)), []);
    let again = loads(&bed.advance(40 * MS));
    assert_eq!(again.first().map(|(worker, ..)| worker.clone()), Some(home));
}

/// Workers that hold no copy, and that turn orders away until they have room: the orders that each was given.
struct Crowded {
    bed: TestBed,
    request: RequestId,
    attempts: u32,
    orders: BTreeMap<WorkerId, usize>,
}

impl Crowded {
    /// Answers all that is sent and ordered, at once: whether the call was served.
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
                    let given = self.orders.entry(worker.clone()).or_default();
                    *given += 1;
                    assert!(*given <= 2, "{worker:?} is asked again and again");
                    let outcome = if has_room { Outcome::Done } else { Outcome::Full };
                    open.extend(order_ends(&mut self.bed, (&worker, &function), outcome));
                }
                Action::Refuse { .. } | Action::Fail { .. } => panic!("it is given up: {action:?}"),
                _ => {}
            }
        }
        false
    }
}

/// One turns the order away and another has room: the call does not wait for the first.
#[rstest]
fn a_call_whose_worker_has_no_room_for_its_load_goes_on(
    #[values((1, 0), (12, 0))] (routers, tell): (u32, usize),
) {
    let mut bed = loaded_by_orders(routers, tell);
    let (request, out) = bed.call(SAFE, "f");
    let home = sent(&out).unwrap();
    bed.answer(&request, 0, &home, Outcome::Miss);
    let mut out = order_ends(&mut bed, (&home, &"f".into()), Outcome::Full);
    out.extend(bed.advance(100 * MS));
    assert!(sent(&out).is_some_and(|worker| worker != home), "{out:?}");
}

/// Each turns orders away at once: it is given one within a second, by a router that hears others and by one that does not.
/// Then there is room, and the call is served within its time.
#[rstest]
fn a_worker_without_room_for_a_load_is_left_alone_for_a_while(
    #[values((1, 0), (12, 0), (12, 256))] (routers, tell): (u32, usize),
) {
    let mut bed = loaded_by_orders(routers, tell);
    let (request, out) = bed.call(SAFE, "f");
    let mut crowded = Crowded { bed, request, attempts: 0, orders: BTreeMap::new() };
    assert!(!crowded.answer(out, false));
    for _ in 0..40 {
        let out = crowded.bed.advance(20 * MS);
        assert!(!crowded.answer(out, false));
    }
    assert!(!crowded.orders.is_empty());
    assert!(crowded.orders.values().all(|given| *given == 1), "{:?}", crowded.orders);
    let out = crowded.bed.advance(400 * MS);
    assert!(crowded.answer(out, true), "served once there is room");
}
