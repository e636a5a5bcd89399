//! Several activators that watch each other, as processes of their own, with faults between and in them.

mod common;

use std::net::UdpSocket;
use std::thread::sleep;

use common::links::*;
use common::*;
use rstest::rstest;

#[test]
fn one_that_is_killed_is_gone_for_all_and_back_as_another_life() {
    let mut fleet = Fleet::start_all(4);
    let first = fleet.member_field(1, 0, "start_ms").as_u64().unwrap();
    fleet.process(0).kill();
    fleet.programs[0] = None;
    fleet.wait_for_view(&[1, 2, 3]);
    assert!((1..4).all(|i| fleet.deaths_logged(i, 0) == 1), "each says so once");
    fleet.start(0);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    assert!(fleet.member_field(1, 0, "start_ms").as_u64().unwrap() > first);
    assert!((0..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)), "nobody else");
}

#[test]
fn one_that_was_stopped_accuses_nobody_and_comes_back_by_itself() {
    let fleet = Fleet::start_all(4);
    let stopped = fleet.programs[0].as_ref().unwrap();
    stopped.stop(true);
    fleet.wait_for_view(&[1, 2, 3]);
    sleep(ms(20 * PERIOD_MS));
    stopped.stop(false);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    wait_for("its own word", || stopped.logged("held this activator for gone; it is back") > 0);
    assert!((1..4).all(|j| fleet.deaths_logged(0, j) == 0), "it held nobody for gone");
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)), "nor did the others each other");
}

#[test]
fn all_that_were_stopped_at_once_hold_nobody_for_gone() {
    let fleet = Fleet::start_all(4);
    fleet.programs.iter().flatten().for_each(|p| p.stop(true));
    sleep(ms(40 * PERIOD_MS));
    fleet.programs.iter().flatten().for_each(|p| p.stop(false));
    fleet.wait_for_view(&[0, 1, 2, 3]);
    sleep(ms(20 * PERIOD_MS));
    assert!((0..4).all(|i| (0..4).all(|j| fleet.deaths_logged(i, j) == 0)));
    let pauses = |p: &Program| p.ask("GET", "/members", "").1["pauses"].as_u64().unwrap();
    assert!(fleet.programs.iter().flatten().all(|p| pauses(p) > 0), "each noticed that it was away");
}

#[test]
fn one_that_is_told_to_end_takes_its_leave() {
    let mut fleet = Fleet::start_all(3);
    fleet.process(0).terminate();
    for i in 1..3 {
        wait_for("its leave", || fleet.member_field(i, 0, "state") == "left");
        assert_eq!(fleet.deaths_logged(i, 0), 0, "a leave is no death");
    }
    assert!(fleet.process(0).ended().success());
    // An operator may have one leave while it serves on.
    assert_eq!(fleet.process(1).operate("POST", "/members/leave", ""), 200);
    wait_for("its leave", || fleet.member_field(2, 1, "state") == "left");
}

#[rstest]
#[case::both_ways(&[(0, 1), (1, 0)])]
#[case::one_way(&[(0, 1)])]
fn two_that_do_not_hear_each_other_stay_there_for_all(#[case] cuts: &[(usize, usize)]) {
    let fleet = Fleet::start_all(4);
    cuts.iter().for_each(|(from, to)| fleet.set_loss(*from, *to, 255));
    sleep(ms(40 * PERIOD_MS));
    fleet.wait_for_view(&[0, 1, 2, 3]);
    assert!((0..4).all(|i| (0..4).all(|j| fleet.deaths_logged(i, j) == 0)));
}

#[rstest]
#[case::hears_nobody(false)]
#[case::heard_by_nobody(true)]
fn one_that_is_cut_one_way_costs_the_others_nothing(#[case] hears: bool) {
    let fleet = Fleet::start_all(4);
    let lives: Vec<_> = (1..4).map(|i| fleet.member_field(1 + i % 3, i, "start_ms")).collect();
    for i in 1..4 {
        let (from, to) = if hears { (0, i) } else { (i, 0) };
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
    assert_eq!(lives, after, "no other began a new life");
}

#[test]
fn with_a_third_of_all_lost_only_the_dead_are_gone() {
    let mut fleet = Fleet::start_all(4);
    fleet.set_loss_everywhere(77);
    sleep(ms(40 * PERIOD_MS));
    fleet.process(0).kill();
    fleet.programs[0] = None;
    fleet.wait_for_view(&[1, 2, 3]);
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths_logged(i, j) == 0)));
}

