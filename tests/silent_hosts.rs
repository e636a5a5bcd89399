//! Keyed requests at silent hosts, which accept requests and never answer.

mod common;

use common::*;
use wheellink::*;

/// A window that is still open when an attempt is overdue, so that a retry is allowed.
const LONG_WINDOW_US: Micros = 4 * S;
/// A window that is over before an attempt is overdue.
const SHORT_WINDOW_US: Micros = 200 * MS;

/// Settings where repeats of keyed requests are dropped within a cell in this window.
fn keyed_by_cell(window: Micros) -> Settings {
    let mut settings = settings();
    settings.classes[KEYED] = class(Effect::Keyed { scope: Scope::Cell, window });
    settings
}

/// Two workers in these cells.
fn two_workers(cells: [i64; 2], window: Micros) -> TestBed {
    let mut bed = TestBed::new(keyed_by_cell(window), 0);
    let worker = |i: usize| ListEntry { cell: Some(cells[i]), ..entry(&format!("w{i}"), Condition::Up) };
    let entries = (0..2).map(worker).collect();
    bed.event(Event::List { kind: ListKind::Full, entries });
    bed
}

/// Makes the worker of a function silent while it holds a keyed request and others. Returns the request, its worker and
/// the actions meanwhile.
fn fall_silent(bed: &mut TestBed) -> (RequestId, WorkerId, Vec<Action>) {
    let home = bed.serve(SAFE, "f");
    let (keyed, out) = bed.call(KEYED, "f");
    assert_eq!(sent(&out), Some(home.clone()));
    bed.call(UNSAFE, "f");
    let out = bed.advance(1300 * MS);
    (keyed, home, out)
}

fn cancels(out: &[Action], request: &RequestId) -> usize {
    let cancel = |a: &&Action| matches!(a, Action::Cancel { request: r, .. } if r == request);
    out.iter().filter(cancel).count()
}

#[test]
fn a_keyed_request_is_cancelled_and_retried_at_the_other_worker_of_its_cell() {
    let mut bed = two_workers([3, 3], LONG_WINDOW_US);
    let (keyed, home, out) = fall_silent(&mut bed);
    // The router repeats the action at each tick until the attempt ends; the engine carries out the first one.
    assert!(cancels(&out, &keyed) > 0, "{out:?}");
    let out = bed.answer(&keyed, 0, &home, Outcome::Cancelled);
    assert!(sent(&out).is_some_and(|w| w != home), "{out:?}");
}

#[test]
fn a_keyed_request_without_another_worker_in_its_cell_is_not_cancelled() {
    let mut bed = two_workers([3, 4], LONG_WINDOW_US);
    let (keyed, _, out) = fall_silent(&mut bed);
    assert_eq!(cancels(&out, &keyed), 0, "{out:?}");
}

#[test]
fn a_keyed_request_whose_window_is_over_is_not_cancelled() {
    let mut bed = two_workers([3, 3], SHORT_WINDOW_US);
    let (keyed, _, out) = fall_silent(&mut bed);
    assert_eq!(cancels(&out, &keyed), 0, "{out:?}");
}

#[test]
fn a_keyed_request_without_attempts_left_is_not_cancelled() {
    let mut bed = two_workers([3, 3], LONG_WINDOW_US);
    let mut settings = keyed_by_cell(LONG_WINDOW_US);
    settings.classes[KEYED].attempts = Some(1);
    bed.event(Event::ClassTerms(Box::new(settings)));
    let (keyed, _, out) = fall_silent(&mut bed);
    assert_eq!(cancels(&out, &keyed), 0, "{out:?}");
}
