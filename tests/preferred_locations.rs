//! Advice on where a request is best served: heeded among what may be used, and nothing more.

mod common;

use common::*;
use rstest::rstest;
use wheellink::*;

/// Workers w0 to w5, two to a cell, all of them warm for "f".
fn bed() -> TestBed {
    let mut bed = TestBed::new(settings(), 0);
    let at = |i: usize| ListEntry {
        cell: i as i64 / 2,
        zone: i as u32 / 3,
        ..entry(&format!("w{i}"), Condition::Up)
    };
    bed.event(Event::List { kind: ListKind::Full, entries: (0..6).map(at).collect() });
    let loaded = (0..6).map(|i| LoadedFunction {
        worker: format!("w{i}").as_str().into(),
        function: "f".into(),
        until: bed.now + 60 * S,
        lanes: 2,
        calls: 9.0,
        copies: 2,
    });
    let loaded = loaded.collect();
    bed.event(Event::Handover(HandoverState { loaded, ..HandoverState::default() }));
    bed
}

/// Workers as in [`bed`], with 40 routers that may tell one another so many bytes at once.
fn bed_of_many(tell: usize) -> TestBed {
    let mut bed = bed();
    bed.event(Event::Settings(Box::new(Settings { routers: 40, max_gossip_bytes: tell, ..settings() })));
    bed
}

/// What answers tell of crowds steers where nobody could tell it otherwise, and there alone.
#[test]
fn crowds_that_answers_tell_count_only_where_routers_cannot_tell_one_another() {
    let play = |tell: usize, told: bool| {
        let mut bed = bed_of_many(tell);
        let mut to = Vec::new();
        for _ in 0..30 {
            bed.now += 200 * MS;
            let (request, out) = bed.call(SAFE, "f");
            let worker = sent(&out).remove(0);
            // The first three hold twenty calls of the function, the others none.
            let overlap = told.then_some(if worker.as_str() < "w3" { 20 } else { 0 });
            bed.event(Event::Answer {
                request,
                attempt: 0,
                worker: worker.as_str().into(),
                outcome: Outcome::Done,
                finished: true,
                duration: 50 * MS,
                found: Some(Found::Warm),
                overlap,
                report: None,
            });
            to.push(worker);
        }
        to
    };
    assert_eq!(play(256, true), play(256, false));
    let crowded = |to: Vec<String>| to.iter().filter(|w| w.as_str() < "w3").count();
    let (told, untold) = (crowded(play(0, true)), crowded(play(0, false)));
    assert!(told < untold, "{told} of 30 calls to crowded workers, {untold} where nothing is told");
}

fn sent(out: &[Action]) -> Vec<String> {
    common::sent(out).map(|w| w.0.to_string()).into_iter().collect()
}

fn advised(bed: &mut TestBed, spots: Vec<PreferredLocation>) -> String {
    bed.event(Event::PreferredLocations(spots));
    let (request, out) = bed.call(SAFE, "f");
    let to = sent(&out);
    assert_eq!(to.len(), 1, "{out:?}");
    bed.answer_warm(&request, &to[0].as_str().into(), 50 * MS);
    to[0].clone()
}

/// Events of a seed, with or without empty advice before each arrival: the same actions to the last bit.
#[test]
fn an_empty_advice_changes_nothing() {
    let play = |seed: u64, empty: bool| {
        let mut bed = bed();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut log = Vec::new();
        let mut open = Vec::new();
        for _ in 0..2_000 {
            bed.now += rng.i64(0..8 * MS);
            if empty {
                log.extend(
                    bed.event(Event::PreferredLocations(Vec::new()))
                        .into_iter()
                        .filter(|a| !matches!(a, Action::Wake { .. })),
                );
            } else {
                log.extend(bed.event(Event::Woken).into_iter().filter(|a| !matches!(a, Action::Wake { .. })));
            }
            let class = rng.usize(..3);
            let (request, out) = bed.call(class, ["f", "g"][rng.usize(..2)]);
            for worker in sent(&out) {
                open.push((request.clone(), worker));
            }
            log.extend(out);
            if open.len() > 12 {
                let (request, worker) = open.remove(rng.usize(..open.len()));
                let outcome = [Outcome::Done, Outcome::Done, Outcome::Full, Outcome::Reset][rng.usize(..4)];
                log.extend(bed.event(Event::Answer {
                    request,
                    attempt: 0,
                    worker: worker.as_str().into(),
                    outcome,
                    finished: outcome == Outcome::Done,
                    duration: 50 * MS,
                    found: None,
                    overlap: None,
                    report: None,
                }));
            }
        }
        log
    };
    for seed in 0..4 {
        let (with, without) = (play(seed, true), play(seed, false));
        assert!(with.len() > 1_000 && with == without, "seed {seed}");
    }
}