#[test]
fn halves_that_are_cut_apart_know_it_and_find_back() {
    let fleet = Fleet::start_all(4);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.set_loss(a, b, 255);
        fleet.set_loss(b, a, 255);
    }
    fleet.wait_for_view(&[0, 1]);
    fleet.wait_for_view(&[2, 3]);
    let majority = |p: &Program| p.ask("GET", "/members", "").1["majority"].as_bool().unwrap();
    assert!(!fleet.programs.iter().flatten().any(majority), "two of four are none");
    fleet.set_loss_everywhere(0);
    fleet.wait_for_view(&[0, 1, 2, 3]);
    assert!(fleet.programs.iter().flatten().all(majority));
}

#[test]
fn a_list_that_changes_is_taken_up_without_a_new_life() {
    let mut fleet = Fleet::start_all(3);
    let start = fleet.member_field(1, 0, "start_ms");
    let whole = fleet.file(0);
    let cut = whole.rfind("[[members.other]]").unwrap();
    let short = whole[..cut].to_string();
    fleet.process(0).reload(&short);
    let known = |p: &Program| p.ask("GET", "/members", "").1["members"].as_array().unwrap().len();
    wait_for("the shorter list", || known(fleet.programs[0].as_ref().unwrap()) == 1);
    fleet.process(0).reload(&whole);
    wait_for("the longer list", || known(fleet.programs[0].as_ref().unwrap()) == 2);
    fleet.wait_for_view(&[0, 1, 2]);
    assert_eq!(fleet.member_field(1, 0, "start_ms"), start);
}

#[test]
fn in_an_upgrade_the_name_passes_without_a_death() {
    let mut fleet = Fleet::start_all(3);
    let start = |fleet: &Fleet| fleet.member_field(1, 0, "start_ms").as_u64().unwrap();
    let first = start(&fleet);
    let old = fleet.programs[0].take().expect("it runs");
    let here = format!("listen = \"{}\"", old.address);
    let text = fleet.file(0).replacen("listen = \"127.0.0.1:0\"", &here, 1);
    fleet.programs[0] = Some(Program::start(&text, true));
    wait_for("the new life", || start(&fleet) > first);
    sleep(ms(20 * PERIOD_MS));
    fleet.wait_for_view(&[0, 1, 2]);
    assert!((1..3).all(|i| fleet.deaths_logged(i, 0) == 0), "nobody missed it");
    assert!(
        (0..3).all(|j| old.logged(&format!("activator m{j} is gone")) == 0),
        "nor did the old one accuse"
    );
    let client = call("f", "check-score", &[], "x");
    assert_eq!(fleet.process(0).http(&client).status, 200, "and it serves");
    assert_eq!(fleet.host.calls(), 1);
}

#[test]
fn what_comes_for_a_part_that_is_not_known_is_dropped_and_counted() {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listen = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let setup = format!("[members]\nname = \"a\"\nlisten = \"{listen}\"\n[[members.other]]\nname = \"b\"");
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let address = other.local_addr().unwrap();
    let program = Program::start(&format!("{file}\n{setup}\naddress = \"{address}\"\n"), true);
    assert_eq!(program.operate("GET", "/members", ""), 200, "it listens by now");
    for kind in [0, 1, 9] {
        for from in [&other, &stranger] {
            from.send_to(&[0xff, 0x57, 0x4c, 0x01, kind, b'x'], listen).unwrap();
        }
    }
    other.send_to(b"no datagram of any kind", listen).unwrap();
    let dropped = || program.ask("GET", "/members", "").1["dropped"].as_u64().unwrap();
    wait_for("its count", || dropped() == 2);
    sleep(ms(100));
    assert_eq!(dropped(), 2, "of a stranger nothing is read at all");
}

#[rstest]
#[case::nameless("name = \"\"", "a name is 1 to 64 bytes")]
#[case::twice("name = \"b\"", "b and b cannot be told apart")]
#[case::hasty("name = \"a\"\nperiod_ms = 5", "members.period_ms is 20 to 60000")]
#[case::word("name = \"a\"\nperiods = 5", "unknown field")]
fn a_setup_that_makes_no_sense_is_turned_down(#[case] setup: &str, #[case] wanted: &str) {
    let other = "[[members.other]]\nname = \"b\"\naddress = \"127.0.0.1:9\"";
    let file = operator_file("127.0.0.1:9".parse().unwrap());
    let text = format!("{file}\n[members]\nlisten = \"127.0.0.1:0\"\n{setup}\n{other}\n");
    let (status, said) = turned_down(&text, true);
    assert!(!status.success() && said.contains(wanted), "{said}");
}

#[test]
fn without_a_setup_nobody_is_watched() {
    let program = Program::start(&operator_file("127.0.0.1:9".parse().unwrap()), true);
    assert_eq!(program.operate("GET", "/members", ""), 404);
    assert_eq!(program.operate("POST", "/members/leave", ""), 404);
}
