//! Rollouts on real sockets: shares, rolling back, and either process killed or stopped at each point of a call.
//! Hosts count runs by the body of a call, and every call here has a body of its own.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;

use common::rollout::*;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};
use wheellink_rollout::{Share, Split, Version};

const SERVED: u8 = 79;
const REFUSED: u8 = 66;
const FAILED: u8 = 69;
const WINDOW_US: i64 = 8_000_000;

// -------------------------------------------------------------------------------------------- shares

/// From 1% to 100% and back with mixed classes, each call is decided by the version that `Split` chooses, and has one answer
/// and one run. Calls with a key are pinned to the version that the key got first.
#[test]
fn each_call_runs_once_with_the_version_that_split_chooses() {
    let (a, b) = (Host::warm(), Host::warm());
    let hosts = [&a, &b];
    let p = pair(&hosts);
    let mut split = Split::new("v2");
    let mut client = Client::new(&p.old.program, 0);
    assert_eq!(p.post("", &plan(&[1.0, 5.0, 25.0, 50.0, 100.0])), 200);
    let (mut passed, mut versions) = (0, BTreeMap::new());
    for (i, percent) in [1.0, 5.0, 25.0, 50.0, 100.0, 0.0].into_iter().enumerate() {
        match percent {
            0.0 => assert_eq!(p.post("back", ""), 200),
            _ if i > 0 => assert_eq!(p.post("step", &format!("{{\"to\":{}}}", i + 1)), 200),
            _ => {}
        }
        split.set_share(Share::from_percent(percent));
        for n in 0..90 {
            let call = client.send(CLASSES[n % 3]);
            assert_eq!(client.code(call), SERVED);
            let keyed = n % 3 == 1;
            let (k, i) = (key(call), id(call));
            let version = split.decide(0, keyed.then_some((k.as_str(), WINDOW_US)), &i);
            passed += u64::from(version == Version::New);
            if keyed {
                versions.insert(call, version);
            }
        }
        assert_eq!(p.count("passed"), passed, "at {percent}%");
    }
    for n in 0..client.next {
        assert_eq!(runs(&hosts, n), 1, "call {n}");
    }
    assert!(versions.values().any(|v| *v == Version::New) && versions.values().any(|v| *v == Version::Old));
    p.wait_life("back");
    let history = p.view()["history"].to_string();
    assert!(
        history.contains("an operator's call: step") && history.contains("an operator's call: back"),
        "{history}"
    );
    client.finish();
}

/// After a roll back, calls in flight end with the candidate, and the next call is decided by the old version.
#[test]
fn calls_in_flight_at_a_roll_back_end_with_the_candidate() {
    let host = slow_host(600);
    let p = pair(&[&host]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    let calls = [client.send_each(), client.send_each()].concat();
    wait_for("the calls", || host.calls() == 6);
    assert_eq!((p.post("back", ""), p.post("back", "")), (200, 200));
    assert_eq!(p.view()["life"], json!("going_back"));
    let after = client.send("send-mail");
    assert_eq!(client.codes(&calls), [SERVED; 6]);
    assert_eq!(client.code(after), SERVED);
    assert_eq!(p.count("passed"), 6);
    assert!((0..7).all(|n| runs(&[&host], n) == 1));
    p.wait_life("back");
    // The same candidate can be rolled out again.
    let p = p.with_full_share();
    assert_eq!(client.call("send-mail"), SERVED);
    assert_eq!(p.count("passed"), 7);
    client.finish();
}

/// A candidate withholds attempts, as it does when the terms of their class change. These calls are refused, since they did not
/// run, and the candidate goes on deciding others. It used to report the ends of attempts whose start it had not reported, and
/// was killed for that.
#[test]
fn a_candidate_that_withholds_attempts_keeps_running() {
    let host = Host::warm();
    let p = pair_with(&[&host], &[], |text| Program::start_with_faults("attempt:EAGAIN:2:2", text, false));
    let p = p.with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    let codes: Vec<u8> = (0..9).map(|n| client.call(CLASSES[n % 3])).collect();
    let runs: Vec<u32> = (0..9).map(|n| runs(&[&host], n)).collect();
    assert_eq!(codes, [&[SERVED, REFUSED, REFUSED][..], &[SERVED; 6]].concat());
    assert_eq!(runs, [1, 0, 0, 1, 1, 1, 1, 1, 1]);
    assert_eq!((p.count("passed"), p.view()["life"].clone()), (9, json!("stepping")));
    client.finish();
}

// ------------------------------------------------------- the candidate fails at each point of a call

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Killed,
    Stopped,
}

