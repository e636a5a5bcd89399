//! Tests of `frames` that need its private state.

use super::*;
use rstest::rstest;

const VALID_FIELDS: [(&str, &str); 5] = [
    ("kind", "send-mail"),
    ("req", "9b1f03aa5c7e2d41"),
    ("timeout", "1500"),
    ("subject", "7f3a9c21e0b4d655"),
    ("props", "memory_mb:512;lanes:2"),
];

/// A payload with one field set to something else.
fn payload_with(name: &str, value: &str, body: &[u8]) -> Vec<u8> {
    let others = VALID_FIELDS.iter().copied().filter(|(n, _)| *n != name);
    let fields: Vec<_> = others.chain([(name, value)]).collect();
    let answer = encode(1, 1, Some((Code::Served, &fields)), body);
    // `encode` makes an answer; without its header and code, the rest is a request's payload.
    answer[HEADER_BYTES + 1..].to_vec()
}

fn parse(payload: &[u8]) -> Result<Box<Request>, String> {
    match frame(&Header { length: payload.len() + 5, kind: 1, stream: 1 }, payload).unwrap() {
        Frame::Request(request) => request,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_is_decoded_and_unknown_fields_are_ignored() {
    let request = parse(&payload_with("future", "x", b"\0body")).unwrap();
    let wanted = Request {
        id: "9b1f03aa5c7e2d41".into(),
        class: "send-mail".into(),
        function: "7f3a9c21e0b4d655".into(),
        timeout_ms: 1500,
        lanes: 2,
        body: b"\0body".to_vec(),
        ..Request::default()
    };
    assert_eq!(*request, wanted);
    let repeat = parse(&payload_with("resent", "1", b"")).unwrap();
    assert!(repeat.repeat && repeat.body.is_empty());
}

#[rstest]
#[case::id_too_short("req", "9b1f")]
#[case::id_with_a_line_end("req", "9b1f03aa5c7e2d\r\n")]
#[case::function_not_hex("subject", "7f3a9c21e0b4d65x")]
#[case::timeout_no_number("timeout", "soon")]
#[case::negative_timeout("timeout", "-1")]
#[case::timeout_out_of_range("timeout", "99999999999999999999")]
#[case::zero_lanes("props", "lanes:0")]
#[case::lanes_no_number("props", "lanes:x")]
#[case::infinite_memory("props", "memory_mb:inf;lanes:2")]
#[case::negative_memory("props", "memory_mb:-1")]
#[case::hint_no_number("ms", "NaN")]
#[case::negative_hint("ms", "-3")]
#[case::class_of_two_words("kind", "send mail")]
#[case::key_that_would_add_a_field("opkey", "a,limit=9")]
#[case::key_with_a_line_end("opkey", "a\r\nKILL 1")]
fn invalid_fields_are_errors(#[case] name: &str, #[case] value: &str) {
    assert!(parse(&payload_with(name, value, b"")).is_err());
}

#[rstest]
#[case::absent("", 1)]
#[case::other_property("memory_mb:512", 1)]
#[case::integer("lanes:4", 4)]
#[case::fraction("lanes:2.0", 2)]
fn lanes_are_read_and_default_to_one(#[case] props: &str, #[case] wanted: u32) {
    assert_eq!(parse(&payload_with("props", props, b"")).unwrap().lanes, wanted);
}

#[rstest]
#[case::shortest(5, true)]
#[case::longest(262_144, true)]
#[case::too_short(4, false)]
#[case::too_long(262_145, false)]
fn the_length_is_checked_before_the_rest_of_the_header_arrives(#[case] length: u32, #[case] valid: bool) {
    let mut ring = Ring::new(100);
    ring.push(&length.to_le_bytes());
    assert_eq!(header(&ring).is_ok(), valid);
}

#[test]
fn answers_and_notices_are_encoded_as_documented() {
    let bytes = answer(0x0102, Code::Refused, &[("holdoff", "20")], b"z");
    let fields = [&[1, 7][..], b"holdoff", &[2, 0], b"20"].concat();
    assert_eq!(bytes, [&[20, 0, 0, 0, 2, 2, 1, 0, 0, 66][..], &fields, b"z"].concat());
    assert_eq!(drain_notice(), [5, 0, 0, 0, 6, 0, 0, 0, 0]);
    assert_eq!(readiness(3, Code::Served), [7, 0, 0, 0, 5, 3, 0, 0, 0, 79, 0]);
}
