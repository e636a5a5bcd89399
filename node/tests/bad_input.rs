//! Invalid settings at the start end the program; on SIGHUP they are rejected as a whole and change nothing.

mod common;

use std::io::Write;

use common::rollout::edited;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};

const SERVED: u8 = 79;

/// Removes the key at this path from a configuration.
fn without(text: &str, place: &str) -> String {
    let mut value: Value = serde_json::from_str(text).unwrap();
    let (parent, key) = place.rsplit_once('/').unwrap_or(("", place));
    let parent = if parent.is_empty() { parent.to_string() } else { format!("/{parent}") };
    let object = value.pointer_mut(&parent).unwrap().as_object_mut().unwrap();
    object.remove(key).expect("it stood there");
    value.to_string()
}

fn valid() -> String {
    config("127.0.0.1:9".parse().unwrap(), &[])
}

fn assert_rejected(text: &str, wanted: &str) {
    let (status, error) = turned_down(text, false);
    assert!(!status.success(), "{error}");
    assert!(error.lines().count() == 1 && error.contains(wanted), "{error}");
}

#[rstest]
#[case("settings/Profiles/1/WindowUs", json!(0), "settings.Profiles[1].WindowUs: must be above 0, not 0")]
#[case("settings/Profiles/1/DedupScope", json!("town"), "settings.Profiles[1].DedupScope: unknown DedupScope")]
#[case("settings/Profiles/2/Effect", json!("maybe"), "settings.Profiles[2].Effect: unknown Effect \"maybe\"")]
#[case("settings/Profiles", json!([]), "settings.Profiles: must hold a class")]
#[case("settings/Profiles/0/GiveUpUs", json!(1.5), "settings.Profiles[0].GiveUpUs: invalid type")]
#[case("settings/Limits/MaxAttempts", json!(-1), "settings.Limits.MaxAttempts: invalid value")]
#[case("settings/Limits/MaxAttempts", json!("many"), "settings.Limits.MaxAttempts: invalid type")]
#[case("settings/Limits/MaxAttempts", json!(1u64 << 40), "settings.Limits.MaxAttempts: invalid value")]
#[case("settings/Rules/FallUs", json!(-1), "settings.Rules.FallUs: is a negative time: -1")]
#[case("limits/sockets", json!(-1), "limits.sockets: invalid value")]
fn an_invalid_value_ends_the_start(#[case] place: &str, #[case] value: Value, #[case] wanted: &str) {
    assert_rejected(&edited(&valid(), &[(place, value)]), wanted);
}

/// Numbers that do not fit the types of the deserializer.
#[test]
fn an_unrepresentable_number_ends_the_start() {
    let text = valid().replace("\"FallMultiple\":4.0", "\"FallMultiple\":1e999");
    assert_rejected(&text, "settings.Rules.FallMultiple: number out of range");
    let text = valid().replace("\"FallUs\":3000000", "\"FallUs\":99999999999999999999");
    assert_rejected(&text, "settings.Rules.FallUs: invalid type");
}

#[rstest]
fn a_missing_key_ends_the_start(
    #[values(
        "listen",
        "seed",
        "bus",
        "known",
        "known/offset",
        "known/batch",
        "settings",
        "settings/Discovery",
        "settings/FamilyInfo",
        "settings/GroupSize",
        "settings/Limits",
        "settings/Limits/MaxAttempts",
        "settings/Profiles",
        "settings/Rules",
        "settings/Rules/ColdFrom",
        "settings/Rules/ColdUs",
        "settings/Rules/FallMultiple",
        "settings/Rules/FallUs"
    )]
    place: &str,
) {
    assert_rejected(&without(&valid(), place), &format!("{}: is missing", place.replace('/', ".")));
}

#[rstest]
fn a_missing_key_of_a_class_ends_the_start(
    #[values("Name", "AimUs", "GiveUpUs", "Importance", "Effect", "DedupScope", "WindowUs")] key: &str,
) {
    let text = without(&valid(), &format!("settings/Profiles/1/{key}"));
    assert_rejected(&text, &format!("settings.Profiles[1].{key}: is missing"));
}

