//! Invalid settings are rejected with their key and a reason; valid settings are accepted, also unusual ones.

mod common;

use common::edited;
use rstest::rstest;
use serde_json::{json, Value};
use wheellink_settings::{Deployment, InvalidSetting, Options};

fn read(settings: Value) -> Result<Deployment, InvalidSetting> {
    Deployment::try_from(serde_json::from_value::<Options>(settings).unwrap())
}

/// A time above the accepted maximum; added to a clock, it overflows.
const HUGE_TIME_US: i64 = i64::MAX - 7;

#[rstest]
#[case("/GroupSize", json!(0), "GroupSize: must be above 0, not 0")]
#[case("/GroupSize", json!(u32::MAX), "GroupSize: must be 1000000 at most")]
#[case("/Discovery", json!("dns"), "Discovery: unknown Discovery \"dns\"")]
#[case("/OverShareWorth", json!(-0.1), "OverShareWorth: must not be negative, not -0.1")]
#[case("/OverShareWorth", json!(1e300), "OverShareWorth: must be 1e12 at most, not 1e300")]
#[case("/Profiles", json!([]), "Profiles: must hold a class")]
#[case("/Profiles/1/Name", json!(""), "Profiles[1].Name: must not be empty")]
#[case("/Profiles/1/Name", json!("check-score"), "Profiles[1].Name: is another class's name")]
#[case("/Profiles/1/Effect", json!("maybe"), "Profiles[1].Effect: unknown Effect \"maybe\"")]
#[case("/Profiles/1/DedupScope", json!("town"), "Profiles[1].DedupScope: unknown DedupScope \"town\"")]
#[case("/Profiles/1/DedupScope", Value::Null, "Profiles[1].DedupScope: is missing")]
#[case("/Profiles/1/WindowUs", Value::Null, "Profiles[1].WindowUs: is missing")]
#[case("/Profiles/1/WindowUs", json!(0), "Profiles[1].WindowUs: must be above 0, not 0")]
#[case("/Profiles/1/WindowUs", json!(-1), "Profiles[1].WindowUs: is a negative time: -1")]
#[case("/Profiles/1/WindowUs", json!(HUGE_TIME_US), "Profiles[1].WindowUs: must be 1000000000000000 microseconds at most")]
#[case("/Profiles/2/AimUs", json!(0), "Profiles[2].AimUs: must be above 0, not 0")]
#[case("/Profiles/2/AimUs", json!(-5), "Profiles[2].AimUs: is a negative time: -5")]
#[case("/Profiles/2/AimUs", json!(HUGE_TIME_US), "Profiles[2].AimUs: must be 1000000000000000")]
#[case("/Profiles/0/GiveUpUs", json!(0), "Profiles[0].GiveUpUs: must be above 0, not 0")]
#[case("/Profiles/0/GiveUpUs", json!(HUGE_TIME_US), "Profiles[0].GiveUpUs: must be 1000000000000000")]
#[case("/Profiles/0/Importance", json!(-1.0), "Profiles[0].Importance: must not be negative, not -1")]
#[case("/Profiles/0/Importance", json!(1e200), "Profiles[0].Importance: must be 1e12 at most")]
#[case("/Profiles/0/LateWorth", json!(-0.5), "Profiles[0].LateWorth: must not be negative")]
#[case("/Limits/MaxAttempts", json!(0), "Limits.MaxAttempts: must be above 0, not 0")]
#[case("/Limits/StreamsPerConn", json!(0), "Limits.StreamsPerConn: must be above 0, not 0")]
#[case("/Limits/ConnIdleUs", json!(0), "Limits.ConnIdleUs: must be above 0, not 0")]
#[case("/Limits/ConnIdleUs", json!(-1), "Limits.ConnIdleUs: is a negative time: -1")]
#[case("/Limits/ConnectTimeoutUs", json!(0), "Limits.ConnectTimeoutUs: must be above 0, not 0")]
#[case("/Limits/ConnectTimeoutUs", json!(HUGE_TIME_US), "Limits.ConnectTimeoutUs: must be 1000000000000000")]
#[case("/Limits/MaxRetryAfterUs", json!(-1), "Limits.MaxRetryAfterUs: is a negative time: -1")]
#[case("/Rules/ColdFrom", json!(-0.1), "Rules.ColdFrom: must be 0 to 1, not -0.1")]
#[case("/Rules/ColdFrom", json!(1.1), "Rules.ColdFrom: must be 0 to 1, not 1.1")]
#[case("/Rules/ColdUs", json!(-1), "Rules.ColdUs: is a negative time: -1")]
#[case("/Rules/ColdUs", json!(HUGE_TIME_US), "Rules.ColdUs: must be 1000000000000000 microseconds at most")]
#[case("/Rules/FallMultiple", json!(0.0), "Rules.FallMultiple: must be above 0, not 0")]
#[case("/Rules/FallMultiple", json!(-4.0), "Rules.FallMultiple: must not be negative, not -4")]
#[case("/Rules/FallMultiple", json!(1e308), "Rules.FallMultiple: must be 1e12 at most")]
#[case("/Rules/FallUs", json!(0), "Rules.FallUs: must be above 0, not 0")]
#[case("/Rules/FallUs", json!(-3), "Rules.FallUs: is a negative time: -3")]
#[case("/FamilyInfo/LoadPeriodUs", json!(-1), "FamilyInfo.LoadPeriodUs: is a negative time: -1")]
#[case("/FamilyInfo/LoadPeriodUs", json!(HUGE_TIME_US), "FamilyInfo.LoadPeriodUs: must be 1000000000000000")]
#[case("/FamilyInfo/KeepUs", json!(0), "FamilyInfo.KeepUs: must be above 0, not 0")]
#[case("/FamilyInfo/KeepUs", json!(-1), "FamilyInfo.KeepUs: is a negative time: -1")]
#[case("/FamilyInfo/OrderTimeoutUs", json!(0), "FamilyInfo.OrderTimeoutUs: must be above 0, not 0")]
#[case("/FamilyInfo/FreeLoads", json!(-1.0), "FamilyInfo.FreeLoads: must not be negative, not -1")]
#[case("/FamilyInfo/LoadShare", json!(-0.2), "FamilyInfo.LoadShare: must not be negative, not -0.2")]
#[case("/FamilyInfo/LoadShare", json!(1e99), "FamilyInfo.LoadShare: must be 1e12 at most")]
#[case("/FamilyInfo/IfCold", json!("waits"), "FamilyInfo.IfCold: unknown IfCold \"waits\"")]
#[case("/Customers/1/QuotaPerS", json!(-25.0), "Customers[1].QuotaPerS: must not be negative, not -25")]
#[case("/Customers/1/QuotaPerS", json!(0.0), "Customers[1].QuotaPerS: must be above 0, not 0")]
fn invalid_value_is_rejected_with_key(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let error = read(edited(pointer, Some(value))).expect_err("rejected").to_string();
    assert!(error.starts_with(expected), "{error}");
    assert_eq!(error.lines().count(), 1);
}

