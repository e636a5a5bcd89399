//! Admission of clients, on real sockets. Each client is a loopback address.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use common::rollout::edited;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};

const SERVED: u8 = 79;
const REFUSED: u8 = 66;
/// A well-behaved client.
const TEACHER: [u8; 4] = [127, 0, 0, 9];
/// An address that exceeds its caps or is blocked.
const BAD: [u8; 4] = [127, 0, 0, 2];

/// The configuration of a platform activator with these rules and this limit of descriptors.
fn text(bus: &Bus, hosts: &[&Host], sockets: u32, rules: Value) -> String {
    edited(&config(bus.address, hosts), &[("admission", rules), ("limits/sockets", json!(sockets))])
}

fn start(hosts: &[&Host], sockets: u32, rules: Value) -> Platform {
    let bus = Bus::start();
    let program = Program::start(&text(&bus, hosts, sockets, rules), false);
    let (_, feed) = bus.greeted();
    wait_for("readiness", || program.status() == 200);
    Platform { program, bus, feed }
}

fn show(p: &Program) -> Value {
    p.ask("GET", "/admission", "").1
}

/// Whether the other side closes the connection within `LONG`.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(LONG)).unwrap();
    loop {
        match stream.read(&mut [0; 64]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return true,
            Err(_) => return false,
        }
    }
}

/// Whether the connection is open and nothing has arrived.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let read = (&*stream).read(&mut [0; 1]);
    stream.set_nonblocking(false).unwrap();
    read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}

/// The code that answers a call on this connection; `None` if the connection is closed instead.
fn call_on(stream: &mut TcpStream, n: u32) -> Option<u8> {
    let _ = stream.write_all(&call_frame(n, "check-score", 4000, b""));
    let mut length = [0; 1];
    match stream.peek(&mut length) {
        Ok(0) | Err(_) => None,
        Ok(_) => read_frame(stream).map(|frame| frame.code),
    }
}

/// Guards against an address that takes all descriptors with connections: it keeps its cap, and others are admitted.
#[test]
fn one_address_cannot_take_all_connections() {
    let host = Host::warm();
    let rules = json!({"address": {"connections": 8}, "penalty": {"refusals": 100000}});
    let p = start(&[&host], 128, rules);
    let flood: Vec<_> = (0..1000).map(|_| p.program.connect_from(BAD)).collect();
    wait_for("the flood", || show(&p.program)["refused"] == json!(992));
    assert_eq!(flood.iter().filter(|s| is_open(s)).count(), 8);
    for last in 10..40 {
        assert_eq!(call_on(&mut p.program.connect_from([127, 0, 0, last]), 1), Some(SERVED));
    }
    wait_for("the log", || p.program.logged("admission refused: 127.0.0.2 connections") > 0);
    assert!(p.program.logged("127.0.0.2") < 20, "its log lines are limited in rate");
    let top = &show(&p.program)["top"][0];
    assert_eq!(
        (&top["prefix"], &top["connections"], &top["refused"]),
        (&json!("127.0.0.2"), &json!(8), &json!(992))
    );
}

/// Guards against many addresses that take all descriptors while none exceeds its cap: known clients get the
/// descriptors of their reserve back that others have borrowed.
#[test]
fn known_clients_get_their_reserve_when_many_addresses_connect() {
    let host = Host::warm();
    let rules = json!({"known": ["127.0.0.9"], "reserve": 0.5});
    let p = start(&[&host], 128, rules);
    let others: Vec<_> = (0..1000u32)
        .map(|n| p.program.connect_from([127, 1, (n / 250) as u8, (n % 250) as u8 + 1]))
        .collect();
    wait_for("the connections", || show(&p.program)["addresses"].as_u64() >= Some(1000));
    // More than the reserve, at once, and kept open.
    let mut teachers: Vec<_> = (0..15).map(|_| p.program.connect_from(TEACHER)).collect();
    for (n, teacher) in teachers.iter_mut().enumerate() {
        assert_eq!(call_on(teacher, 1), Some(SERVED), "{n}: {}", show(&p.program));
    }
    let show = show(&p.program);
    assert_eq!(show["clients"]["known"], json!(15));
    let ledger = &show["descriptors"];
    assert!(ledger["held"].as_u64() <= ledger["limit"].as_u64(), "{ledger}");
    drop(others);
}

