//! Several activators that watch each other, as processes of their own, with faults between and in them.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn};

use common::*;
use rstest::rstest;

/// Probes are sent this often: long enough that a busy machine does not make a process look dead.
const PERIOD: u64 = 100;

/// A way between two members, which each takes for the other.
struct Link {
    /// The member that is reached here, and where.
    ends: [(usize, SocketAddr); 2],
    /// Of 256 datagrams so many are lost, from the first end and from the second; 255: all.
    loss: [Arc<AtomicU8>; 2],
    over: Arc<AtomicBool>,
}

impl Link {
    /// `near[k]` stands for the member at the other end; the members hear at `at`.
    fn new(members: [usize; 2], at: [SocketAddr; 2]) -> Self {
        let near: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let ends = [0, 1].map(|k| (members[1 - k], near[k].local_addr().unwrap()));
        let (loss, over) = ([0, 1].map(|_| Arc::new(AtomicU8::new(0))), Arc::new(AtomicBool::new(false)));
        for k in 0..2 {
            let (from, to) = (near[k].try_clone().unwrap(), near[1 - k].try_clone().unwrap());
            let (loss, over, at) = (loss[k].clone(), over.clone(), at[1 - k]);
            from.set_read_timeout(Some(ms(50))).unwrap();
            let mut rng = fastrand::Rng::with_seed((members[k] * 16 + members[1 - k]) as u64);
            spawn(move || {
                let mut buf = [0; 1_500];
                while !over.load(Relaxed) {
                    let Ok((n, _)) = from.recv_from(&mut buf) else { continue };
                    let loss = loss.load(Relaxed);
                    if loss < 255 && rng.u8(..) >= loss {
                        let _ = to.send_to(&buf[..n], at);
                    }
                }
            });
        }
        Self { ends, loss, over }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}

struct Fleet {
    each: Vec<Option<Program>>,
    at: Vec<SocketAddr>,
    links: Vec<Link>,
    host: Host,
    resolver: Resolver,
}

impl Fleet {
    /// So many that have met.
    fn met(n: usize) -> Self {
        let held: Vec<_> = (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let at: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(held);
        let pairs = (0..n).flat_map(|a| (a + 1..n).map(move |b| [a, b]));
        let links = pairs.map(|pair| Link::new(pair, pair.map(|i| at[i]))).collect();
        let host = Host::warm();
        let resolver = Resolver::start(&[&host]);
        let mut fleet = Self { each: (0..n).map(|_| None).collect(), at, links, host, resolver };
        (0..n).for_each(|i| fleet.start(i));
        fleet.agree(&(0..n).collect::<Vec<_>>());
        fleet
    }

    fn file(&self, i: usize) -> String {
        let setup = format!("[members]\nname = \"m{i}\"\nlisten = \"{}\"\nperiod_ms = {PERIOD}", self.at[i]);
        let links = self.links.iter().filter_map(|l| {
            let k = l.ends.iter().position(|(other, _)| *other == i)?;
            Some(l.ends[1 - k])
        });
        let other =
            |(j, at): (usize, SocketAddr)| format!("[[members.other]]\nname = \"m{j}\"\naddress = \"{at}\"");
        let others: Vec<_> = links.map(other).collect();
        format!("{}\n{setup}\n{}\n", operator_file(self.resolver.address), others.join("\n"))
    }

    fn start(&mut self, i: usize) {
        self.each[i] = Some(Program::start(&self.file(i), true));
    }

    fn process(&mut self, i: usize) -> &mut Program {
        self.each[i].as_mut().expect("it runs")
    }

    /// What one says of another.
    fn said(&self, at: usize, of: usize, what: &str) -> serde_json::Value {
        let (status, view) = self.each[at].as_ref().expect("it runs").ask("GET", "/members", "");
        assert_eq!(status, 200);
        let members = view["members"].as_array().expect("members").clone();
        let name = format!("m{of}");
        members.into_iter().find(|m| m["name"] == *name).expect("on the roster")[what].clone()
    }

    /// Waits until each of these holds just these for being there.
    fn agree(&self, there: &[usize]) {
        let state = |at, of| self.said(at, of, "state");
        for at in there {
            wait_for("one view", || {
                (0..self.each.len()).filter(|of| of != at).all(|of| {
                    let held = state(*at, of);
                    (held == "alive" || held == "suspect") == there.contains(&of)
                })
            });
        }
    }

    /// Times that one logged another's death.
    fn deaths(&self, at: usize, of: usize) -> usize {
        self.each[at].as_ref().expect("it runs").logged(&format!("activator m{of} is gone"))
    }

    /// Of the datagrams from one to the other so many in 256 are lost from now on.
    fn lose(&self, from: usize, to: usize, loss: u8) {
        for link in &self.links {
            for k in 0..2 {
                // What the k-th near socket takes comes from the member that is not reached there.
                if link.ends[k].0 == to && link.ends[1 - k].0 == from {
                    link.loss[k].store(loss, Relaxed);
                }
            }
        }
    }

    fn lose_everywhere(&self, loss: u8) {
        self.links.iter().flat_map(|l| &l.loss).for_each(|l| l.store(loss, Relaxed));
    }
}

#[test]
fn one_that_is_killed_is_gone_for_all_and_back_as_another_life() {
    let mut fleet = Fleet::met(4);
    let first = fleet.said(1, 0, "start_ms").as_u64().unwrap();
    fleet.process(0).kill();
    fleet.each[0] = None;
    fleet.agree(&[1, 2, 3]);
    assert!((1..4).all(|i| fleet.deaths(i, 0) == 1), "each says so once");
    fleet.start(0);
    fleet.agree(&[0, 1, 2, 3]);
    assert!(fleet.said(1, 0, "start_ms").as_u64().unwrap() > first);
    assert!((0..4).all(|i| (1..4).all(|j| fleet.deaths(i, j) == 0)), "nobody else");
}

#[test]
fn one_that_was_stopped_accuses_nobody_and_comes_back_by_itself() {
    let fleet = Fleet::met(4);
    let stopped = fleet.each[0].as_ref().unwrap();
    stopped.stop(true);
    fleet.agree(&[1, 2, 3]);
    sleep(ms(20 * PERIOD));
    stopped.stop(false);
    fleet.agree(&[0, 1, 2, 3]);
    wait_for("its own word", || stopped.logged("held this activator for gone; it is back") > 0);
    assert!((1..4).all(|j| fleet.deaths(0, j) == 0), "it held nobody for gone");
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths(i, j) == 0)), "nor did the others each other");
}

