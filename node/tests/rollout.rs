//! Gradual versions on real sockets: shares, the way back, and either process killed or stopped at each point.
//! Hosts count runs by the body of a call; every call here has a body of its own.

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
const WINDOW: i64 = 8_000_000;

// ------------------------------------------------------------------------------------------ the share

/// From 1% to 100% and back under mixed classes: who decides is exactly who the split names, every call has one
/// answer and one run, and a repeat under a key meets the version of its first try.
#[test]
fn the_share_is_exact_at_every_step_and_every_call_runs_once() {
    let (a, b) = (Host::warm(), Host::warm());
    let hosts = [&a, &b];
    let p = pair(&hosts);
    let mut split = Split::new("v2");
    let mut client = Client::new(&p.old.program, 0);
    assert_eq!(p.call("", &plan(&[1.0, 5.0, 25.0, 50.0, 100.0])), 200);
    let (mut passed, mut pinned) = (0, BTreeMap::new());
    for (i, percent) in [1.0, 5.0, 25.0, 50.0, 100.0, 0.0].into_iter().enumerate() {
        match percent {
            0.0 => assert_eq!(p.call("back", ""), 200),
            _ if i > 0 => assert_eq!(p.call("step", &format!("{{\"to\":{}}}", i + 1)), 200),
            _ => {}
        }
        split.set_share(Share::from_percent(percent));
        for n in 0..90 {
            let call = client.send(CLASSES[n % 3]);
            assert_eq!(client.code(call), SERVED);
            let keyed = n % 3 == 1;
            let (k, i) = (key(call), id(call));
            let version = split.decide(0, keyed.then_some((k.as_str(), WINDOW)), &i);
            passed += u64::from(version == Version::New);
            if keyed {
                pinned.insert(call, version);
            }
        }
        assert_eq!(p.count("passed"), passed, "at {percent}%");
    }
    for n in 0..client.next {
        assert_eq!(runs(&hosts, n), 1, "call {n}");
    }
    assert!(pinned.values().any(|v| *v == Version::New) && pinned.values().any(|v| *v == Version::Old));
    p.wait_life("back");
    let history = p.show()["history"].to_string();
    assert!(
        history.contains("an operator's call: step") && history.contains("an operator's call: back"),
        "{history}"
    );
    client.end();
}

/// Back while calls are in flight: they end where they are, the next is decided by the old version.
#[test]
fn back_lets_what_is_in_flight_end_where_it_is() {
    let host = slow(600);
    let p = pair(&[&host]).whole();
    let mut client = Client::new(&p.old.program, 0);
    let calls = [client.send_each(), client.send_each()].concat();
    wait_for("the calls", || host.calls() == 6);
    assert_eq!((p.call("back", ""), p.call("back", "")), (200, 200));
    assert_eq!(p.show()["life"], json!("going_back"));
    let after = client.send("send-mail");
    assert_eq!(client.codes(&calls), [SERVED; 6]);
    assert_eq!(client.code(after), SERVED);
    assert_eq!(p.count("passed"), 6);
    assert!((0..7).all(|n| runs(&[&host], n) == 1));
    p.wait_life("back");
    // And once more, with the same candidate.
    let p = p.whole();
    assert_eq!(client.one("send-mail"), SERVED);
    assert_eq!(p.count("passed"), 7);
    client.end();
}

/// A candidate withholds attempts, as one whose terms change under it does: these calls are refused, which is true, and it goes on
/// deciding the others. It told of their ends without having told of them, and was ended for that.
#[test]
fn a_candidate_that_withholds_an_attempt_goes_on() {
    let host = Host::warm();
    let p = pair_with(&[&host], &[], |text| Program::start_with_faults("attempt:EAGAIN:2:2", text, false));
    let p = p.whole();
    let mut client = Client::new(&p.old.program, 0);
    let codes: Vec<u8> = (0..9).map(|n| client.one(CLASSES[n % 3])).collect();
    let runs: Vec<u32> = (0..9).map(|n| runs(&[&host], n)).collect();
    assert_eq!(codes, [&[SERVED, REFUSED, REFUSED][..], &[SERVED; 6]].concat());
    assert_eq!(runs, [1, 0, 0, 1, 1, 1, 1, 1, 1]);
    assert_eq!((p.count("passed"), p.show()["life"].clone()), (9, json!("stepping")));
    client.end();
}

