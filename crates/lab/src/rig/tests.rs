//! Tests of `rig` that need its private state.

use super::*;
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::one("1.5 accord: acts on 7 0a1b2c3d", Some(Saw::Acts { who: 1, obeys: Obeys::One(7, "0a1b2c3d".into()) }))]
#[case::both("1.5 accord: acts on both 7 and 8", Some(Saw::Acts { who: 1, obeys: Obeys::Both(7, 8) }))]
#[case::floor("1.5 accord: acts on the floor of 7", Some(Saw::Acts { who: 1, obeys: Obeys::Floor(7) }))]
#[case::bare_floor("1.5 accord: acts on the floor", Some(Saw::Acts { who: 1, obeys: Obeys::Floor(0) }))]
#[case::gone("1.5 activator m2 is gone: heard 1740 ms ago", Some(Saw::Gone { who: 1, of: 2 }))]
#[case::panic("thread 'x' panicked at a.rs:1:", Some(Saw::Crashed { who: 1, said: "thread 'x' panicked at a.rs:1:".into() }))]
#[case::request("1.5 request 0a class=k attempt=2", Some(Saw::Logged { who: 1, said: "request 0a class=k attempt=2".into() }))]
#[case::stranger("1.5 activator m9 is gone: heard 1740 ms ago", None)]
#[case::other("1.5 host s0h0 is there", None)]
fn lines_of_the_log_are_read(#[case] line: &str, #[case] wanted: Option<Saw>) {
    assert_eq!(read_line(1, 3, line), wanted);
}

#[test]
fn views_are_read() {
    let view = json!({"members": [{"name": "m0", "state": "alive"}, {"name": "m2", "state": "gone"}]});
    assert_eq!(there(1, &view), Some(vec![0, 1]));
    assert_eq!(there(1, &json!({})), None);
    let number = |acting| version(&json!({"acting": acting}));
    assert_eq!(number(json!({"on": "one", "version": {"number": 3}})), Some(3));
    assert_eq!(number(json!({"on": "both", "old": {"number": 3}, "new": {"number": 4}})), Some(4));
    assert_eq!(number(json!({"on": "floor"})), None);
}
