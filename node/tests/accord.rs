//! Several activators that agree on settings, as processes of their own, with faults between and in them.

mod common;

use std::thread::sleep;

use common::links::*;
use common::*;
use rstest::rstest;
use serde_json::Value;

/// Short enough for tests, long enough that a busy machine keeps a lease.
const LEASE: u64 = 1_500;

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
    acts_on(&fleet, &[0, 1, 2], "one");
    fleet
}

fn show(fleet: &Fleet, at: usize) -> Value {
    let (status, said) = fleet.programs[at].as_ref().expect("it runs").ask("GET", "/accord", "");
    assert_eq!(status, 200);
    said
}

/// Waits until each of these acts on `floor`, `one` or `both`.
fn acts_on(fleet: &Fleet, each: &[usize], what: &str) {
    for at in each {
        wait_for(&format!("m{at} on {what}"), || show(fleet, *at)["acting"]["on"] == what);
    }
}

/// Waits until each of the three has heard all three voters grant leases.
fn all_vote(fleet: &Fleet) {
    let grants = |voter: &Value| voter["grants"] == true;
    for at in 0..3 {
        wait_for(&format!("three voters at m{at}"), || {
            show(fleet, at)["voters"]
                .as_array()
                .is_some_and(|voters| voters.iter().filter(|v| grants(v)).count() == 3)
        });
    }
}

/// Waits until all of these act on one version of at least this number, and says which.
fn agreed(fleet: &Fleet, each: &[usize], number: u64) -> Value {
    let version = |at: usize| show(fleet, at)["acting"]["version"].clone();
    wait_for("one version", || {
        let first = version(each[0]);
        first["number"].as_u64().is_some_and(|n| n >= number) && each.iter().all(|at| version(*at) == first)
    });
    version(each[0])
}

