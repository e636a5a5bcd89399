//! Clients that close their connections with much still unread, or come again with the id of a request that they left.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use common::*;
use rstest::rstest;
use socket2::SockRef;

const SERVED: u8 = 79;
const FAILED: u8 = 69;

/// Longer than an attempt may begin after its client has gone.
const GONE: Duration = Duration::from_millis(300);

fn slow_host() -> Host {
    Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None })
}

/// Sends a mail with this id and body on a connection of its own.
fn send_mail(p: &Program, stream: u32, id: &str) -> TcpStream {
    let mut client = p.connect();
    let names = [id, "send-mail", "5c0f6e1a", "7f3a9c21e0b4d655"];
    client.write_all(&whole_call_frame(stream, names, 3000, b"mail")).unwrap();
    client
}

/// Guards against requests that are sent on for a client that closed its connection before they were read.
#[test]
fn requests_that_were_unread_when_their_client_closed_are_not_sent_on() {
    for count in [16, 100, 400, 1600] {
        let (a, b) = (slow_host(), slow_host());
        let platform = platform(&[&a, &b]);
        let mut client = platform.program.connect();
        platform.program.stop(true);
        let calls: Vec<u8> =
            (1..=count).flat_map(|n| call_frame(n, "check-score", 3000, &[b'x'; 400])).collect();
        client.set_nonblocking(true).unwrap();
        // What does not fit into the buffers of the connection was never sent.
        let written = client.write(&calls).unwrap();
        drop(client);
        sleep(GONE);
        platform.program.stop(false);
        sleep(GONE);
        let begun = a.calls() + b.calls();
        println!("platform: {count} calls, {written} bytes, {begun} begun");
        assert_eq!(begun, 0, "{count} calls");
    }
}

/// The same on the invoke front, where deferred calls outlive their client once they were taken.
#[test]
fn deferred_calls_that_were_unread_when_their_client_closed_are_not_sent_on() {
    assert_deferred_calls_are_not_sent_on(&[4, 100, 400]);
}

/// The same with more than the socket holds, so that the end of the connection arrives after the first calls are read.
#[test]
fn deferred_calls_far_before_the_end_of_their_connection_are_not_sent_on() {
    assert_deferred_calls_are_not_sent_on(&[1600]);
}

fn assert_deferred_calls_are_not_sent_on(counts: &[u32]) {
    for count in counts.iter().copied() {
        let (a, b) = (slow_host(), slow_host());
        let (program, _resolver) = operator(&[&a, &b], |text| text);
        let mut client = program.connect();
        program.stop(true);
        let one =
            |n: u32| call(&format!("f{n}"), "check-score", &["Prefer: respond-async"], "x").into_bytes();
        let calls: Vec<u8> = (1..=count).flat_map(one).collect();
        client.set_nonblocking(true).unwrap();
        let written = client.write(&calls).unwrap();
        drop(client);
        sleep(GONE);
        program.stop(false);
        sleep(GONE);
        let begun = a.calls() + b.calls();
        println!("invoke: {count} calls, {written} bytes, {begun} begun");
        assert_eq!(begun, 0, "{count} calls");
    }
}

/// How a client leaves a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Cancel,
    Reset,
    /// Closes its connection with nothing unread, which looks as if it sent no more and waited.
    Close,
}

impl Leaves {
    fn leave(self, mut client: TcpStream) {
        match self {
            Self::Cancel => client.write_all(&client_frame(3, 1, &[])).unwrap(),
            Self::Reset => SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap(),
            Self::Close => {}
        }
        drop(client);
        sleep(ms(100));
    }
}

/// Guards against a request that runs twice because its id was forgotten when its client left.
#[rstest]
fn a_mail_whose_client_left_does_not_run_again_under_the_same_id(
    #[values(Leaves::Cancel, Leaves::Reset, Leaves::Close)] leaves: Leaves,
) {
    let (a, b) = (slow_host(), slow_host());
    let platform = platform(&[&a, &b]);
    let p = &platform.program;
    let first = send_mail(p, 1, "00000000000000aa");
    wait_for("its run", || a.runs("mail") + b.runs("mail") == 1);
    leaves.leave(first);
    let mut again = send_mail(p, 1, "00000000000000aa");
    let code = read_frame(&mut again).expect("an answer").code;
    assert_eq!((a.calls() + b.calls(), code), (1, FAILED));
    // Another id is another request.
    let mut other = send_mail(p, 1, "00000000000000bb");
    assert_eq!(read_frame(&mut other).expect("an answer").code, SERVED);
}

/// The same where the client comes again at the process that has taken the first one's place.
#[rstest]
fn a_mail_whose_client_left_does_not_run_again_at_the_other_process_of_an_upgrade(
    #[values(true, false)] leaves_before: bool,
    #[values(Leaves::Cancel, Leaves::Reset, Leaves::Close)] leaves: Leaves,
) {
    let (a, b) = (slow_host(), slow_host());
    let platform = platform(&[&a, &b]);
    let old = &platform.program;
    [&a, &b].iter().for_each(|host| host.ways.lock().unwrap().work = ms(2500));
    let mut first = Some(send_mail(old, 1, "00000000000000aa"));
    wait_for("its run", || a.runs("mail") + b.runs("mail") == 1);
    if leaves_before {
        first.take().into_iter().for_each(|client| leaves.leave(client));
    }
    let text = config_of("n0", &old.address.to_string(), platform.bus.address, &members(&[&a, &b]));
    let new = Program::start(&text, false);
    let (_, mut feed) = platform.bus.greeted();
    feed.write_all(&event(2, false, &[])).unwrap();
    wait_for("the new process", || old.logged("the new process takes clients") == 1);
    first.take().into_iter().for_each(|client| leaves.leave(client));
    let mut again = send_mail(&new, 1, "00000000000000aa");
    let code = read_frame(&mut again).expect("an answer").code;
    assert_eq!((a.calls() + b.calls(), code), (1, FAILED));
}

fn members(hosts: &[&Host]) -> Vec<serde_json::Value> {
    let member = |(i, h): (usize, &&Host)| {
        serde_json::json!({"id": format!("s-{i:08x}"), "host_port": h.address.to_string(), "locality": "z",
            "flavor": "k", "cell": 0, "phase": "active", "size": 1, "up_since_ms": 0})
    };
    hosts.iter().enumerate().map(member).collect()
}