#[test]
fn all_that_were_stopped_at_once_hold_nobody_for_gone() {
    let fleet = Fleet::met(4);
    fleet.each.iter().flatten().for_each(|p| p.stop(true));
    sleep(ms(40 * PERIOD));
    fleet.each.iter().flatten().for_each(|p| p.stop(false));
    fleet.agree(&[0, 1, 2, 3]);
    sleep(ms(20 * PERIOD));
    assert!((0..4).all(|i| (0..4).all(|j| fleet.deaths(i, j) == 0)));
    let pauses = |p: &Program| p.ask("GET", "/members", "").1["pauses"].as_u64().unwrap();
    assert!(fleet.each.iter().flatten().all(|p| pauses(p) > 0), "each noticed that it was away");
}

#[test]
fn one_that_is_told_to_end_takes_its_leave() {
    let mut fleet = Fleet::met(3);
    fleet.process(0).terminate();
    for i in 1..3 {
        wait_for("its leave", || fleet.said(i, 0, "state") == "left");
        assert_eq!(fleet.deaths(i, 0), 0, "a leave is no death");
    }
    assert!(fleet.process(0).ended().success());
    // An operator may have one leave while it serves on.
    assert_eq!(fleet.process(1).operate("POST", "/members/leave", ""), 200);
    wait_for("its leave", || fleet.said(2, 1, "state") == "left");
}

