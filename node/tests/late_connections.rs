//! A connection to a host comes up long after the call for it was decided: what the call was allowed to do, and the time
//! that its client had left, are those of when it leaves.

mod common;

use std::io::Write;
use std::thread::sleep;
use std::time::Instant;

use common::raw_host::*;
use common::*;

const SERVED: u8 = 79;
const FAILED: u8 = 69;
/// By the rules a host may be told of so much more time than the client has left.
const LIMIT_SLACK_MS: u64 = 150;

/// A keyed call is reset within its window, and its repeat waits for a connection that comes up when the window is over.
#[test]
fn a_keyed_repeat_leaves_within_its_window_or_not_at_all() {
    let mut puppet = RawHost::start();
    let short = |text: String| long_timeouts(text).replace("\"WindowUs\":8000000", "\"WindowUs\":1000000");
    let p = platform_of(&[(0, puppet.address)], short);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "save-answers", 3500, b"")).unwrap();
    let mut line = puppet.accept();
    line.call();
    let sent = Instant::now();
    puppet.block_connects();
    line.reset();
    wait_for("the repeat's connection", || puppet.has_pending_connect());
    sleep(ms(1100).saturating_sub(sent.elapsed()));
    let late = puppet.accept_all();
    assert!(!late.is_empty(), "the connection came up");
    assert_eq!(read_frame(&mut client).expect("an answer").code, FAILED);
    drop(p);
    for mut line in late {
        let said = line.rest();
        assert!(!said.iter().any(|s| matches!(s, Command::Call { .. })), "left outside its window: {said:?}");
    }
}

/// The first connection to a host comes up late: the host is told of the time that is left by then.
#[test]
fn a_host_is_told_of_the_time_that_is_left_when_the_call_leaves() {
    const TIMEOUT_MS: u64 = 4000;
    let mut puppet = RawHost::start();
    puppet.block_connects();
    let p = platform_of(&[(0, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    let asked = Instant::now();
    client.write_all(&call_frame(1, "check-score", TIMEOUT_MS as u32, b"")).unwrap();
    wait_for("the connection", || puppet.has_pending_connect());
    sleep(ms(500));
    let waited = asked.elapsed().as_millis() as u64;
    let mut late = puppet.accept_all();
    let Some(Command::Call { id, limit, .. }) = late[0].next() else { panic!("no call") };
    assert!(
        limit + waited <= TIMEOUT_MS + LIMIT_SLACK_MS,
        "told {limit} ms after {waited} ms of {TIMEOUT_MS}"
    );
    late[0].answer(&id, "200", "tell=warm");
    assert_eq!(read_frame(&mut client).expect("an answer").code, SERVED);
}
