//! Preferred locations of a request only order the workers that the router could choose anyway.

mod common;

use common::*;
use rstest::rstest;
use wheellink::*;

/// Workers w0 to w5, two in each cell and three in each zone, all with loaded copies of "f".
fn bed() -> TestBed {
    let mut bed = TestBed::new(settings(), 0);
    let at = |i: usize| ListEntry {
        cell: Some(i as i64 / 2),
        zone: Some(i as u32 / 3),
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

/// Workers as in [`bed`], at one of 40 routers with datagrams of this size.
fn bed_of_many(max_gossip_bytes: usize) -> TestBed {
    let mut bed = bed();
    bed.event(Event::Settings(Box::new(Settings { routers: 40, max_gossip_bytes, ..settings() })));
    bed
}

/// Overlapping calls that answers report are used only where routers do not gossip; with gossip they change no
/// decision.
#[test]
fn reported_overlap_affects_routing_only_without_gossip() {
    let run = |max_gossip_bytes: usize, reports: bool| {
        let mut bed = bed_of_many(max_gossip_bytes);
        let mut workers = Vec::new();
        for _ in 0..30 {
            bed.now += 200 * MS;
            let (request, out) = bed.call(SAFE, "f");
            let worker = sent(&out).remove(0);
            // The first three workers hold twenty calls of the function, the others none.
            let overlap = reports.then_some(if worker.as_str() < "w3" { 20 } else { 0 });
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
            workers.push(worker);
        }
        workers
    };
    assert_eq!(run(256, true), run(256, false));
    let crowded = |workers: Vec<String>| workers.iter().filter(|w| w.as_str() < "w3").count();
    let (with, without) = (crowded(run(0, true)), crowded(run(0, false)));
    assert!(with < without, "{with} of 30 calls to crowded workers, {without} without reports");
}

/// Worker of the first attempt, as a list of one or no name.
fn sent(out: &[Action]) -> Vec<String> {
    common::sent(out).map(|w| w.0.to_string()).into_iter().collect()
}

/// Serves a call with these preferred locations and returns its worker.
fn routed(bed: &mut TestBed, locations: Vec<PreferredLocation>) -> String {
    bed.event(Event::PreferredLocations(locations));
    let (request, out) = bed.call(SAFE, "f");
    let workers = sent(&out);
    assert_eq!(workers.len(), 1, "{out:?}");
    bed.answer_warm(&request, &workers[0].as_str().into(), 50 * MS);
    workers[0].clone()
}

/// Random events, with or without an empty list of locations before each arrival, must give exactly the same actions.
#[test]
fn an_empty_list_of_locations_changes_nothing() {
    let run = |seed: u64, empty: bool| {
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
        let (with, without) = (run(seed, true), run(seed, false));
        assert!(with.len() > 1_000 && with == without, "seed {seed}");
    }
}

#[rstest]
#[case::cell(vec![PreferredLocation::Cell(1)], &["w2", "w3"])]
#[case::zone(vec![PreferredLocation::Zone(1)], &["w3", "w4", "w5"])]
#[case::worker(vec![PreferredLocation::Worker("w4".into())], &["w4"])]
#[case::best_first(vec![PreferredLocation::Worker("w1".into()), PreferredLocation::Cell(2)], &["w1"])]
#[case::no_worker_there(vec![PreferredLocation::Cell(77), PreferredLocation::Worker("w5".into())], &["w5"])]
fn the_best_location_is_used(#[case] locations: Vec<PreferredLocation>, #[case] expected: &[&str]) {
    let mut bed = bed();
    for _ in 0..20 {
        let worker = routed(&mut bed, locations.clone());
        assert!(expected.contains(&worker.as_str()), "{worker} is none of {expected:?}");
    }
}

#[test]
fn only_three_locations_are_used_and_only_for_the_next_arrival() {
    let mut bed = bed();
    let far = |i: i64| PreferredLocation::Cell(90 + i);
    let workers: Vec<_> = (0..60)
        .map(|_| routed(&mut bed, vec![far(0), far(1), far(2), PreferredLocation::Worker("w0".into())]))
        .collect();
    assert!(workers.iter().any(|w| w != "w0"), "the fourth location was used");
    bed.event(Event::PreferredLocations(vec![PreferredLocation::Worker("w0".into())]));
    let workers: Vec<_> = (0..60)
        .map(|_| {
            let (request, out) = bed.call(SAFE, "f");
            let worker = sent(&out)[0].clone();
            bed.answer_warm(&request, &worker.as_str().into(), 50 * MS);
            worker
        })
        .collect();
    assert!(workers.iter().any(|w| w != "w0"), "the locations were used for a later arrival");
}

/// Workers that the router could not choose otherwise stay excluded.
#[test]
fn preferred_locations_override_no_rule() {
    let mut bed = bed();
    let w4 = || vec![PreferredLocation::Worker("w4".into())];
    let draining = ListEntry { cell: Some(2), zone: Some(1), ..entry("w4", Condition::Draining) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![draining] });
    assert!((0..20).all(|_| routed(&mut bed, w4()) != "w4"), "a draining worker got a request");
    let up = ListEntry { cell: Some(2), zone: Some(1), ..entry("w4", Condition::Up) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![up] });
    bed.event(Event::OutOfService { worker: "w4".into(), out: true });
    assert!((0..20).all(|_| routed(&mut bed, w4()) != "w4"), "a worker out of service got a request");
    // A keyed call that may have run in zone 0 stays there.
    bed.event(Event::OutOfService { worker: "w4".into(), out: false });
    bed.event(Event::PastAttempts(vec![PastAttempt {
        worker: "w0".into(),
        sent: bed.now - 10 * MS,
        outcome: Outcome::Reset,
    }]));
    bed.event(Event::PreferredLocations(vec![PreferredLocation::Zone(1)]));
    let (_, out) = bed.call(KEYED, "f");
    let workers = sent(&out);
    assert!(workers.iter().all(|w| ["w0", "w1", "w2"].contains(&w.as_str())), "{workers:?}");
    // A preferred worker without room is passed over.
    let mut bed = self::bed();
    let workers: Vec<String> = (0..12)
        .flat_map(|_| {
            bed.event(Event::PreferredLocations(vec![PreferredLocation::Worker("w1".into())]));
            sent(&bed.call(SAFE, "f").1)
        })
        .collect();
    let there = workers.iter().filter(|w| *w == "w1").count();
    assert!((1..=4).contains(&there), "{there} of 12 at once on 2 copies of 2 lanes");
}
