//! Settings hold classes, tenants and zones in lists, and events name them by index: what outlives a change of the lists
//! follows its entry.

mod common;

use common::*;
use rstest::rstest;
use wheellink::*;

fn names(list: &str) -> Vec<String> {
    list.split_whitespace().map(String::from).collect()
}

#[rstest]
#[case::same("a b", "a b", &[Some(0), Some(1)], true)]
#[case::one_more_in_front("a b", "c a b", &[Some(1), Some(2)], false)]
#[case::one_more_behind("a b", "a b c", &[Some(0), Some(1)], true)]
#[case::swapped("a b", "b a", &[Some(1), Some(0)], false)]
#[case::gone("a b", "b", &[None, Some(0)], false)]
fn entries_are_found_by_name(
    #[case] before: &str,
    #[case] after: &str,
    #[case] expected: &[Option<usize>],
    #[case] identity: bool,
) {
    let new = NewIndexes::between(&names(before), &names(after));
    let found: Vec<_> = (0..expected.len()).map(|index| new.of(index)).collect();
    assert_eq!((found.as_slice(), new.is_identity()), (expected, identity));
    assert_eq!((new.of(9), new.of(usize::MAX)), (None, None));
}

/// A keyed request runs in zone a; then the zones are listed in another order. A new worker has the index that zone a had.
#[rstest]
#[case::zone_a(1, true)]
#[case::zone_b(0, false)]
fn a_keyed_request_stays_in_its_zone_when_zones_are_renumbered(
    #[case] new_zone: u32,
    #[case] repeated: bool,
) {
    let mut bed = TestBed::new(settings(), 1);
    let (request, out) = bed.call(KEYED, "f");
    let first = sent(&out).expect("an attempt");
    let zones = NewIndexes::between(&names("a b"), &names("b a"));
    let lists = Renumbering { zones, ..Renumbering::default() };
    bed.event(Event::Renumbered(lists));
    bed.event(Event::Settings(Box::new(settings())));
    let new = ListEntry { zone: Some(new_zone), ..entry("w9", Condition::Up) };
    bed.event(Event::List { kind: ListKind::Delta, entries: vec![new] });
    let out = bed.answer(&request, 0, &first, Outcome::Error);
    assert_eq!(sent(&out).is_some(), repeated);
}

/// A request that arrived before its class went, or became another one, keeps the terms that it arrived under.
#[rstest]
#[case::class_gone(usize::MAX)]
#[case::class_of_another_effect(SAFE)]
fn a_request_keeps_the_terms_of_its_arrival(#[case] class_index: usize) {
    let mut bed = TestBed::new(settings(), 3);
    bed.event(Event::ArrivalTerms(class(Effect::Unsafe)));
    let (request, out) = bed.call(class_index, "f");
    let first = sent(&out).expect("an attempt");
    let out = bed.answer(&request, 0, &first, Outcome::Error);
    assert_eq!((sent(&out), failed(&out)), (None, 1), "an unsafe request is not repeated");
    // They hold for that request alone.
    let (request, out) = bed.call(SAFE, "f");
    let out = bed.answer(&request, 0, &sent(&out).unwrap(), Outcome::Error);
    assert!(sent(&out).is_some());
}

/// A worker that rejected requests of a class which the settings do not have any more still takes those of others.
#[test]
fn requests_without_a_class_are_not_rejected_for_each_other() {
    let mut patient = settings();
    patient.classes.iter_mut().for_each(|class| class.aim = 5 * S);
    let mut bed = TestBed::new(patient.clone(), 1);
    let calls: Vec<_> = (0..2).map(|i| bed.call(UNSAFE, &format!("f{i}"))).collect();
    bed.event(Event::Settings(Box::new(patient)));
    for (request, out) in calls {
        bed.now += 50 * MS;
        let mut out = bed.answer(&request, 0, &sent(&out).expect("an attempt"), Outcome::Full);
        out.extend(bed.advance(300 * MS));
        assert!(sent(&out).is_some(), "the only worker is tried again");
    }
}