/// Guards against admitted calls that get no answer because descriptors run out. The system has fewer descriptors than
/// the configuration says, and many clients take them while admitted calls need connections to hosts. Every call gets
/// one answer, new connections are closed at once, and the activator recovers.
#[test]
fn admitted_calls_are_answered_when_descriptors_run_out() {
    let hosts: Vec<_> =
        (0..4).map(|_| Host::start(Ways { does: Does::Answer("200"), work: ms(200), load: None })).collect();
    let bus = Bus::start();
    let rules = json!({"known": ["127.0.0.9"]});
    let text = text(&bus, &hosts.iter().collect::<Vec<_>>(), 512, rules);
    let p = Program::start_with_descriptors(512, &text, false);
    let (_, _feed) = bus.greeted();
    wait_for("readiness", || p.status() == 200);
    // The limit at the start is read by the program; a lower limit later is noticed only by errors.
    p.limit_descriptors(64);
    let mut teacher = p.connect_from(TEACHER);
    for n in 1..=20 {
        teacher.write_all(&call_frame(n, "send-mail", 4000, format!("m{n}").as_bytes())).unwrap();
    }
    let others: Vec<_> = (0..200u32).map(|n| p.connect_from([127, 1, 0, (n % 250) as u8 + 1])).collect();
    let mut codes = Vec::new();
    while codes.len() < 20 {
        codes.push(read_frame(&mut teacher).expect("an answer").code);
    }
    assert!(codes.iter().filter(|c| **c == SERVED).count() >= 10, "{codes:?}");
    wait_for("the log", || p.logged("out of descriptors") > 0);
    let runs = |n: u32| hosts.iter().map(|h| h.runs(&format!("m{n}"))).sum::<u32>();
    assert!((1..=20).all(|n| runs(n) <= 1), "a mail ran twice");
    drop(others);
    let mut n = 100;
    wait_for("room again", || {
        n += 1;
        call_on(&mut p.connect_from(TEACHER), n) == Some(SERVED)
    });
    let used = p.used();
    std::thread::sleep(ms(500));
    assert!(p.used() - used < 10, "no spinning");
}

/// Each system call that creates a descriptor fails for a while, with each of these errors: the process does not end,
/// does not spin, and recovers.
#[rstest]
fn the_activator_recovers_from_failing_system_calls(
    #[values("accept", "connect")] call: &str,
    #[values("EMFILE", "ENFILE", "ENOBUFS", "ECONNABORTED")] error: &str,
    #[values(true, false)] admission: bool,
) {
    let host = Host::warm();
    let bus = Bus::start();
    let text = if admission { text(&bus, &[&host], 128, json!({})) } else { config(bus.address, &[&host]) };
    // The first connections are to the bus and from the readiness check.
    let p = Program::start_with_faults(&format!("{call}:{error}:6:4"), &text, false);
    let mut feeds = Vec::new();
    feeds.extend(bus.greeted_within(ms(300)));
    let mut served = 0;
    let started = Instant::now();
    while served < 12 {
        assert!(started.elapsed() < LONG, "{served} served");
        let mut client = p.connect_from(TEACHER);
        client.set_read_timeout(Some(ms(1000))).unwrap();
        let code = call_on(&mut client, 1);
        assert!(matches!(code, None | Some(SERVED | REFUSED)), "{code:?}");
        served += u32::from(code == Some(SERVED));
    }
    let used = p.used();
    std::thread::sleep(ms(300));
    assert!(p.used() - used < 10, "no spinning");
}

/// A client that is refused repeatedly gets a penalty: its connections are closed unread, for longer each time, until
/// the penalty expires.
#[test]
fn a_penalty_closes_connections_and_expires() {
    let host = Host::warm();
    let penalty = json!({"refusals": 5, "first_ms": 400, "longest_ms": 800});
    let p = start(&[&host], 128, json!({"address": {"connections": 1}, "penalty": penalty}));
    let held = p.program.connect_from(BAD);
    wait_for("the connection", || show(&p.program)["clients"]["others"] == json!(1));
    for _ in 0..10 {
        assert!(is_closed(&mut p.program.connect_from(BAD)));
    }
    let shown = show(&p.program);
    assert_eq!(shown["penalties"], json!(1), "{shown}");
    wait_for("the log", || p.program.logged("127.0.0.2 penalty") > 0);
    drop(held);
    wait_for("the end of the penalty", || call_on(&mut p.program.connect_from(BAD), 1) == Some(SERVED));
}