#[rstest]
#[case::cell(vec![PreferredLocation::Cell(1)], &["w2", "w3"])]
#[case::zone(vec![PreferredLocation::Zone(1)], &["w3", "w4", "w5"])]
#[case::worker(vec![PreferredLocation::Worker("w4".into())], &["w4"])]
#[case::best_first(vec![PreferredLocation::Worker("w1".into()), PreferredLocation::Cell(2)], &["w1"])]
#[case::nobody_there(vec![PreferredLocation::Cell(77), PreferredLocation::Worker("w5".into())], &["w5"])]
fn a_warm_worker_of_the_first_spot_is_taken(#[case] spots: Vec<PreferredLocation>, #[case] wanted: &[&str]) {
    let mut bed = bed();
    for _ in 0..20 {
        let to = advised(&mut bed, spots.clone());
        assert!(wanted.contains(&to.as_str()), "{to} is none of {wanted:?}");
    }
}

#[test]
fn only_three_spots_are_heeded_and_only_for_the_next_arrival() {
    let mut bed = bed();
    let far = |i: i64| PreferredLocation::Cell(90 + i);
    let tos: Vec<_> = (0..60)
        .map(|_| advised(&mut bed, vec![far(0), far(1), far(2), PreferredLocation::Worker("w0".into())]))
        .collect();
    assert!(tos.iter().any(|to| to != "w0"), "the fourth spot was heeded");
    bed.event(Event::PreferredLocations(vec![PreferredLocation::Worker("w0".into())]));
    let tos: Vec<_> = (0..60)
        .map(|_| {
            let (request, out) = bed.call(SAFE, "f");
            let to = sent(&out)[0].clone();
            bed.answer_warm(&request, &to.as_str().into(), 50 * MS);
            to
        })
        .collect();
    assert!(tos.iter().any(|to| to != "w0"), "an advice outlived its arrival");
}

/// What the rules rule out stays out, whatever is advised.
#[test]
fn advice_moves_no_rule() {
    let mut bed = bed();
    let w4 = || vec![PreferredLocation::Worker("w4".into())];
    let draining = ListEntry { cell: 2, zone: 1, ..entry("w4", Condition::Draining) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![draining] });
    assert!((0..20).all(|_| advised(&mut bed, w4()) != "w4"), "a draining worker was sent something");
    let up = ListEntry { cell: 2, zone: 1, ..entry("w4", Condition::Up) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![up] });
    bed.event(Event::OutOfService { worker: "w4".into(), out: true });
    assert!((0..20).all(|_| advised(&mut bed, w4()) != "w4"), "a barred worker was sent something");
    // A keyed call that may have run in zone 0 stays there.
    bed.event(Event::OutOfService { worker: "w4".into(), out: false });
    bed.event(Event::PastAttempts(vec![PastAttempt {
        worker: "w0".into(),
        sent: bed.now - 10 * MS,
        outcome: Outcome::Reset,
    }]));
    bed.event(Event::PreferredLocations(vec![PreferredLocation::Zone(1)]));
    let (_, out) = bed.call(KEYED, "f");
    let to = sent(&out);
    assert!(to.iter().all(|w| ["w0", "w1", "w2"].contains(&w.as_str())), "{to:?}");
    // A site that is full is passed over.
    let mut bed = self::bed();
    let tos: Vec<String> = (0..12)
        .flat_map(|_| {
            bed.event(Event::PreferredLocations(vec![PreferredLocation::Worker("w1".into())]));
            sent(&bed.call(SAFE, "f").1)
        })
        .collect();
    let there = tos.iter().filter(|to| *to == "w1").count();
    assert!((1..=4).contains(&there), "{there} of 12 at once on 2 copies of 2 lanes");
}
