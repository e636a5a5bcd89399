//! Activators that agree on settings, each a process of its own, under network faults, stopped and killed processes.

mod common;

use std::thread::sleep;

use common::links::*;
use common::*;
use rstest::rstest;
use serde_json::Value;

/// The lease of the settings in `ACCORD`. It is short enough for tests, and long enough that leases are renewed in time on a
/// busy machine.
const LEASE_MS: u64 = 1_500;

const ACCORD: &str = r#"
[accord]
voters = ["m0", "m1", "m2"]
lease_ms = 1500
period_ms = 60
patience_ms = 4000
functions_out = "functions"
[accord.document]
"class/check-score/attempts" = 4
[accord.floor]
"class/check-score/attempts" = 1
"class/check-score/effect" = "unsafe"
"#;

fn fleet() -> Fleet {
    let fleet = Fleet::start_with(3, ACCORD);
    wait_acting_on(&fleet, &[0, 1, 2], "one");
    fleet
}

fn view(fleet: &Fleet, at: usize) -> Value {
    let (status, reply) = fleet.programs[at].as_ref().expect("it runs").ask("GET", "/accord", "");
    assert_eq!(status, 200);
    reply
}

/// Waits until each of these activators acts on `what`: `floor`, `one` or `both`.
fn wait_acting_on(fleet: &Fleet, each: &[usize], what: &str) {
    for at in each {
        wait_for(&format!("m{at} on {what}"), || view(fleet, *at)["acting"]["on"] == what);
    }
}

/// Waits until each of the three activators has received lease grants from all three voters.
fn wait_all_voting(fleet: &Fleet) {
    let grants = |voter: &Value| voter["grants"] == true;
    for at in 0..3 {
        wait_for(&format!("three voters at m{at}"), || {
            view(fleet, at)["voters"]
                .as_array()
                .is_some_and(|voters| voters.iter().filter(|v| grants(v)).count() == 3)
        });
    }
}

/// Waits until all of these activators act on the same version with at least this number, and returns the version.
fn wait_agreed(fleet: &Fleet, each: &[usize], number: u64) -> Value {
    let version = |at: usize| view(fleet, at)["acting"]["version"].clone();
    wait_for("one version", || {
        let first = version(each[0]);
        first["number"].as_u64().is_some_and(|n| n >= number) && each.iter().all(|at| version(*at) == first)
    });
    version(each[0])
}

/// Posts a change of these keys to an activator, based on the version that it acts on.
fn propose(fleet: &Fleet, at: usize, set: &str) -> (u16, Value) {
    let base = acting_number(fleet, at).expect("a version");
    propose_on(fleet, at, base, set)
}

/// The number of the version that an activator acts on; `None` while it acts on two versions or on the floor.
fn acting_number(fleet: &Fleet, at: usize) -> Option<u64> {
    view(fleet, at)["acting"]["version"]["number"].as_u64()
}