#[rstest]
#[case("window_ms = 0", "class save-answers: window_ms must be 1 to")]
#[case("window_ms = -1", "class save-answers: window_ms must be 1 to")]
#[case("fall_multiple = nan", "hosts.fall_multiple must be 0 to")]
#[case("fall_multiple = inf", "hosts.fall_multiple must be 0 to")]
#[case("fall_multiple = 0.0", "hosts.fall_multiple must be above 0")]
#[case("cold_from = 1.5", "hosts.cold_from must be 0 to 1")]
#[case("cold_ms = -1", "hosts.cold_ms must be 0 to")]
#[case("fall_ms = -7", "hosts.fall_ms must be 1 to")]
#[case("keep_ms = 9223372036854775807", "hosts.keep_ms must be 0 to")]
#[case("quota_per_s = -1.0", "quota_per_s must be 0 to")]
fn an_invalid_number_in_an_operators_file_ends_the_start(#[case] line: &str, #[case] wanted: &str) {
    let text = operator_file("127.0.0.1:9".parse().unwrap());
    let key = line.split(" = ").next().unwrap();
    let at = text.lines().position(|l| l.starts_with(key)).expect("the key stands in the file");
    let text: Vec<&str> = text.lines().enumerate().map(|(i, l)| if i == at { line } else { l }).collect();
    let (status, error) = turned_down(&text.join("\n"), true);
    assert!(!status.success() && error.lines().count() == 1 && error.contains(wanted), "{error}");
}

#[test]
fn an_operators_file_without_a_class_ends_the_start() {
    let text = operator_file("127.0.0.1:9".parse().unwrap());
    let mut parts = text.split("[[class]]");
    let (head, last) = (parts.next().unwrap(), parts.last().unwrap());
    // Keeps the sections after the classes.
    let rest = last.split_once("\n[").map(|(_, rest)| format!("[{rest}")).unwrap_or_default();
    let (status, error) = turned_down(&format!("{head}{rest}"), true);
    assert!(!status.success() && error.lines().count() == 1 && error.contains("class is missing"), "{error}");
}

/// On SIGHUP an invalid file is rejected as a whole: the class that it adds stays unknown, open calls continue, and
/// new calls are taken as before.
#[rstest]
#[case("settings/Profiles/1/WindowUs", json!(0), "settings.Profiles[1].WindowUs: must be above 0")]
#[case("settings/Profiles/1/DedupScope", json!("town"), "settings.Profiles[1].DedupScope: unknown")]
#[case("settings/Limits/MaxAttempts", json!(0), "settings.Limits.MaxAttempts: must be above 0")]
#[case("settings/Limits/StreamsPerConn", json!(0), "settings.Limits.StreamsPerConn: must be above 0")]
#[case("settings/Rules/ColdFrom", json!(7), "settings.Rules.ColdFrom: must be 0 to 1")]
#[case("settings/FamilyInfo/LoadPeriodUs", json!(-1), "settings.FamilyInfo.LoadPeriodUs: is a negative time: -1")]
#[case("limits/sockets", json!(10), "limits.sockets: 10 descriptors are too few")]
fn an_invalid_reload_changes_nothing(#[case] place: &str, #[case] value: Value, #[case] wanted: &str) {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "save-answers", 4000, b"open")).unwrap();
    wait_for("the call", || host.calls() == 1);
    let new = config(p.bus.address, &[&host]);
    let new = edited(&new, &[("settings/Profiles/0/Name", json!("new-class")), (place, value)]);
    p.program.reload(&new);
    wait_for("the report of the invalid file", || p.program.logged("the old configuration is kept") == 1);
    assert_eq!(p.program.logged(wanted), 1, "{:?}", p.program.lines());
    assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
    client.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
    client.write_all(&call_frame(3, "new-class", 4000, b"")).unwrap();
    assert_ne!(read_frame(&mut client).expect("an answer").code, SERVED);
    assert_eq!(p.program.status(), 200);
}
