//! Tests of `accords` that need its private state.

use super::*;
use rstest::rstest;

fn read(text: &str) -> Result<Document, String> {
    parse_document("document", &text.parse().expect("TOML"))
}

#[test]
fn tables_paths_and_arrays_give_the_same_document() {
    let paths = "\"class/a/attempts\" = 3\n\"out/h1\" = true\n\"out/h2\" = true\n\"list/l/e\" = true";
    let tables = "out = [\"h2\", \"h1\"]\n[class.a]\nattempts = 3\n[list]\nl = [\"e\"]";
    let (one, other) = (read(paths).expect("a document"), read(tables).expect("a document"));
    assert_eq!((one.digest(), one.len()), (other.digest(), 4));
}

#[rstest]
#[case::key("\"class/a/patience\" = 3", "class/a/patience: no such key is known")]
#[case::kind("[class.a]\nattempts = \"3\"", "class/a/attempts")]
#[case::float("[class.a]\nattempts = 3.5", "class/a/attempts: it is true or false, a whole number")]
#[case::list("out = [3]", "out: a list holds words only")]
#[case::twice("\"class/a/attempts\" = 3\n[class.a]\nattempts = 3", "class/a/attempts: it stands twice")]
#[case::path("lonely = true", "accord.document.lonely")]
fn an_invalid_document_is_refused_with_its_key(#[case] text: &str, #[case] wanted: &str) {
    let problem = read(text).expect_err("a problem");
    assert!(problem.contains(wanted), "{problem}");
}

#[rstest]
#[case::base(r#"{"set":{}}"#, "missing field `base`")]
#[case::word(r#"{"base":1,"sets":{}}"#, "unknown field `sets`")]
#[case::value(r#"{"base":1,"set":{"class/a/attempts":1.5}}"#, "class/a/attempts: it is")]
#[case::key(r#"{"base":1,"set":{"class/a/tries":1}}"#, "class/a/tries: no such key is known")]
#[case::range(r#"{"base":1,"set":{"class/a/attempts":99}}"#, "class/a/attempts: 99")]
#[case::drop(r#"{"base":1,"drop":["one"]}"#, "one:")]
#[case::voter(r#"{"base":1,"set":{"voter/m3":false}}"#, "voter/m3")]
fn an_invalid_change_is_refused_with_its_key(#[case] body: &str, #[case] wanted: &str) {
    let problem = parse_change(body.as_bytes()).expect_err("a problem");
    assert!(problem.contains(wanted), "{problem}");
}

#[test]
fn a_change_is_parsed() {
    let body = br#"{"base":4,"set":{"class/a/attempts":2,"out/h":true},"drop":["list/l/e"]}"#;
    let change = parse_change(body).expect("a change");
    assert_eq!((change.base, change.set.len(), change.drop.len()), (4, 2, 1));
}