#[rstest]
#[case::unchanged("/Ordinal", Some(json!(0)))]
#[case::no_load_limit("/FamilyInfo/LoadPeriodUs", Some(json!(0)))]
#[case::no_free_loads("/FamilyInfo/FreeLoads", Some(json!(0.0)))]
#[case::no_load_share("/FamilyInfo/LoadShare", Some(json!(0.0)))]
#[case::window_of_safe("/Profiles/0/WindowUs", Some(json!(0)))]
#[case::window_of_unsafe("/Profiles/2/WindowUs", Some(json!(-1)))]
#[case::no_window_of_unsafe("/Profiles/2/WindowUs", None)]
#[case::scope_of_unsafe("/Profiles/2/DedupScope", Some(json!("none")))]
#[case::short_window("/Profiles/1/WindowUs", Some(json!(1000)))]
#[case::scope_zone("/Profiles/1/DedupScope", Some(json!("zone")))]
#[case::aim_after_give_up("/Profiles/0/AimUs", Some(json!(9000000)))]
#[case::no_worth("/Profiles/0/Importance", Some(json!(0.0)))]
#[case::no_late_worth("/Profiles/0/LateWorth", None)]
#[case::no_customers("/Customers", None)]
#[case::customers_null("/Customers", Some(Value::Null))]
#[case::customers_empty("/Customers", Some(json!([])))]
#[case::no_probes("/Limits/Probes", Some(json!(false)))]
#[case::probes_absent("/Limits/Probes", None)]
#[case::one_attempt("/Limits/MaxAttempts", Some(json!(1)))]
#[case::many_attempts("/Limits/MaxAttempts", Some(json!(1000000)))]
#[case::no_retry_after("/Limits/MaxRetryAfterUs", Some(json!(0)))]
#[case::retry_after_absent("/Limits/MaxRetryAfterUs", None)]
#[case::idle_absent("/Limits/ConnIdleUs", None)]
#[case::connect_absent("/Limits/ConnectTimeoutUs", None)]
#[case::streams_absent("/Limits/StreamsPerConn", None)]
#[case::one_stream("/Limits/StreamsPerConn", Some(json!(1)))]
#[case::low_fall_multiple("/Rules/FallMultiple", Some(json!(2)))]
#[case::full_capacity_at_start("/Rules/ColdFrom", Some(json!(1.0)))]
#[case::no_cold_time("/Rules/ColdUs", Some(json!(0)))]
#[case::no_capacity_at_start("/Rules/ColdFrom", Some(json!(0.0)))]
#[case::cold_for_an_hour("/Rules/ColdUs", Some(json!(3600000000i64)))]
#[case::empty_family_info("/FamilyInfo", Some(json!({})))]
#[case::hosts_load_if_cold("/FamilyInfo/IfCold", Some(json!("load")))]
#[case::keep_absent("/FamilyInfo/KeepUs", None)]
#[case::order_timeout_absent("/FamilyInfo/OrderTimeoutUs", None)]
#[case::no_orders("/FamilyInfo", Some(json!({"KeepUs": 0, "OrderTimeoutUs": 0, "PlacementCalls": false})))]
#[case::discovery_by_subscription("/Discovery", Some(json!("subscribe")))]
#[case::large_fleet("/GroupSize", Some(json!(20000)))]
#[case::no_zone("/Zone", None)]
#[case::no_zones("/Zones", None)]
#[case::over_share_worth_absent("/OverShareWorth", None)]
#[case::unknown_key("/Limits/SomethingNew", Some(json!({"a": [1]})))]
#[case::unknown_key_of_a_class("/Profiles/0/Streamed", Some(json!(false)))]
fn valid_setting_is_accepted(#[case] pointer: &str, #[case] value: Option<Value>) {
    let deployment = read(edited(pointer, value)).unwrap_or_else(|error| panic!("{error}"));
    deployment.router(7).unwrap_or_else(|error| panic!("{error}"));
}
