use rstest::rstest;

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;
const NOW: Micros = 1_796_228_524 * SECOND;

fn entry(name: &str, ready_at: Micros, condition: Condition) -> ListEntry {
    ListEntry { worker: name.into(), zone: 0, cell: 0, condition, size: 1.0, ready_at }
}

/// What the starts told are taken for, as seconds before now.
fn ages(starts: &mut StartTimes, now: Micros, whole: Option<Micros>, told: &[(&str, Micros)]) -> Vec<Micros> {
    let mut entries: Vec<_> = told.iter().map(|(name, at)| entry(name, *at, Condition::Up)).collect();
    starts.translate(now, whole, ListKind::Delta, entries.iter_mut());
    entries.iter().map(|e| (now - e.ready_at) / SECOND).collect()
}

#[test]
fn with_right_clocks_starts_are_taken_as_told() {
    let mut starts = StartTimes::default();
    let first = ages(&mut starts, NOW, None, &[("a", NOW - HOUR), ("b", NOW - 2 * SECOND)]);
    assert_eq!(first, [3600, 2]);
    let later = NOW + 5 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - SECOND), &[("c", later - 6 * SECOND)]), [6]);
    // Told after the list could not be had for a minute.
    assert_eq!(ages(&mut starts, later, Some(later - 60 * SECOND), &[("d", later - 50 * SECOND)]), [50]);
    assert_eq!(starts.correction(), 0);
}

/// The clock is an hour ahead of, or behind, whoever tells of starts: what is news is never taken for older than it can be,
/// and what is told again is taken as before.
#[test]
fn a_wrong_clock_makes_no_start_older_than_it_can_be() {
    for (off, ages_again) in [(HOUR, [8, 4]), (20 * SECOND, [8, 4]), (-20 * SECOND, [8, 0]), (-HOUR, [8, 0])]
    {
        let mut starts = StartTimes::default();
        let told = NOW - off - SECOND;
        assert_eq!(ages(&mut starts, NOW, Some(NOW - SECOND), &[("a", told)]), [0], "off by {off}");
        let later = NOW + 8 * SECOND;
        let again = ages(&mut starts, later, Some(later), &[("a", told), ("b", told + 4 * SECOND)]);
        assert_eq!(again, ages_again, "off by {off}");
    }
}

/// A host whose own clock is an hour ahead says nothing of the others'.
#[test]
fn one_host_from_the_future_makes_no_other_older() {
    let mut starts = StartTimes::default();
    assert_eq!(ages(&mut starts, NOW, None, &[("a", NOW + HOUR)]), [0]);
    assert_eq!(ages(&mut starts, NOW, None, &[("b", NOW - 2 * SECOND)]), [2]);
}

#[test]
fn a_new_process_of_a_host_has_a_start_of_its_own() {
    let mut starts = StartTimes::default();
    assert_eq!(ages(&mut starts, NOW, None, &[("a", NOW - HOUR)]), [3600]);
    assert_eq!(ages(&mut starts, NOW, Some(NOW), &[("a", NOW - SECOND)]), [1]);
}

/// Whether the list says that they have gone, or a whole list does not name them any more.
#[rstest]
#[case::told_as_gone(Condition::Gone, ListKind::Delta)]
#[case::left_out(Condition::Up, ListKind::Full)]
fn hosts_that_go_are_remembered_within_a_bound(#[case] condition: Condition, #[case] kind: ListKind) {
    let mut starts = StartTimes::default();
    for n in 0..10 * FEW as Micros {
        let mut one = entry(&format!("h{n}"), NOW - HOUR + n, condition);
        starts.translate(NOW, None, kind, [&mut one].into_iter());
        assert!(starts.known.len() <= FEW);
    }
}
