//! Tests of `drafts` that need its private state.

use super::*;
use rstest::rstest;

#[rstest]
#[case::none("", "")]
#[case::whole("drafters = 2\nstart = \"2:3\"\nbands = [1, 2.5, 9]\n[table]\n\"chat.acme/3\" = \"0:0\"", "")]
#[case::unknown("drafter = 2", "unknown field")]
#[case::longest("longest = 9", "drafts.longest: 1 to 8")]
#[case::start("start = \"2:3\"", "drafts.start: a draft of the drafters")]
#[case::no_draft("start = \"four\"", "drafts.start: \"four\" is not a draft")]
#[case::period("period_ms = 1", "drafts.period_ms: 50 ms to 60 s")]
#[case::versions("versions_per_hour = 0", "drafts.versions_per_hour: 1 to 3,600")]
#[case::bands("bands = [3, 2, 9]", "drafts.bands: three increasing numbers")]
#[case::place("[table]\nchat = \"1:4\"", "drafts.table.chat: an entry is")]
#[case::band("[table]\n\"chat/4\" = \"1:4\"", "drafts.table.chat/4: an entry is")]
#[case::beyond("[table]\n\"chat/1\" = \"2:4\"", "drafts.table.chat/1: 2:4 is not of the configured")]
fn errors_name_the_key(#[case] text: &str, #[case] wanted: &str) {
    let error = match toml::from_str::<Setup>(text) {
        Ok(setup) => setup.check(&["chat"], &["acme"]).err().unwrap_or_default(),
        Err(e) => e.message().to_string(),
    };
    assert!(if wanted.is_empty() { error.is_empty() } else { error.contains(wanted) }, "{error}");
}

#[test]
fn names_that_are_invalid_in_workloads_are_refused() {
    let setup = Setup { by_tenant: true, ..Setup::default() };
    assert!(setup.check(&["chat"], &["a/b"]).unwrap_err().contains("\"chat.a/b\" is not a workload"));
    assert!(setup.check(&[&"x".repeat(70)], &[]).is_err());
}
