//! Invalid bytes from clients, the bus and other activators. The process survives them, and a call that was open
//! before is answered afterwards.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;

use common::rollout::edited;
use common::stand_in::stand_in;
use common::*;
use serde_json::{json, Value};

const SERVED: u8 = 79;
const FAILED: u8 = 69;
/// Timeout of the open call, longer than any test here.
const TIMEOUT_MS: u32 = 60_000;
/// The stream of the open call.
const OPEN_STREAM: u32 = 77;

/// A platform activator with a call that stays open at its host until [`Activator::answers_open_call`].
struct Activator {
    p: Program,
    bus: Bus,
    feed: std::net::TcpStream,
    client: std::net::TcpStream,
    released: Arc<AtomicBool>,
}

impl Activator {
    fn start(more: &[(&str, Value)]) -> Self {
        let released = Arc::new(AtomicBool::new(false));
        let (held, came) = (released.clone(), Arc::new(AtomicBool::new(false)));
        let there = came.clone();
        let host = stand_in(Arc::new(move |_: &str, body: &str| {
            there.fetch_or(body == "bystander", SeqCst);
            while body == "bystander" && !held.load(SeqCst) {
                std::thread::sleep(ms(2));
            }
            String::new()
        }));
        let bus = Bus::start();
        let member = json!({"id": "s-00000000", "host_port": host.to_string(), "locality": "z", "flavor": "k",
            "cell": 0, "phase": "active", "size": 1, "up_since_ms": 0});
        let text = config_of("n0", "127.0.0.1:0", bus.address, &[member]);
        // The host blocks, so probes to it would fail.
        let text = edited(&text, &[("settings/Limits/Probes", json!(false))]);
        let timeouts = [0, 1, 2].map(|i| format!("settings/Profiles/{i}/GiveUpUs"));
        let text = edited(&text, &timeouts.each_ref().map(|place| (place.as_str(), json!(60_000_000))));
        let p = Program::start(&edited(&text, more), false);
        let (_, feed) = bus.greeted();
        // Readiness stays, although this bus is silent between its frames.
        wait_for("readiness", || p.status() == 200);
        let mut client = p.connect();
        // Its id differs from that of any other call.
        client.write_all(&call_frame(OPEN_STREAM, "send-mail", TIMEOUT_MS, b"bystander")).unwrap();
        wait_for("the call", || came.load(SeqCst));
        Self { p, bus, feed, client, released }
    }

    /// Checks that the call is still open and that it is answered once its host continues.
    fn answers_open_call(mut self) {
        self.client.set_nonblocking(true).unwrap();
        assert!(self.client.read(&mut [0; 1]).is_err(), "no byte and no end of the connection");
        self.client.set_nonblocking(false).unwrap();
        self.released.store(true, SeqCst);
        let answer = read_frame(&mut self.client).expect("an answer");
        assert_eq!((answer.stream, answer.code, &answer.body[..]), (OPEN_STREAM, SERVED, &b"bystander"[..]));
        assert_eq!(self.p.status(), 200);
        self.p.terminate();
        assert!(self.p.ended().success());
    }

    /// Sends the bytes on a connection of their own, half-closes it, and returns what arrives until the program
    /// ends it.
    fn answers_to(&self, bytes: &[u8]) -> Vec<u8> {
        let mut stream = self.p.connect();
        let mut answers = Vec::new();
        // The program may end the connection, with or without a reset, before all is written.
        let _ = stream.write_all(bytes);
        let _ = stream.shutdown(Shutdown::Write);
        if let Err(e) = stream.read_to_end(&mut answers) {
            assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{bytes:?}: it does not end");
        }
        answers
    }

    /// Checks that the bytes get answers and that each of them is an error.
    fn assert_errors(&self, bytes: &[u8]) {
        let answers = self.answers_to(bytes);
        let mut rest = &answers[..];
        let mut errors = 0;
        while let Some(frame) = read_frame(&mut rest) {
            assert_eq!((frame.kind, frame.code), (2, FAILED), "{bytes:?}: {frame:?}");
            errors += 1;
        }
        assert!(errors > 0, "{bytes:?}");
    }
}

fn call(stream: u32) -> Vec<u8> {
    call_frame(stream, "check-score", 2000, b"body")
}

/// A request frame with this payload.
fn request_of(payload: &[u8]) -> Vec<u8> {
    client_frame(1, 1, payload)
}

/// An encoded field with these declared sizes.
fn field(name_size: u8, name: &[u8], value_size: u16, value: &[u8]) -> Vec<u8> {
    [&[name_size][..], name, &value_size.to_le_bytes(), value].concat()
}