/// Changes these keys at one of them, on whatever is in force.
fn change(fleet: &Fleet, at: usize, set: &str) -> (u16, Value) {
    let base = show(fleet, at)["acting"]["version"]["number"].as_u64().expect("a version");
    let program = fleet.programs[at].as_ref().expect("it runs");
    program.ask("POST", "/accord", &format!(r#"{{"base":{base},"set":{set}}}"#))
}

/// A change that is taken: the number that all act on then.
fn changed(fleet: &Fleet, at: usize, set: &str) -> u64 {
    let before = show(fleet, at)["acting"]["version"]["number"].as_u64().expect("a version");
    let (status, said) = change(fleet, at, set);
    assert_eq!(status, 202, "{said}");
    agreed(fleet, &[0, 1, 2], before + 1)["number"].as_u64().expect("a number")
}

/// Serves a call of this class there: the status.
fn serves(fleet: &Fleet, at: usize) -> u16 {
    fleet.programs[at].as_ref().expect("it runs").http(&call("f", "check-score", &[], "x")).status
}

fn cut(fleet: &Fleet, one: usize, loss: u8) {
    for other in (0..3).filter(|i| *i != one) {
        fleet.set_loss(one, other, loss);
        fleet.set_loss(other, one, loss);
    }
}

/// What each logged of what it acts on, in order, without what repeats.
fn acts(fleet: &Fleet, at: usize) -> Vec<String> {
    let lines = fleet.programs[at].as_ref().expect("it runs").lines();
    let acts = lines.iter().filter_map(|l| Some(l.split_once("accord: acts on ")?.1.to_string()));
    acts.collect()
}

#[test]
fn a_change_is_in_force_at_all_and_goes_through_both() {
    let fleet = fleet();
    let number = changed(&fleet, 1, r#"{"class/check-score/attempts":2,"list/functions/gone":true}"#);
    for at in 0..3 {
        let acts = acts(&fleet, at);
        let both = format!("both {} and {number}", number - 1);
        assert!(acts.contains(&both), "{acts:?}");
        assert!(acts.last().is_some_and(|last| last.starts_with(&format!("{number} "))), "{acts:?}");
        let refused = fleet.programs[at].as_ref().unwrap().http(&call("gone", "check-score", &[], "x"));
        assert_eq!((refused.status, serves(&fleet, at)), (503, 200), "the list is in force");
    }
}

#[test]
fn one_that_is_cut_off_falls_to_the_floor_serves_on_and_comes_back() {
    let fleet = fleet();
    cut(&fleet, 0, 255);
    acts_on(&fleet, &[0], "floor");
    assert_eq!(serves(&fleet, 0), 200, "it serves on");
    assert!(acts(&fleet, 0).last().is_some_and(|last| last.starts_with("the floor of ")));
    // The others go on without it, once its lease is over.
    let before = agreed(&fleet, &[1, 2], 0)["number"].as_u64().unwrap();
    assert_eq!(change(&fleet, 1, r#"{"class/check-score/aim_ms":1900}"#).0, 202);
    cut(&fleet, 0, 0);
    agreed(&fleet, &[0, 1, 2], before + 1);
    assert_eq!(serves(&fleet, 0), 200);
}

#[test]
fn one_that_was_stopped_over_its_lease_falls_before_it_does_anything() {
    let fleet = fleet();
    let stopped = fleet.programs[2].as_ref().unwrap();
    // Soft and hard at once; the host knows by the number of attempts what was obeyed.
    stopped.stop(true);
    sleep(ms(2 * LEASE));
    let before = acts(&fleet, 2).len();
    // This waits for it in the queue of its listener: it is looked at after the lease.
    let waiting = std::thread::scope(|scope| {
        let asked = scope.spawn(|| stopped.http(&call("f", "check-score", &[], "x")).status);
        sleep(ms(100));
        stopped.stop(false);
        asked.join().unwrap()
    });
    assert_eq!(waiting, 200);
    let after = acts(&fleet, 2);
    assert!(after[before].starts_with("the floor of "), "first of all: {after:?}");
    agreed(&fleet, &[0, 1, 2], 0);
}

#[test]
fn a_proposer_that_is_killed_leaves_one_version_to_all() {
    let mut fleet = fleet();
    // With one that does not vote yet, the killed one's next life would be the second of three, and the two may found anew.
    all_vote(&fleet);
    let before = agreed(&fleet, &[0, 1, 2], 0)["number"].as_u64().unwrap();
    assert_eq!(change(&fleet, 0, r#"{"class/check-score/attempts":3}"#).0, 202);
    fleet.process(0).kill();
    fleet.programs[0] = None;
    // It came into force or not, and either is the same for both; then the next change goes through.
    fleet.start(0);
    let now = agreed(&fleet, &[0, 1, 2], 0)["number"].as_u64().unwrap();
    assert!(now == before || now == before + 1, "{before} {now}");
    wait_for("the next change", || change(&fleet, 1, r#"{"class/check-score/aim_ms":1800}"#).0 == 202);
    agreed(&fleet, &[0, 1, 2], now + 1);
}

#[test]
fn voters_that_are_all_restarted_agree_again_and_serve_meanwhile() {
    let mut fleet = fleet();
    changed(&fleet, 0, r#"{"class/check-score/attempts":2}"#);
    for at in 0..3 {
        fleet.process(at).kill();
        fleet.programs[at] = None;
    }
    (0..3).for_each(|at| fleet.start(at));
    for at in 0..3 {
        wait_for("hosts", || serves(&fleet, at) == 200);
        let acts = acts(&fleet, at);
        assert!(acts[0].starts_with("the floor of "), "nothing is known and nothing granted: {acts:?}");
    }
    agreed(&fleet, &[0, 1, 2], 0);
}

#[test]
fn a_host_that_is_out_as_agreed_is_out_everywhere_and_by_hand_besides() {
    let id = "h0._script-host._tcp.hosts.test.";
    // What a document may ever have out stands in the floor: one that is cut off must keep to it too.
    let fleet = Fleet::start_with(3, &format!("{ACCORD}\"out/{id}\" = true\n"));
    acts_on(&fleet, &[0, 1, 2], "one");
    (0..3).for_each(|at| wait_for("hosts", || serves(&fleet, at) == 200));
    let (status, said) = change(&fleet, 0, r#"{"out/another":true}"#);
    assert!(status == 400 && said.to_string().contains("out/another: stricter than the floor"), "{said}");
    changed(&fleet, 0, &format!(r#"{{"out/{id}":true}}"#));
    assert!((0..3).all(|at| serves(&fleet, at) != 200), "there is no other host");
    let program = fleet.programs[0].as_ref().unwrap();
    assert_eq!(program.operate("POST", "/maintenance/exit", &format!(r#"{{"host":"{id}"}}"#)), 200);
    assert_ne!(serves(&fleet, 0), 200, "what is agreed stands against what is said by hand");
}

#[test]
fn a_file_that_is_read_again_is_held_to_what_is_in_force() {
    let fleet = fleet();
    changed(&fleet, 0, r#"{"class/send-mail/aim_ms":1400}"#);
    let (one, whole) = (fleet.programs[0].as_ref().unwrap(), fleet.file(0));
    one.reload(&whole.replacen("name = \"send-mail\"", "name = \"send-mails\"", 1));
    let problem = "the old configuration is kept: accord: in force is class/send-mail/aim_ms: the file";
    wait_for("word of it", || one.logged(problem) > 0);
    // Another aim in the file: the same life, the same version.
    one.reload(&whole.replacen("aim_ms = 2000", "aim_ms = 1900", 1));
    wait_for("word of it", || one.logged("configuration read again") == 1);
    assert_eq!((show(&fleet, 0)["acting"]["on"].as_str(), acts(&fleet, 0).len()), (Some("one"), 4));
    // Another lease: another life, which begins on the floor and comes back, maybe between two looks.
    let had = acts(&fleet, 0).len();
    one.reload(&whole.replace("period_ms = 60", "period_ms = 70"));
    wait_for("a new life", || acts(&fleet, 0)[had..].iter().any(|act| act.starts_with("the floor")));
    agreed(&fleet, &[0, 1, 2], 0);
    one.reload(&whole[..whole.find("[accord]").unwrap()]);
    wait_for("its end", || one.operate("GET", "/accord", "") == 404);
    assert_eq!(serves(&fleet, 0), 200);
}

#[test]
fn in_an_upgrade_the_new_process_begins_on_the_floor() {
    let mut fleet = fleet();
    let old = fleet.programs[0].take().expect("it runs");
    let here = format!("listen = \"{}\"", old.address);
    let text = fleet.file(0).replacen("listen = \"127.0.0.1:0\"", &here, 1);
    fleet.programs[0] = Some(Program::start(&text, true));
    wait_for("the new one", || acts(&fleet, 0).first().is_some_and(|first| first.starts_with("the floor")));
    agreed(&fleet, &[0, 1, 2], 0);
    // Without its voice the old one keeps to its lease, and not longer.
    let last = || old.lines().iter().rfind(|l| l.contains("accord: acts on ")).cloned().unwrap_or_default();
    wait_for("the old one's end of lease", || last().contains("the floor of"));
    assert_eq!(serves(&fleet, 0), 200);
}

#[test]
fn caps_of_the_fleet_are_kept_by_each_ones_share() {
    let file = "functions_out = \"functions\"\n";
    let more = ACCORD.replace(file, "") + "\"tenant/kouterzorg/quota_milli\" = 0\n\"limit/open\" = 0\n";
    let fleet = Fleet::start_with(3, &more);
    acts_on(&fleet, &[0, 1, 2], "one");
    let call = call("f", "check-score", &["Wheellink-Tenant: kouterzorg"], "x");
    let served = |n: usize| {
        let one = fleet.programs[0].as_ref().unwrap();
        (0..n).filter(|_| one.http(&call).status == 200).count()
    };
    wait_for("hosts", || served(1) == 1);
    // A call in ten seconds for the whole fleet is one in thirty for each.
    changed(&fleet, 1, r#"{"tenant/kouterzorg/quota_milli":100}"#);
    assert_eq!(served(5), 1);
    assert_eq!(
        show(&fleet, 0)["limits"]["tenants_per_s"]["kouterzorg"].as_f64().map(|x| x < 0.034),
        Some(true)
    );
    changed(&fleet, 1, r#"{"limit/open":2}"#);
    assert_eq!((served(1), serves(&fleet, 0)), (0, 503), "two among three are none for each");
}

#[test]
fn what_is_agreed_of_drafts_runs_over_the_files_own_and_on_the_floor_the_file_alone() {
    let drafts =
        "[drafts]\nstart = \"1:2\"\ntable = { \"check-score/0\" = \"1:1\", \"check-score/1\" = \"1:3\" }\n";
    let fleet = Fleet::start_with(3, &format!("{drafts}{ACCORD}"));
    acts_on(&fleet, &[0, 1, 2], "one");
    let table = |at: usize| fleet.programs[at].as_ref().unwrap().ask("GET", "/drafts", "").1["table"].clone();
    let file = serde_json::json!({"check-score/0": "1:1", "check-score/1": "1:3"});
    assert!((0..3).all(|at| table(at) == file));
    changed(&fleet, 2, r#"{"draft/check-score/0":"1:5","draft/send-mail/2":"0:0"}"#);
    let over = serde_json::json!({"check-score/0": "1:5", "check-score/1": "1:3", "send-mail/2": "0:0"});
    (0..3).for_each(|at| assert_eq!(table(at), over));
    cut(&fleet, 1, 255);
    acts_on(&fleet, &[1], "floor");
    assert_eq!(table(1), file);
}

/// Five of which each may vote, and the first three do.
fn five() -> Fleet {
    let spares = "lease_ms = 1500\nmay_vote = [\"m0\", \"m1\", \"m2\", \"m3\"]";
    let fleet = Fleet::start_with(5, &ACCORD.replace("lease_ms = 1500", spares));
    acts_on(&fleet, &[0, 1, 2, 3, 4], "one");
    fleet
}

fn voters(fleet: &Fleet, at: usize) -> Vec<String> {
    let said = show(fleet, at);
    let mut names: Vec<String> =
        said["voters"].as_array().unwrap().iter().map(|v| v["name"].as_str().unwrap().into()).collect();
    names.sort_unstable();
    names
}

fn end(fleet: &mut Fleet, at: usize) {
    fleet.process(at).kill();
    fleet.programs[at] = None;
}

#[test]
fn a_dead_voter_is_replaced_and_then_a_second_old_one_may_die() {
    let mut fleet = five();
    // One activator hears nobody until it is over.
    for other in 0..4 {
        fleet.set_loss(4, other, 255);
        fleet.set_loss(other, 4, 255);
    }
    acts_on(&fleet, &[4], "floor");
    end(&mut fleet, 0);
    acts_on(&fleet, &[1, 2, 3], "one");
    let base = show(&fleet, 3)["acting"]["version"]["number"].as_u64().unwrap();
    let post = |fleet: &Fleet, body: &str| fleet.programs[3].as_ref().unwrap().ask("POST", "/accord", body);
    let (status, said) = post(&fleet, &format!(r#"{{"base":{base},"set":{{"voter/m4":true}}}}"#));
    assert!(status == 400 && said.to_string().contains("may_vote"), "{said}");
    let change = format!(r#"{{"base":{base},"set":{{"voter/m3":true,"gone/m0":true}},"drop":["voter/m0"]}}"#);
    let (status, said) = post(&fleet, &change);
    assert_eq!(status, 202, "{said}");
    agreed(&fleet, &[1, 2, 3], base + 1);
    assert_eq!(voters(&fleet, 1), ["m1", "m2", "m3"]);
    assert!(show(&fleet, 1)["voters_to_come"].is_null());
    // A second old one dies for good: the new list alone counts now.
    end(&mut fleet, 1);
    wait_for("a change", || change_at(&fleet, 2, r#"{"class/check-score/attempts":2}"#) == 202);
    agreed(&fleet, &[2, 3], base + 2);
    assert_eq!(serves(&fleet, 2), 200);
    // The one that was cut off comes back, hears neither old voter, and finds the new ones.
    assert_eq!(voters(&fleet, 4), ["m0", "m1", "m2"]);
    fleet.set_loss(3, 4, 0);
    fleet.set_loss(4, 3, 0);
    wait_for("the new voters", || voters(&fleet, 4) == ["m1", "m2", "m3"]);
    fleet.set_loss(2, 4, 0);
    fleet.set_loss(4, 2, 0);
    agreed(&fleet, &[2, 3, 4], base + 2);
}

fn change_at(fleet: &Fleet, at: usize, set: &str) -> u16 {
    match show(fleet, at)["acting"]["version"]["number"].as_u64() {
        Some(_) => change(fleet, at, set).0,
        None => 0,
    }
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
#[case::nothing(r#"{"base":BASE,"set":{}}"#, 400, "changes nothing")]
#[case::text("a change", 400, "the body")]
fn a_bad_change_is_refused_whole(#[case] body: &str, #[case] wanted: u16, #[case] reason: &str) {
    let fleet = fleet();
    let before = show(&fleet, 0)["acting"].clone();
    let base = before["version"]["number"].to_string();
    let (status, said) =
        fleet.programs[0].as_ref().unwrap().ask("POST", "/accord", &body.replace("BASE", &base));
    assert!(status == wanted && said.to_string().contains(reason), "{status} {said}");
    assert_eq!(show(&fleet, 0)["acting"], before);
}

#[rstest]
#[case::members("[accord]\nvoters = [\"a\", \"b\", \"c\"]", false, "it needs [members]")]
#[case::even("[accord]\nvoters = [\"a\", \"b\"]", true, "accord.voters: 2 names")]
#[case::few("[accord]\nvoters = [\"a\"]", true, "accord.voters: 1 names, 3 to 9")]
#[case::stranger(
    "[accord]\nvoters = [\"a\", \"b\", \"x\"]",
    true,
    "accord.voters: x is the name of no member"
)]
#[case::spare(
    "[accord]\nvoters = [\"a\", \"b\", \"c\"]\nmay_vote = [\"a\", \"b\"]",
    true,
    "accord.may_vote: the voter c is missing"
)]
#[case::lease("[accord]\nvoters = [\"a\", \"b\", \"c\"]\nlease_ms = 100", true, "accord.lease_ms")]
#[case::word("[accord]\nvoters = [\"a\", \"b\", \"c\"]\nleases = 1", true, "unknown field")]
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
fn a_setup_that_makes_no_sense_is_turned_down(
    #[case] setup: &str,
    #[case] members: bool,
    #[case] wanted: &str,
) {
    let other = |(n, port)| format!("[[members.other]]\nname = \"{n}\"\naddress = \"127.0.0.1:{port}\"");
    let others = [("b", 9), ("c", 10)].map(other).join("\n");
    let watched = format!("[members]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\n{others}");
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let text = format!("{file}\n{}\n{setup}\n", if members { watched } else { String::new() });
    let (status, said) = turned_down(&text, true);
    assert!(!status.success() && said.contains(wanted), "{said}");
}

#[test]
fn without_a_setup_nothing_is_agreed() {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    assert_eq!(program.operate("GET", "/accord", ""), 404);
    assert_eq!(program.operate("POST", "/accord", r#"{"base":1}"#), 404);
}

/// A member that begins with a smaller document than the others fetches theirs, of 100,000 entries, while calls run at all
/// of them, one is stalled over its lease and let go, and the list is changed meanwhile.
#[test]
fn a_list_of_100_000_entries_comes_while_calls_run_and_one_is_stalled() {
    const ENTRIES: usize = 100_000;
    let entries: Vec<String> = (0..ENTRIES).map(|i| format!("\"a{i:06}\"")).collect();
    let document = format!("[accord.document]\nlist.functions = [{}]\n", entries.join(", "));
    let more = ACCORD.replace("[accord.document]\n", &document);
    let mut fleet = Fleet::start_with(3, &more);
    acts_on(&fleet, &[0, 1, 2], "one");
    for at in 0..3 {
        wait_for("hosts", || serves(&fleet, at) == 200);
    }
    // It knows nothing but a file with none of it, so the whole list comes over the network.
    fleet.process(2).kill();
    let small = fleet.file(2).replace(&format!("list.functions = [{}]\n", entries.join(", ")), "");
    fleet.programs[2] = Some(Program::start(&small, true));
    wait_for("hosts", || serves(&fleet, 2) == 200);
    let one = fleet.programs[2].as_ref().expect("it runs");
    let fetches = || show(&fleet, 2)["fetched"]["bytes"].as_u64().is_some_and(|bytes| bytes > 0);
    let here = |at: usize| show(&fleet, at)["entries"].as_u64() >= Some(ENTRIES as u64);
    wait_for("some of it", || fetches() || here(2));
    let (mut calls, before) = (0, agreed(&fleet, &[0, 1], 0)["number"].as_u64().expect("a number"));
    let mut call_all = |each: &[usize]| {
        for at in each {
            assert_eq!(serves(&fleet, *at), 200, "no call is lost");
            calls += 1;
        }
    };
    call_all(&[0, 1, 2]);
    one.stop(true);
    (0..20).for_each(|_| call_all(&[0, 1]));
    sleep(ms(2 * LEASE));
    one.stop(false);
    wait_for("all of it", || {
        call_all(&[0, 1, 2]);
        (0..3).all(here)
    });
    let (status, said) = change(&fleet, 0, r#"{"list/functions/gone":true,"class/check-score/attempts":2}"#);
    assert_eq!(status, 202, "{said}");
    wait_for("the change", || {
        call_all(&[0, 1, 2]);
        (0..3).all(|at| show(&fleet, at)["acting"]["version"]["number"].as_u64() > Some(before))
    });
    assert!(calls > 40);
    for at in 0..3 {
        let program = fleet.programs[at].as_ref().expect("it runs");
        for out in ["a000007", "a099999", "gone"] {
            assert_eq!(program.http(&call(out, "check-score", &[], "x")).status, 503, "m{at} obeys the list");
        }
    }
}
