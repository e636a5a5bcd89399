//! Low limits of descriptors with many clients, on real sockets: reserved descriptors are available when they are
//! needed.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;

use common::rollout::edited;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};

const SERVED: u8 = 79;
const REFUSED: u8 = 66;
const GONE: u8 = 2;
/// A low limit for any deployment: a third of it, 21, is for clients.
const MAX_DESCRIPTORS: u32 = 64;

/// Listens on an address that no test opens connections from, so that its port stays free while nothing listens there.
fn listen_apart() -> TcpListener {
    TcpListener::bind("127.0.0.77:0").unwrap()
}

/// A configuration with `MAX_DESCRIPTORS`.
fn low_limit(bus: SocketAddr, hosts: &[&Host], more: &[(&str, Value)]) -> String {
    edited(&edited(&config(bus, hosts), &[("limits/sockets", json!(MAX_DESCRIPTORS))]), more)
}

/// Accepts the next bus connection of an activator. Returns the last event that it has, and the stream for further
/// ones.
fn accept_bus(listener: &TcpListener) -> (u64, TcpStream) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut last = [0; 8];
    stream.read_exact(&mut last).unwrap();
    (u64::from_be_bytes(last), stream)
}

/// Opens client connections that ask for readiness once and then stay open. Those without a descriptor wait in the
/// system's queue.
fn idle_clients(p: &Program, n: usize) -> Vec<TcpStream> {
    let ask = client_frame(4, 1, &[0]);
    let opened = (0..n).map(|_| {
        let mut stream = p.connect();
        stream.write_all(&ask).unwrap();
        stream
    });
    opened.collect()
}

/// Calls a function with this class. Returns the code of the answer.
fn call(p: &Program, class: &str) -> u8 {
    let mut client = p.connect();
    client.write_all(&call_frame(1, class, 4000, b"")).unwrap();
    read_frame(&mut client).expect("an answer").code
}

/// Fails if the program has logged that descriptors ran out.
fn assert_never_exhausted(p: &Program) {
    let lines = p.lines();
    let wanted = ["Too many open files", "out of descriptors", "no connection left"];
    let found: Vec<_> = lines.iter().filter(|line| wanted.iter().any(|w| line.contains(w))).collect();
    assert!(found.is_empty(), "{found:?}");
}

/// Guards against clients that take the descriptors of the rest of the process. They take all that they can while the
/// bus is down, from the start or later. When the bus is back, its list is read, a host without a connection before
/// gets a call, operators are answered, the configuration is reloaded, and the program ends on SIGTERM.
#[rstest]
#[case::from_the_start(false)]
#[case::later(true)]
fn reserved_descriptors_are_free_while_clients_take_all_they_can(#[case] up_before: bool) {
    let (a, b) = (Host::warm(), Host::warm());
    let listener = listen_apart();
    let address = listener.local_addr().unwrap();
    let text = low_limit(address, &[&a], &[]);
    // Closed at once unless the bus is up first.
    let listener = Some(listener).filter(|_| up_before);
    let mut p = Program::start_with_descriptors(MAX_DESCRIPTORS, &text, false);
    if let Some(listener) = listener {
        drop(accept_bus(&listener));
    }
    let idle = idle_clients(&p, 200);
    wait_for("evictions", || p.logged("reason=evicted") > 20);
    assert!(p.descriptors() <= MAX_DESCRIPTORS as usize);
    // A process that another test starts just now may have inherited the old listener for a moment.
    let mut bus = None;
    wait_for("the address of the bus", || {
        bus = TcpListener::bind(address).ok();
        bus.is_some()
    });
    let bus = bus.unwrap();
    let (last, mut feed) = accept_bus(&bus);
    assert_eq!(last, 1);
    feed.write_all(&event(2, false, &[(0, a.address, GONE), (1, b.address, 0)])).unwrap();
    wait_for("the list", || {
        p.ask("GET", "/status", "").0 == 200 && call(&p, "check-score") == SERVED && b.calls() > 0
    });
    assert_eq!(p.status(), 200);
    p.reload(&edited(&text, &[("settings/Profiles/2/Name", json!("post"))]));
    wait_for("the file", || p.logged("configuration read again") == 1);
    assert_eq!(call(&p, "post"), SERVED);
    assert_never_exhausted(&p);
    p.terminate();
    assert!(p.ended().success());
    drop(idle);
}

