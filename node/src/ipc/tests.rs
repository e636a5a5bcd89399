//! Tests of `ipc` that need its private state.

use super::*;
use rstest::rstest;

fn passed(body: usize) -> PassedCall {
    let text = |t: &str| t.to_string();
    PassedCall {
        seq: 7,
        id: text("9b1f03aa5c7e2d41"),
        class: text("send-mail"),
        tenant: Some(text("acme")),
        function: text("f"),
        due: 1_700_000_000_000_000,
        lanes: 2,
        repeat: false,
        key: None,
        body: vec![3; body],
    }
}

fn call(body: usize) -> Frame {
    Frame::Call(passed(body))
}

fn call_with_fields(prefix: usize) -> Frame {
    let given = fields::CallFields { turn: Some((7, 2, vec![u64::MAX; prefix])), ..Default::default() };
    Frame::CallExt(passed(16 << 10), given.to_fields())
}

fn answer_with_fields() -> Frame {
    let fields = vec![("found".to_string(), "3".to_string())];
    let fields = fields::AnswerFields { fields, in_flight: None }.to_fields();
    Frame::AnswerExt { seq: 1, reply: Reply::Served, body: vec![0; 300], fields }
}

#[rstest]
#[case(Frame::Json("{}".into()))]
#[case(Frame::HolderAlive { phase: "held".into(), percent: 0.25 })]
#[case(call(0))]
#[case(call(16 << 10))]
#[case(Frame::Intent { seq: u64::MAX, number: 0, host: "s-1".into(), at: -1 })]
#[case(Frame::Answer { seq: 1, reply: Reply::Refused(250_000), body: vec![0; 300] })]
#[case(Frame::TakeOver)]
#[case(call_with_fields(64))]
#[case(answer_with_fields())]
fn a_frame_that_arrives_byte_by_byte_is_decoded_unchanged(#[case] frame: Frame) {
    let bytes = encode(&frame).unwrap();
    let mut ring = Ring::new(MAX_FRAME_BYTES + LENGTH_BYTES);
    for byte in &bytes[..bytes.len() - 1] {
        assert!(ring.push(&[*byte]));
        assert_eq!(decode_next(&mut ring), Ok(None));
    }
    ring.push(&bytes[bytes.len() - 1..]);
    assert_eq!(decode_next(&mut ring), Ok(Some(frame)));
    assert!(ring.is_empty());
}

#[rstest]
#[case::three_gigabytes(&[0, 0, 0, 0xc0, 1])]
#[case::length_of_zero(&[0, 0, 0, 0])]
#[case::no_such_variant(&[2, 0, 0, 0, 200, 1])]
#[case::truncated(&[2, 0, 0, 0, 3, 9])]
#[case::trailing_byte(&[2, 0, 0, 0, 14, 0])]
fn invalid_bytes_are_an_error(#[case] bytes: &[u8]) {
    let mut ring = Ring::new(64);
    ring.push(bytes);
    assert!(decode_next(&mut ring).is_err());
}

/// Random bytes give a frame, an incomplete frame or an error; never a panic, nor memory beyond the limit.
#[test]
fn random_bytes_do_not_cause_a_panic() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..20_000 {
        let mut bytes: Vec<u8> = (0..rng.usize(1..60)).map(|_| rng.u8(..)).collect();
        if rng.bool() {
            let length = (bytes.len() as u32).to_le_bytes();
            bytes.splice(0..0, length);
        }
        let mut ring = Ring::new(128);
        ring.push(&bytes);
        while let Ok(Some(_)) = decode_next(&mut ring) {}
    }
}

#[test]
fn a_frame_beyond_the_limit_is_not_encoded() {
    assert_eq!(encode(&call(MAX_FRAME_BYTES)), None);
}

/// Older versions identify a frame by its variant index, so the variants that they know must keep theirs.
#[rstest]
#[case(Frame::Json(String::new()), 0)]
#[case(call(0), 3)]
#[case(Frame::Abandoned { seq: 1 }, 4)]
#[case(Frame::Answer { seq: 1, reply: Reply::Failed, body: Vec::new() }, 7)]
#[case(Frame::Leaving, 16)]
#[case(call_with_fields(0), 17)]
#[case(answer_with_fields(), 18)]
fn frames_keep_their_variant_indexes(#[case] frame: Frame, #[case] index: u8) {
    assert_eq!(encode(&frame).unwrap()[LENGTH_BYTES], index);
}

/// The extra fields of a call must fit in the frame next to the longest body.
#[test]
fn extra_fields_stay_within_their_limit_in_the_frame() {
    let name = "z".repeat(255);
    let sites =
        vec![fields::Site::Host(name.clone()), fields::Site::Zone(name.clone()), fields::Site::Host(name)];
    let draft = Some("255:8".parse().unwrap());
    let given = fields::CallFields { turn: Some((u64::MAX, u16::MAX, vec![u64::MAX; 64])), draft, sites };
    let (plain, with) = (call(16 << 10), Frame::CallExt(passed(16 << 10), given.to_fields()));
    let length = |frame: &Frame| encode(frame).unwrap().len();
    assert!(length(&with) - length(&plain) <= fields::MAX_ENCODED_BYTES);
}

#[test]
fn every_outcome_code_gives_its_outcome_back() {
    assert!(OUTCOMES.iter().all(|outcome| OUTCOMES[usize::from(outcome_code(*outcome))] == *outcome));
}

/// Older versions drop the connection on a code that they do not know. The outcome that is sent instead must still
/// prove that the call did not run.
#[test]
fn an_attempt_without_a_connection_is_reported_as_not_sent() {
    let sent = OUTCOMES[usize::from(outcome_code(Outcome::NoConnection))];
    assert_eq!(sent, Outcome::NotSent);
    assert!(sent.never_ran());
}
