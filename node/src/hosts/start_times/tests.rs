use rstest::rstest;

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;
const NOW: Micros = 1_796_228_524 * SECOND;

fn entry(name: &str, ready_at: Micros, condition: Condition) -> ListEntry {
    ListEntry { worker: name.into(), zone: Some(0), cell: Some(0), condition, size: 1.0, ready_at }
}

/// The converted start times, as seconds before now.
fn ages(starts: &mut StartTimes, now: Micros, sync: Option<Micros>, list: &[(&str, Micros)]) -> Vec<Micros> {
    let mut entries: Vec<_> = list.iter().map(|(name, at)| entry(name, *at, Condition::Up)).collect();
    starts.translate(now, sync, ListKind::Delta, entries.iter_mut());
    entries.iter().map(|e| (now - e.ready_at) / SECOND).collect()
}

#[test]
fn with_correct_clocks_start_times_are_used_as_reported() {
    let mut starts = StartTimes::default();
    let first = ages(&mut starts, NOW, None, &[("a", NOW - HOUR), ("b", NOW - 2 * SECOND)]);
    assert_eq!(first, [3600, 2]);
    let later = NOW + 5 * SECOND;
    assert_eq!(ages(&mut starts, later, Some(later - SECOND), &[("c", later - 6 * SECOND)]), [6]);
    // Reported after the list was unreachable for a minute.
    assert_eq!(ages(&mut starts, later, Some(later - 60 * SECOND), &[("d", later - 50 * SECOND)]), [50]);
    assert_eq!(starts.correction(), 0);
}

/// The local clock is ahead of, or behind, the clock of the list's source: a new start time is never taken as older
/// than possible, and a start time that is reported again keeps its converted value.
#[test]
fn a_wrong_clock_makes_no_start_time_older_than_possible() {
    for (off, ages_again) in [(HOUR, [8, 4]), (20 * SECOND, [8, 4]), (-20 * SECOND, [8, 0]), (-HOUR, [8, 0])]
    {
        let mut starts = StartTimes::default();
        let reported = NOW - off - SECOND;
        assert_eq!(ages(&mut starts, NOW, Some(NOW - SECOND), &[("a", reported)]), [0], "off by {off}");
        let later = NOW + 8 * SECOND;
        let again = ages(&mut starts, later, Some(later), &[("a", reported), ("b", reported + 4 * SECOND)]);
        assert_eq!(again, ages_again, "off by {off}");
    }
}

/// A host whose own clock is an hour ahead does not change the start times of others.
#[test]
fn a_host_with_a_clock_ahead_makes_no_other_host_older() {
    let mut starts = StartTimes::default();
    assert_eq!(ages(&mut starts, NOW, None, &[("a", NOW + HOUR)]), [0]);
    assert_eq!(ages(&mut starts, NOW, None, &[("b", NOW - 2 * SECOND)]), [2]);
}

#[test]
fn a_restarted_host_gets_a_new_start_time() {
    let mut starts = StartTimes::default();
    assert_eq!(ages(&mut starts, NOW, None, &[("a", NOW - HOUR)]), [3600]);
    assert_eq!(ages(&mut starts, NOW, Some(NOW), &[("a", NOW - SECOND)]), [1]);
}

/// Removed hosts are evicted, whether the list reports them as gone or a full list no longer contains them.
#[rstest]
#[case::reported_as_gone(Condition::Gone, ListKind::Delta)]
#[case::missing_from_a_full_list(Condition::Up, ListKind::Full)]
fn the_number_of_removed_hosts_is_bounded(#[case] condition: Condition, #[case] kind: ListKind) {
    let mut starts = StartTimes::default();
    for n in 0..10 * MIN_CAPACITY as Micros {
        let mut one = entry(&format!("h{n}"), NOW - HOUR + n, condition);
        starts.translate(NOW, None, kind, [&mut one].into_iter());
        assert!(starts.known.len() <= MIN_CAPACITY);
    }
}