// ------------------------------------------------------------------- the candidate fails at each point

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Killed,
    Stopped,
}

fn fail(p: &mut Pair, how: End) {
    match how {
        End::Killed => p.new.kill(),
        End::Stopped => p.new.stop(true),
    }
}

/// Passed and not begun: what proves that is that no word of an attempt came. All are run by the old version.
#[rstest]
#[case(End::Killed)]
#[case(End::Stopped)]
fn calls_that_were_not_begun_run_with_the_old_version(#[case] how: End) {
    let host = Host::warm();
    let mut p = pair(&[&host]).whole();
    let mut client = Client::new(&p.old.program, 0);
    p.new.stop(true);
    let calls = client.send_each();
    wait_for("the calls", || p.count("passed") == 3);
    fail(&mut p, how);
    assert_eq!(client.codes(&calls), [SERVED; 3]);
    assert!(calls.iter().all(|n| runs(&[&host], *n) == 1));
    assert_eq!((p.count("run_anew"), p.count("failed_by_loss")), (3, 0));
    p.wait_life("back");
    assert_eq!(client.one("send-mail"), SERVED);
    client.end();
}

/// Told and not written: nobody can know that, so a mail is failed at once and never sent.
#[rstest]
#[case(End::Killed)]
#[case(End::Stopped)]
fn what_was_told_and_not_written_may_have_run(#[case] how: End) {
    let stuck = Stuck::start();
    let host = Host { address: stuck.address, ways: Host::warm().ways, seen: Default::default() };
    let patient = ("settings/Limits/ConnectTimeoutUs", json!(9_000_000));
    let mut p = pair_of(&[&host], &[patient], &[]).whole();
    let mut client = Client::new(&p.old.program, 0);
    let mail = client.send("send-mail");
    wait_for("the call", || p.new.ask("GET", "/rollout", "").1["calls_in"] == json!(1));
    fail(&mut p, how);
    assert_eq!(client.code(mail), FAILED);
    assert_eq!((p.count("run_anew"), p.count("failed_by_loss")), (0, 1));
    assert_eq!(stuck.heard(), 0);
    client.end();
}

/// Written, and at work on the host: a mail fails and does not run again; a keyed call and a read run again, as
/// their classes allow, in the same cell.
#[rstest]
#[case(End::Killed)]
#[case(End::Stopped)]
fn what_runs_with_a_lost_candidate_is_repeated_as_its_class_allows(#[case] how: End) {
    let host = slow(2200);
    let mut p = pair(&[&host]).whole();
    let mut client = Client::new(&p.old.program, 0);
    let calls = client.send_each();
    wait_for("the calls", || host.calls() == 3);
    host.ways.lock().unwrap().work = ms(1);
    fail(&mut p, how);
    assert_eq!(client.codes(&calls), [SERVED, SERVED, FAILED]);
    assert_eq!(calls.map(|n| runs(&[&host], n)), [2, 2, 1]);
    assert_eq!((p.count("run_anew"), p.count("failed_by_loss")), (2, 1));
    if how == End::Stopped {
        assert_eq!(
            p.new.ended().signal(),
            Some(9),
            "a stopped candidate is ended before its calls go elsewhere"
        );
    }
    client.end();
}

/// Answered by the host, and the answer not passed back: nobody has it, and the same holds.
#[test]
fn an_answer_that_was_not_passed_back_is_lost_with_its_candidate() {
    let host = slow(300);
    let mut p = pair(&[&host]).whole();
    let mut client = Client::new(&p.old.program, 0);
    let calls = client.send_each();
    wait_for("the calls", || host.calls() == 3);
    p.new.stop(true);
    wait_for("the runs", || calls.iter().all(|n| runs(&[&host], *n) == 1));
    std::thread::sleep(ms(400));
    p.new.kill();
    assert_eq!(client.codes(&calls), [SERVED, SERVED, FAILED]);
    assert_eq!(calls.map(|n| runs(&[&host], n)), [2, 2, 1]);
    client.end();
}

