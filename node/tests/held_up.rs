//! A process that was stopped for a while (by SIGSTOP, or for want of a processor) then reads requests that arrived
//! meanwhile. The timeouts of their clients have been running since the arrival.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

use common::*;
use rstest::rstest;

const FAILED: u8 = 69;
const TIMEOUT_MS: u64 = 3000;
const STOPPED_MS: u64 = 2000;
/// An answer that does not count the stop would come `STOPPED_MS` late; half of that is allowed for a busy machine.
const MAX_ANSWER_MS: u64 = TIMEOUT_MS + STOPPED_MS / 2;

/// Guards against a timeout that is counted from when the request is read instead of from when it arrived. The request
/// comes on a connection that was open before the stop, or on one that is made during the stop.
#[rstest]
#[case::known_connection(true)]
#[case::new_connection(false)]
fn a_request_that_arrives_during_a_stop_is_answered_within_its_timeout(#[case] known: bool) {
    let host = Host::start(Ways { does: Does::Nothing, work: ms(1), load: None });
    let p = platform(&[&host]);
    let mut client = if known { Some(p.program.connect()) } else { None };
    if let Some(client) = &mut client {
        client.write_all(&client_frame(4, 9, &[0])).unwrap();
        read_frame(client).expect("the readiness answer");
    }
    p.program.stop(true);
    let mut client = client.unwrap_or_else(|| TcpStream::connect(p.program.address).unwrap());
    client.set_read_timeout(Some(LONG)).unwrap();
    let sent = Instant::now();
    client.write_all(&call_frame(1, "send-mail", TIMEOUT_MS as u32, b"")).unwrap();
    sleep(ms(STOPPED_MS));
    p.program.stop(false);
    let answer = std::iter::from_fn(|| read_frame(&mut client)).find(|f| f.kind == 2).expect("an answer");
    let after = sent.elapsed();
    assert_eq!(answer.code, FAILED);
    assert!(after < ms(MAX_ANSWER_MS), "answered after {after:?}, with a timeout of {TIMEOUT_MS} ms");
    // The host got the rest of the timeout as its limit.
    let (line, _) = host.seen.lock().unwrap().calls[0].clone();
    let limit = line.split([',', ' ']).find_map(|f| f.strip_prefix("limit=")?.parse::<u64>().ok());
    let limit = limit.expect("a limit");
    assert!(limit <= TIMEOUT_MS - STOPPED_MS + 150, "limit of {limit} ms");
}

/// Guards against an attempt for a request whose client has disconnected during the stop, before the request is read.
#[test]
fn no_attempt_is_sent_for_a_client_that_left_during_a_stop() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&client_frame(4, 9, &[0])).unwrap();
    read_frame(&mut client).expect("the readiness answer");
    p.program.stop(true);
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    drop(client);
    sleep(ms(500));
    p.program.stop(false);
    // A later client is served, so everything before has been read.
    let mut next = p.program.connect();
    next.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    read_frame(&mut next).expect("an answer");
    sleep(ms(100));
    let seen = host.seen.lock().unwrap();
    let mails = seen.calls.iter().filter(|(line, _)| line.contains("send-mail")).count();
    assert_eq!(mails, 0, "an attempt was sent half a second after the client had left");
}
