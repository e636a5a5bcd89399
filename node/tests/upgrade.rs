//! A new process takes over from a running one, on real sockets; one test per rule.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixListener;
use std::thread::{sleep, spawn};

use common::*;
use rstest::rstest;

const SERVED: u8 = 79;

/// The configuration with this listen address.
fn at(address: SocketAddr, config: String) -> String {
    config.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""))
}

fn call(p: &Program, stream: u32, class: &str) -> u8 {
    let mut client = p.connect();
    client.write_all(&call_frame(stream, class, 4000, b"")).unwrap();
    // The process that accepted the connection may ask its clients to move before it answers.
    std::iter::from_fn(|| read_frame(&mut client)).find(|f| f.kind == 2).expect("an answer").code
}

/// During a takeover clients are served throughout, hosts out of service stay out, loaded functions are not loaded again,
/// and the old process answers the calls that it has accepted.
#[test]
fn a_new_process_takes_over_from_a_running_one() {
    let loads = || Host::start(Ways { does: Does::Answer("200"), work: ms(1), load: Some(ms(5)) });
    let (a, b, c) = (loads(), loads(), loads());
    let hosts = [&a, &b, &c];
    let mut old = platform(&hosts);
    let orders = |host: &Host| host.seen.lock().unwrap().orders.len();
    assert_eq!(call(&old.program, 1, "check-score"), SERVED);
    wait_for("the load", || hosts.iter().any(|h| !h.seen.lock().unwrap().loaded.is_empty()));
    assert_eq!(call(&old.program, 2, "check-score"), SERVED);
    let loaded = hosts.iter().position(|h| h.calls() > 0 && orders(h) > 0).unwrap();
    let out = (loaded + 1) % 3;
    assert_eq!(old.program.maintain("enter", out as u32), 200);
    hosts[loaded].ways.lock().unwrap().work = ms(1500);
    let mut open = old.program.connect();
    open.write_all(&call_frame(3, "check-score", 4000, b"")).unwrap();
    let runs = hosts[loaded].calls() + 1;
    wait_for("the call", || hosts[loaded].calls() == runs);
    hosts[loaded].ways.lock().unwrap().work = ms(1);

    let text = at(old.program.address, config(old.bus.address, &hosts));
    let new = Program::start(&text, false);
    let (_, _feed) = old.bus.greeted();
    let mut stream = 10;
    wait_for("readiness", || {
        stream += 1;
        assert_eq!(call(&new, stream, "check-score"), SERVED, "by either process");
        new.status() == 200
    });
    assert_eq!(read_frame(&mut open).unwrap().kind, 6, "clients are asked to move");
    // An operator's command reaches both processes, whichever of them receives it.
    assert_eq!(old.program.maintain("enter", loaded as u32), 200);
    wait_for("the operator's command", || {
        call(&new, 9000, "check-score") == SERVED && orders(hosts[3 - loaded - out]) > 0
    });
    assert_eq!(new.maintain("exit", loaded as u32), 200);
    let before = [hosts[out].calls(), orders(hosts[out])];
    let ordered = orders(hosts[loaded]);
    assert_eq!(read_frame(&mut open).unwrap().code, SERVED);
    old.program.terminate();
    assert!(old.program.ended().success());
    for stream in 100..110 {
        assert_eq!(call(&new, stream, "check-score"), SERVED);
    }
    assert_eq!([hosts[out].calls(), orders(hosts[out])], before, "the host stays out of service");
    assert!(ordered <= 2, "a loaded function is not ordered again: {ordered}");
    assert_eq!(new.maintain("exit", out as u32), 200);
}

/// If the new process fails, the old one keeps serving, and the next new process finds it.
#[test]
fn if_the_new_process_fails_the_old_one_keeps_serving() {
    let host = Host::warm();
    let mut old = platform(&[&host]);
    let text = at(old.program.address, config(old.bus.address, &[&host]));
    for round in 1..=2 {
        let mut new = Program::start(&text, false);
        let (_, _feed) = old.bus.greeted();
        wait_for("readiness", || new.status() == 200);
        assert_eq!(call(&new, round, "send-mail"), SERVED);
        new.kill();
        assert_eq!((call(&old.program, 10 + round, "send-mail"), old.program.status()), (SERVED, 200));
        wait_for("the loss", || old.program.logged("the other process is gone") == round as usize);
    }
    old.program.terminate();
    assert!(old.program.ended().success());
}

/// The socket at the takeover path may be left over from a dead process, or belong to another program: then the new
/// process starts alone.
#[rstest]
#[case::dead(false)]
#[case::another_program(true)]
fn a_process_that_finds_no_peer_starts_alone(#[case] alive: bool) {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let listener = UnixListener::bind(meeting_place(address)).unwrap();
    if alive {
        spawn(move || {
            listener.incoming().map_while(Result::ok).for_each(|mut s| s.write_all(b"{}\n").unwrap())
        });
    }
    let (host, bus) = (Host::warm(), Bus::start());
    let program = Program::start(&at(address, config(bus.address, &[&host])), false);
    assert_eq!(call(&program, 1, "send-mail"), SERVED);
}

/// Standby applies to both processes, whichever of them receives the command.
#[test]
fn standby_passes_to_the_new_process() {
    let host = Host::warm();
    let old = platform(&[&host]);
    assert_eq!(old.program.operate("POST", "/standby", ""), 200);
    let new = Program::start(&at(old.program.address, config(old.bus.address, &[&host])), false);
    let (_, _feed) = old.bus.greeted();
    wait_for("the new process", || new.logged("taking clients") == 1);
    assert_eq!((old.program.status(), new.status()), (503, 503));
    assert_eq!(new.operate("POST", "/active", ""), 200);
    wait_for("the command", || (old.program.status(), new.status()) == (200, 200));
}

/// Guards against a busy loop: an old process that waited for its last answer used a processor for half a second.
#[test]
fn waiting_for_the_last_answer_uses_no_processor_time() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(2500), load: None });
    let mut old = platform(&[&host]);
    let mut open = old.program.connect();
    open.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    wait_for("the call", || host.calls() == 1);
    let new = Program::start(&at(old.program.address, config(old.bus.address, &[&host])), false);
    let (_, _feed) = old.bus.greeted();
    wait_for("readiness", || new.status() == 200);
    old.program.terminate();
    let used = (old.program.used(), new.used());
    sleep(ms(2000));
    let used = (old.program.used() - used.0, new.used() - used.1);
    assert!(used.0 < 20 && used.1 < 20, "{used:?} of 200");
    assert!(old.program.ended().success());
}
