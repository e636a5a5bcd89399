//! Tests of `plan` that need its private state.

use super::*;
use rstest::rstest;

fn plan(json: &str) -> Result<Plan, String> {
    let plan: Plan = serde_json::from_str(json).map_err(|e| e.to_string())?;
    plan.check().map_err(|e| e.to_string())?;
    Ok(plan)
}

#[test]
fn missing_fields_of_a_plan_get_their_defaults() {
    let plan = plan(r#"{"name":"v2","step":[{"percent":1},{"percent":100,"least_calls":5}]}"#).unwrap();
    assert_eq!((plan.on_fail, plan.auto_complete, plan.max_silence()), (OnFail::RollBack, false, 1_000_000));
    assert_eq!(plan.gates, GateSettings::default());
    assert_eq!(plan.steps[0].share(), Share::from_percent(1.0));
}

#[rstest]
#[case::no_steps(r#"{"name":"x","step":[]}"#, "a plan needs a step")]
#[case::no_name(r#"{"name":"","step":[{"percent":1}]}"#, "name must be 1 to 64")]
#[case::zero(r#"{"name":"x","step":[{"percent":0}]}"#, "step 1: percent must be above 0")]
#[case::above(r#"{"name":"x","step":[{"percent":101}]}"#, "step 1: percent must be above 0")]
#[case::tiny(r#"{"name":"x","step":[{"percent":0.001}]}"#, "step 1: percent is below a hundredth")]
#[case::falls(r#"{"name":"x","step":[{"percent":5},{"percent":4}]}"#, "step 2: its share must be above")]
#[case::equal(r#"{"name":"x","step":[{"percent":5},{"percent":5.001}]}"#, "step 2: its share must be")]
#[case::long(r#"{"name":"x","step":[{"percent":5,"least_ms":604800001}]}"#, "step 1: least_ms")]
#[case::margin(r#"{"name":"x","step":[{"percent":5}],"gates":{"late":1.0}}"#, "gates.late")]
#[case::alpha(r#"{"name":"x","step":[{"percent":5}],"gates":{"alpha":0}}"#, "gates.alpha")]
#[case::cluster(r#"{"name":"x","step":[{"percent":5}],"gates":{"cluster":0.5}}"#, "gates.cluster")]
#[case::silent(r#"{"name":"x","step":[{"percent":5}],"silent_ms":10}"#, "silent_ms is below 200")]
#[case::completes(r#"{"name":"x","step":[{"percent":50}],"completes":true}"#, "completes needs a last")]
#[case::unknown(r#"{"name":"x","step":[{"percent":50,"leastms":1}]}"#, "unknown field")]
#[case::on_fail(r#"{"name":"x","step":[{"percent":50}],"on_fail":"stop"}"#, "unknown variant")]
#[case::negative(r#"{"name":"x","step":[{"percent":50,"least_calls":-1}]}"#, "invalid value")]
fn an_invalid_plan_is_rejected(#[case] json: &str, #[case] wanted: &str) {
    let problem = plan(json).unwrap_err();
    assert!(problem.contains(wanted), "{problem}");
}
