//! Unit tests of `types`.

use super::*;
use rstest::rstest;

#[rstest]
#[case::off("0:0", Ok(Draft::OFF))]
#[case::four("1:4", Ok(Draft { drafter: 1, length: 4 }))]
#[case::too_long("1:9", Err(Refusal::Draft))]
#[case::half_off("0:3", Err(Refusal::Draft))]
#[case::no_length("1:0", Err(Refusal::Draft))]
#[case::no_number("1:x", Err(Refusal::Draft))]
#[case::one_part("1", Err(Refusal::Draft))]
#[case::huge("1:999", Err(Refusal::Draft))]
fn drafts_are_parsed_and_printed(#[case] text: &str, #[case] draft: Result<Draft, Refusal>) {
    assert_eq!(text.parse(), draft);
    if let Ok(draft) = draft {
        assert_eq!(draft.to_string(), text);
    }
}

#[rstest]
#[case::class("check-score", true)]
#[case::tenant("check-score.acme", true)]
#[case::none("", false)]
#[case::path("a/b", false)]
#[case::blank("a b", false)]
fn workload_names_are_validated(#[case] name: &str, #[case] valid: bool) {
    assert_eq!(Workload::new(name).is_ok(), valid);
    assert!(Workload::new(&"x".repeat(65)).is_err());
}