/// Before the hello and right after it: the old version does not notice, or notices and goes on.
#[test]
fn a_candidate_that_dies_at_its_start_harms_nobody() {
    let host = Host::warm();
    let mut p = pair(&[&host]);
    p.new.kill();
    wait_for("word of it", || p.show()["role"] == json!("alone"));
    assert_eq!(p.call("", &plan(&[50.0])), 409, "nobody is there");
    let mut client = Client::new(&p.old.program, 0);
    let guest = UnixStream::connect(meeting_place(p.old.program.address)).unwrap();
    drop(guest);
    assert_eq!(client.one("send-mail"), SERVED);
    client.end();
}

/// A stopped candidate holds up only what it was given; once it goes on, that is answered too, once each.
#[test]
fn a_slow_candidate_does_not_hold_up_what_stays_here() {
    let host = Host::warm();
    let p = pair(&[&host]);
    let patient = plan(&[50.0]).replace("1500", "30000");
    assert_eq!(p.call("", &patient), 200);
    let mut client = Client::new(&p.old.program, 0);
    let mut split = Split::new("v2");
    split.set_share(Share::from_percent(50.0));
    p.new.stop(true);
    let calls: Vec<_> = (0..30).map(|_| client.send("send-mail")).collect();
    let (stay, go): (Vec<_>, Vec<_>) =
        calls.iter().partition(|n| split.decide(0, None, &id(**n)) == Version::Old);
    assert!(stay.len() > 5 && go.len() > 5);
    assert_eq!(client.codes(&stay), vec![SERVED; stay.len()]);
    assert!(go.iter().all(|n| !client.answers.contains_key(n)));
    p.new.stop(false);
    assert_eq!(client.codes(&go), vec![SERVED; go.len()]);
    assert!(calls.iter().all(|n| runs(&[&host], *n) == 1));
    client.end();
}

/// Its time is up while its candidate sleeps: the holder answers, and a late word changes nothing.
#[test]
fn the_holder_answers_in_time_whatever_the_candidate_does() {
    let host = Host::warm();
    let p = pair(&[&host]);
    assert_eq!(p.call("", &plan(&[100.0]).replace("1500", "30000")), 200);
    let mut client = Client::new(&p.old.program, 0);
    p.new.stop(true);
    let n = client.next;
    client.next += 1;
    let frame = whole_call_frame(n + 1, [&id(n), "send-mail", "k", "f1"], 400, body(n).as_bytes());
    client.stream.write_all(&frame).unwrap();
    assert_eq!(client.code(n), FAILED);
    p.new.stop(false);
    assert_eq!(client.one("send-mail"), SERVED);
    assert_eq!(runs(&[&host], n), 0, "nobody waits for it any more");
    client.end();
}

// -------------------------------------------------------------------------------------- the holder fails