/// Clients hold half of the descriptors while no host is listed. When a list arrives, each host gets a connection.
#[test]
fn hosts_that_are_listed_late_get_connections() {
    let hosts: Vec<_> =
        (0..12).map(|_| Host::start(Ways { does: Does::Answer("200"), work: ms(200), load: None })).collect();
    let bus = Bus::start();
    let p = Program::start_with_descriptors(MAX_DESCRIPTORS, &low_limit(bus.address, &[], &[]), false);
    let (_, mut feed) = bus.greeted();
    let idle = idle_clients(&p, 100);
    wait_for("evictions", || p.logged("reason=evicted") > 20);
    let listed: Vec<_> = hosts.iter().zip(0..).map(|(host, n)| (n, host.address, 0)).collect();
    feed.write_all(&event(2, false, &listed)).unwrap();
    let mut client = p.connect();
    let mut served = 0;
    wait_for("the list", || call(&p, "check-score") == SERVED);
    for stream in 1..=32 {
        let id = format!("{stream:016x}");
        let function = format!("{stream:016x}");
        let frame = whole_call_frame(stream, [&id, "send-mail", "5c0f6e1a", &function], 4000, b"");
        client.write_all(&frame).unwrap();
    }
    for _ in 1..=32 {
        served += usize::from(read_frame(&mut client).expect("an answer").code == SERVED);
    }
    assert_never_exhausted(&p);
    assert_eq!(served, 32);
    assert!(p.descriptors() <= MAX_DESCRIPTORS as usize);
    drop(idle);
}

/// With more hosts than descriptors, an idle host's connection is closed to connect to another host.
#[test]
fn calls_reach_hosts_when_there_are_more_hosts_than_descriptors() {
    let hosts: Vec<_> = (0..40).map(|_| Host::warm()).collect();
    let bus = Bus::start();
    let p = Program::start_with_descriptors(
        MAX_DESCRIPTORS,
        &low_limit(bus.address, &hosts.iter().collect::<Vec<_>>(), &[]),
        false,
    );
    let (_, _feed) = bus.greeted();
    let mut client = p.connect();
    for stream in 1..=200 {
        let id = format!("{stream:016x}");
        let frame = whole_call_frame(stream, [&id, "send-mail", "5c0f6e1a", &id], 4000, b"");
        client.write_all(&frame).unwrap();
        assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED, "call {stream}");
    }
    assert_never_exhausted(&p);
    assert!(hosts.iter().filter(|host| host.calls() > 0).count() > 20);
    assert!(p.descriptors() <= MAX_DESCRIPTORS as usize);
}

/// Everything that uses descriptors at once stays within the limit, and later clients and operators are served: idle
/// clients, operators with incomplete requests, silent connections to the upgrade socket, and calls at hosts.
#[test]
fn everything_at_once_is_within_the_limit() {
    let hosts: Vec<_> =
        (0..30).map(|_| Host::start(Ways { does: Does::Answer("200"), work: ms(400), load: None })).collect();
    let bus = Bus::start();
    let text = low_limit(bus.address, &hosts.iter().collect::<Vec<_>>(), &[]);
    let mut p = Program::start_with_descriptors(MAX_DESCRIPTORS, &text, false);
    let (_, _feed) = bus.greeted();
    let mut client = p.connect();
    for stream in 1..=32 {
        let id = format!("{stream:016x}");
        let frame = whole_call_frame(stream, [&id, "send-mail", "5c0f6e1a", &id], 4000, b"");
        client.write_all(&frame).unwrap();
    }
    let idle = idle_clients(&p, 100);
    let callers: Vec<_> = (0..20).map(|_| p.connect_control()).collect();
    callers.iter().for_each(|mut c| c.write_all(b"POST /standby HTTP/1.1\r\n").unwrap());
    let stranger = || UnixStream::connect(meeting_place(p.address)).unwrap();
    let strangers: Vec<_> = (0..8).map(|_| stranger()).collect();
    let mut max_used = 0;
    for _ in 1..=32 {
        let code = read_frame(&mut client).expect("an answer").code;
        assert!(matches!(code, SERVED | REFUSED), "{code}");
        max_used = max_used.max(p.descriptors());
    }
    assert!(max_used <= MAX_DESCRIPTORS as usize, "{max_used}");
    assert_eq!((p.status(), call(&p, "send-mail")), (200, SERVED));
    p.reload(&text);
    wait_for("the file", || p.logged("configuration read again") == 1);
    let found = p.lines().into_iter().filter(|l| l.contains("Too many open files")).collect::<Vec<_>>();
    assert!(found.is_empty(), "{found:?}");
    p.terminate();
    assert!(p.ended().success());
    drop((idle, callers, strangers));
}

