//! Tests of `http` that need its private state.

use super::*;
use rstest::rstest;

const MAX_BODY_BYTES: usize = 32;

fn parse(bytes: &[u8]) -> Result<Parsed, Error> {
    let mut ring = Ring::new(64 << 10);
    assert!(ring.push(bytes));
    next_request(&mut ring, MAX_BODY_BYTES)
}

#[rstest]
#[case::no_request(b"\x00\x01\r\n\r\n", 400)]
#[case::no_host(b"GET / HTTP/1.1\r\n\r\n", 400)]
#[case::two_hosts(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400)]
#[case::folded(b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400)]
#[case::negative_length(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400)]
#[case::lengths_differ(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    400
)]
#[case::both(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400)]
#[case::chunked_in_1_0(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::too_large(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33\r\n\r\n", 413)]
#[case::huge(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413)]
#[case::chunks_too_large(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n21\r\n", 413)]
#[case::bad_chunk(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400)]
#[case::chunk_overruns(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400)]
#[case::gzip(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501)]
#[case::http_2(b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505)]
fn invalid_requests_are_errors_with_their_status(#[case] bytes: &[u8], #[case] status: u16) {
    assert_eq!(parse(bytes).unwrap_err().0, status);
}

#[test]
fn an_endless_header_is_an_error() {
    let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    assert_eq!(parse(long.as_bytes()).unwrap_err().0, 431);
}

#[rstest]
#[case::plain(b"\r\nPOST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", b"abc", true)]
#[case::same_length_twice(
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    b"abc",
    true
)]
#[case::chunks(
    b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\n",
    b"abc",
    false
)]
#[case::http_1_0(b"POST /x HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc", b"abc", false)]
#[case::old_kept(b"POST /x HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nabc", b"abc", true)]
fn a_request_is_parsed_byte_by_byte(#[case] bytes: &[u8], #[case] body: &[u8], #[case] keep_alive: bool) {
    let mut ring = Ring::new(64 << 10);
    for (i, byte) in bytes.iter().enumerate() {
        assert!(ring.push(&[*byte]));
        match next_request(&mut ring, MAX_BODY_BYTES).unwrap() {
            Parsed::Partial { .. } => assert!(i + 1 < bytes.len()),
            Parsed::Whole(r) => {
                assert_eq!((i + 1, r.path.as_str(), r.keep_alive), (bytes.len(), "/x", keep_alive));
                assert_eq!(r.body, body);
            }
        }
    }
    assert!(ring.is_empty());
}

#[test]
fn prefer_and_expect_headers_are_read() {
    let request = b"POST / HTTP/1.1\r\nHost: a\r\nPrefer: Respond-Async; x, wait=\"2\"\r\nPrefer: c\r\n\
        Expect: 100-Continue\r\nContent-Length: 1\r\n\r\n";
    let Ok(Parsed::Partial { expects_continue: true, head: Some(head) }) = parse(request) else {
        panic!("{:?}", parse(request))
    };
    assert_eq!(head.0.method, "POST");
    let Ok(Parsed::Whole(r)) = parse(&[&request[..], b"z"].concat()) else { panic!("incomplete") };
    let pair = |n: &str, v: &str| (n.to_string(), v.to_string());
    assert_eq!(r.preferences(), [pair("respond-async", ""), pair("wait", "2"), pair("c", "")]);
}

#[test]
fn only_responses_with_content_have_a_content_length() {
    let text = String::from_utf8(Response::problem(503, "x").encode(false, false)).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503 Service Unavailable\r\nDate: "));
    assert!(
        head.contains(&format!("\r\nContent-Length: {}", body.len())) && head.ends_with("Connection: close")
    );
    assert!(!String::from_utf8(Response::new(204).encode(true, false)).unwrap().contains("Content-Length"));
}