#[test]
fn invalid_frames_from_clients() {
    let b = Activator::start(&[]);
    let good = call(1);
    // Truncated at any point, it gets no answer.
    for end in 0..good.len() {
        assert!(b.answers_to(&good[..end]).is_empty(), "cut at {end}");
    }
    // Truncated with a matching length field: the fields or their values are invalid.
    for end in 9..good.len() - b"body".len() {
        let mut cut = good[..end].to_vec();
        cut[..4].copy_from_slice(&((end - 4) as u32).to_le_bytes());
        b.assert_errors(&cut);
    }
    for length in [0, 1, 2, 3, 4, 262_145, u32::MAX] {
        b.assert_errors(&[&length.to_le_bytes()[..], &good[4..]].concat());
    }
    for kind in [0, 2, 5, 6, 7, 128, 255] {
        b.assert_errors(&client_frame(kind, 1, &good[9..]));
    }
    let long = call_frame(1, "check-score", 2000, &[7; (16 << 10) + 1]);
    let bad = [
        call(0),
        request_of(&[]),
        request_of(&[255]),
        request_of(&[1]),
        request_of(&[&[1][..], &field(4, b"kind", 60_000, b"x")].concat()),
        request_of(&[&[1][..], &field(255, b"kind", 1, b"x")].concat()),
        request_of(&[&[9][..], &field(4, b"kind", 11, b"check-score")].concat()),
        request_of(&[&[1][..], &field(4, b"kind", 2, b"\xff\xfe")].concat()),
        request_of(&[&[1][..], &field(4, b"\xff\xfe\xfd\xfc", 1, b"x")].concat()),
        long,
    ];
    bad.iter().for_each(|bytes| b.assert_errors(bytes));
    // A stream that was used before.
    let answers = b.answers_to(&[call(1), call(1)].concat());
    let mut rest = &answers[..];
    let mut codes: Vec<_> =
        std::iter::from_fn(|| read_frame(&mut rest)).map(|f| (f.stream, f.code)).collect();
    codes.sort();
    assert_eq!(codes, [(0, FAILED), (1, SERVED)]);
    b.answers_open_call();
}

#[test]
fn frames_from_clients_with_random_bit_flips() {
    let b = Activator::start(&[]);
    let mut rng = fastrand::Rng::with_seed(20);
    for n in 0..400 {
        let mut bytes = call(1);
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] ^= 1 << rng.u8(..8);
        }
        // Whatever the answer is, it consists of valid frames, and the connection ends.
        let answers = b.answers_to(&bytes);
        let mut rest = &answers[..];
        while let Some(frame) = read_frame(&mut rest) {
            assert!(matches!(frame.kind, 2 | 5), "{n}: {frame:?}");
        }
    }
    for _ in 0..100 {
        let noise: Vec<u8> = (0..rng.usize(1..600)).map(|_| rng.u8(..)).collect();
        b.answers_to(&noise);
    }
    b.answers_open_call();
}

#[test]
fn invalid_frames_from_the_bus() {
    let mut b = Activator::start(&[]);
    let nowhere = TcpListener::bind("127.0.0.79:0").unwrap().local_addr().unwrap();
    let nothing: &[u8] = &[0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0];
    let good = event(2, false, &[(9, nowhere, 0)]);
    let with = |at: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[at] = byte;
        bytes
    };
    let bad = [
        vec![0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8],
        vec![0xff; 40],
        vec![0, 3, 13, 65, 0],
        with(12, 3),
        with(12, 255),
        // A record with an invalid state, and truncated records.
        with(13 + 10, 3),
        with(3, good[3] - 1),
        with(3, good[3] + 200),
        good[..20].to_vec(),
        good[..3].to_vec(),
    ];
    for bytes in bad {
        // A valid frame first, so that the program does not delay its reconnect.
        b.feed.write_all(&[nothing, &bytes].concat()).unwrap();
        b.feed.shutdown(Shutdown::Write).unwrap();
        (_, b.feed) = b.bus.greeted();
    }
    b.answers_open_call();
}

/// A frame carries an event number that the bus never reaches. The program requests the whole list again, and applies
/// it and later events.
#[test]
fn an_event_number_that_the_bus_never_reaches() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = platform(&[&a]);
    p.feed.write_all(&event(1 << 40, false, &[(9, b.address, 2)])).unwrap();
    let (last, mut feed) = p.bus.greeted();
    assert_eq!(last, 0, "the whole list is requested");
    let nothing = [0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0];
    let whole = event(1, true, &[(0, a.address, 0)]);
    feed.write_all(
        &[&whole[..], &nothing, &event(2, false, &[(0, a.address, 2), (1, b.address, 0)])].concat(),
    )
    .unwrap();
    let mut client = p.program.connect();
    wait_for("the list", || {
        let stream = b.calls() + a.calls() + 1;
        client.write_all(&call(stream as u32)).unwrap();
        read_frame(&mut client).expect("an answer").code == SERVED && b.calls() > 0
    });
    assert_eq!(p.program.status(), 200);
}

#[test]
fn invalid_datagrams_from_other_activators() {
    // An address that no other test's connections use.
    let apart = || UdpSocket::bind("127.0.0.80:0").unwrap();
    let at: SocketAddr = apart().local_addr().unwrap();
    let (peer, stranger) = (apart(), apart());
    let named = |address: SocketAddr| json!(address.to_string());
    let b = Activator::start(&[
        ("settings/Limits/MayTell", json!(true)),
        ("settings/GroupSize", json!(2)),
        ("peer_listen", named(at)),
        ("peers_all", named(peer.local_addr().unwrap())),
        ("peers", json!([named(at), named(peer.local_addr().unwrap())])),
    ]);
    let mut rng = fastrand::Rng::with_seed(21);
    for n in 0..2_000 {
        let length = if n < 260 { n } else { rng.usize(..400) };
        let bytes: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
        let from = if n % 7 == 0 { &stranger } else { &peer };
        from.send_to(&bytes, at).unwrap();
    }
    // The program's own message with bits flipped, sent back as a peer's.
    peer.set_read_timeout(Some(LONG)).unwrap();
    let mut buffer = [0; 512];
    let (n, _) = peer.recv_from(&mut buffer).expect("a message from the program");
    for _ in 0..2_000 {
        let mut bytes = buffer[..n].to_vec();
        let place = rng.usize(..n);
        bytes[place] ^= 1 << rng.u8(..8);
        bytes.truncate(rng.usize(1..=n));
        peer.send_to(&bytes, at).unwrap();
    }
    b.answers_open_call();
}
