//! Tests of `config` that need its private state.

use super::*;
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::invoke(include_str!("../../../deploy/invoke.toml"), false)]
#[case::admission(include_str!("../../../deploy/admission.toml"), false)]
#[case::members(include_str!("../../../deploy/members.toml"), false)]
#[case::together(include_str!("../../../deploy/together.toml"), false)]
#[case::rollout(include_str!("../../../deploy/rollout.toml"), true)]
fn the_files_under_deploy_are_valid(#[case] text: &str, #[case] rollout: bool) {
    let config = operator(text).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(config.rollout.is_some(), rollout);
}

#[rstest]
#[case::plan("[rollout.plan]\nname = \"x\"\nstep = []", "a plan needs a step")]
#[case::ready("[rollout]\nbegin = \"ready\"", "needs a rollout.plan")]
#[case::begin("[rollout]\nbegin = \"soon\"", "unknown variant")]
#[case::key("[rollout]\nstart = \"call\"", "unknown field")]
#[case::version("[rollout]\nversion = \"\"", "rollout.version must be")]
fn an_invalid_rollout_is_refused(#[case] part: &str, #[case] wanted: &str) {
    let text = format!("{}\n{part}\n", include_str!("../../../deploy/invoke.toml"));
    let problem = operator(&text).err().expect("a problem");
    assert!(problem.contains(wanted), "{problem}");
}

#[rstest]
#[case::same(json!({"a": 1, "b": [{"x": 1}]}), None)]
#[case::more(json!({"a": 2, "b": [{"x": 1, "y": 2}, {"x": 3}], "c": 0}), None)]
#[case::fewer_entries(json!({"a": 2, "b": []}), None)]
#[case::no_key(json!({"b": [{"x": 1}]}), Some("a"))]
#[case::null(json!({"a": null, "b": []}), Some("a"))]
#[case::entry_without(json!({"a": 1, "b": [{"x": 1}, {"y": 1}]}), Some("b.x"))]
fn a_missing_key_is_named(#[case] new: Value, #[case] wanted: Option<&str>) {
    let old = json!({"a": 1, "b": [{"x": 1}, {"x": 2, "z": 3}]});
    assert_eq!(missing(&old, &new).as_deref(), wanted);
}