/// An upgrade works while clients hold all the descriptors that they can: the new process accepts clients, and the old
/// one ends on SIGTERM.
#[test]
fn an_upgrade_works_while_clients_hold_all_they_can() {
    let host = Host::warm();
    let bus = Bus::start();
    let text = low_limit(bus.address, &[&host], &[]);
    let mut old = Program::start_with_descriptors(MAX_DESCRIPTORS, &text, false);
    let (_, _feed) = bus.greeted();
    let idle = idle_clients(&old, 100);
    wait_for("evictions", || old.logged("reason=evicted") > 20);
    let text = edited(&text, &[("listen", json!(old.address.to_string()))]);
    let new = Program::start_with_descriptors(MAX_DESCRIPTORS, &text, false);
    let (_, mut feed) = bus.greeted();
    feed.write_all(&event(2, false, &[(1, host.address, GONE)])).unwrap();
    wait_for("the new process", || new.status() == 200);
    assert_eq!(call(&new, "send-mail"), SERVED);
    old.terminate();
    assert!(old.ended().success());
    assert_eq!(call(&new, "send-mail"), SERVED);
    assert_never_exhausted(&new);
    drop(idle);
}

/// If the system has no descriptor for the first connections to the bus, to a host or of clients, they are retried
/// without busy waiting.
#[rstest]
fn connections_are_retried_after_descriptors_ran_out(
    #[values("accept", "connect")] what: &str,
    #[values("EMFILE", "ENFILE")] error: &str,
    #[values(1, 2)] from: u32,
) {
    let (a, b) = (Host::warm(), Host::warm());
    let bus = Bus::start();
    let faults = format!("{what}:{error}:{from}:4");
    let p = Program::start_with_faults(&faults, &config(bus.address, &[&a]), false);
    let mut client = p.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    let code = read_frame(&mut client).expect("an answer").code;
    assert!(matches!(code, SERVED | REFUSED), "{code}");
    let (_, mut feed) = bus.greeted();
    feed.write_all(&event(2, false, &[(0, a.address, GONE), (1, b.address, 0)])).unwrap();
    wait_for("the list", || call(&p, "check-score") == SERVED && b.calls() > 0);
    let used = p.used();
    std::thread::sleep(ms(300));
    assert!(p.used() - used < 10, "no spinning");
}

/// A limit of descriptors below what the program needs, in the file or of the system, ends the program with one line.
#[rstest]
#[case::by_the_file(20, None, "limits.sockets: 20 descriptors are too few")]
#[case::by_the_system(256, Some(30), "limit of the system: 30 descriptors are too few")]
fn too_few_descriptors_end_the_program_with_one_line(
    #[case] file: u32,
    #[case] system: Option<u32>,
    #[case] wanted: &str,
) {
    let bus = Bus::start();
    let text = edited(&config(bus.address, &[]), &[("limits/sockets", json!(file))]);
    let output = match system {
        None => {
            let (status, output) = turned_down(&text, false);
            assert!(!status.success() && output.lines().count() == 1, "{output}");
            output
        }
        Some(limit) => Program::fails_with_descriptors(limit, &text, false),
    };
    assert!(output.contains(wanted), "{output}");
}