fn fail(p: &mut Pair, how: Failure) {
    match how {
        Failure::Killed => p.new.kill(),
        Failure::Stopped => p.new.stop(true),
    }
}

/// The candidate is lost before it starts calls that were passed to it. It reported no attempt, which proves that none was made,
/// so the old version runs all of them.
#[rstest]
#[case(Failure::Killed)]
#[case(Failure::Stopped)]
fn calls_without_an_attempt_run_with_the_old_version(#[case] how: Failure) {
    let host = Host::warm();
    let mut p = pair(&[&host]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    p.new.stop(true);
    let calls = client.send_each();
    wait_for("the calls", || p.count("passed") == 3);
    fail(&mut p, how);
    assert_eq!(client.codes(&calls), [SERVED; 3]);
    assert!(calls.iter().all(|n| runs(&[&host], *n) == 1));
    assert_eq!((p.count("run_anew"), p.count("failed_by_loss")), (3, 0));
    p.wait_life("back");
    assert_eq!(client.call("send-mail"), SERVED);
    client.finish();
}

/// The candidate is lost after it reported an attempt and before it wrote the attempt to the host. The old version cannot know
/// whether it was written, so a mail fails at once and is never sent.
#[rstest]
#[case(Failure::Killed)]
#[case(Failure::Stopped)]
fn a_reported_attempt_that_was_not_written_counts_as_run(#[case] how: Failure) {
    let stuck = Stuck::start();
    let host = Host { address: stuck.address, ways: Host::warm().ways, seen: Default::default() };
    let timeout = ("settings/Limits/ConnectTimeoutUs", json!(9_000_000));
    let mut p = pair_of(&[&host], &[timeout], &[]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    let mail = client.send("send-mail");
    wait_for("the call", || p.new.ask("GET", "/rollout", "").1["calls_in"] == json!(1));
    fail(&mut p, how);
    assert_eq!(client.code(mail), FAILED);
    assert_eq!((p.count("run_anew"), p.count("failed_by_loss")), (0, 1));
    assert_eq!(stuck.heard(), 0);
    client.finish();
}

/// The candidate is lost while its attempts run on the host. A mail fails and does not run again. A keyed call and a read run
/// again in the same cell, as their classes allow.
#[rstest]
#[case(Failure::Killed)]
#[case(Failure::Stopped)]
fn attempts_of_a_lost_candidate_are_retried_as_their_class_allows(#[case] how: Failure) {
    let host = slow_host(2200);
    let mut p = pair(&[&host]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    let calls = client.send_each();
    wait_for("the calls", || host.calls() == 3);
    host.ways.lock().unwrap().work = ms(1);
    fail(&mut p, how);
    assert_eq!(client.codes(&calls), [SERVED, SERVED, FAILED]);
    assert_eq!(calls.map(|n| runs(&[&host], n)), [2, 2, 1]);
    assert_eq!((p.count("run_anew"), p.count("failed_by_loss")), (2, 1));
    if how == Failure::Stopped {
        assert_eq!(
            p.new.ended().signal(),
            Some(9),
            "a stopped candidate is killed before its calls are retried"
        );
    }
    client.finish();
}

/// The host has answered, and the candidate is lost before it passes the answers back. The answers are lost, so the calls fail
/// or are retried like attempts that still run.
#[test]
fn answers_that_were_not_passed_back_are_lost_with_the_candidate() {
    let host = slow_host(300);
    let mut p = pair(&[&host]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    let calls = client.send_each();
    wait_for("the calls", || host.calls() == 3);
    p.new.stop(true);
    wait_for("the runs", || calls.iter().all(|n| runs(&[&host], *n) == 1));
    std::thread::sleep(ms(400));
    p.new.kill();
    assert_eq!(client.codes(&calls), [SERVED, SERVED, FAILED]);
    assert_eq!(calls.map(|n| runs(&[&host], n)), [2, 2, 1]);
    client.finish();
}

/// A candidate that dies before or after its hello message does not disturb the old version.
#[test]
fn the_old_version_serves_on_when_a_candidate_dies_at_its_start() {
    let host = Host::warm();
    let mut p = pair(&[&host]);
    p.new.kill();
    wait_for("the loss of the candidate", || p.view()["role"] == json!("alone"));
    assert_eq!(p.post("", &plan(&[50.0])), 409, "there is no candidate");
    let mut client = Client::new(&p.old.program, 0);
    let connection = UnixStream::connect(meeting_place(p.old.program.address)).unwrap();
    drop(connection);
    assert_eq!(client.call("send-mail"), SERVED);
    client.finish();
}

/// A stopped candidate delays only the calls that were passed to it. Each of these is answered once when it continues.
#[test]
fn a_stopped_candidate_does_not_delay_calls_of_the_old_version() {
    let host = Host::warm();
    let p = pair(&[&host]);
    let plan = plan(&[50.0]).replace("1500", "30000");
    assert_eq!(p.post("", &plan), 200);
    let mut client = Client::new(&p.old.program, 0);
    let mut split = Split::new("v2");
    split.set_share(Share::from_percent(50.0));
    p.new.stop(true);
    let calls: Vec<_> = (0..30).map(|_| client.send("send-mail")).collect();
    let (kept, passed): (Vec<_>, Vec<_>) =
        calls.iter().partition(|n| split.decide(0, None, &id(**n)) == Version::Old);
    assert!(kept.len() > 5 && passed.len() > 5);
    assert_eq!(client.codes(&kept), vec![SERVED; kept.len()]);
    assert!(passed.iter().all(|n| !client.answers.contains_key(n)));
    p.new.stop(false);
    assert_eq!(client.codes(&passed), vec![SERVED; passed.len()]);
    assert!(calls.iter().all(|n| runs(&[&host], *n) == 1));
    client.finish();
}

/// The deadline of a call passes while its candidate is stopped. The old version answers the call, and the candidate does not run
/// it after it continues.
#[test]
fn the_old_version_answers_at_the_deadline_while_the_candidate_is_stopped() {
    let host = Host::warm();
    let p = pair(&[&host]);
    assert_eq!(p.post("", &plan(&[100.0]).replace("1500", "30000")), 200);
    let mut client = Client::new(&p.old.program, 0);
    p.new.stop(true);
    let n = client.next;
    client.next += 1;
    let frame = whole_call_frame(n + 1, [&id(n), "send-mail", "k", "f1"], 400, body(n).as_bytes());
    client.stream.write_all(&frame).unwrap();
    assert_eq!(client.code(n), FAILED);
    p.new.stop(false);
    assert_eq!(client.call("send-mail"), SERVED);
    assert_eq!(runs(&[&host], n), 0, "run after its deadline");
    client.finish();
}

// ----------------------------------------------------------------------------- the old version fails

/// The old version dies. The new one serves on alone, and keeps hosts out that an operator took out at the old one.
#[test]
fn the_new_version_serves_on_when_the_old_one_dies() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = pair(&[&a, &b]);
    assert_eq!(p.post("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    assert!((0..20).all(|_| client.call("check-score") == SERVED));
    assert_eq!(p.old.program.maintain("enter", 0), 200);
    assert_eq!(p.new.status(), 503, "a candidate must not take clients");
    let address = p.old.program.address;
    p.old.program.kill();
    wait_for("the new version", || p.new.status() == 200);
    let before = a.calls();
    let mut client =
        Client { stream: TcpStream::connect(address).unwrap(), next: 100, answers: BTreeMap::new() };
    client.stream.set_read_timeout(Some(LONG)).unwrap();
    assert!((0..20).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    assert_eq!(a.calls(), before, "a host in maintenance was called");
    assert_eq!(p.new.logged("the old version is gone, this one serves on alone"), 1);
    client.finish();
}

/// The old version is terminated in the middle of a step. The new one takes over and no call is lost.
#[test]
fn a_terminated_old_version_is_replaced_by_the_new_one() {
    let host = slow_host(300);
    let mut p = pair(&[&host]);
    assert_eq!(p.post("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let calls = [client.send_each(), client.send_each()].concat();
    wait_for("the calls", || host.calls() == 6);
    p.old.program.terminate();
    assert_eq!(client.codes(&calls), [SERVED; 6]);
    wait_for("the new version", || p.new.status() == 200);
    assert!(p.old.program.ended().success());
    assert_eq!(Client::new(&p.new, 50).call("send-mail"), SERVED);
    assert!((0..6).all(|n| runs(&[&host], n) == 1));
}

/// A candidate that was rolled back does not take over when the old version is terminated.
#[test]
fn a_rolled_back_version_ends_with_the_old_one() {
    let host = Host::warm();
    let mut p = pair(&[&host]).with_full_share();
    assert_eq!(p.post("back", ""), 200);
    p.wait_life("back");
    p.old.program.terminate();
    assert!(p.old.program.ended().success());
    wait_for("the end of the old version", || TcpStream::connect(p.old.program.address).is_err());
    p.new.ended();
}

/// A terminated candidate finishes the calls that were passed to it before it exits.
#[test]
fn a_terminated_candidate_loses_no_call() {
    let host = slow_host(500);
    let mut p = pair(&[&host]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    let calls = client.send_each();
    wait_for("the calls", || host.calls() == 3);
    p.new.terminate();
    wait_for("the candidate to drain", || p.view()["life"] != json!("stepping"));
    let after = client.send("send-mail");
    assert_eq!(client.codes(&calls), [SERVED; 3]);
    assert_eq!(client.code(after), SERVED);
    assert!(p.new.ended().success());
    p.wait_life("back");
    assert_eq!(p.count("passed"), 3);
    client.finish();
}

// ------------------------------------------------------------ protocol violations and other versions

/// The bytes that a stand-in candidate sends after the handshake.
fn invalid_bytes(kind: &str) -> Vec<u8> {
    match kind {
        "garbage" => b"\x05\x00\x00\x00\xff\xff\xff\xff\xff".to_vec(),
        "half" => b"\x40\x00\x00\x00\x04\x01".to_vec(),
        "3gb" => [&0xc000_0000u32.to_le_bytes()[..], b"x"].concat(),
        // Message 14, to take the clients, may be sent by the old version only.
        "wrong_side" => b"\x01\x00\x00\x00\x0e".to_vec(),
        other => panic!("{other}"),
    }
}

/// Not a test by itself: it runs as a separate process, since the old version kills a candidate that breaks the protocol.
#[test]
#[ignore = "run by another test"]
fn stand_in_candidate() {
    let (Ok(place), Ok(listen), Ok(kind)) =
        (std::env::var("PLACE"), std::env::var("LISTEN"), std::env::var("KIND"))
    else {
        return;
    };
    let protocols = if kind == "older" { [0] } else { [1] };
    let mut stream = UnixStream::connect(place).unwrap();
    let rollout = json!({"protocols": protocols, "version": "odd", "classes": []});
    let hello = json!({"say": "hello", "version": 1, "listen": listen, "rollout": rollout});
    stream.write_all(format!("{hello}\n").as_bytes()).unwrap();
    let mut state = String::new();
    BufReader::new(&stream).read_line(&mut state).unwrap();
    assert_eq!(state.contains("\"rollout\""), kind != "older", "{state}");
    if kind != "older" {
        stream.write_all(&invalid_bytes(&kind)).unwrap();
    }
    if kind == "garbage" || kind == "3gb" || kind == "wrong_side" {
        // Waits to be killed by the old version.
        std::thread::sleep(LONG);
    }
}

#[rstest]
#[case::garbage("garbage", Some(9))]
#[case::half_a_frame("half", None)]
#[case::three_gigabytes("3gb", Some(9))]
#[case::a_message_of_the_other_side("wrong_side", Some(9))]
#[case::an_older_protocol("older", None)]
fn a_candidate_that_breaks_the_protocol_is_dropped(#[case] kind: &str, #[case] signal: Option<i32>) {
    let host = Host::warm();
    let bus = Bus::start();
    let text = edited(&config(bus.address, &[&host]), &[("rollout", json!({}))]);
    let old = Program::start(&text, false);
    let _feed = bus.greeted();
    wait_for("readiness", || old.status() == 200);
    let mut client = Client::new(&old, 0);
    assert_eq!(client.call("send-mail"), SERVED);
    let mut candidate = Command::new(std::env::current_exe().unwrap());
    candidate.args(["--exact", "stand_in_candidate", "--ignored"]).env("KIND", kind);
    candidate.env("PLACE", meeting_place(old.address)).env("LISTEN", old.address.to_string());
    let status = candidate.output().unwrap().status;
    if signal.is_some() {
        assert_eq!(status.signal(), signal, "{status}");
    }
    wait_for("the loss of the candidate", || old.ask("GET", "/rollout", "").1["role"] == json!("alone"));
    assert!((0..5).all(|_| client.call("send-mail") == SERVED));
    assert_eq!(old.status(), 200);
    client.finish();
}

/// A second candidate during a rollout is rejected with the reason, and changes nothing.
#[test]
fn a_second_candidate_is_rejected() {
    let host = Host::warm();
    let p = pair(&[&host]).with_full_share();
    let text = edited(&config(p.old.bus.address, &[&host]), &[("rollout", json!({}))]);
    let text = edited(&text, &[("listen", json!(p.old.program.address.to_string()))]);
    let (status, output) = turned_down(&text, false);
    assert!(!status.success() && output.contains("a rollout is under way"), "{output}");
    assert_eq!(p.post("", &plan(&[5.0])), 409);
    assert_eq!((p.post("", &plan(&[100.0])), p.post("", "")), (200, 400));
    let mut client = Client::new(&p.old.program, 0);
    assert_eq!(client.call("send-mail"), SERVED);
    assert_eq!(p.count("passed"), 1);
}

/// If the old version has no [rollout] settings, the new one exits, or does a plain upgrade if its settings say so.
#[test]
fn without_rollout_settings_in_the_old_version_the_new_one_exits_or_upgrades() {
    let host = Host::warm();
    let old = platform(&[&host]);
    wait_for("readiness", || old.program.status() == 200);
    let listen = ("listen", json!(old.program.address.to_string()));
    let text = edited(&config(old.bus.address, &[&host]), &[listen, ("rollout", json!({}))]);
    let (status, output) = turned_down(&text, false);
    assert!(!status.success() && output.contains("takes no part in a rollout"), "{output}");
    assert_eq!((old.program.status(), old.program.operate("GET", "/rollout", "")), (200, 404));
    let upgrade = edited(&text, &[("rollout", json!({"old_cannot": "upgrade"}))]);
    let new = Program::start(&upgrade, false);
    let (_, _feed) = old.bus.greeted();
    wait_for("a plain upgrade", || new.status() == 200);
    assert_eq!(Client::new(&new, 0).call("send-mail"), SERVED);
}

// ---------------------------------------------------------------- both versions act as one activator

/// The versions disagree on the effect of a class, and both apply the stricter one.
#[test]
fn the_stricter_effect_of_a_class_applies_in_both_versions() {
    let host = Host::start(Ways { does: Does::HangUp, work: ms(1), load: None });
    let unsafe_there = ("settings/Profiles/0/Effect", json!("unsafe"));
    let p = pair_of(&[&host], &[], &[unsafe_there]);
    let terms = p.view()["classes"].to_string();
    assert!(terms.contains("class check-score: old safe") && terms.contains("bound to unsafe"), "{terms}");
    assert_eq!(p.old.program.logged("class check-score: old safe"), 1);
    let mut client = Client::new(&p.old.program, 0);
    let before = host.calls();
    assert_eq!(client.call("check-score"), FAILED, "an unsafe call is not retried");
    assert_eq!(host.calls(), before + 1);
    let p = p.with_full_share();
    assert_eq!(client.call("check-score"), FAILED);
    assert_eq!((host.calls(), p.count("passed")), (before + 2, 1));
    // The old version's own setting applies again once the candidate is gone.
    drop(p.new);
    wait_for("its loss", || p.old.program.ask("GET", "/rollout", "").1["role"] == json!("alone"));
    client.call("check-score");
    assert!(host.calls() > before + 3, "a safe call is retried");
}

/// Calls of a class that only one version has are decided by that version.
#[test]
fn calls_of_a_class_in_one_version_are_decided_there() {
    let host = Host::warm();
    let text = config(host.address, &[]);
    let mut profiles: Value = serde_json::from_str::<Value>(&text).unwrap()["settings"]["Profiles"].clone();
    profiles[0]["Name"] = json!("check-form");
    let p = pair_of(&[&host], &[], &[("settings/Profiles", profiles)]);
    let mut client = Client::new(&p.old.program, 0);
    assert_eq!(client.call("check-form"), FAILED, "the old version has no such class");
    let p = p.with_full_share();
    assert_eq!([client.call("check-score"), client.call("send-mail")], [SERVED, SERVED]);
    assert_eq!(p.count("passed"), 1, "check-score stays with the old version");
    assert_eq!(client.call("check-form"), SERVED);
    assert_eq!(p.count("passed"), 2);
    assert_eq!(p.post("back", ""), 200);
    assert_eq!(client.call("check-form"), FAILED);
    client.finish();
}

/// Maintenance of hosts, standby and a reload in the middle of a step apply to both versions.
#[test]
fn operations_during_a_step_apply_to_both_versions() {
    let (a, b) = (Host::warm(), Host::warm());
    let p = pair(&[&a, &b]);
    assert_eq!(p.post("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    assert!((0..12).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    assert_eq!(p.old.program.maintain("enter", 0), 200);
    wait_for("the maintenance", || p.new.ask("GET", "/status", "").1["out"] == json!(["s-00000000"]));
    let before = a.calls();
    assert!((0..40).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    assert_eq!(a.calls(), before);
    assert_eq!(p.new.maintain("exit", 0), 200);
    wait_for("the end of the maintenance", || p.old.program.ask("GET", "/status", "").1["out"] == json!([]));
    assert_eq!(p.old.program.operate("POST", "/standby", ""), 200);
    wait_for("standby", || p.new.ask("GET", "/status", "").1["standby"] == json!(true));
    assert_eq!(p.new.operate("POST", "/active", ""), 200);
    wait_for("the end of standby", || p.old.program.status() == 200);
    // A reload that makes a class stricter is sent to the candidate at once.
    let text = edited(&config(p.old.bus.address, &[&a, &b]), &[("rollout", json!({"version": "one"}))]);
    let listen = ("listen", json!(p.old.program.address.to_string()));
    p.old.program.reload(&edited(&text, &[listen, ("settings/Profiles/0/Effect", json!("unsafe"))]));
    wait_for("the new terms", || p.new.logged("class check-score: old unsafe") == 1);
    assert_eq!(p.view()["life"], json!("stepping"));
    let mut client = Client::new(&p.old.program, 500);
    assert!((0..12).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    client.finish();
}

/// A draining host gets no new calls from either version. Calls that run there may end.
#[test]
fn a_drain_applies_to_both_versions() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = pair(&[&a, &b]);
    assert_eq!(p.post("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let used = |h: &Host| h.calls();
    assert!((0..30).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    let drain = event(2, false, &[(0, a.address, 1)]);
    p.old.feed.write_all(&drain).unwrap();
    p.feed.write_all(&drain).unwrap();
    // Both versions know of the drain once a round of calls does not reach the host.
    wait_for("the drain", || {
        let before = used(&a);
        (0..20).all(|n| client.call(CLASSES[n % 3]) == SERVED) && used(&a) == before
    });
    let before = used(&a);
    assert!((0..60).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    assert_eq!(used(&a), before);
    assert!(p.count("passed") > 30);
    client.finish();
}

/// Both versions share the quota of load orders, whatever the share of calls.
#[test]
fn both_versions_share_one_quota_of_load_orders() {
    let cold = || Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(5)) });
    let (a, b) = (cold(), cold());
    let p = pair(&[&a, &b]);
    assert_eq!(p.post("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let calls: Vec<_> =
        (0..30).map(|n| client.send_frame("check-score", &format!("{:016x}", 0xf00 + n))).collect();
    let mut codes = BTreeSet::new();
    codes.extend(client.codes(&calls));
    let orders: usize = [&a, &b].iter().map(|h| h.seen.lock().unwrap().orders.len()).sum();
    assert!(orders <= 2 + 30 / 5, "{orders} orders for 30 calls");
    assert!(p.count("passed") > 5 && p.count("orders_granted") > 0, "{}", p.view());
    assert!(codes.is_subset(&BTreeSet::from([SERVED, REFUSED, FAILED])));
    client.finish();
}

// ------------------------------------------------------------------------------ completion and gates

/// A plan in the settings starts by itself. If its gates pass, it completes and the new version takes the clients.
#[test]
fn a_plan_in_the_settings_runs_to_completion() {
    let host = Host::warm();
    let gates = json!({"failed": 0.2, "refused": 0.2, "late": null, "slow": null, "need": "together"});
    let steps = json!([{"percent": 50, "least_calls": 60}, {"percent": 100, "least_calls": 60}]);
    let file = json!({"version": "one", "begin": "ready",
        "plan": {"name": "p", "step": steps, "gates": gates, "completes": true}});
    let mut p = pair_of(&[&host], &[("rollout", file)], &[]);
    let mut client = Client::new(&p.old.program, 0);
    wait_for("completion", || {
        assert_eq!(client.call("check-score"), SERVED);
        p.new.status() == 200
    });
    assert_eq!((p.view()["life"].clone(), p.post("back", "")), (json!("complete"), 409));
    assert_eq!(p.post("complete", ""), 200, "completing again succeeds");
    assert!((0..10).all(|_| client.call("send-mail") == SERVED), "connected clients are still served");
    p.old.program.terminate();
    assert!(p.old.program.ended().success());
    let mut client = Client::new(&p.new, 5000);
    assert!((0..10).all(|n| client.call(CLASSES[n % 3]) == SERVED));
    assert_eq!(p.new.ask("GET", "/rollout", "").1["role"], json!("alone"));
    client.finish();
}

/// A version whose calls fail where those of the old one do not is rolled back by its gates within 600 calls.
#[test]
fn gates_roll_a_failing_version_back() {
    let host = Host::warm();
    let p = pair(&[&host]);
    // The candidate uses another host than the old version, and that host fails.
    let broken = Host::start(Ways { does: Does::Answer("500"), work: ms(1), load: None });
    let plan = json!({"name": "bad", "step": [{"percent": 50}], "silent_ms": 1500}).to_string();
    assert_eq!(p.post("", &plan), 200);
    let mut feed = p.feed.try_clone().unwrap();
    feed.write_all(&event(2, false, &[(0, host.address, 2), (7, broken.address, 0)])).unwrap();
    wait_for("the other host", || p.new.ask("GET", "/status", "").0 != 0 && broken_is_used(&p, &broken));
    let mut client = Client::new(&p.old.program, 1000);
    let mut calls = 0;
    while p.view()["life"] == json!("stepping") {
        client.call("send-mail");
        calls += 1;
        assert!(calls < 600, "{}", p.view()["gates"]);
    }
    let history = p.view()["history"].to_string();
    assert!(history.contains("gate failed of"), "{history}");
    assert!((0..20).all(|_| client.call("send-mail") == SERVED), "the old version decides all calls");
    client.finish();
}

/// Sends 10 calls, and returns whether the candidate has used this host.
fn broken_is_used(p: &Pair, broken: &Host) -> bool {
    let mut client = Client::new(&p.old.program, 5000 + broken.calls() as u32);
    for _ in 0..10 {
        client.call("check-score");
    }
    broken.calls() > 0
}

/// Calls of the invoke front, synchronous and deferred, are decided by the candidate, and each has one answer.
#[test]
fn calls_of_the_invoke_front_are_rolled_out_too() {
    let host = Host::warm();
    let resolver = Resolver::start(&[&host]);
    let text = operator_file(resolver.address) + "\n[rollout]\nversion = \"one\"\n[rollout.plan]\nname = \"v2\"\n[[rollout.plan.step]]\npercent = 100\n";
    let old = Program::start(&text, true);
    wait_for("hosts", || old.status() == 200);
    let new = Program::start(
        &text.replace("listen = \"127.0.0.1:0\"", &format!("listen = \"{}\"", old.address)),
        true,
    );
    wait_for("the candidate", || old.ask("GET", "/rollout", "").1["candidate"]["caught_up"] == json!(true));
    assert_eq!(old.operate("POST", "/rollout", ""), 200, "the plan of the settings");
    let reply = old.http(&call("f1", "send-mail", &[], "m1"));
    assert_eq!((reply.status, &reply.body[..]), (200, &b"did m1"[..]));
    let reply = old.http(&call("f1", "send-mail", &["Prefer: respond-async"], "m2"));
    assert_eq!(reply.status, 202);
    assert_eq!(old.collect(reply.header("location").unwrap()).body, b"did m2");
    assert_eq!(old.ask("GET", "/rollout", "").1["counts"]["passed"], json!(2));
    assert_eq!((host.runs("m1"), host.runs("m2")), (1, 1));
    assert_eq!(new.ask("GET", "/rollout", "").1["role"], json!("candidate"));
    assert_eq!(new.operate("POST", "/rollout/back", ""), 409, "only the old version may roll back");
    assert_eq!(old.operate("POST", "/rollout/complete", ""), 200);
    wait_for("the clients", || new.status() == 200);
}
