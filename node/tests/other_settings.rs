//! Other deployments' settings, on real sockets: with each the program starts and serves a call of each class.

mod common;

use std::io::Write;

use common::rollout::edited;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};

const SERVED: u8 = 79;
const FAILED: u8 = 69;

fn class(name: &str, effect: &str, scope: &str) -> Value {
    json!({"Name": name, "Effect": effect, "AimUs": 1500000, "GiveUpUs": 4000000, "Importance": 3.0,
        "LateWorth": 0.2, "DedupScope": scope, "WindowUs": 8000000})
}

fn classes(n: usize) -> Value {
    let effects = ["safe", "keyed", "unsafe"];
    (0..n).map(|i| class(&format!("class-{i}"), effects[i % 3], "cell")).collect()
}

/// A request frame of this class and tenant.
fn request(stream: u32, class: &str, tenant: Option<&str>) -> Vec<u8> {
    let id = format!("{stream:016x}");
    let mut fields = vec![
        ("kind", class),
        ("req", &id),
        ("timeout", "4000"),
        ("subject", "7f3a9c21e0b4d655"),
        ("opkey", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    ];
    fields.extend(tenant.map(|tenant| ("owner", tenant)));
    request_frame(stream, &fields, b"body")
}

fn names(settings: &Value, list: &str) -> Vec<String> {
    let entries = settings[list].as_array().cloned().unwrap_or_default();
    entries.iter().map(|entry| entry["Name"].as_str().unwrap().to_string()).collect()
}

/// Settings that differ from the usual ones: path and value.
type Edits = Vec<(&'static str, Value)>;

/// Sends one call of each class, with the tenants in turn, and checks that each is served.
fn serves_each_class(edits: Edits, load: Option<u64>) {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: load.map(ms) });
    let bus = Bus::start();
    let text = edited(&config(bus.address, &[&host]), &edits);
    let mut p = Program::start(&text, false);
    let settings = &serde_json::from_str::<Value>(&text).unwrap()["settings"];
    let (classes, tenants) = (names(settings, "Profiles"), names(settings, "Customers"));
    let mut client = p.connect();
    for (class, stream) in classes.iter().zip(1..) {
        let tenant = tenants.get((stream as usize - 1) % tenants.len().max(1));
        client.write_all(&request(stream, class, tenant.map(String::as_str))).unwrap();
        let answer = read_frame(&mut client).expect("an answer");
        assert_eq!((answer.stream, answer.code), (stream, SERVED), "{class} of {tenant:?}: {answer:?}");
        let line = host.seen.lock().unwrap().calls.last().unwrap().0.clone();
        assert!(line.contains(&format!(" cls={class},")), "{line}");
    }
    p.terminate();
    assert!(p.ended().success());
}

#[rstest]
fn any_number_of_classes_is_served(#[values(1, 2, 3, 7, 16)] n: usize) {
    serves_each_class(vec![("settings/Profiles", classes(n))], None);
}

#[rstest]
#[case::only_unsafe(json!([class("send", "unsafe", "all")]))]
#[case::only_safe(json!([class("read", "safe", "all")]))]
#[case::no_safe(json!([class("save", "keyed", "cell"), class("send", "unsafe", "all")]))]
#[case::every_scope(json!([class("a", "keyed", "all"), class("b", "keyed", "zone"), class("c", "keyed", "cell")]))]
#[case::dots(json!([class("form.check-score.v2", "safe", "all"), class("..", "unsafe", "all")]))]
#[case::utf_8(json!([class("prüfung-größe", "safe", "all"), class("保存", "keyed", "zone")]))]
#[case::long(json!([class(&"x".repeat(64), "safe", "all"), class(&"ü".repeat(60), "unsafe", "all")]))]
#[case::signs(json!([class("a;b:c/d\"e'f\\g{h}", "safe", "all"), class("-", "unsafe", "all")]))]
fn any_class_names_and_effects_are_served(#[case] profiles: Value) {
    serves_each_class(vec![("settings/Profiles", profiles)], None);
}

#[rstest]
#[case::none(json!(null))]
#[case::empty(json!([]))]
#[case::one(json!([{"Name": "acme", "Portion": 1.0, "QuotaPerS": 94.0}]))]
#[case::odd_names(json!([{"Name": "a b, c=d", "Portion": 0.5, "QuotaPerS": 0.1},
    {"Name": "schule.größe", "Portion": 0.25, "QuotaPerS": 9.0},
    {"Name": "y".repeat(300), "Portion": 0.25, "QuotaPerS": 9.0}]))]
fn any_tenants_are_served(#[case] customers: Value) {
    serves_each_class(vec![("settings/Customers", customers)], None);
}

#[rstest]
#[case::one_attempt(vec![("settings/Limits/MaxAttempts", json!(1))], None)]
#[case::loads_on_a_miss(vec![("settings/FamilyInfo/IfCold", json!("load"))], None)]
#[case::misses_and_loads_by_order(vec![], Some(30))]
#[case::no_orders_on_hosts_that_load(
    vec![("settings/FamilyInfo/IfCold", json!("load")), ("settings/FamilyInfo/PlacementCalls", json!(false))], None)]
#[case::no_orders_on_hosts_that_miss(vec![("settings/FamilyInfo/PlacementCalls", json!(false))], None)]
#[case::no_family(vec![("settings/FamilyInfo", json!({}))], None)]
#[case::no_load_rule(vec![("settings/FamilyInfo/LoadPeriodUs", json!(0))], Some(30))]
#[case::no_probes(vec![("settings/Limits/Probes", json!(false))], None)]
#[case::no_gossip(vec![("settings/Limits/MayTell", json!(false))], None)]
#[case::gossip_without_peers(vec![("settings/Limits/MayTell", json!(true)), ("settings/GroupSize", json!(9))], None)]
#[case::no_cancel(vec![("settings/Limits/Cancel", json!(false))], None)]
#[case::one_stream(vec![("settings/Limits/StreamsPerConn", json!(1))], None)]
#[case::low_multiple(vec![("settings/Rules/FallMultiple", json!(2)), ("settings/Rules/ColdFrom", json!(0.0))], None)]
#[case::short_window(vec![("settings/Profiles/1/WindowUs", json!(1000))], None)]
#[case::no_zones(vec![("settings/Zones", json!(null)), ("settings/Zone", json!(null))], None)]
#[case::subscribes(vec![("settings/Discovery", json!("subscribe"))], None)]
fn any_limits_are_served(#[case] edits: Edits, #[case] load: Option<u64>) {
    serves_each_class(edits, load);
}

/// A class name that cannot be written in a line to a host makes calls of this class fail; other classes are served.
#[rstest]
fn a_class_name_that_no_line_can_hold_fails_only_its_own_calls(
    #[values("check score", "a,b", "a=b", "a\u{a0}b", "a\nb")] name: &str,
) {
    let host = Host::warm();
    let bus = Bus::start();
    let profiles = json!([class(name, "safe", "all"), class("send", "unsafe", "all")]);
    let p =
        Program::start(&edited(&config(bus.address, &[&host]), &[("settings/Profiles", profiles)]), false);
    let mut client = p.connect();
    client.write_all(&request(1, name, None)).unwrap();
    let answer = read_frame(&mut client).expect("an answer");
    assert_eq!((answer.stream, answer.code), (1, FAILED));
    client.write_all(&request(2, "send", None)).unwrap();
    assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
    assert_eq!(host.calls(), 1);
}
