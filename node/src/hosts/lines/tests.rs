//! Tests of `lines` that need its private state.

use super::*;
use rstest::rstest;

fn parse(bytes: &[u8]) -> Result<Option<Answer>, String> {
    let mut ring = Ring::new(MAX_ANSWER_BYTES);
    assert!(ring.push(bytes));
    next_answer(&mut ring)
}

#[test]
fn commands_are_encoded_in_the_documented_form() {
    let bytes = CallLine::new("9b1f", ("save-answers", "7f3a"), Some("k1"), "", b"a\r\nb").bytes(1500);
    assert_eq!(bytes, b"FN 9b1f cls=save-answers,item=7f3a,limit=1500,nonce=k1 4\r\na\r\nb\r\n");
    assert_eq!(
        CallLine::new("1", ("c", "f"), None, "", b"").bytes(9),
        b"FN 1 cls=c,item=f,limit=9 0\r\n\r\n"
    );
    let drafted = CallLine::new("1", ("c", "f"), None, ",draft=1:4", b"").bytes(9);
    assert_eq!(drafted, b"FN 1 cls=c,item=f,limit=9,draft=1:4 0\r\n\r\n");
    let turn = CallLine::new("1", ("c", "f"), Some("k"), &blocks(&[0xab, 1]), b"").bytes(9);
    assert_eq!(turn, b"FN 1 cls=c,item=f,limit=9,nonce=k,blocks=ab;1 0\r\n\r\n");
    assert_eq!(spawn("o7", "7f3a", 2), b"SPAWN o7 item=7f3a,copies=2\r\n");
    let plain = [kill("9b1f"), reap("7f3a"), helo("p1")].concat();
    assert_eq!(plain, b"KILL 9b1f\r\nREAP 7f3a\r\nHELO p1\r\n");
}

#[test]
fn answers_are_parsed_from_single_bytes() {
    let mut ring = Ring::new(MAX_ANSWER_BYTES);
    let mut answers = Vec::new();
    for byte in b"a 200 tell=warm,queue_fn=3 5\r\n\r\nxyz\r\no1 503 copies=2 0\r\n\r\n" {
        ring.push(&[*byte]);
        answers.extend(next_answer(&mut ring).unwrap());
    }
    assert_eq!((answers[0].id.as_str(), answers[0].body.as_slice()), ("a", &b"\r\nxyz"[..]));
    assert_eq!((answers[1].outcome(), answers[1].copies()), (Outcome::Full, 2));
    assert!(ring.is_empty());
}

#[rstest]
#[case::warm("200 tell=warm,queue_fn=3", Outcome::Done, Some(Found::Warm), Some(3))]
#[case::cold("200 tell=cold", Outcome::Done, Some(Found::BeganLoad), Some(0))]
#[case::joined("200 tell=joined", Outcome::Done, Some(Found::AwaitedLoad), Some(0))]
#[case::miss("404 -", Outcome::Miss, None, None)]
#[case::load_failed("404 tell=load_failed", Outcome::Miss, Some(Found::LoadFailed), None)]
#[case::full("503 queue_fn=9", Outcome::Full, None, Some(9))]
#[case::error("500 -", Outcome::Error, None, None)]
#[case::not_sent("504 -", Outcome::NotSent, None, None)]
#[case::unknown("299 -", Outcome::Error, None, None)]
fn an_answer_gives_the_end_of_its_attempt(
    #[case] text: &str,
    #[case] outcome: Outcome,
    #[case] found: Option<Found>,
    #[case] overlap: Option<u32>,
) {
    let end = parse(format!("a {text} 0\r\n\r\n").as_bytes()).unwrap().unwrap().attempt_end(true, true);
    assert_eq!((end.outcome, end.found, end.overlap), (outcome, found, overlap));
}

#[rstest]
#[case::both("meter=outstanding:22.379;backlog:14.997", LoadReport::new(22.379, 14.997))]
#[case::with_other_figures("tell=warm,meter=inflight:7;util:0.61", LoadReport::new(7.0, 0.0))]
#[case::more_queued_than_inflight("meter=inflight:15;queue:16", LoadReport::new(15.0, 15.0))]
#[case::only_other_figures("meter=utilization:0.3;x1:2", None)]
#[case::outstanding_not_a_number("meter=outstanding:x", None)]
#[case::backlog_not_a_number("meter=outstanding:3;backlog:", None)]
#[case::out_of_range("meter=outstanding:1e300", None)]
#[case::negative("meter=outstanding:-1", None)]
#[case::none("-", None)]
fn an_answer_carries_the_load_report(#[case] fields: &str, #[case] report: Option<LoadReport>) {
    let text = format!("a 200 {fields} 0\r\n\r\n");
    assert_eq!(parse(text.as_bytes()).unwrap().unwrap().attempt_end(true, true).report, report);
}

#[rstest]
#[case::three_words("a 200 0\r\n")]
#[case::five_words("a 200 - 0 0\r\n")]
#[case::no_length("a 200 - x\r\n")]
#[case::no_fields("a 200 tell 0\r\n")]
#[case::body_over_the_maximum("a 200 - 999999999\r\n")]
#[case::body_too_long("a 200 - 1\r\nxyz\r\n")]
fn malformed_answers_are_errors(#[case] text: &str) {
    assert!(parse(text.as_bytes()).is_err());
}

#[rstest]
#[case::four("20;15;11;8;6;60;900000", Some((20, vec![15, 11, 8, 6], 60, 900_000)))]
#[case::no_positions("20;20;400000", Some((20, vec![], 20, 400_000)))]
#[case::short("20;20", None)]
#[case::empty("", None)]
#[case::not_a_number("20;x;20;400000", None)]
#[case::negative("20;-1;20;400000", None)]
#[case::too_many("1;1;1;1;1;1;1;1;1;1;1;1", None)]
fn drafting_figures_are_parsed(#[case] text: &str, #[case] wanted: Option<(u32, Vec<u32>, u32, u64)>) {
    let read = Accepted::read(text).map(|a| (a.rounds, a.accepted, a.tokens, a.micros));
    assert_eq!(read, wanted);
}

#[test]
fn a_line_over_the_maximum_length_is_an_error() {
    assert!(parse(&vec![b'a'; MAX_LINE_BYTES + 1]).is_err());
}