/// Operators block a prefix, unblock it, and make a prefix known.
#[test]
fn operators_block_prefixes_and_make_them_known() {
    let host = Host::warm();
    let p = start(&[&host], 128, json!({"address": {"connections": 1}, "known_factor": 3.0}));
    let post = |path: &str, body: &str| p.program.operate("POST", path, body);
    let mut idle = p.program.connect_from(BAD);
    assert_eq!(call_on(&mut idle, 1), Some(SERVED));
    let neighbourhood = "{\"prefix\":\"127.0.0.0/29\"}";
    assert_eq!(
        (post("/admission/block", neighbourhood), post("/admission/block", neighbourhood)),
        (200, 200)
    );
    assert!(is_closed(&mut idle), "an idle connection is closed");
    assert!(is_closed(&mut p.program.connect_from(BAD)));
    assert_eq!(call_on(&mut p.program.connect_from(TEACHER), 1), Some(SERVED));
    assert_eq!(show(&p.program)["blocked"], json!(["127.0.0.0/29"]));
    assert_eq!(post("/admission/unblock", neighbourhood), 200);
    assert_eq!(call_on(&mut p.program.connect_from(BAD), 1), Some(SERVED));
    assert_eq!(post("/admission/known", "{\"prefix\":\"127.0.0.9\"}"), 200);
    let mut known: Vec<_> = (0..3).map(|_| p.program.connect_from(TEACHER)).collect();
    assert!(known.iter_mut().all(|s| call_on(s, 1) == Some(SERVED)), "three times the cap");
    assert!(is_closed(&mut p.program.connect_from(TEACHER)));
    assert_eq!(post("/admission/block", "{\"prefix\":\"127.0.0.1/8\"}"), 400);
    assert_eq!(platform(&[&host]).program.operate("GET", "/admission", ""), 404, "admission is off");
}

/// A reload with a lower cap closes no open connection, and counts the open ones against the new cap.
#[test]
fn a_reload_lowers_a_cap_below_what_is_in_use() {
    let host = Host::warm();
    let bus = Bus::start();
    let rules = |cap: u32| json!({"address": {"connections": cap}});
    let program = Program::start(&text(&bus, &[&host], 128, rules(5)), false);
    let (_, _feed) = bus.greeted();
    wait_for("readiness", || program.status() == 200);
    let mut held: Vec<_> = (0..5).map(|_| program.connect_from(BAD)).collect();
    assert!(held.iter_mut().all(|s| call_on(s, 1) == Some(SERVED)));
    let again =
        edited(&text(&bus, &[&host], 128, rules(3)), &[("listen", json!(program.address.to_string()))]);
    program.reload(&again);
    wait_for("the reload", || program.logged("configuration read again") == 1);
    assert!(is_closed(&mut program.connect_from(BAD)));
    assert!(held.iter_mut().all(|s| call_on(s, 2) == Some(SERVED)));
    held.truncate(2);
    wait_for("room", || call_on(&mut program.connect_from(BAD), 1) == Some(SERVED));
    program.reload(&edited(&again, &[("admission/address/connections", json!(0))]));
    wait_for("the reload", || program.logged("the old configuration is kept") == 1);
}

/// Silent clients, slow senders and clients that reconnect at full speed hold no more than their cap, and other clients
/// are served.
#[test]
fn slow_and_reconnecting_clients_hold_no_more_than_their_cap() {
    let host = Host::warm();
    let rate = json!({"per_second": 2, "burst": 20});
    let rules = json!({"address": {"connections": 4, "connect_rate": rate}, "penalty": {"refusals": 100000}});
    let p = start(&[&host], 128, rules);
    let silent: Vec<_> = (0..40).map(|_| p.program.connect_from([127, 0, 2, 1])).collect();
    let mut slow: Vec<_> = (0..40).map(|_| p.program.connect_from([127, 0, 2, 2])).collect();
    let frame = call_frame(1, "check-score", 4000, b"");
    let fast =
        (0..400).filter(|_| call_on(&mut p.program.connect_from([127, 0, 2, 3]), 1) == Some(SERVED)).count();
    for piece in 0..10 {
        slow.iter_mut().for_each(|s| drop(s.write_all(&frame[piece..piece + 1])));
        assert_eq!(call_on(&mut p.program.connect_from([127, 0, 0, 10 + piece as u8]), 1), Some(SERVED));
        std::thread::sleep(ms(10));
    }
    let held = |streams: &[TcpStream]| streams.iter().filter(|s| is_open(s)).count();
    assert!(held(&silent) <= 4 && held(&slow) <= 4, "{} {}", held(&silent), held(&slow));
    assert!((20..400).contains(&fast), "{fast} of 400 at a rate of 2 a second and a burst of 20");
}