/// The old version dies: the new one serves on alone, with what it was told.
#[test]
fn the_new_version_serves_on_when_the_old_one_dies() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = pair(&[&a, &b]);
    assert_eq!(p.call("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    assert!((0..20).all(|_| client.one("check-score") == SERVED));
    assert_eq!(p.old.program.maintain("enter", 0), 200);
    assert_eq!(p.new.status(), 503, "a candidate takes no clients");
    let address = p.old.program.address;
    p.old.program.kill();
    wait_for("the new version", || p.new.status() == 200);
    let before = a.calls();
    let mut client =
        Client { stream: TcpStream::connect(address).unwrap(), next: 100, answers: BTreeMap::new() };
    client.stream.set_read_timeout(Some(LONG)).unwrap();
    assert!((0..20).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    assert_eq!(a.calls(), before, "out by hand, as the old one was told");
    assert_eq!(p.new.logged("the old version is gone, this one serves on alone"), 1);
    client.end();
}

/// Told to end in the middle of a step, the old version leaves its place to the new one and loses nothing.
#[test]
fn the_old_version_told_to_end_leaves_its_place() {
    let host = slow(300);
    let mut p = pair(&[&host]);
    assert_eq!(p.call("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let calls = [client.send_each(), client.send_each()].concat();
    wait_for("the calls", || host.calls() == 6);
    p.old.program.terminate();
    assert_eq!(client.codes(&calls), [SERVED; 6]);
    wait_for("the new version", || p.new.status() == 200);
    assert!(p.old.program.ended().success());
    assert_eq!(Client::new(&p.new, 50).one("send-mail"), SERVED);
    assert!((0..6).all(|n| runs(&[&host], n) == 1));
}

/// ... but one that was taken back does not get it.
#[test]
fn a_version_that_was_taken_back_is_ended_with_the_old_one() {
    let host = Host::warm();
    let mut p = pair(&[&host]).whole();
    assert_eq!(p.call("back", ""), 200);
    p.wait_life("back");
    p.old.program.terminate();
    assert!(p.old.program.ended().success());
    wait_for("its end", || TcpStream::connect(p.old.program.address).is_err());
    p.new.ended();
}

/// Told to end, the candidate brings what it has to its end.
#[test]
fn the_new_version_told_to_end_loses_nothing() {
    let host = slow(500);
    let mut p = pair(&[&host]).whole();
    let mut client = Client::new(&p.old.program, 0);
    let calls = client.send_each();
    wait_for("the calls", || host.calls() == 3);
    p.new.terminate();
    wait_for("word of it", || p.show()["life"] != json!("stepping"));
    let after = client.send("send-mail");
    assert_eq!(client.codes(&calls), [SERVED; 3]);
    assert_eq!(client.code(after), SERVED);
    assert!(p.new.ended().success());
    p.wait_life("back");
    assert_eq!(p.count("passed"), 3);
    client.end();
}

// ------------------------------------------------------------------------------------ strange company

/// What a stand-in candidate says once it has been let in.
fn strange(kind: &str) -> Vec<u8> {
    match kind {
        "garbage" => b"\x05\x00\x00\x00\xff\xff\xff\xff\xff".to_vec(),
        "half" => b"\x40\x00\x00\x00\x04\x01".to_vec(),
        "3gb" => [&0xc000_0000u32.to_le_bytes()[..], b"x"].concat(),
        // Word 14 is the holder's alone: take the clients.
        "turned" => b"\x01\x00\x00\x00\x0e".to_vec(),
        other => panic!("{other}"),
    }
}

/// Not a test by itself: run as a process of its own, since the old version ends what breaks the protocol.
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
        stream.write_all(&strange(&kind)).unwrap();
    }
    if kind == "garbage" || kind == "3gb" || kind == "turned" {
        // Whoever breaks the protocol is ended.
        std::thread::sleep(LONG);
    }
}

#[rstest]
#[case::garbage("garbage", Some(9))]
#[case::half_a_frame("half", None)]
#[case::three_gigabytes("3gb", Some(9))]
#[case::a_word_of_the_other_side("turned", Some(9))]
#[case::an_older_protocol("older", None)]
fn whoever_breaks_the_protocol_is_given_up(#[case] kind: &str, #[case] signal: Option<i32>) {
    let host = Host::warm();
    let bus = Bus::start();
    let text = edited(&config(bus.address, &[&host]), &[("rollout", json!({}))]);
    let old = Program::start(&text, false);
    let _feed = bus.greeted();
    wait_for("readiness", || old.status() == 200);
    let mut client = Client::new(&old, 0);
    assert_eq!(client.one("send-mail"), SERVED);
    let mut odd = Command::new(std::env::current_exe().unwrap());
    odd.args(["--exact", "stand_in_candidate", "--ignored"]).env("KIND", kind);
    odd.env("PLACE", meeting_place(old.address)).env("LISTEN", old.address.to_string());
    let status = odd.output().unwrap().status;
    if signal.is_some() {
        assert_eq!(status.signal(), signal, "{status}");
    }
    wait_for("word of it", || old.ask("GET", "/rollout", "").1["role"] == json!("alone"));
    assert!((0..5).all(|_| client.one("send-mail") == SERVED));
    assert_eq!(old.status(), 200);
    client.end();
}

/// A second new version during a rollout is turned away with the reason, and changes nothing.
#[test]
fn a_second_rollout_is_turned_away() {
    let host = Host::warm();
    let p = pair(&[&host]).whole();
    let text = edited(&config(p.old.bus.address, &[&host]), &[("rollout", json!({}))]);
    let text = edited(&text, &[("listen", json!(p.old.program.address.to_string()))]);
    let (status, said) = turned_down(&text, false);
    assert!(!status.success() && said.contains("a rollout is under way"), "{said}");
    assert_eq!(p.call("", &plan(&[5.0])), 409);
    assert_eq!((p.call("", &plan(&[100.0])), p.call("", "")), (200, 400));
    let mut client = Client::new(&p.old.program, 0);
    assert_eq!(client.one("send-mail"), SERVED);
    assert_eq!(p.count("passed"), 1);
}

/// Where the old version takes no part, the new one ends at once, or does a plain upgrade if its file says so.
#[test]
fn an_old_version_without_rollouts_is_not_overrun() {
    let host = Host::warm();
    let old = platform(&[&host]);
    wait_for("readiness", || old.program.status() == 200);
    let listen = ("listen", json!(old.program.address.to_string()));
    let text = edited(&config(old.bus.address, &[&host]), &[listen, ("rollout", json!({}))]);
    let (status, said) = turned_down(&text, false);
    assert!(!status.success() && said.contains("takes no part in a rollout"), "{said}");
    assert_eq!((old.program.status(), old.program.operate("GET", "/rollout", "")), (200, 404));
    let upgrade = edited(&text, &[("rollout", json!({"old_cannot": "upgrade"}))]);
    let new = Program::start(&upgrade, false);
    let (_, _feed) = old.bus.greeted();
    wait_for("a plain upgrade", || new.status() == 200);
    assert_eq!(Client::new(&new, 0).one("send-mail"), SERVED);
}

// ------------------------------------------------------------------------------------ one activator

/// Two versions disagree on a class: the stricter side binds in both.
#[test]
fn the_stricter_side_of_a_class_binds() {
    let host = Host::start(Ways { does: Does::HangUp, work: ms(1), load: None });
    let unsafe_there = ("settings/Profiles/0/Effect", json!("unsafe"));
    let p = pair_of(&[&host], &[], &[unsafe_there]);
    let told = p.show()["classes"].to_string();
    assert!(told.contains("class check-score: old safe") && told.contains("bound to unsafe"), "{told}");
    assert_eq!(p.old.program.logged("class check-score: old safe"), 1);
    let mut client = Client::new(&p.old.program, 0);
    let before = host.calls();
    assert_eq!(client.one("check-score"), FAILED, "it may have run, and is not repeated");
    assert_eq!(host.calls(), before + 1);
    let p = p.whole();
    assert_eq!(client.one("check-score"), FAILED);
    assert_eq!((host.calls(), p.count("passed")), (before + 2, 1));
    // Its own word again once the other is gone.
    drop(p.new);
    wait_for("word of it", || p.old.program.ask("GET", "/rollout", "").1["role"] == json!("alone"));
    client.one("check-score");
    assert!(host.calls() > before + 3, "a read is repeated");
}

/// A class that only one version knows stays there.
#[test]
fn a_class_that_only_one_version_knows_stays_there() {
    let host = Host::warm();
    let text = config(host.address, &[]);
    let mut profiles: Value = serde_json::from_str::<Value>(&text).unwrap()["settings"]["Profiles"].clone();
    profiles[0]["Name"] = json!("check-form");
    let p = pair_of(&[&host], &[], &[("settings/Profiles", profiles)]);
    let mut client = Client::new(&p.old.program, 0);
    assert_eq!(client.one("check-form"), FAILED, "nobody who decides knows it");
    let p = p.whole();
    assert_eq!([client.one("check-score"), client.one("send-mail")], [SERVED, SERVED]);
    assert_eq!(p.count("passed"), 1, "check-score stays with the old version");
    assert_eq!(client.one("check-form"), SERVED);
    assert_eq!(p.count("passed"), 2);
    assert_eq!(p.call("back", ""), 200);
    assert_eq!(client.one("check-form"), FAILED);
    client.end();
}

/// Out by hand, standby and a new configuration in the middle of a step reach both.
#[test]
fn what_operators_do_during_a_step_holds_for_both() {
    let (a, b) = (Host::warm(), Host::warm());
    let p = pair(&[&a, &b]);
    assert_eq!(p.call("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    assert!((0..12).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    assert_eq!(p.old.program.maintain("enter", 0), 200);
    wait_for("word of it", || p.new.ask("GET", "/status", "").1["out"] == json!(["s-00000000"]));
    let before = a.calls();
    assert!((0..40).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    assert_eq!(a.calls(), before);
    assert_eq!(p.new.maintain("exit", 0), 200);
    wait_for("word of it", || p.old.program.ask("GET", "/status", "").1["out"] == json!([]));
    assert_eq!(p.old.program.operate("POST", "/standby", ""), 200);
    wait_for("word of it", || p.new.ask("GET", "/status", "").1["standby"] == json!(true));
    assert_eq!(p.new.operate("POST", "/active", ""), 200);
    wait_for("word of it", || p.old.program.status() == 200);
    // Fewer attempts, and a class that becomes stricter: told to the other version at once.
    let text = edited(&config(p.old.bus.address, &[&a, &b]), &[("rollout", json!({"version": "one"}))]);
    let listen = ("listen", json!(p.old.program.address.to_string()));
    p.old.program.reload(&edited(&text, &[listen, ("settings/Profiles/0/Effect", json!("unsafe"))]));
    wait_for("word of it", || p.new.logged("class check-score: old unsafe") == 1);
    assert_eq!(p.show()["life"], json!("stepping"));
    let mut client = Client::new(&p.old.program, 500);
    assert!((0..12).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    client.end();
}

/// A host that drains gets nothing new from either after its time, whatever runs there may end.
#[test]
fn a_drain_holds_for_both() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = pair(&[&a, &b]);
    assert_eq!(p.call("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let used = |h: &Host| h.calls();
    assert!((0..30).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    let drain = event(2, false, &[(0, a.address, 1)]);
    p.old.feed.write_all(&drain).unwrap();
    p.feed.write_all(&drain).unwrap();
    // Both have heard of it once a round of calls passes it by.
    wait_for("word of it", || {
        let before = used(&a);
        (0..20).all(|n| client.one(CLASSES[n % 3]) == SERVED) && used(&a) == before
    });
    let before = used(&a);
    assert!((0..60).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    assert_eq!(used(&a), before);
    assert!(p.count("passed") > 30);
    client.end();
}

/// The ration of orders to load is one, at any share.
#[test]
fn both_versions_keep_one_ration_of_orders() {
    let cold = || Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(5)) });
    let (a, b) = (cold(), cold());
    let p = pair(&[&a, &b]);
    assert_eq!(p.call("", &plan(&[50.0])), 200);
    let mut client = Client::new(&p.old.program, 0);
    let calls: Vec<_> =
        (0..30).map(|n| client.send_frame("check-score", &format!("{:016x}", 0xf00 + n))).collect();
    let mut codes = BTreeSet::new();
    codes.extend(client.codes(&calls));
    let orders: usize = [&a, &b].iter().map(|h| h.seen.lock().unwrap().orders.len()).sum();
    assert!(orders <= 2 + 30 / 5, "{orders} orders for 30 calls");
    assert!(p.count("passed") > 5 && p.count("orders_granted") > 0, "{}", p.show());
    assert!(codes.is_subset(&BTreeSet::from([SERVED, REFUSED, FAILED])));
    client.end();
}

// ------------------------------------------------------------------------------------------ to the end

/// A plan of the file begins by itself, and with gates that hold it completes: the new version takes the clients.
#[test]
fn a_plan_of_the_file_goes_through_by_itself() {
    let host = Host::warm();
    let gates = json!({"failed": 0.2, "refused": 0.2, "late": null, "slow": null, "need": "together"});
    let steps = json!([{"percent": 50, "least_calls": 60}, {"percent": 100, "least_calls": 60}]);
    let file = json!({"version": "one", "begin": "ready",
        "plan": {"name": "p", "step": steps, "gates": gates, "completes": true}});
    let mut p = pair_of(&[&host], &[("rollout", file)], &[]);
    let mut client = Client::new(&p.old.program, 0);
    wait_for("completion", || {
        assert_eq!(client.one("check-score"), SERVED);
        p.new.status() == 200
    });
    assert_eq!((p.show()["life"].clone(), p.call("back", "")), (json!("complete"), 409));
    assert_eq!(p.call("complete", ""), 200, "a call repeated gets a yes");
    assert!((0..10).all(|_| client.one("send-mail") == SERVED), "the old one's clients are served on");
    p.old.program.terminate();
    assert!(p.old.program.ended().success());
    let mut client = Client::new(&p.new, 5000);
    assert!((0..10).all(|n| client.one(CLASSES[n % 3]) == SERVED));
    assert_eq!(p.new.ask("GET", "/rollout", "").1["role"], json!("alone"));
    client.end();
}

/// A version that fails where the old one does not is taken back by its gates, within the stated number of calls.
#[test]
fn a_bad_version_is_taken_back_by_its_gates() {
    let host = Host::warm();
    let p = pair(&[&host]);
    // It reaches another host than the old one does, and that one fails.
    let broken = Host::start(Ways { does: Does::Answer("500"), work: ms(1), load: None });
    let plan = json!({"name": "bad", "step": [{"percent": 50}], "silent_ms": 1500}).to_string();
    assert_eq!(p.call("", &plan), 200);
    let mut feed = p.feed.try_clone().unwrap();
    feed.write_all(&event(2, false, &[(0, host.address, 2), (7, broken.address, 0)])).unwrap();
    wait_for("the other host", || p.new.ask("GET", "/status", "").0 != 0 && broken_is_used(&p, &broken));
    let mut client = Client::new(&p.old.program, 1000);
    let mut calls = 0;
    while p.show()["life"] == json!("stepping") {
        client.one("send-mail");
        calls += 1;
        assert!(calls < 600, "{}", p.show()["gates"]);
    }
    let history = p.show()["history"].to_string();
    assert!(history.contains("gate failed of"), "{history}");
    assert!((0..20).all(|_| client.one("send-mail") == SERVED), "the old version decides again");
    client.end();
}

/// Sends calls until the candidate has gone to this host.
fn broken_is_used(p: &Pair, broken: &Host) -> bool {
    let mut client = Client::new(&p.old.program, 5000 + broken.calls() as u32);
    for _ in 0..10 {
        client.one("check-score");
    }
    broken.calls() > 0
}

/// The invoke front: calls that are waited for and deferred ones, each decided by the candidate, one answer each.
#[test]
fn the_invoke_front_rolls_out_the_same_way() {
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
    assert_eq!(old.operate("POST", "/rollout", ""), 200, "the file's plan");
    let reply = old.http(&call("f1", "send-mail", &[], "m1"));
    assert_eq!((reply.status, &reply.body[..]), (200, &b"did m1"[..]));
    let reply = old.http(&call("f1", "send-mail", &["Prefer: respond-async"], "m2"));
    assert_eq!(reply.status, 202);
    assert_eq!(old.collect(reply.header("location").unwrap()).body, b"did m2");
    assert_eq!(old.ask("GET", "/rollout", "").1["counts"]["passed"], json!(2));
    assert_eq!((host.runs("m1"), host.runs("m2")), (1, 1));
    assert_eq!(new.ask("GET", "/rollout", "").1["role"], json!("candidate"));
    assert_eq!(new.operate("POST", "/rollout/back", ""), 409, "the old one has the clients");
    assert_eq!(old.operate("POST", "/rollout/complete", ""), 200);
    wait_for("the clients", || new.status() == 200);
}
