//! A process that is stopped for a while (SIGSTOP, or no processor) finds requests that came meanwhile: their clients' time
//! has run all along.

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
/// Half of what would be late, for a busy machine.
const LATEST_MS: u64 = TIMEOUT_MS + STOPPED_MS / 2;

/// On a connection that it has had for long, and on one that is made while it is stopped.
#[rstest]
#[case::known_connection(true)]
#[case::new_connection(false)]
fn a_request_that_came_while_the_process_was_stopped_is_answered_in_its_time(#[case] known: bool) {
    let host = Host::start(Ways { does: Does::Nothing, work: ms(1), load: None });
    let p = platform(&[&host]);
    let mut client = if known { Some(p.program.connect()) } else { None };
    if let Some(client) = &mut client {
        client.write_all(&client_frame(4, 9, &[0])).unwrap();
        read_frame(client).expect("word of its readiness");
    }
    p.program.stop(true);
    let mut client = client.unwrap_or_else(|| TcpStream::connect(p.program.address).unwrap());
    client.set_read_timeout(Some(LONG)).unwrap();
    let asked = Instant::now();
    client.write_all(&call_frame(1, "send-mail", TIMEOUT_MS as u32, b"")).unwrap();
    sleep(ms(STOPPED_MS));
    p.program.stop(false);
    let answer = std::iter::from_fn(|| read_frame(&mut client)).find(|f| f.kind == 2).expect("an answer");
    let after = asked.elapsed();
    assert_eq!(answer.code, FAILED);
    assert!(after < ms(LATEST_MS), "answered after {after:?}, its client waited {TIMEOUT_MS} ms");
    // The host was told of what was left by then.
    let (line, _) = host.seen.lock().unwrap().calls[0].clone();
    let limit = line.split([',', ' ']).find_map(|f| f.strip_prefix("limit=")?.parse::<u64>().ok());
    let limit = limit.expect("a limit");
    assert!(limit <= TIMEOUT_MS - STOPPED_MS + 150, "told {limit} ms");
}

/// Its client has gone long before the process reads its request: no attempt begins.
#[test]
fn nothing_begins_for_a_client_that_left_while_the_process_was_stopped() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&client_frame(4, 9, &[0])).unwrap();
    read_frame(&mut client).expect("word of its readiness");
    p.program.stop(true);
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    drop(client);
    sleep(ms(500));
    p.program.stop(false);
    // Whoever comes later is served, so that all before has been read.
    let mut next = p.program.connect();
    next.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    read_frame(&mut next).expect("an answer");
    sleep(ms(100));
    let seen = host.seen.lock().unwrap();
    let mails = seen.calls.iter().filter(|(line, _)| line.contains("send-mail")).count();
    assert_eq!(mails, 0, "begun half a second after its client had left");
}