/// After a reload with fewer descriptors than are in use, open calls are answered, and no new connection is admitted
/// until enough descriptors are free.
#[test]
fn a_reload_lowers_the_descriptors_below_what_is_in_use() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(700), load: None });
    let bus = Bus::start();
    let program = Program::start(&text(&bus, &[&host], 128, json!({"reserve": 0.0})), false);
    let (_, _feed) = bus.greeted();
    wait_for("readiness", || program.status() == 200);
    let mut held: Vec<_> = (0..50u8).map(|n| program.connect_from([127, 0, 3, n + 1])).collect();
    // Each call has its own id.
    for (n, stream) in held.iter_mut().enumerate() {
        stream.write_all(&call_frame(n as u32 + 1, "check-score", 4000, b"")).unwrap();
    }
    wait_for("the calls", || host.calls() > 0 && show(&program)["clients"]["others"] == json!(50));
    let listen = ("listen", json!(program.address.to_string()));
    program.reload(&edited(&text(&bus, &[&host], 64, json!({"reserve": 0.0})), &[listen]));
    wait_for("the reload", || program.logged("configuration read again") == 1);
    assert!(is_closed(&mut program.connect_from(BAD)), "no descriptor for a new client");
    for stream in &mut held {
        let code = read_frame(stream).expect("an answer").code;
        assert!(code == SERVED || code == REFUSED, "{code}");
    }
    drop(held);
    host.ways.lock().unwrap().work = ms(1);
    wait_for("room", || call_on(&mut program.connect_from(BAD), 1) == Some(SERVED));
}

/// The operator's file adds sections to the platform's configuration, which operators cannot change.
#[test]
fn an_operators_file_adds_to_the_platforms_configuration() {
    let (host, bus) = (Host::warm(), Bus::start());
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/admission-platform.toml");
    let p = Program::start_with("WHEELLINK_ADDITIONS", file, &config(bus.address, &[&host]), false);
    let (_, _feed) = bus.greeted();
    wait_for("readiness", || p.status() == 200);
    assert_eq!(call_on(&mut p.connect_from(TEACHER), 1), Some(SERVED));
    assert_eq!((p.operate("GET", "/admission", ""), p.operate("GET", "/rollout", "")), (200, 404));
}

/// Guards against counts that stay behind when a proxied connection closes right after the proxy has named its client.
#[test]
fn proxied_connections_that_close_at_once_leave_no_counts() {
    let host = Host::warm();
    let p = start(&[&host], 128, json!({"proxies": ["127.0.0.5"], "address": {"connections": 4}}));
    for n in 0..200u32 {
        let mut stream = p.program.connect_from([127, 0, 0, 5]);
        stream.write_all(&proxy_header([192, 0, 2, (n % 50) as u8])).unwrap();
    }
    wait_for("their close", || show(&p.program)["clients"] == json!({"known": 0, "others": 0}));
    let top = show(&p.program)["top"].as_array().unwrap().clone();
    assert!(top.iter().all(|e| e["connections"] == json!(0)), "{top:?}");
    assert_eq!(call_on(&mut p.program.connect_from(TEACHER), 1), Some(SERVED));
}

