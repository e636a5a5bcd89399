//! A process becomes ready even if the bus, the peers, the hosts and the other process of an upgrade do not answer.
//! These tests measure no times: `node/src/startup.rs` bounds the sum of the timeouts.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread::spawn;

use common::rollout::edited;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};

const YES: u8 = 79;
const REFUSED: u8 = 66;

/// Asks for readiness as a front proxy does, until the answer is yes.
fn wait_ready(p: &Program) {
    let mut client = p.connect();
    let mut stream = 0;
    wait_for("readiness", || {
        stream += 1;
        client.write_all(&client_frame(4, stream, &[0])).unwrap();
        let answer = read_frame(&mut client).expect("an answer");
        assert!(answer.kind == 5 && matches!(answer.code, YES | REFUSED), "{answer:?}");
        answer.code == YES
    });
}

/// An address where nothing listens. No test opens connections from it, so that its port stays free.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.78:0").unwrap().local_addr().unwrap()
}

/// A bus that accepts connections, reads, and writes these bytes to each.
fn bus_that_writes(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read(&mut [0; 8]);
            let _ = stream.write_all(&bytes);
            held.push(stream);
        }
    });
    address
}

/// Configures peers that receive gossip and send none.
fn with_silent_peers(text: &str, silent: &[UdpSocket]) -> String {
    let peers: Vec<_> = silent.iter().map(|s| json!(s.local_addr().unwrap().to_string())).collect();
    edited(
        text,
        &[
            ("settings/Limits/MayTell", json!(true)),
            ("settings/GroupSize", json!(peers.len())),
            ("peer_listen", json!("127.0.0.1:0")),
            ("peers_all", peers[0].clone()),
            ("peers", Value::Array(peers)),
        ],
    )
}

enum Fault {
    Refusing,
    NeverConnects,
    Silent,
    HalfAFrame,
    InvalidFrame,
}

#[rstest]
#[case::refuses(Fault::Refusing)]
#[case::never_connects(Fault::NeverConnects)]
#[case::accepts_and_is_silent(Fault::Silent)]
#[case::sends_half_a_frame(Fault::HalfAFrame)]
#[case::sends_an_invalid_frame(Fault::InvalidFrame)]
fn a_process_becomes_ready_without_discovery_peers_and_hosts(#[case] fault: Fault) {
    let stuck = Stuck::start();
    let bus = match fault {
        Fault::Refusing => unused_address(),
        Fault::NeverConnects => stuck.address,
        Fault::Silent => bus_that_writes(Vec::new()),
        Fault::HalfAFrame => bus_that_writes(event(2, true, &[(1, unused_address(), 0)])[..20].to_vec()),
        Fault::InvalidFrame => bus_that_writes(vec![0xff; 64]),
    };
    let silent: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let known = json!([{"offset": 1, "topology": {"revision": 1, "complete": true, "members": [
        {"id": "s-00000001", "host_port": unused_address().to_string(), "locality": "z", "flavor": "k", "cell": 0,
         "phase": "active", "size": 1, "up_since_ms": 0}]}}]);
    let text = edited(&config(bus, &[]), &[("known/batch", known)]);
    let mut p = Program::start(&with_silent_peers(&text, &silent), false);
    wait_ready(&p);
    // The hosts refuse connections; the call is answered nevertheless.
    let mut client = p.connect();
    client.write_all(&call_frame(1, "check-score", 1000, b"")).unwrap();
    assert_ne!(read_frame(&mut client).expect("an answer").code, YES);
    p.terminate();
    assert!(p.ended().success());
}

/// How the process that holds the upgrade socket behaves.
enum Holder {
    /// Its queue is full and it accepts no connection, like a stopped process.
    Full,
    /// It accepts connections and sends nothing.
    Silent,
    /// It sends single bytes that never complete a message.
    Drips,
}

/// Guards against a start that waits forever for the process that holds the upgrade socket of its address: one that
/// does not answer is ignored.
#[rstest]
#[case::accepts_nobody(Holder::Full)]
#[case::sends_nothing(Holder::Silent)]
#[case::never_completes_a_message(Holder::Drips)]
fn a_holder_of_the_upgrade_socket_that_does_not_answer_is_ignored(#[case] holder: Holder) {
    let address = unused_address();
    let place = meeting_place(address);
    let socket = socket2::Socket::new(socket2::Domain::UNIX, socket2::Type::STREAM, None).unwrap();
    socket.bind(&socket2::SockAddr::unix(&place).unwrap()).unwrap();
    socket.listen(0).unwrap();
    let mut fill = Vec::new();
    match holder {
        Holder::Full => {
            let more = || {
                let next = socket2::Socket::new(socket2::Domain::UNIX, socket2::Type::STREAM, None).unwrap();
                next.set_nonblocking(true).unwrap();
                next.connect(&socket2::SockAddr::unix(&place).unwrap()).map(|()| next)
            };
            while let Ok(next) = more() {
                fill.push(next);
            }
        }
        Holder::Silent | Holder::Drips => {
            let listener = UnixListener::from(std::os::fd::OwnedFd::from(socket.try_clone().unwrap()));
            let drips = matches!(holder, Holder::Drips);
            spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    spawn(move || hold(stream, drips));
                }
            });
        }
    }
    let host = Host::warm();
    let bus = Bus::start();
    let text = edited(&config(bus.address, &[&host]), &[("listen", json!(address.to_string()))]);
    let mut p = Program::start(&text, false);
    wait_ready(&p);
    p.terminate();
    assert!(p.ended().success());
}

/// Holds a connection, and sends a byte every 200 ms if `drips`.
fn hold(mut stream: UnixStream, drips: bool) {
    let mut piece = [0; 1024];
    while stream.read(&mut piece).is_ok_and(|n| n > 0) {
        while drips && stream.write_all(b"x").is_ok() {
            std::thread::sleep(ms(200));
        }
    }
}

/// Guards against an upgrade that never completes: while another process runs, a new one waits for the host list, but
/// not forever if the bus does not answer it.
#[rstest]
#[case::silent(Fault::Silent)]
#[case::never_connects(Fault::NeverConnects)]
#[case::refuses(Fault::Refusing)]
fn an_upgrade_completes_without_discovery(#[case] fault: Fault) {
    let host = Host::warm();
    let bus = Bus::start();
    let text = config(bus.address, &[&host]);
    let old = Program::start(&text, false);
    let (_, _feed) = bus.greeted();
    wait_for("the old process", || old.status() == 200);
    let listen = json!(old.address.to_string());
    let stuck = Stuck::start();
    let bus_address = match fault {
        Fault::Refusing => unused_address(),
        Fault::NeverConnects => stuck.address,
        _ => bus_that_writes(Vec::new()),
    };
    let edits = [("listen", listen), ("bus", json!(bus_address.to_string()))];
    let new = Program::start(&edited(&text, &edits), false);
    wait_for("the new process", || new.status() == 200);
    wait_ready(&new);
}
