//! The codecs of clients' frames, hosts' lines, HTTP and PROXY headers on arbitrary bytes: they never panic, consume no
//! more than there is, and read complete messages.

#[path = "../src/front/platform/frames.rs"]
#[allow(dead_code)]
mod frames;
#[path = "../src/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../src/hosts/lines.rs"]
#[allow(dead_code)]
mod lines;
#[path = "../src/proxy.rs"]
#[allow(dead_code)]
mod proxy;
#[path = "../src/ring.rs"]
#[allow(dead_code)]
mod ring;

/// The module path under which the codecs use each other.
mod hosts {
    pub(crate) use crate::lines;
}

use frames::{Frame, Header};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ring::Ring;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(33),
        ..Default::default()
    }
}

/// Reads frames until one is incomplete or the framing is lost.
fn read_all(bytes: &[u8]) -> Vec<(Header, Result<Frame, String>)> {
    let mut ring = Ring::new(bytes.len().max(1));
    assert!(ring.push(bytes));
    let mut all = Vec::new();
    while let Ok(Some(header)) = frames::header(&ring) {
        let before = ring.len();
        let Some(payload) = frames::payload(&mut ring, &header) else { break };
        assert_eq!(before - ring.len(), header.length + 4);
        all.push((header, frames::frame(&header, &payload)));
    }
    all
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_from_a_client_are_read_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        read_all(&bytes);
    }

    /// A payload of arbitrary bytes after a header with the right length.
    #[test]
    fn any_payload_is_read_or_rejected(kind in 0..9u8, payload in prop::collection::vec(any::<u8>(), 0..400)) {
        let header = Header { length: payload.len() + 5, kind, stream: 1 };
        let read = frames::frame(&header, &payload);
        prop_assert_eq!(read.is_err(), !matches!(kind, 1 | 3 | 4));
    }

    /// The body is everything after the fields, unchanged.
    #[test]
    fn a_body_of_any_bytes_is_read_unchanged(body in prop::collection::vec(any::<u8>(), 0..300), cut in 0..300usize) {
        let mut payload = vec![4];
        let fields = [("kind", "a"), ("req", "00000000000000ff"), ("timeout", "9"), ("subject", "7f3a9c21e0b4d655")];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.as_bytes());
            payload.extend((value.len() as u16).to_le_bytes());
            payload.extend(value.as_bytes());
        }
        let fields_end = payload.len();
        payload.extend(&body);
        let header = Header { length: payload.len() + 5, kind: 1, stream: 1 };
        match frames::frame(&header, &payload) {
            Ok(Frame::Request(Ok(request))) => prop_assert_eq!(request.body, body),
            other => prop_assert!(false, "{:?}", other),
        }
        // Truncated within its fields it is no valid request.
        let cut = &payload[..cut.min(fields_end - 1)];
        let header = Header { length: cut.len() + 5, kind: 1, stream: 1 };
        prop_assert!(matches!(frames::frame(&header, cut), Ok(Frame::Request(Err(_)))));
    }

    /// Only complete answers of hosts are removed from the ring.
    #[test]
    fn any_bytes_from_a_host_are_read_or_rejected(bytes in host_bytes()) {
        let mut ring = Ring::new(bytes.len().max(1));
        prop_assert!(ring.push(&bytes));
        loop {
            let before = ring.len();
            match lines::next_answer(&mut ring) {
                Ok(Some(answer)) => {
                    prop_assert!(ring.len() < before);
                    answer.attempt_end(true, true);
                    answer.outcome();
                    answer.copies();
                }
                Ok(None) | Err(_) => {
                    prop_assert_eq!(ring.len(), before);
                    break;
                }
            }
        }
    }

    #[test]
    fn any_bytes_from_an_operator_are_read_or_rejected(bytes in http_bytes()) {
        let mut ring = Ring::new(bytes.len().max(1));
        prop_assert!(ring.push(&bytes));
        while let Ok(http::Parsed::Whole(request)) = http::next_request(&mut ring, 300) {
            prop_assert!(request.body.len() <= 300);
            request.preferences();
        }
    }

    #[test]
    fn any_bytes_from_a_proxy_are_read_or_rejected(rest in prop::collection::vec(any::<u8>(), 0..80), cut in 0..13usize) {
        let signature = b"\r\n\r\n\0\r\nQUIT\n";
        let bytes = [&signature[..cut.min(12)], &rest].concat();
        let mut ring = Ring::new(bytes.len().max(1));
        prop_assert!(ring.push(&bytes));
        let before = ring.len();
        if !matches!(proxy::next_header(&mut ring), Ok(Some(_))) {
            prop_assert_eq!(ring.len(), before);
        }
    }
}

/// A sequence of these pieces with random bytes between them.
fn of_pieces(pieces: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    let piece = prop::sample::select(pieces).prop_map(|piece| piece.as_bytes().to_vec());
    let noise = prop::collection::vec(any::<u8>(), 0..4);
    let any = prop_oneof![9 => piece, 1 => noise];
    prop::collection::vec(any, 0..40).prop_map(|pieces| pieces.concat())
}

fn host_bytes() -> impl Strategy<Value = Vec<u8>> {
    of_pieces(&[
        "9b1f",
        " ",
        "200",
        "404",
        "503",
        "500",
        "504",
        "alive",
        "tell=warm",
        "queue_fn=3",
        "queue_fn=99999999999",
        "meter=inflight:7;util:0.61",
        "meter=util:nan;x0:inf",
        ",",
        "=",
        "-",
        " 0\r\n\r\n",
        " 3\r\nabc\r\n",
        "\r\n",
        "99999999999999999999",
        "copies=-1",
        "p1 200 copies=2 0\r\n\r\n",
    ])
}

fn http_bytes() -> impl Strategy<Value = Vec<u8>> {
    of_pieces(&[
        "GET ",
        "POST ",
        "/status",
        " HTTP/1.1",
        " HTTP/1.0",
        "\r\n",
        "Host: x\r\n",
        "Content-Length: 4\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\n",
        "4\r\nabcd\r\n",
        "0\r\n\r\n",
        "ffffffffffffffff\r\n",
        "Prefer: wait=1\r\n",
        "Prefer: ;;=,wait=99999999999999999999\r\n",
        "abcd",
        ":",
        " ",
        "GET /status HTTP/1.1\r\nHost: x\r\n\r\n",
    ])
}
