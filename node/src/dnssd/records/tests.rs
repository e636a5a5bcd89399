//! Tests of `records` that need its private state.

use super::*;
use rstest::rstest;

#[rstest]
#[case::pair("Cell=3", Some(("cell", "3")))]
#[case::empty_value("cell=", Some(("cell", "")))]
#[case::no_value("draining", Some(("draining", "")))]
#[case::value_with_sign("a=b=c", Some(("a", "b=c")))]
#[case::no_key("=x", None)]
#[case::nothing("", None)]
fn attributes_are_parsed_as_in_rfc_6763(#[case] text: &str, #[case] wanted: Option<(&str, &str)>) {
    let wanted = wanted.map(|(k, v)| (k.to_string(), v.to_string()));
    assert_eq!(pair(text.as_bytes()), wanted);
}

#[test]
fn messages_that_are_no_answers_are_ignored() {
    let question = Question { name: parse_name("A.Test").unwrap(), kind: Kind::A };
    let query = encode(7, &question);
    assert_eq!(decode(&query), None, "a query is not an answer");
    for n in 0..query.len() {
        assert_eq!(decode(&query[..n]), None);
    }
}
