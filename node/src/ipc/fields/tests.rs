//! Tests of `fields` that need its private state.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn make(fields: &[(&str, &str)]) -> Fields {
    Fields(fields.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect())
}

fn encoded_len(fields: &Fields) -> usize {
    postcard::to_stdvec(fields).unwrap().len()
}

#[test]
fn call_fields_have_these_names() {
    let given = CallFields {
        turn: Some((0xab, 2, vec![1, 0xff])),
        draft: Some(Draft { drafter: 1, length: 4 }),
        sites: vec![Site::Cell(-3), Site::Zone("b".into()), Site::Host("s-1".into())],
    };
    let wanted = [("turn", "ab;2;1,ff"), ("draft", "1:4"), ("cell", "-3"), ("zone", "b"), ("host", "s-1")];
    assert_eq!(given.to_fields(), make(&wanted));
    assert_eq!(CallFields::parse(&make(&wanted)), (given, vec![]));
    assert!(CallFields::default().to_fields().is_empty());
}

#[test]
fn answer_fields_have_these_names() {
    let host = [("tell", "warm"), ("found", "3"), ("accepted", "2;1;3;900")];
    let host: Vec<(String, String)> = host.map(|(n, t)| (n.to_string(), t.to_string())).to_vec();
    let answer = AnswerFields::from_answer(&host, LoadReport::new(7.25, 2.0));
    let wanted = [("found", "3"), ("accepted", "2;1;3;900"), ("held", "7.250")];
    assert_eq!(answer.to_fields(), make(&wanted));
    assert_eq!(AnswerFields::parse(&make(&wanted)), (answer, vec![]));
    assert!(AnswerFields::from_answer(&[], None).to_fields().is_empty());
}

#[rstest]
#[case::turn_parts("turn", "ab;2", "turn: a turn is CONVERSATION;NEW;HASH,HASH,...")]
#[case::turn_hash("turn", "ab;2;xyz", "turn: a hash is 1 to 16 hex digits")]
#[case::draft_word("draft", "one", "draft: not DRAFTER:LENGTH")]
#[case::draft_long("draft", "1:9", "draft: not DRAFTER:LENGTH")]
#[case::cell("cell", "x", "cell: not a number")]
fn an_invalid_field_is_refused_and_the_others_are_kept(
    #[case] name: &str,
    #[case] text: &str,
    #[case] why: &str,
) {
    let (given, faults) = CallFields::parse(&make(&[(name, text), ("host", "s-1")]));
    assert_eq!(given, CallFields { sites: vec![Site::Host("s-1".into())], ..CallFields::default() });
    assert_eq!(faults, [why]);
}

#[test]
fn duplicate_and_oversized_fields_are_refused() {
    let long = "a".repeat(MAX_NAME_BYTES + 1);
    let fields = [("draft", "1:4"), ("draft", "1:5"), ("turn", "1;1;"), ("turn", "2;1;")];
    let (given, faults) = CallFields::parse(&make(&fields));
    assert_eq!((given.draft, given.turn), (Some(Draft { drafter: 1, length: 4 }), Some((1, 1, vec![]))));
    assert_eq!(faults, ["draft: duplicate field", "turn: duplicate field"]);
    let cells = [("host", &long[..]), ("cell", "1"), ("cell", "2"), ("cell", "3"), ("cell", "4")];
    let (given, faults) = CallFields::parse(&make(&cells));
    assert_eq!((given.sites.len(), faults.len()), (3, 2));
    let blank = format!("1;1;{}a", " ".repeat(MAX_TURN_BYTES));
    assert!(Turn::parse(&blank).is_ok(), "a client may send it with blank space");
    assert_eq!(CallFields::parse(&make(&[("turn", &blank)])).1.len(), 1);
    // Beyond the limits of a frame none of the fields is parsed.
    let many = vec![("cell", "1"); MAX_FIELDS + 1];
    let huge = "9".repeat(MAX_TEXT_BYTES);
    for fields in [&many[..], &[("cell", "1"), ("later", &huge)]] {
        let (given, faults) = CallFields::parse(&make(fields));
        assert_eq!((given, faults.len()), (CallFields::default(), 1));
    }
}

#[test]
fn unknown_fields_of_later_versions_are_ignored() {
    let (given, faults) =
        CallFields::parse(&make(&[("colour", "blue"), ("draft", "1:4"), ("colour", "red")]));
    assert_eq!((given.draft.is_some(), faults.len()), (true, 0));
    let (answer, faults) = AnswerFields::parse(&make(&[("colour", "blue"), ("found", "3")]));
    assert_eq!((answer.fields.len(), faults.len()), (1, 0));
}

