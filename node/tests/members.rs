//! Membership of several activators, each a process, with faults in the processes and on the links between them.

mod common;

use std::net::UdpSocket;
use std::thread::sleep;

use common::links::*;
use common::*;
use rstest::rstest;

#[test]
fn a_killed_member_is_gone_for_all_and_returns_as_a_new_instance() {
    let mut fleet = Fleet::start_all(4);
    let first = fleet.member_field(1, 0, "start_ms").as_u64().unwrap();
    fleet.process(0).kill();
    fleet.programs[0] = None;
    fleet.wait_for_view(&[1, 2, 3]);
    assert!((1..4).all(|i| fleet.deaths_logged(i, 0) == 1), "each logs it once");
    fleet.start(0);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    assert!(fleet.member_field(1, 0, "start_ms").as_u64().unwrap() > first);
    assert!((0..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)), "no other member");
}

#[test]
fn a_paused_member_suspects_no_other_and_rejoins_by_itself() {
    let fleet = Fleet::start_all(4);
    let stopped = fleet.programs[0].as_ref().unwrap();
    stopped.stop(true);
    fleet.wait_for_view(&[1, 2, 3]);
    sleep(ms(20 * PERIOD_MS));
    stopped.stop(false);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    wait_for("its own log line", || stopped.logged("held this activator for gone; it is back") > 0);
    assert!((1..4).all(|j| fleet.deaths_logged(0, j) == 0), "it declared no other member dead");
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)), "nor did the others");
}

#[test]
fn members_that_were_all_paused_at_once_declare_none_dead() {
    let fleet = Fleet::start_all(4);
    fleet.programs.iter().flatten().for_each(|p| p.stop(true));
    sleep(ms(40 * PERIOD_MS));
    fleet.programs.iter().flatten().for_each(|p| p.stop(false));
    fleet.wait_for_view(&[0, 1, 2, 3]);
    sleep(ms(20 * PERIOD_MS));
    assert!((0..4).all(|i| (0..4).all(|j| fleet.deaths_logged(i, j) == 0)));
    let pauses = |p: &Program| p.ask("GET", "/members", "").1["pauses"].as_u64().unwrap();
    assert!(fleet.programs.iter().flatten().all(|p| pauses(p) > 0), "each noticed its own pause");
}

#[test]
fn a_terminated_member_leaves() {
    let mut fleet = Fleet::start_all(3);
    fleet.process(0).terminate();
    for i in 1..3 {
        wait_for("the leave", || fleet.member_field(i, 0, "state") == "left");
        assert_eq!(fleet.deaths_logged(i, 0), 0, "a member that left is not dead");
    }
    assert!(fleet.process(0).ended().success());
    // An operator may make a member leave while it keeps serving.
    assert_eq!(fleet.process(1).operate("POST", "/members/leave", ""), 200);
    wait_for("the leave", || fleet.member_field(2, 1, "state") == "left");
}

#[rstest]
#[case::both_ways(&[(0, 1), (1, 0)])]
#[case::one_way(&[(0, 1)])]
fn two_members_without_a_link_between_them_stay_present_for_all(#[case] cuts: &[(usize, usize)]) {
    let fleet = Fleet::start_all(4);
    cuts.iter().for_each(|(from, to)| fleet.set_loss(*from, *to, 255));
    sleep(ms(40 * PERIOD_MS));
    fleet.wait_for_view(&[0, 1, 2, 3]);
    assert!((0..4).all(|i| (0..4).all(|j| fleet.deaths_logged(i, j) == 0)));
}

#[rstest]
#[case::receives_nothing(false)]
#[case::sends_nothing(true)]
fn a_member_cut_off_in_one_direction_does_not_affect_the_others(#[case] receives: bool) {
    let fleet = Fleet::start_all(4);
    let starts: Vec<_> = (1..4).map(|i| fleet.member_field(1 + i % 3, i, "start_ms")).collect();
    for i in 1..4 {
        let (from, to) = if receives { (0, i) } else { (i, 0) };
        fleet.set_loss(from, to, 255);
    }
    fleet.wait_for_view(&[1, 2, 3]);
    fleet.wait_for_view(&[0]);
    assert_eq!(fleet.programs[0].as_ref().unwrap().ask("GET", "/members", "").1["majority"], false);
    fleet.set_loss_everywhere(0);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    sleep(ms(20 * PERIOD_MS));
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)));
    let after: Vec<_> = (1..4).map(|i| fleet.member_field(1 + i % 3, i, "start_ms")).collect();
    assert_eq!(starts, after, "no other member started a new instance");
}

#[test]
fn with_a_third_of_all_datagrams_lost_only_dead_members_are_gone() {
    let mut fleet = Fleet::start_all(4);
    fleet.set_loss_everywhere(77);
    sleep(ms(40 * PERIOD_MS));
    fleet.process(0).kill();
    fleet.programs[0] = None;
    fleet.wait_for_view(&[1, 2, 3]);
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)));
}