fn propose_on(fleet: &Fleet, at: usize, base: u64, set: &str) -> (u16, Value) {
    let program = fleet.programs[at].as_ref().expect("it runs");
    program.ask("POST", "/accord", &format!(r#"{{"base":{base},"set":{set}}}"#))
}

/// Posts a change that must be accepted, and returns the number of the version that all three activators act on then.
fn apply(fleet: &Fleet, at: usize, set: &str) -> u64 {
    let before = view(fleet, at)["acting"]["version"]["number"].as_u64().expect("a version");
    let (status, reply) = propose(fleet, at, set);
    assert_eq!(status, 202, "{reply}");
    wait_agreed(fleet, &[0, 1, 2], before + 1)["number"].as_u64().expect("a number")
}

/// Sends a call of the class `check-score` to an activator, and returns the status.
fn call_status(fleet: &Fleet, at: usize) -> u16 {
    fleet.programs[at].as_ref().expect("it runs").http(&call("f", "check-score", &[], "x")).status
}

/// Sets the loss of datagrams, of 255, between an activator and the two others, in both directions.
fn set_loss(fleet: &Fleet, at: usize, loss: u8) {
    for other in (0..3).filter(|i| *i != at) {
        fleet.set_loss(at, other, loss);
        fleet.set_loss(other, at, loss);
    }
}

/// The versions that an activator logged that it acts on, in order.
fn acting_log(fleet: &Fleet, at: usize) -> Vec<String> {
    let lines = fleet.programs[at].as_ref().expect("it runs").lines();
    let acts = lines.iter().filter_map(|l| Some(l.split_once("accord: acts on ")?.1.to_string()));
    acts.collect()
}

#[test]
fn a_change_takes_effect_everywhere_after_acting_on_both_versions() {
    let fleet = fleet();
    let number = apply(&fleet, 1, r#"{"class/check-score/attempts":2,"list/functions/gone":true}"#);
    for at in 0..3 {
        let acts = acting_log(&fleet, at);
        let both = format!("both {} and {number}", number - 1);
        assert!(acts.contains(&both), "{acts:?}");
        assert!(acts.last().is_some_and(|last| last.starts_with(&format!("{number} "))), "{acts:?}");
        let refused = fleet.programs[at].as_ref().unwrap().http(&call("gone", "check-score", &[], "x"));
        assert_eq!((refused.status, call_status(&fleet, at)), (503, 200), "only listed functions fail");
    }
}

#[test]
fn an_isolated_activator_serves_on_the_floor_and_rejoins() {
    let fleet = fleet();
    set_loss(&fleet, 0, 255);
    wait_acting_on(&fleet, &[0], "floor");
    assert_eq!(call_status(&fleet, 0), 200, "calls are served on the floor");
    assert!(acting_log(&fleet, 0).last().is_some_and(|last| last.starts_with("the floor of ")));
    // The others accept changes without it once its lease has expired.
    let before = wait_agreed(&fleet, &[1, 2], 0)["number"].as_u64().unwrap();
    assert_eq!(propose(&fleet, 1, r#"{"class/check-score/aim_ms":1900}"#).0, 202);
    set_loss(&fleet, 0, 0);
    wait_agreed(&fleet, &[0, 1, 2], before + 1);
    assert_eq!(call_status(&fleet, 0), 200);
}

#[test]
fn an_activator_stopped_past_its_lease_acts_on_the_floor_before_serving() {
    let fleet = fleet();
    let stopped = fleet.programs[2].as_ref().unwrap();
    stopped.stop(true);
    sleep(ms(2 * LEASE_MS));
    let before = acting_log(&fleet, 2).len();
    // The request waits in the listener's backlog, and is accepted after the lease has expired.
    let waiting = std::thread::scope(|scope| {
        let asked = scope.spawn(|| stopped.http(&call("f", "check-score", &[], "x")).status);
        sleep(ms(100));
        stopped.stop(false);
        asked.join().unwrap()
    });
    assert_eq!(waiting, 200);
    let after = acting_log(&fleet, 2);
    assert!(after[before].starts_with("the floor of "), "the floor must come first: {after:?}");
    wait_agreed(&fleet, &[0, 1, 2], 0);
}

#[test]
fn killing_a_proposer_leaves_the_same_version_everywhere() {
    let mut fleet = fleet();
    // If another voter did not grant leases yet, the restarted proposer would be the second voter of three without state, and
    // those two could found the cluster anew.
    wait_all_voting(&fleet);
    let before = wait_agreed(&fleet, &[0, 1, 2], 0)["number"].as_u64().unwrap();
    assert_eq!(propose(&fleet, 0, r#"{"class/check-score/attempts":3}"#).0, 202);
    fleet.process(0).kill();
    fleet.programs[0] = None;
    // The change may or may not be in force, but all activators agree on which. The next change is accepted.
    fleet.start(0);
    let now = wait_agreed(&fleet, &[0, 1, 2], 0)["number"].as_u64().unwrap();
    assert!(now == before || now == before + 1, "{before} {now}");
    wait_for("the next change", || try_propose(&fleet, 1, r#"{"class/check-score/aim_ms":1800}"#) == 202);
    wait_agreed(&fleet, &[0, 1, 2], now + 1);
}

#[test]
fn restarted_voters_agree_again_and_serve_calls_meanwhile() {
    let mut fleet = fleet();
    apply(&fleet, 0, r#"{"class/check-score/attempts":2}"#);
    for at in 0..3 {
        fleet.process(at).kill();
        fleet.programs[at] = None;
    }
    (0..3).for_each(|at| fleet.start(at));
    for at in 0..3 {
        wait_for("hosts", || call_status(&fleet, at) == 200);
        let acts = acting_log(&fleet, at);
        assert!(acts[0].starts_with("the floor of "), "not on the floor at first: {acts:?}");
    }
    wait_agreed(&fleet, &[0, 1, 2], 0);
}

#[test]
fn an_agreed_host_exclusion_holds_everywhere_and_overrides_maintenance_exit() {
    let id = "h0._script-host._tcp.hosts.test.";
    // The floor must list each host that a document may exclude, so that an isolated activator excludes it too.
    let fleet = Fleet::start_with(3, &format!("{ACCORD}\"out/{id}\" = true\n"));
    wait_acting_on(&fleet, &[0, 1, 2], "one");
    (0..3).for_each(|at| wait_for("hosts", || call_status(&fleet, at) == 200));
    let (status, reply) = propose(&fleet, 0, r#"{"out/another":true}"#);
    assert!(status == 400 && reply.to_string().contains("out/another: stricter than the floor"), "{reply}");
    apply(&fleet, 0, &format!(r#"{{"out/{id}":true}}"#));
    assert!((0..3).all(|at| call_status(&fleet, at) != 200), "there is no other host");
    let program = fleet.programs[0].as_ref().unwrap();
    assert_eq!(program.operate("POST", "/maintenance/exit", &format!(r#"{{"host":"{id}"}}"#)), 200);
    assert_ne!(call_status(&fleet, 0), 200, "the agreed exclusion still holds");
}

#[test]
fn a_reloaded_file_is_checked_against_the_version_in_force() {
    let fleet = fleet();
    apply(&fleet, 0, r#"{"class/send-mail/aim_ms":1400}"#);
    let (program, file) = (fleet.programs[0].as_ref().unwrap(), fleet.file(0));
    program.reload(&file.replacen("name = \"send-mail\"", "name = \"send-mails\"", 1));
    let problem = "the old configuration is kept: accord: in force is class/send-mail/aim_ms: the file";
    wait_for("the rejected reload", || program.logged(problem) > 0);
    // A change outside [accord] keeps the agreement state and the version.
    program.reload(&file.replacen("aim_ms = 2000", "aim_ms = 1900", 1));
    wait_for("the reload", || program.logged("configuration read again") == 1);
    assert_eq!((view(&fleet, 0)["acting"]["on"].as_str(), acting_log(&fleet, 0).len()), (Some("one"), 4));
    // A change of [accord] restarts the agreement on the floor. The floor may be over between two queries, so check the log.
    let before = acting_log(&fleet, 0).len();
    program.reload(&file.replace("period_ms = 60", "period_ms = 70"));
    wait_for("the restart on the floor", || {
        acting_log(&fleet, 0)[before..].iter().any(|act| act.starts_with("the floor"))
    });
    wait_agreed(&fleet, &[0, 1, 2], 0);
    program.reload(&file[..file.find("[accord]").unwrap()]);
    wait_for("the end of the agreement", || program.operate("GET", "/accord", "") == 404);
    assert_eq!(call_status(&fleet, 0), 200);
}

#[test]
fn in_an_upgrade_the_new_process_starts_on_the_floor() {
    let mut fleet = fleet();
    let old = fleet.programs[0].take().expect("it runs");
    let here = format!("listen = \"{}\"", old.address);
    let text = fleet.file(0).replacen("listen = \"127.0.0.1:0\"", &here, 1);
    fleet.programs[0] = Some(Program::start(&text, true));
    wait_for("the new process on the floor", || {
        acting_log(&fleet, 0).first().is_some_and(|first| first.starts_with("the floor"))
    });
    wait_agreed(&fleet, &[0, 1, 2], 0);
    // The old process no longer takes part, so it acts on the version only until its lease expires.
    let last = || old.lines().iter().rfind(|l| l.contains("accord: acts on ")).cloned().unwrap_or_default();
    wait_for("the old process on the floor", || last().contains("the floor of"));
    assert_eq!(call_status(&fleet, 0), 200);
}

#[test]
fn each_activator_enforces_its_share_of_fleet_limits() {
    let file = "functions_out = \"functions\"\n";
    let more = ACCORD.replace(file, "") + "\"tenant/kouterzorg/quota_milli\" = 0\n\"limit/open\" = 0\n";
    let fleet = Fleet::start_with(3, &more);
    wait_acting_on(&fleet, &[0, 1, 2], "one");
    let call = call("f", "check-score", &["Wheellink-Tenant: kouterzorg"], "x");
    let served = |n: usize| {
        let program = fleet.programs[0].as_ref().unwrap();
        (0..n).filter(|_| program.http(&call).status == 200).count()
    };
    wait_for("hosts", || served(1) == 1);
    // A quota of one call in 10 s for the fleet is one in 30 s for each of three activators.
    apply(&fleet, 1, r#"{"tenant/kouterzorg/quota_milli":100}"#);
    assert_eq!(served(5), 1);
    assert_eq!(
        view(&fleet, 0)["limits"]["tenants_per_s"]["kouterzorg"].as_f64().map(|x| x < 0.034),
        Some(true)
    );
    apply(&fleet, 1, r#"{"limit/open":2}"#);
    assert_eq!((served(1), call_status(&fleet, 0)), (0, 503), "2 / 3 rounds down to 0");
}

#[test]
fn agreed_drafts_override_the_file_and_on_the_floor_the_file_alone_applies() {
    let drafts =
        "[drafts]\nstart = \"1:2\"\ntable = { \"check-score/0\" = \"1:1\", \"check-score/1\" = \"1:3\" }\n";
    let fleet = Fleet::start_with(3, &format!("{drafts}{ACCORD}"));
    wait_acting_on(&fleet, &[0, 1, 2], "one");
    let table = |at: usize| fleet.programs[at].as_ref().unwrap().ask("GET", "/drafts", "").1["table"].clone();
    let file = serde_json::json!({"check-score/0": "1:1", "check-score/1": "1:3"});
    assert!((0..3).all(|at| table(at) == file));
    apply(&fleet, 2, r#"{"draft/check-score/0":"1:5","draft/send-mail/2":"0:0"}"#);
    let merged = serde_json::json!({"check-score/0": "1:5", "check-score/1": "1:3", "send-mail/2": "0:0"});
    (0..3).for_each(|at| assert_eq!(table(at), merged));
    set_loss(&fleet, 1, 255);
    wait_acting_on(&fleet, &[1], "floor");
    assert_eq!(table(1), file);
}

/// Five activators. The first four may vote, and the first three are voters.
fn five_members() -> Fleet {
    let spares = "lease_ms = 1500\nmay_vote = [\"m0\", \"m1\", \"m2\", \"m3\"]";
    let fleet = Fleet::start_with(5, &ACCORD.replace("lease_ms = 1500", spares));
    wait_acting_on(&fleet, &[0, 1, 2, 3, 4], "one");
    fleet
}

fn voter_names(fleet: &Fleet, at: usize) -> Vec<String> {
    let reply = view(fleet, at);
    let mut names: Vec<String> =
        reply["voters"].as_array().unwrap().iter().map(|v| v["name"].as_str().unwrap().into()).collect();
    names.sort_unstable();
    names
}

fn kill(fleet: &mut Fleet, at: usize) {
    fleet.process(at).kill();
    fleet.programs[at] = None;
}

#[test]
fn after_a_dead_voter_is_replaced_a_second_old_voter_may_die() {
    let mut fleet = five_members();
    // The activator m4 is isolated until both old voters are dead.
    for other in 0..4 {
        fleet.set_loss(4, other, 255);
        fleet.set_loss(other, 4, 255);
    }
    wait_acting_on(&fleet, &[4], "floor");
    kill(&mut fleet, 0);
    wait_acting_on(&fleet, &[1, 2, 3], "one");
    let base = view(&fleet, 3)["acting"]["version"]["number"].as_u64().unwrap();
    let post = |fleet: &Fleet, body: &str| fleet.programs[3].as_ref().unwrap().ask("POST", "/accord", body);
    let (status, reply) = post(&fleet, &format!(r#"{{"base":{base},"set":{{"voter/m4":true}}}}"#));
    assert!(status == 400 && reply.to_string().contains("may_vote"), "{reply}");
    let change = format!(r#"{{"base":{base},"set":{{"voter/m3":true,"gone/m0":true}},"drop":["voter/m0"]}}"#);
    let (status, reply) = post(&fleet, &change);
    assert_eq!(status, 202, "{reply}");
    wait_agreed(&fleet, &[1, 2, 3], base + 1);
    assert_eq!(voter_names(&fleet, 1), ["m1", "m2", "m3"]);
    assert!(view(&fleet, 1)["voters_to_come"].is_null());
    // A second old voter dies for good. Only the new voter list counts now.
    kill(&mut fleet, 1);
    wait_for("a change", || try_propose(&fleet, 2, r#"{"class/check-score/attempts":2}"#) == 202);
    wait_agreed(&fleet, &[2, 3], base + 2);
    assert_eq!(call_status(&fleet, 2), 200);
    // The isolated activator is connected to m3 again, reaches no live voter that it knows, and learns the new list.
    assert_eq!(voter_names(&fleet, 4), ["m0", "m1", "m2"]);
    fleet.set_loss(3, 4, 0);
    fleet.set_loss(4, 3, 0);
    wait_for("the new voters", || voter_names(&fleet, 4) == ["m1", "m2", "m3"]);
    fleet.set_loss(2, 4, 0);
    fleet.set_loss(4, 2, 0);
    wait_agreed(&fleet, &[2, 3, 4], base + 2);
}

fn try_propose(fleet: &Fleet, at: usize, set: &str) -> u16 {
    acting_number(fleet, at).map_or(0, |base| propose_on(fleet, at, base, set).0)
}

#[rstest]
#[case::base(r#"{"base":99999,"set":{"class/check-score/attempts":2}}"#, 409, "in force")]
#[case::key(
    r#"{"base":BASE,"set":{"class/check-score/tries":2}}"#,
    400,
    "class/check-score/tries: no such key"
)]
#[case::value(
    r#"{"base":BASE,"set":{"class/check-score/attempts":0}}"#,
    400,
    "class/check-score/attempts: 0"
)]
#[case::class(r#"{"base":BASE,"set":{"class/check-scores/attempts":1}}"#, 400, "no class check-scores")]
#[case::empty(r#"{"base":BASE,"set":{}}"#, 400, "changes nothing")]
#[case::not_json("a change", 400, "the body")]
fn an_invalid_change_changes_nothing(#[case] body: &str, #[case] wanted: u16, #[case] reason: &str) {
    let fleet = fleet();
    let before = view(&fleet, 0)["acting"].clone();
    let base = before["version"]["number"].to_string();
    let (status, reply) =
        fleet.programs[0].as_ref().unwrap().ask("POST", "/accord", &body.replace("BASE", &base));
    assert!(status == wanted && reply.to_string().contains(reason), "{status} {reply}");
    assert_eq!(view(&fleet, 0)["acting"], before);
}

#[rstest]
#[case::members("[accord]\nvoters = [\"a\", \"b\", \"c\"]", false, "it needs [members]")]
#[case::even("[accord]\nvoters = [\"a\", \"b\"]", true, "accord.voters: 2 names")]
#[case::too_few("[accord]\nvoters = [\"a\"]", true, "accord.voters: 1 names, 3 to 9")]
#[case::unknown_name(
    "[accord]\nvoters = [\"a\", \"b\", \"x\"]",
    true,
    "accord.voters: x is the name of no member"
)]
#[case::may_vote(
    "[accord]\nvoters = [\"a\", \"b\", \"c\"]\nmay_vote = [\"a\", \"b\"]",
    true,
    "accord.may_vote: the voter c is missing"
)]
#[case::lease("[accord]\nvoters = [\"a\", \"b\", \"c\"]\nlease_ms = 100", true, "accord.lease_ms")]
#[case::unknown_field("[accord]\nvoters = [\"a\", \"b\", \"c\"]\nleases = 1", true, "unknown field")]
#[case::class(
    "[accord]\nvoters = [\"a\", \"b\", \"c\"]\n[accord.document]\n\"class/none/aim_ms\" = 5",
    true,
    "accord.document: class/none/aim_ms: the file of this activator has no class none"
)]
#[case::floor(
    "[accord]\nvoters = [\"a\", \"b\", \"c\"]\n[accord.document]\n\"limit/open\" = 5",
    true,
    "accord.floor: limit/open"
)]
#[case::aim(
    "[accord]\nvoters = [\"a\", \"b\", \"c\"]\n[accord.document]\n\"class/check-score/give_up_ms\" = 5",
    true,
    "class/check-score/give_up_ms: it is below aim_ms"
)]
fn invalid_settings_are_rejected(#[case] setup: &str, #[case] members: bool, #[case] wanted: &str) {
    let other = |(n, port)| format!("[[members.other]]\nname = \"{n}\"\naddress = \"127.0.0.1:{port}\"");
    let others = [("b", 9), ("c", 10)].map(other).join("\n");
    let watched = format!("[members]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\n{others}");
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let text = format!("{file}\n{}\n{setup}\n", if members { watched } else { String::new() });
    let (status, reply) = turned_down(&text, true);
    assert!(!status.success() && reply.contains(wanted), "{reply}");
}

#[test]
fn without_accord_settings_the_route_is_not_found() {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    assert_eq!(program.operate("GET", "/accord", ""), 404);
    assert_eq!(program.operate("POST", "/accord", r#"{"base":1}"#), 404);
}

/// A member that starts with a smaller document fetches the others' document of 100,000 entries over the network. Meanwhile
/// calls run at all members, the fetching member is stopped past its lease and continued, and the list is changed.
#[test]
fn a_list_of_100_000_entries_is_fetched_while_calls_run_and_a_member_stalls() {
    const ENTRIES: usize = 100_000;
    let entries: Vec<String> = (0..ENTRIES).map(|i| format!("\"a{i:06}\"")).collect();
    let document = format!("[accord.document]\nlist.functions = [{}]\n", entries.join(", "));
    let more = ACCORD.replace("[accord.document]\n", &document);
    let mut fleet = Fleet::start_with(3, &more);
    wait_acting_on(&fleet, &[0, 1, 2], "one");
    for at in 0..3 {
        wait_for("hosts", || call_status(&fleet, at) == 200);
    }
    // Its file lacks the list and it has no other state, so the whole list comes over the network.
    fleet.process(2).kill();
    let small = fleet.file(2).replace(&format!("list.functions = [{}]\n", entries.join(", ")), "");
    fleet.programs[2] = Some(Program::start(&small, true));
    wait_for("hosts", || call_status(&fleet, 2) == 200);
    let program = fleet.programs[2].as_ref().expect("it runs");
    let fetching = || view(&fleet, 2)["fetched"]["bytes"].as_u64().is_some_and(|bytes| bytes > 0);
    let complete = |at: usize| view(&fleet, at)["entries"].as_u64() >= Some(ENTRIES as u64);
    wait_for("part of the list", || fetching() || complete(2));
    let (mut calls, before) = (0, wait_agreed(&fleet, &[0, 1], 0)["number"].as_u64().expect("a number"));
    let mut call_all = |each: &[usize]| {
        for at in each {
            assert_eq!(call_status(&fleet, *at), 200, "every call is served");
            calls += 1;
        }
    };
    call_all(&[0, 1, 2]);
    program.stop(true);
    (0..20).for_each(|_| call_all(&[0, 1]));
    sleep(ms(2 * LEASE_MS));
    program.stop(false);
    wait_for("the whole list", || {
        call_all(&[0, 1, 2]);
        (0..3).all(complete)
    });
    let (status, reply) =
        propose(&fleet, 0, r#"{"list/functions/gone":true,"class/check-score/attempts":2}"#);
    assert_eq!(status, 202, "{reply}");
    wait_for("the change", || {
        call_all(&[0, 1, 2]);
        (0..3).all(|at| view(&fleet, at)["acting"]["version"]["number"].as_u64() > Some(before))
    });
    assert!(calls > 40);
    for at in 0..3 {
        let program = fleet.programs[at].as_ref().expect("it runs");
        for name in ["a000007", "a099999", "gone"] {
            assert_eq!(program.http(&call(name, "check-score", &[], "x")).status, 503, "m{at} serves {name}");
        }
    }
}