#[rstest]
#[case::both_ways(&[(0, 1), (1, 0)])]
#[case::one_way(&[(0, 1)])]
fn two_that_do_not_hear_each_other_stay_there_for_all(#[case] cuts: &[(usize, usize)]) {
    let fleet = Fleet::met(4);
    cuts.iter().for_each(|(from, to)| fleet.lose(*from, *to, 255));
    sleep(ms(40 * PERIOD));
    fleet.agree(&[0, 1, 2, 3]);
    assert!((0..4).all(|i| (0..4).all(|j| fleet.deaths(i, j) == 0)));
}

#[rstest]
#[case::hears_nobody(false)]
#[case::heard_by_nobody(true)]
fn one_that_is_cut_one_way_costs_the_others_nothing(#[case] hears: bool) {
    let fleet = Fleet::met(4);
    let lives: Vec<_> = (1..4).map(|i| fleet.said(1 + i % 3, i, "start_ms")).collect();
    for i in 1..4 {
        let (from, to) = if hears { (0, i) } else { (i, 0) };
        fleet.lose(from, to, 255);
    }
    fleet.agree(&[1, 2, 3]);
    fleet.agree(&[0]);
    assert_eq!(fleet.each[0].as_ref().unwrap().ask("GET", "/members", "").1["majority"], false);
    fleet.lose_everywhere(0);
    fleet.agree(&[0, 1, 2, 3]);
    sleep(ms(20 * PERIOD));
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths(i, j) == 0)));
    let after: Vec<_> = (1..4).map(|i| fleet.said(1 + i % 3, i, "start_ms")).collect();
    assert_eq!(lives, after, "no other began a new life");
}

#[test]
fn with_a_third_of_all_lost_only_the_dead_are_gone() {
    let mut fleet = Fleet::met(4);
    fleet.lose_everywhere(77);
    sleep(ms(40 * PERIOD));
    fleet.process(0).kill();
    fleet.each[0] = None;
    fleet.agree(&[1, 2, 3]);
    assert!((1..4).all(|i| (1..4).all(|j| fleet.deaths(i, j) == 0)));
}

#[test]
fn halves_that_are_cut_apart_know_it_and_find_back() {
    let fleet = Fleet::met(4);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.lose(a, b, 255);
        fleet.lose(b, a, 255);
    }
    fleet.agree(&[0, 1]);
    fleet.agree(&[2, 3]);
    let majority = |p: &Program| p.ask("GET", "/members", "").1["majority"].as_bool().unwrap();
    assert!(!fleet.each.iter().flatten().any(majority), "two of four are none");
    fleet.lose_everywhere(0);
    fleet.agree(&[0, 1, 2, 3]);
    assert!(fleet.each.iter().flatten().all(majority));
}

#[test]
fn a_list_that_changes_is_taken_up_without_a_new_life() {
    let mut fleet = Fleet::met(3);
    let start = fleet.said(1, 0, "start_ms");
    let whole = fleet.file(0);
    let cut = whole.rfind("[[members.other]]").unwrap();
    let short = whole[..cut].to_string();
    fleet.process(0).reload(&short);
    let known = |p: &Program| p.ask("GET", "/members", "").1["members"].as_array().unwrap().len();
    wait_for("the shorter list", || known(fleet.each[0].as_ref().unwrap()) == 1);
    fleet.process(0).reload(&whole);
    wait_for("the longer list", || known(fleet.each[0].as_ref().unwrap()) == 2);
    fleet.agree(&[0, 1, 2]);
    assert_eq!(fleet.said(1, 0, "start_ms"), start);
}

#[test]
fn in_an_upgrade_the_name_passes_without_a_death() {
    let mut fleet = Fleet::met(3);
    let start = |fleet: &Fleet| fleet.said(1, 0, "start_ms").as_u64().unwrap();
    let first = start(&fleet);
    let old = fleet.each[0].take().expect("it runs");
    let here = format!("listen = \"{}\"", old.address);
    let text = fleet.file(0).replacen("listen = \"127.0.0.1:0\"", &here, 1);
    fleet.each[0] = Some(Program::start(&text, true));
    wait_for("the new life", || start(&fleet) > first);
    sleep(ms(20 * PERIOD));
    fleet.agree(&[0, 1, 2]);
    assert!((1..3).all(|i| fleet.deaths(i, 0) == 0), "nobody missed it");
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
