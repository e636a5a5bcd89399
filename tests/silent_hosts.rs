//! Keyed requests at hosts that take everything and answer nothing.

mod common;

use common::*;
use wheellink::*;

/// Long enough that the retry of a request that grew old is within it.
const WIDE: Micros = 4 * S;
/// Shorter than the age at which an attempt is held for lost.
const NARROW: Micros = 200 * MS;

/// Repeats of keyed requests are dropped within a cell for this window.
fn keyed_by_cell(window: Micros) -> Settings {
    let mut settings = settings();
    settings.classes[KEYED] = class(Effect::Keyed { scope: Scope::Cell, window });
    settings
}

/// Two workers in the cells of these numbers.
fn two_workers(cells: [i64; 2], window: Micros) -> TestBed {
    let mut bed = TestBed::new(keyed_by_cell(window), 0);
    let named = |i: usize| ListEntry { cell: cells[i], ..entry(&format!("w{i}"), Condition::Up) };
    let entries = (0..2).map(named).collect();
    bed.event(Event::List { kind: ListKind::Full, entries });
    bed
}

/// Has the home of a function fall silent with a keyed request and others on it: the request, its worker, and
/// what was decided meanwhile.
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
fn a_keyed_request_is_cancelled_and_sent_to_the_other_worker_of_its_cell() {
    let mut bed = two_workers([3, 3], WIDE);
    let (keyed, home, out) = fall_silent(&mut bed);
    // Wanted at each look until the end of the attempt is told; the engine carries out the first.
    assert!(cancels(&out, &keyed) > 0, "{out:?}");
    let out = bed.answer(&keyed, 0, &home, Outcome::Cancelled);
    assert!(sent(&out).is_some_and(|w| w != home), "{out:?}");
}

#[test]
fn a_keyed_request_with_no_other_worker_in_its_cell_is_left_where_it_is() {
    let mut bed = two_workers([3, 4], WIDE);
    let (keyed, _, out) = fall_silent(&mut bed);
    assert_eq!(cancels(&out, &keyed), 0, "{out:?}");
}

#[test]
fn a_keyed_request_whose_window_is_over_is_left_where_it_is() {
    let mut bed = two_workers([3, 3], NARROW);
    let (keyed, _, out) = fall_silent(&mut bed);
    assert_eq!(cancels(&out, &keyed), 0, "{out:?}");
}

#[test]
fn a_keyed_request_that_has_no_retry_left_is_left_where_it_is() {
    let mut bed = two_workers([3, 3], WIDE);
    let mut settings = keyed_by_cell(WIDE);
    settings.classes[KEYED].attempts = Some(1);
    bed.event(Event::ClassTerms(Box::new(settings)));
    let (keyed, _, out) = fall_silent(&mut bed);
    assert_eq!(cancels(&out, &keyed), 0, "{out:?}");
}
