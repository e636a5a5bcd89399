//! Workers whose zone or cell is not known, or changes: a keyed request that may have run is repeated only at workers
//! that are known to drop repeats of its earlier attempts.

mod common;

use common::*;
use rstest::rstest;
use wheellink::*;

const WINDOW: Micros = 8 * S;

fn located(name: &str, zone: Option<u32>, cell: Option<i64>) -> ListEntry {
    ListEntry { zone, cell, ..entry(name, Condition::Up) }
}

/// A router with these workers, whose keyed class has this scope.
fn bed(scope: Scope, workers: Vec<ListEntry>) -> TestBed {
    let mut settings = settings();
    settings.classes[KEYED] = class(Effect::Keyed { scope, window: WINDOW });
    let mut bed = TestBed::new(settings, 0);
    bed.event(Event::List { kind: ListKind::Full, entries: workers });
    bed
}

/// Workers that get attempts of a keyed request, each of which ends with a reset, until it has its final answer.
fn attempts(bed: &mut TestBed, before_first_end: impl FnOnce(&mut TestBed, &WorkerId)) -> Vec<WorkerId> {
    let (request, out) = bed.call(KEYED, "f");
    let first = sent(&out).expect("an attempt");
    before_first_end(bed, &first);
    let mut workers = vec![first];
    loop {
        let attempt = workers.len() as u32 - 1;
        let mut out = bed.answer(&request, attempt, &workers[attempt as usize], Outcome::Reset);
        out.extend(bed.advance(200 * MS));
        let Some(next) = sent(&out) else { return workers };
        workers.push(next);
    }
}

/// The review found that all workers of no known cell counted as one cell, so that a keyed request took effect in two.
#[rstest]
#[case::cell(Scope::Cell, Some(0), None)]
#[case::zone(Scope::Zone, None, Some(0))]
fn workers_of_unknown_groups_do_not_share_one(
    #[case] scope: Scope,
    #[case] zone: Option<u32>,
    #[case] cell: Option<i64>,
) {
    let workers = (0..3).map(|i| located(&format!("w{i}"), zone, cell)).collect();
    let tried = attempts(&mut bed(scope, workers), |_, _| ());
    assert!(tried.iter().all(|worker| *worker == tried[0]), "{tried:?}");
}

/// With a group that is known the same request is repeated at another worker.
#[rstest]
#[case::cell(Scope::Cell, None, Some(3))]
#[case::zone(Scope::Zone, Some(3), None)]
fn workers_of_a_known_group_share_it(
    #[case] scope: Scope,
    #[case] zone: Option<u32>,
    #[case] cell: Option<i64>,
) {
    let workers = (0..3).map(|i| located(&format!("w{i}"), zone, cell)).collect();
    let tried = attempts(&mut bed(scope, workers), |_, _| ());
    assert!(tried.iter().any(|worker| *worker != tried[0]), "{tried:?}");
}

/// A worker in an unknown group and one in a known group share nothing either.
#[test]
fn an_unknown_cell_is_equal_to_no_known_one() {
    let workers =
        vec![located("w0", None, None), located("w1", None, Some(-1)), located("w2", None, Some(0))];
    let tried = attempts(&mut bed(Scope::Cell, workers), |_, _| ());
    assert!(tried.iter().all(|worker| *worker == tried[0]), "{tried:?}");
}

/// The group of an attempt is that of its worker when it was sent, also if the list moves the worker meanwhile.
#[test]
fn a_worker_that_is_listed_in_another_cell_does_not_take_its_attempts_along() {
    let workers = vec![located("w0", None, Some(0)), located("w1", None, Some(1))];
    let move_first = |bed: &mut TestBed, first: &WorkerId| {
        let other = if first.0.as_ref() == "w0" { 1 } else { 0 };
        let entries = vec![located(&first.0, None, Some(other))];
        bed.event(Event::List { kind: ListKind::Delta, entries });
    };
    assert_eq!(attempts(&mut bed(Scope::Cell, workers), move_first).len(), 1);
}
