//! A connection to a host is established long after the call for it was routed: whether the call may be sent, and the
//! time that is left for it, must be computed when it is written.

mod common;

use std::io::Write;
use std::thread::sleep;
use std::time::Instant;

use common::raw_host::*;
use common::*;

const SERVED: u8 = 79;
const FAILED: u8 = 69;
/// By how much the limit that is sent to a host may exceed the time that the client has left.
const LIMIT_SLACK_MS: u64 = 150;

/// A keyed call is reset within its window, and its retry, at the other host of the cell, waits for a connection that is
/// established after the window.
#[test]
fn a_keyed_retry_is_sent_within_its_window_or_not_at_all() {
    let mut hosts = [RawHost::start(), RawHost::start()];
    let short = |text: String| long_timeouts(text).replace("\"WindowUs\":8000000", "\"WindowUs\":1000000");
    let p = platform_of(&[(0, hosts[0].address), (1, hosts[1].address)], short);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "save-answers", 3500, b"")).unwrap();
    let mut accepted = None;
    wait_for("the call", || {
        accepted = (0..2).find_map(|host| Some((host, hosts[host].accept_within(ms(2))?)));
        accepted.is_some()
    });
    let (first, mut line) = accepted.expect("a connection");
    line.call();
    let received = Instant::now();
    hosts.iter_mut().for_each(RawHost::block_connects);
    line.reset();
    let other = &hosts[1 - first];
    wait_for("the connection of the retry", || other.has_pending_connect());
    sleep(ms(1100).saturating_sub(received.elapsed()));
    let late: Vec<HostConn> = hosts.iter().flat_map(RawHost::accept_all).collect();
    assert!(!late.is_empty(), "no connection");
    assert_eq!(read_frame(&mut client).expect("an answer").code, FAILED);
    drop(p);
    for mut line in late {
        let sent = line.rest();
        assert!(!sent.iter().any(|s| matches!(s, Command::Call { .. })), "sent outside its window: {sent:?}");
    }
}

/// The first connection to a host is established late: the limit that is sent is the time that is left by then.
#[test]
fn the_limit_is_the_time_that_is_left_when_the_call_is_sent() {
    const TIMEOUT_MS: u64 = 4000;
    let mut puppet = RawHost::start();
    puppet.block_connects();
    let p = platform_of(&[(0, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    let started = Instant::now();
    client.write_all(&call_frame(1, "check-score", TIMEOUT_MS as u32, b"")).unwrap();
    wait_for("the connection", || puppet.has_pending_connect());
    sleep(ms(500));
    let waited = started.elapsed().as_millis() as u64;
    let mut late = puppet.accept_all();
    let Some(Command::Call { id, limit, .. }) = late[0].next() else { panic!("no call") };
    assert!(
        limit + waited <= TIMEOUT_MS + LIMIT_SLACK_MS,
        "limit of {limit} ms after {waited} ms of {TIMEOUT_MS}"
    );
    late[0].answer(&id, "200", "tell=warm");
    assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
}