#[rstest]
#[case::no_number("found", "x", "found: not a number")]
#[case::negative("found", "-1", "found: not a number")]
#[case::load("held", "-1", "held: not a number of calls")]
#[case::no_load("held", "NaN", "held: not a number of calls")]
fn invalid_numbers_of_a_host_are_refused(#[case] name: &str, #[case] text: &str, #[case] why: &str) {
    let (answer, faults) = AnswerFields::parse(&make(&[("accepted", "1;1;5"), (name, text)]));
    assert_eq!((answer.fields.len(), answer.in_flight, faults), (1, None, vec![why.to_string()]));
}

/// The longest fields that this version writes must be within the limits that it accepts, and fit in a frame with the
/// longest body.
#[test]
fn the_longest_fields_are_within_the_limits() {
    let name = "z".repeat(MAX_NAME_BYTES);
    let given = CallFields {
        turn: Some((u64::MAX, u16::MAX, vec![u64::MAX; wheellink_turns::MAX_HASHES])),
        draft: Some(Draft { drafter: 255, length: 8 }),
        sites: vec![Site::Host(name.clone()), Site::Zone(name.clone()), Site::Host(name)],
    };
    let fields = given.to_fields();
    assert_eq!(fields.0[0].1.len(), MAX_TURN_BYTES);
    assert_eq!((fields.0.len(), fields.size()), (5, 1_114 + 10 + 3 * 259));
    assert!(encoded_len(&fields) <= MAX_ENCODED_BYTES && fields.size() <= MAX_TEXT_BYTES);
    assert_eq!(CallFields::parse(&fields), (given, vec![]));
    let figures = "1".repeat(MAX_FIGURES_BYTES);
    let fields = vec![("found".to_string(), figures.clone()), ("accepted".into(), figures)];
    let answer = AnswerFields { fields, in_flight: Some(1e6) };
    assert_eq!(answer.to_fields().size(), 5 + 8 + 2 * MAX_FIGURES_BYTES + 4 + 11);
    let oversized = vec![("accepted".to_string(), "1".repeat(MAX_FIGURES_BYTES + 1))];
    let sent = AnswerFields { fields: oversized, in_flight: None }.to_fields();
    assert_eq!(sent.0, [("accepted".to_string(), String::new())], "not cut short");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default() })]

    #[test]
    fn call_fields_survive_encoding(
        turn in prop::option::of((any::<u64>(), any::<u16>(), prop::collection::vec(any::<u64>(), 0..=64))),
        draft in prop::option::of((1u8.., 1u8..=8)),
        cells in prop::collection::vec((any::<i64>(), 0u8..3, "[ -~]{0,255}"), 0..=3),
    ) {
        let draft = draft.map(|(drafter, length)| Draft { drafter, length });
        let sites = cells.into_iter().map(|(cell, kind, name)| match kind {
            0 => Site::Cell(cell),
            1 => Site::Zone(name),
            _ => Site::Host(name),
        });
        let given = CallFields { turn, draft, sites: sites.collect() };
        let fields = given.to_fields();
        let bytes = postcard::to_stdvec(&fields).unwrap();
        prop_assert!(bytes.len() <= MAX_ENCODED_BYTES);
        let back: Fields = postcard::from_bytes(&bytes).unwrap();
        prop_assert_eq!(CallFields::parse(&back), (given, vec![]));
    }

    /// Random fields: what is accepted is within the limits, and a frame beyond them is refused as a whole.
    #[test]
    fn random_fields_are_parsed_within_the_limits(fields in prop::collection::vec(
        ("turn|draft|cell|zone|host|found|accepted|held|other", "[0-9a-f:;,. -]{0,40}"), 0..24)) {
        let fields = Fields(fields);
        let (given, faults) = CallFields::parse(&fields);
        prop_assert!(given.sites.len() <= MAX_CHOICES);
        if fields.0.len() > MAX_FIELDS {
            prop_assert_eq!((&given, faults.len()), (&CallFields::default(), 1));
        }
        // Accepted fields survive being encoded again.
        prop_assert_eq!(CallFields::parse(&given.to_fields()), (given, vec![]));
        let (answer, _) = AnswerFields::parse(&fields);
        prop_assert!(answer.fields.len() <= 2 && answer.load_report().is_some() == answer.in_flight.is_some());
        prop_assert_eq!(AnswerFields::parse(&answer.to_fields()).0.fields, answer.fields);
    }
}