/// A client becomes known on its open connection after it was served, and is no longer known after a refusal.
#[test]
fn a_served_client_becomes_known() {
    let host = Host::warm();
    let rules = json!({"address": {"connections": 2}, "learn_calls": 10});
    let p = start(&[&host], 128, rules);
    let mut teacher = p.program.connect_from(TEACHER);
    for n in 1..=9 {
        assert_eq!(call_on(&mut teacher, n), Some(SERVED));
    }
    assert_eq!(show(&p.program)["clients"], json!({"known": 0, "others": 1}));
    for n in 10..=12 {
        assert_eq!(call_on(&mut teacher, n), Some(SERVED));
    }
    assert_eq!(show(&p.program)["clients"], json!({"known": 1, "others": 0}));
    // The cap is eight now. The ninth connection is refused, and the client is no longer known.
    let more: Vec<_> = (0..7).map(|_| p.program.connect_from(TEACHER)).collect();
    assert!(is_closed(&mut p.program.connect_from(TEACHER)));
    assert_eq!(call_on(&mut teacher, 13), Some(SERVED));
    assert_eq!(
        show(&p.program)["clients"]["known"],
        json!(7),
        "only the connection that called again is updated"
    );
    drop(more);
}

/// If the system has no descriptor for a connection to a host, an idle client's connection is closed to make room.
#[test]
fn an_admitted_call_takes_the_descriptor_of_an_idle_client() {
    let host = Host::warm();
    let bus = Bus::start();
    // The first connection is to the bus, the second one to the host.
    let p = Program::start_with_faults("connect:EMFILE:2:1", &text(&bus, &[&host], 128, json!({})), false);
    let (_, _feed) = bus.greeted();
    wait_for("readiness", || p.status() == 200);
    let mut idle = p.connect_from(BAD);
    std::thread::sleep(ms(100));
    let mut teacher = p.connect_from(TEACHER);
    let first = call_on(&mut teacher, 1);
    assert!(matches!(first, Some(SERVED | REFUSED)), "{first:?}");
    assert!(is_closed(&mut idle));
    assert_eq!((show(&p)["system_exhausted"].clone(), call_on(&mut teacher, 2)), (json!(1), Some(SERVED)));
    assert_eq!(p.logged("out of descriptors for a host: a client made room"), 1);
}

fn proxy_header(client: [u8; 4]) -> Vec<u8> {
    let block = [&client[..], &[127, 0, 0, 1, 0x9c, 0x40, 0x1f, 0x90]].concat();
    [b"\r\n\r\n\0\r\nQUIT\n\x21\x11\x00\x0c".as_slice(), &block].concat()
}

/// Connections of a trusted proxy count for the client that its header names. A header from any other client is an
/// error.
#[test]
fn a_trusted_proxy_names_the_client_of_a_connection() {
    let host = Host::warm();
    let rules = json!({"proxies": ["127.0.0.5"], "address": {"connections": 1}});
    let p = start(&[&host], 128, rules);
    let through = |client: [u8; 4]| {
        let mut stream = p.program.connect_from([127, 0, 0, 5]);
        stream.write_all(&proxy_header(client)).unwrap();
        stream
    };
    let mut first = through([192, 0, 2, 7]);
    assert_eq!(call_on(&mut first, 1), Some(SERVED));
    assert!(is_closed(&mut through([192, 0, 2, 7])), "one connection for each client");
    assert_eq!(call_on(&mut through([192, 0, 2, 8]), 1), Some(SERVED));
    drop(first);
    wait_for("the close", || call_on(&mut through([192, 0, 2, 7]), 1) == Some(SERVED));
    let mut silent = p.program.connect_from([127, 0, 0, 5]);
    silent.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert!(is_closed(&mut silent), "a proxy must name the client");
    let mut untrusted = p.program.connect_from(TEACHER);
    untrusted.write_all(&proxy_header([192, 0, 2, 9])).unwrap();
    assert!(is_closed(&mut untrusted));
    let top = show(&p.program)["top"].to_string();
    assert!(top.contains("192.0.2.7") && !top.contains("192.0.2.9") && !top.contains("127.0.0.5"), "{top}");
}

