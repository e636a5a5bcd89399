//! Tests of the bounds on remembered ids.

use super::*;

#[test]
fn remembered_ids_are_bounded_in_number_and_time() {
    let mut ids = DepartedIds::default();
    for n in 0..MAX_IDS + 10 {
        ids.insert(n as Micros, n.to_string().into());
    }
    assert_eq!((ids.until.len(), ids.order.len()), (MAX_IDS, MAX_IDS));
    assert!(!ids.contains(MAX_IDS as Micros, "9") && ids.contains(MAX_IDS as Micros, "10"));
    let later = MAX_IDS as Micros + 10 + RETENTION_US;
    assert!(!ids.contains(later, "10"), "expired");
    ids.insert(later, "new".into());
    assert_eq!((ids.until.len(), ids.order.len()), (1, 1));
}

/// An id that was recorded again is remembered from then on.
#[test]
fn an_id_that_departs_again_is_remembered_longer() {
    let mut ids = DepartedIds::default();
    ids.insert(0, "a".into());
    ids.insert(1_000, "a".into());
    ids.insert(RETENTION_US, "b".into());
    assert!(ids.contains(RETENTION_US + 999, "a") && !ids.contains(RETENTION_US + 1_000, "a"));
}