#[test]
fn partitioned_halves_lose_the_majority_and_reunite() {
    let fleet = Fleet::start_all(4);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.set_loss(a, b, 255);
        fleet.set_loss(b, a, 255);
    }
    fleet.wait_for_view(&[0, 1]);
    fleet.wait_for_view(&[2, 3]);
    let majority = |p: &Program| p.ask("GET", "/members", "").1["majority"].as_bool().unwrap();
    assert!(!fleet.programs.iter().flatten().any(majority), "two of four are no majority");
    fleet.set_loss_everywhere(0);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    assert!(fleet.programs.iter().flatten().all(majority));
}

#[test]
fn a_changed_member_list_is_applied_without_a_new_instance() {
    let mut fleet = Fleet::start_all(3);
    let start = fleet.member_field(1, 0, "start_ms");
    let full = fleet.file(0);
    let cut = full.rfind("[[members.other]]").unwrap();
    let short = full[..cut].to_string();
    fleet.process(0).reload(&short);
    let known = |p: &Program| p.ask("GET", "/members", "").1["members"].as_array().unwrap().len();
    wait_for("the shorter list", || known(fleet.programs[0].as_ref().unwrap()) == 1);
    fleet.process(0).reload(&full);
    wait_for("the longer list", || known(fleet.programs[0].as_ref().unwrap()) == 2);
    fleet.wait_for_view(&[0, 1, 2]);
    assert_eq!(fleet.member_field(1, 0, "start_ms"), start);
}

#[test]
fn in_an_upgrade_the_name_passes_to_the_new_process_without_a_death() {
    let mut fleet = Fleet::start_all(3);
    let start = |fleet: &Fleet| fleet.member_field(1, 0, "start_ms").as_u64().unwrap();
    let first = start(&fleet);
    let old = fleet.programs[0].take().expect("it runs");
    let here = format!("listen = \"{}\"", old.address);
    let text = fleet.file(0).replacen("listen = \"127.0.0.1:0\"", &here, 1);
    fleet.programs[0] = Some(Program::start(&text, true));
    wait_for("the new instance", || start(&fleet) > first);
    sleep(ms(20 * PERIOD_MS));
    fleet.wait_for_view(&[0, 1, 2]);
    assert!((1..3).all(|i| fleet.deaths_logged(i, 0) == 0), "no member declared it dead");
    assert!(
        (0..3).all(|j| old.logged(&format!("activator m{j} is gone")) == 0),
        "nor did the old process declare any dead"
    );
    let client = call("f", "check-score", &[], "x");
    assert_eq!(fleet.process(0).http(&client).status, 200, "and it serves");
    assert_eq!(fleet.host.calls(), 1);
}

#[test]
fn datagrams_of_unknown_kinds_are_dropped_and_counted() {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listen = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let setup = format!("[members]\nname = \"a\"\nlisten = \"{listen}\"\n[[members.other]]\nname = \"b\"");
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let address = other.local_addr().unwrap();
    let program = Program::start(&format!("{file}\n{setup}\naddress = \"{address}\"\n"), true);
    assert_eq!(program.operate("GET", "/members", ""), 200, "it is listening");
    for kind in [0, 1, 9] {
        for from in [&other, &stranger] {
            from.send_to(&[0xff, 0x57, 0x4c, 0x01, kind, b'x'], listen).unwrap();
        }
    }
    other.send_to(b"no datagram of any kind", listen).unwrap();
    let dropped = || program.ask("GET", "/members", "").1["dropped"].as_u64().unwrap();
    wait_for("the count", || dropped() == 2);
    sleep(ms(100));
    assert_eq!(dropped(), 2, "datagrams from unknown addresses are not counted");
}

#[rstest]
#[case::nameless("name = \"\"", "a name is 1 to 64 bytes")]
#[case::twice("name = \"b\"", "b and b have the same id")]
#[case::short_period("name = \"a\"\nperiod_ms = 5", "members.period_ms is 20 to 60000")]
#[case::key("name = \"a\"\nperiods = 5", "unknown field")]
fn an_invalid_setup_is_refused(#[case] setup: &str, #[case] wanted: &str) {
    let other = "[[members.other]]\nname = \"b\"\naddress = \"127.0.0.1:9\"";
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let text = format!("{file}\n[members]\nlisten = \"127.0.0.1:0\"\n{setup}\n{other}\n");
    let (status, output) = turned_down(&text, true);
    assert!(!status.success() && output.contains(wanted), "{output}");
}

#[test]
fn without_a_setup_there_is_no_membership() {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    assert_eq!(program.operate("GET", "/members", ""), 404);
    assert_eq!(program.operate("POST", "/members/leave", ""), 404);
}