/// The invoke front tells refused clients when to retry, and does not read a long body that it will refuse.
#[test]
fn the_invoke_front_tells_refused_clients_when_to_retry() {
    let host = Host::warm();
    let rules =
        "\n[admission.address]\nopen_bytes = 8000\nrequest_rate = { per_second = 2.0, burst = 4.0 }\n";
    let (program, _resolver) = operator(&[&host], |text| text + rules);
    let mut statuses = Vec::new();
    let mut client = program.connect_from(BAD);
    for n in 0..6 {
        client.write_all(call("f1", "check-score", &[], &format!("c{n}")).as_bytes()).unwrap();
        let reply = read_reply(&mut client).unwrap();
        if reply.status == 429 {
            assert_eq!(reply.header("retry-after"), Some("1"));
            assert_eq!(reply.header("ratelimit-policy"), Some("\"request_rate\";q=2;w=1"));
            assert_eq!(reply.header("ratelimit"), Some("\"request_rate\";r=0;t=1"));
        }
        statuses.push(reply.status);
    }
    assert_eq!((statuses[0], statuses[5]), (200, 429), "{statuses:?}");
    assert_eq!(
        program.connect_from(TEACHER).write_all(call("f1", "check-score", &[], "t").as_bytes()).map_err(drop),
        Ok(())
    );
    // A call whose body would exceed the limit is answered after its head, before any of the body is sent.
    let mut long = program.connect_from([127, 0, 0, 3]);
    let head = "POST /v1/functions/f1/calls HTTP/1.1\r\nHost: x\r\nWheellink-Class: check-score\r\nContent-Length: 12000\r\n\r\n";
    long.write_all(head.as_bytes()).unwrap();
    assert_eq!(read_reply(&mut long).unwrap().status, 429);
    assert!(read_reply(&mut long).is_none());
    // A call within the limit is read and served, also in small pieces.
    let mut ok = program.connect_from([127, 0, 0, 4]);
    let body = "x".repeat(7_000);
    for piece in call("f1", "check-score", &[], &body).as_bytes().chunks(1_000) {
        ok.write_all(piece).unwrap();
        std::thread::sleep(ms(2));
    }
    assert_eq!(read_reply(&mut ok).unwrap().status, 200);
}

/// A tenant at its cap is refused, and another tenant is not.
#[test]
fn each_tenant_has_its_own_cap() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(600), load: None });
    let (program, _resolver) = operator(&[&host], |text| text + "\n[admission.tenant]\nopen = 1\n");
    let ask = |tenant: &str, body: &str| {
        let mut client = program.connect();
        let header = format!("Wheellink-Tenant: {tenant}");
        client.write_all(call("f1", "check-score", &[&header], body).as_bytes()).unwrap();
        client
    };
    let mut first = ask("kouterzorg", "a");
    wait_for("the call", || host.calls() == 1);
    assert_eq!(read_reply(&mut ask("kouterzorg", "b")).unwrap().status, 429);
    assert_eq!(read_reply(&mut ask("scholen-leieland", "c")).unwrap().status, 200);
    assert_eq!(read_reply(&mut first).unwrap().status, 200);
    assert_eq!(read_reply(&mut ask("kouterzorg", "d")).unwrap().status, 200);
}

/// A new process refuses the clients that the old one refuses, from its first connection on, and applies blocks that
/// operators set at the old one later.
#[test]
fn a_new_process_refuses_the_clients_that_the_old_one_refuses() {
    let host = Host::warm();
    let rules = json!({"address": {"connections": 1}, "penalty": {"refusals": 5, "first_ms": 60000, "longest_ms": 60000}});
    let old = start(&[&host], 256, rules.clone());
    assert_eq!(old.program.operate("POST", "/admission/block", "{\"prefix\":\"127.0.0.3\"}"), 200);
    let _held = old.program.connect_from(BAD);
    for _ in 0..8 {
        assert!(is_closed(&mut old.program.connect_from(BAD)));
    }
    let listen = ("listen", json!(old.program.address.to_string()));
    let new = Program::start(&edited(&text(&old.bus, &[&host], 256, rules), &[listen]), false);
    let (_, _feed) = old.bus.greeted();
    wait_for("the new process", || new.status() == 200);
    assert!(is_closed(&mut new.connect_from([127, 0, 0, 3])) && is_closed(&mut new.connect_from(BAD)));
    assert_eq!(call_on(&mut new.connect_from(TEACHER), 1), Some(SERVED));
    assert_eq!(old.program.operate("POST", "/admission/block", "{\"prefix\":\"127.0.0.9\"}"), 200);
    wait_for("the block", || is_closed(&mut new.connect_from(TEACHER)));
}
