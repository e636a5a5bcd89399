//! The platform's front, its bus and its hosts on real sockets; each test checks one rule.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::thread::sleep;

use common::*;
use rstest::rstest;

const SERVED: u8 = 79;
const REFUSED: u8 = 66;
const FAILED: u8 = 69;

#[test]
fn a_request_in_pieces_is_forwarded_unchanged() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    let body = b"\x00\r\n\xff any";
    for piece in call_frame(1, "save-answers", 4000, body).chunks(7) {
        client.write_all(piece).unwrap();
        sleep(ms(1));
    }
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.kind, answer.stream, answer.code), (2, 1, SERVED));
    assert_eq!(answer.body, [b"did ", &body[..]].concat());
    let seen = host.seen.lock().unwrap();
    let (line, sent) = &seen.calls[0];
    assert!(line.starts_with("FN 0000000000000001 cls=save-answers,item=7f3a9c21e0b4d655,limit="), "{line}");
    assert!(line.ends_with(",nonce=5c0f6e1a 8"), "{line}");
    assert_eq!(sent, body);
}

#[test]
fn answers_arrive_in_any_order_and_readiness_queries_are_answered() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"slow")).unwrap();
    wait_for("the call", || host.calls() == 1);
    host.ways.lock().unwrap().work = ms(1);
    client
        .write_all(&[call_frame(2, "send-mail", 4000, b"fast"), client_frame(4, 9, &[0])].concat())
        .unwrap();
    let mut frames: Vec<_> = (0..3).map(|_| read_frame(&mut client).unwrap()).collect();
    assert_eq!(frames.pop().unwrap().stream, 1, "the slow one is last");
    frames.sort_by_key(|f| f.kind);
    assert_eq!((frames[0].kind, frames[0].stream, frames[0].code), (2, 2, SERVED));
    assert_eq!((frames[1].kind, frames[1].code), (5, SERVED));
}

fn without_fields(stream: u32) -> Vec<u8> {
    client_frame(1, stream, &[0])
}

#[rstest]
#[case::unknown_class(call_frame(2, "zap", 4000, b""), 2)]
#[case::no_fields(without_fields(2), 2)]
#[case::truncated_fields(client_frame(1, 2, &[3, 1, b'x']), 2)]
#[case::reused_stream(call_frame(1, "send-mail", 4000, b""), 0)]
#[case::stream_zero(call_frame(0, "send-mail", 4000, b""), 0)]
#[case::unknown_type(client_frame(7, 2, &[]), 0)]
#[case::long_body(call_frame(2, "send-mail", 4000, &[7; 17_000]), 2)]
#[case::very_long_body(call_frame(2, "send-mail", 4000, &[7; 200_000]), 2)]
fn bad_input_gets_an_error_and_affects_no_other_request(#[case] bad: Vec<u8>, #[case] stream: u32) {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(100), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client
        .write_all(
            &[call_frame(1, "send-mail", 4000, b"a"), bad, call_frame(3, "send-mail", 4000, b"b")].concat(),
        )
        .unwrap();
    let error = read_frame(&mut client).unwrap();
    assert_eq!((error.kind, error.stream, error.code), (2, stream, FAILED));
    let mut served: Vec<_> =
        (0..2).map(|_| read_frame(&mut client).map(|f| (f.stream, f.code)).unwrap()).collect();
    served.sort();
    assert_eq!(served, [(1, SERVED), (3, SERVED)]);
}

#[rstest]
#[case::too_short(4)]
#[case::too_long(262_145)]
fn lost_framing_ends_the_connection_after_its_open_requests(#[case] length: u32) {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(100), load: None });
    let p = platform(&[&host]);
    let (mut other, mut client) = (p.program.connect(), p.program.connect());
    other.write_all(&call_frame(2, "send-mail", 4000, b"o")).unwrap();
    client
        .write_all(&[&call_frame(1, "send-mail", 4000, b"a")[..], &length.to_le_bytes(), &[1; 90]].concat())
        .unwrap();
    let error = read_frame(&mut client).unwrap();
    assert_eq!((error.stream, error.code), (0, FAILED));
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code), (1, SERVED), "{answer:?}");
    assert_eq!(read_frame(&mut client), None);
    drop(client);
    assert_eq!(read_frame(&mut other).unwrap().code, SERVED);
    wait_for("one line in the log", || p.program.logged("ended reason=protocol requests=1 open=0") == 1);
}

#[test]
fn the_33rd_open_request_is_refused_and_the_others_are_served() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    let frames: Vec<u8> = (1..=33).flat_map(|stream| call_frame(stream, "check-score", 4000, b"")).collect();
    client.write_all(&frames).unwrap();
    let first = read_frame(&mut client).unwrap();
    assert_eq!((first.stream, first.code), (33, REFUSED));
    let mut streams: Vec<_> = (0..32).map(|_| read_frame(&mut client).unwrap().stream).collect();
    streams.sort();
    assert_eq!(streams, (1..=32).collect::<Vec<u32>>());
}

#[test]
fn a_cancelled_request_gets_no_answer_and_is_killed_at_its_host() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(200), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    wait_for("the call", || host.calls() == 1);
    client.write_all(&client_frame(3, 1, &[])).unwrap();
    wait_for("the KILL", || host.kills() == 1);
    client.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    // The host still answers the first call; the program must discard that answer.
    assert_eq!(read_frame(&mut client).unwrap().stream, 2);
}

#[test]
fn a_half_closed_client_still_gets_its_answer() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(100), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    assert_eq!(read_frame(&mut client), None);
}

#[test]
fn a_failure_is_reported_before_the_clients_timeout() {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Nothing;
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    let begun = std::time::Instant::now();
    client.write_all(&call_frame(1, "send-mail", 300, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, FAILED);
    assert!(begun.elapsed() > ms(250) && begun.elapsed() < ms(2_000), "{:?}", begun.elapsed());
    wait_for("the KILL", || host.kills() == 1);
}

#[test]
fn requests_without_hosts_are_refused_early_with_a_holdoff() {
    let p = platform(&[]);
    let mut client = p.program.connect();
    let begun = std::time::Instant::now();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.code, answer.fields), (REFUSED, vec![("holdoff".to_string(), "1000".to_string())]));
    assert!(begun.elapsed() < ms(2_000), "before half of its time: {:?}", begun.elapsed());
}

#[rstest]
#[case::mail("send-mail", 1..=1, FAILED)]
#[case::read("check-score", 2..=5, REFUSED)]
fn a_call_on_a_broken_host_connection_may_have_run(
    #[case] class: &str,
    #[case] attempts: std::ops::RangeInclusive<usize>,
    #[case] code: u8,
) {
    let (a, b) = (Host::warm(), Host::warm());
    for host in [&a, &b] {
        host.ways.lock().unwrap().does = Does::HangUp;
    }
    let p = platform(&[&a, &b]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, class, 4000, b"")).unwrap();
    let answer = read_frame(&mut client).unwrap();
    let calls = a.calls() + b.calls();
    assert!(answer.code == code && attempts.contains(&calls), "{answer:?} after {calls} attempts");
}

/// A request has at most one attempt at a time: a call to a silent host is killed there before it is retried elsewhere.
#[test]
fn calls_to_a_silent_host_are_killed_there_before_a_retry() {
    let (a, b) = (Host::warm(), Host::warm());
    let p = platform(&[&a, &b]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    let (silent, other) = if a.calls() == 1 { (&a, &b) } else { (&b, &a) };
    silent.ways.lock().unwrap().does = Does::Nothing;
    // Three calls that stay unanswered for long show that the host is silent.
    for stream in 2..=4 {
        client.write_all(&call_frame(stream, "check-score", 4000, b"")).unwrap();
    }
    for _ in 2..=4 {
        assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    }
    let retried: Vec<String> =
        other.seen.lock().unwrap().calls.iter().map(|(l, _)| l[3..19].to_string()).collect();
    let killed: Vec<String> =
        silent.seen.lock().unwrap().calls[1..].iter().map(|(l, _)| l[3..19].to_string()).collect();
    assert!(!killed.is_empty() && killed.iter().all(|id| retried.contains(id)), "{killed:?} {retried:?}");
    wait_for("the KILLs", || silent.kills() == killed.len());
}

#[test]
fn calls_are_retried_after_a_refused_host_connection() {
    let host = Host::warm();
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut p = platform(&[&host]);
    p.feed.write_all(&event(2, false, &[(1, dead, 0), (2, dead, 0), (3, dead, 0)])).unwrap();
    sleep(ms(100));
    let mut client = p.program.connect();
    for stream in 1..=12 {
        client.write_all(&call_frame(stream, "send-mail", 4000, b"")).unwrap();
        assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    }
}

/// Attempts that are still connecting when their host starts to drain never ran: they go to another host, and nothing
/// is sent if the connection succeeds later, whatever the list says about that host afterwards.
#[rstest]
#[case::drains(&[1])]
#[case::drains_and_is_gone(&[1, 2])]
#[case::drains_and_is_up_again(&[1, 0])]
#[case::is_gone_and_up_again(&[2, 0])]
fn attempts_connecting_to_a_draining_host_are_withdrawn(#[case] states: &[u8]) {
    let (host, stuck) = (Host::warm(), Stuck::start());
    let mut p = platform(&[]);
    p.feed.write_all(&event(2, false, &[(7, stuck.address, 0)])).unwrap();
    sleep(ms(100));
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    sleep(ms(50));
    p.feed.write_all(&event(3, false, &[(8, host.address, 0), (7, stuck.address, states[0])])).unwrap();
    for (number, state) in (4..).zip(&states[1..]) {
        p.feed.write_all(&event(number, false, &[(7, stuck.address, *state)])).unwrap();
    }
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    assert_eq!(host.calls(), 1);
    assert_eq!(stuck.heard(), 0);
}

#[test]
fn the_bus_is_resumed_from_the_last_event_and_after_a_gap_from_the_start() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = platform(&[&a]);
    // Events may arrive in pieces too.
    for piece in event(2, false, &[(1, b.address, 0)]).chunks(5) {
        p.feed.write_all(piece).unwrap();
        sleep(ms(1));
    }
    drop(p.feed);
    let (last, mut feed) = p.bus.greeted();
    assert_eq!(last, 2);
    feed.write_all(&event(4, false, &[(0, a.address, 1)])).unwrap();
    let (last, mut feed) = p.bus.greeted();
    assert_eq!(last, 0, "event 3 is missing: the list is read from the start");
    feed.write_all(&[event(1, true, &[(0, a.address, 0)]), event(2, false, &[(1, b.address, 0)])].concat())
        .unwrap();
    feed.write_all(&[event(3, false, &[(0, a.address, 1)]), event(4, false, &[(0, a.address, 2)])].concat())
        .unwrap();
    sleep(ms(100));
    let mut client = p.program.connect();
    for stream in 1..=6 {
        client.write_all(&call_frame(stream, "send-mail", 4000, b"")).unwrap();
        assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    }
    assert_eq!((a.calls(), b.calls()), (0, 6));
}

#[test]
fn a_new_host_id_at_an_address_gets_its_own_connections() {
    let host = Host::warm();
    let mut p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    p.feed.write_all(&event(2, false, &[(0, host.address, 2), (5, host.address, 0)])).unwrap();
    wait_for("the old connection's end", || p.program.logged("host s-00000000 ended reason=host_gone") == 1);
    client.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
}

/// While calls are running, a new host takes over the address of an old one, in some cases before the list says that
/// the old one is gone. All connections of the old id end with it, and the new id gets its own.
#[rstest]
#[case::new_one_listed_first(vec![vec![(5, 0)], vec![(0, 2)]])]
#[case::both_at_once(vec![vec![(5, 0), (0, 2)]])]
#[case::drain_then_whole_list(vec![vec![(0, 1)], vec![(5, 0)]])]
fn a_new_host_id_takes_over_an_address_during_calls(#[case] changes: Vec<Vec<(u32, u8)>>) {
    let host = Host::warm();
    let mut p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    let met = host.connections();
    host.ways.lock().unwrap().work = ms(1_500);
    // The read is retried, here at the new host; the mail may have run, so it fails.
    client.write_all(&call_frame(2, "check-score", 4000, b"read")).unwrap();
    client.write_all(&call_frame(3, "send-mail", 4000, b"mail")).unwrap();
    wait_for("the calls", || host.calls() == 3);
    host.ways.lock().unwrap().work = ms(1);
    let last = changes.len() as u64 - 1;
    for (k, hosts) in (0..).zip(&changes) {
        let hosts: Vec<_> = hosts.iter().map(|(id, state)| (*id, host.address, *state)).collect();
        // After a drain, the last event is the whole list without the old host.
        let whole = k == last && changes[0] == [(0, 1)];
        p.feed.write_all(&event(2 + k, whole, &hosts)).unwrap();
    }
    wait_for("the old connections' end", || p.program.logged("host s-00000000 ended reason=host_gone") > 0);
    let mut ends: Vec<_> =
        (0..2).map(|_| read_frame(&mut client).map(|f| (f.stream, f.code)).unwrap()).collect();
    ends.sort();
    assert_eq!(ends, [(2, SERVED), (3, FAILED)]);
    client.write_all(&call_frame(4, "send-mail", 4000, b"new")).unwrap();
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((4, SERVED)));
    assert!(host.connections() > met, "its own connection");
    assert_eq!((host.runs("mail"), host.runs("new")), (1, 1), "a mail is sent once");
}

#[test]
fn idle_connections_are_closed_with_one_log_line_each() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    assert_eq!(read_frame(&mut client), None, "the settings say 1 s");
    wait_for("both lines", || p.program.logged("ended reason=idle") == 2);
}

#[test]
fn after_sigterm_clients_are_asked_to_leave_and_all_requests_are_answered() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let mut p = platform(&[&host]);
    let mut open = p.program.connect();
    open.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    wait_for("the call", || host.calls() == 1);
    p.program.terminate();
    assert_eq!(read_frame(&mut open).unwrap().kind, 6);
    let mut late = p.program.connect();
    late.write_all(&[client_frame(4, 1, &[0]), call_frame(2, "send-mail", 4000, b"")].concat()).unwrap();
    assert_eq!(read_frame(&mut late).unwrap().kind, 6);
    let readiness = read_frame(&mut late).unwrap();
    assert_eq!((readiness.kind, readiness.code), (5, REFUSED));
    assert_eq!(read_frame(&mut late).unwrap().code, SERVED);
    assert_eq!(read_frame(&mut open).unwrap().code, SERVED);
    assert!(p.program.ended().success());
}

/// At SIGTERM each connection has an incomplete request, whose rest arrives while the program still takes requests.
/// Each request gets exactly one answer.
#[rstest]
#[case::within_the_length(2)]
#[case::within_the_fields(40)]
#[case::within_the_body(-5)]
#[case::before_the_last_byte(-1)]
fn requests_incomplete_at_sigterm_get_one_answer_each(#[case] cut: isize) {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let mut p = platform(&[&host]);
    let call = |stream: u32, n: u32, class: &str| {
        let (id, key) = (format!("{stream:08x}{n:08x}"), format!("{n:032x}"));
        let names = [&id, class, &key, &format!("{n:016x}")];
        whole_call_frame(stream, names, 4000, format!("{class} {n:05}").as_bytes())
    };
    let whole = |n: u32| call(2, n, "send-mail");
    let at = |frame: &[u8]| cut.rem_euclid(frame.len() as isize) as usize;
    let mut clients: Vec<_> = (0..12).map(|_| p.program.connect()).collect();
    for (n, client) in (0..).zip(&mut clients) {
        // The incomplete request follows one that is running at the host.
        let first = call(1, n, "check-score");
        client.write_all(&[&first[..], &whole(n)[..at(&whole(n))]].concat()).unwrap();
    }
    wait_for("the calls", || host.calls() == 12);
    p.program.terminate();
    for client in &mut clients {
        assert_eq!(read_frame(client).unwrap().kind, 6);
    }
    for (n, client) in (0..).zip(&mut clients) {
        client.write_all(&whole(n)[at(&whole(n))..]).unwrap();
    }
    for (n, client) in (0..).zip(&mut clients) {
        let mut ends: Vec<_> =
            (0..2).map(|_| read_frame(client).map(|f| (f.stream, f.code)).unwrap()).collect();
        ends.sort();
        assert_eq!(ends, [(1, SERVED), (2, SERVED)], "client {n}");
        assert_eq!(read_frame(client), None, "client {n}: no second answer");
        assert_eq!(host.runs(&format!("send-mail {n:05}")), 1);
    }
    assert!(p.program.ended().success());
}

/// A request that is still incomplete when the program stops taking requests is read to its end while bytes arrive.
#[test]
fn a_request_that_arrives_slowly_after_sigterm_is_answered() {
    let host = Host::warm();
    let mut p = platform(&[&host]);
    let mut client = p.program.connect();
    let whole = call_frame(1, "send-mail", 4000, b"slow");
    p.program.terminate();
    assert_eq!(read_frame(&mut client).unwrap().kind, 6);
    for piece in whole.chunks(whole.len() / 3 + 1) {
        client.write_all(piece).unwrap();
        sleep(ms(600));
    }
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    assert!(p.program.ended().success());
}

#[rstest]
#[case::no_json("{", "EOF")]
#[case::empty("{}", "listen")]
#[case::address("\"listen\":\"nowhere\"", "listen is no address")]
#[case::bus("\"bus\":\"nowhere\"", "bus is no address")]
#[case::effect("\"Effect\":\"maybe\"", "unknown Effect")]
#[case::state("\"phase\":\"lost\"", "in no known phase")]
fn an_invalid_configuration_ends_the_program_with_one_line(#[case] wrong: &str, #[case] part: &str) {
    let good = config("127.0.0.1:9".parse().unwrap(), &[&Host::warm()]);
    let text = match wrong.split_once(':') {
        None => wrong.to_string(),
        Some((key, _)) => {
            let at = good.find(&format!("{key}:")).unwrap();
            let end = at + good[at..].find([',', '}']).unwrap();
            format!("{}{wrong}{}", &good[..at], &good[end..])
        }
    };
    let (status, output) = turned_down(&text, false);
    assert!(!status.success() && output.lines().count() == 1 && output.contains(part), "{output}");
}

/// Guards against SIGHUP ending the process. After the reload, the bus is at its new address and open calls continue.
#[test]
fn a_reload_changes_the_bus_and_nothing_else() {
    let (a, b) = (Host::start(Ways { does: Does::Answer("200"), work: ms(400), load: None }), Host::warm());
    let mut p = platform(&[&a]);
    p.feed.write_all(&event(2, false, &[(1, b.address, 2)])).unwrap();
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    wait_for("the call", || a.calls() == 1);
    p.program.reload("{");
    wait_for("the report of the invalid file", || p.program.logged("the old configuration is kept") == 1);
    let moved = Bus::start();
    p.program.reload(&config(moved.address, &[]));
    let (last, mut feed) = moved.greeted();
    assert_eq!(last, 2, "event numbers continue");
    wait_for("the old connection's end", || p.program.logged("conn bus ended reason=moved") == 1);
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED, "the open call continues");
    feed.write_all(&event(3, false, &[(0, a.address, 2), (1, b.address, 0)])).unwrap();
    wait_for("the end of a host's connections", || p.program.logged("reason=host_gone") == 1);
    client.write_all(&call_frame(2, "send-mail", 4000, b"")).unwrap();
    assert_eq!((read_frame(&mut client).unwrap().code, b.calls()), (SERVED, 1));
}

/// Replaces the first occurrence of `from` in a file.
fn changed(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1)
}

/// A file with an invalid or missing part is rejected as a whole: its new class stays unknown.
#[rstest]
#[case::truncated("\"FallUs\"", "")]
#[case::no_attempts("\"MaxAttempts\":5", "\"MaxAttempts\":0")]
#[case::attempts_no_number("\"MaxAttempts\":5", "\"MaxAttempts\":\"many\"")]
#[case::zero_timeout("\"GiveUpUs\":4000000", "\"GiveUpUs\":0")]
#[case::negative_aim("\"AimUs\":1500000", "\"AimUs\":-1")]
#[case::timeout_no_number("\"GiveUpUs\":4000000", "\"GiveUpUs\":\"NaN\"")]
#[case::missing_key("\"limits\":", "\"limit\":")]
#[case::missing_optional_key("\"ConnIdleUs\":", "\"Idle\":")]
fn an_invalid_reload_changes_nothing(#[case] from: &str, #[case] to: &str) {
    let host = Host::warm();
    let p = platform(&[&host]);
    let good = config(p.bus.address, &[&host]).replace("\"send-mail\"", "\"post\"");
    let bad =
        if to.is_empty() { good[..good.find(from).unwrap()].to_string() } else { changed(&good, from, to) };
    for text in ["", &bad] {
        p.program.reload(text);
    }
    wait_for("the report of the invalid file", || p.program.logged("the old configuration is kept") >= 1);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    p.program.reload(&good);
    wait_for("the reload", || p.program.logged("configuration read again") == 1);
    client.write_all(&call_frame(2, "post", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    client.write_all(&call_frame(3, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, FAILED, "removed class");
}

/// An open request keeps the settings of its class over a reload, and gets as many attempts as both files allow.
#[test]
fn an_open_request_keeps_its_class_over_a_reload() {
    let (a, b) = (Host::start(Ways { does: Does::HangUp, work: ms(1), load: None }), Host::warm());
    let stuck = Stuck::start();
    let mut p = platform(&[]);
    p.feed.write_all(&event(2, false, &[(7, stuck.address, 0)])).unwrap();
    sleep(ms(100));
    let mut client = p.program.connect();
    // A read that was not sent yet: when its host drains, it goes to one that closes the connection, and is then
    // retried, as its class is safe. In the new file the class is unsafe.
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    sleep(ms(50));
    let text = config(p.bus.address, &[]);
    p.program.reload(&changed(&text, "\"Effect\":\"safe\"", "\"Effect\":\"unsafe\""));
    wait_for("the reload", || p.program.logged("configuration read again") == 1);
    let hosts = [(7, stuck.address, 1), (8, a.address, 0), (9, b.address, 0)];
    p.feed.write_all(&event(3, false, &hosts)).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    // A new request has the new settings: its attempt may have run, so it fails.
    b.ways.lock().unwrap().does = Does::HangUp;
    client.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, FAILED);
}

/// Answers of hosts are matched by the request's id, so a second request with the id of an open one is rejected.
#[test]
fn a_request_with_the_id_of_an_open_one_is_rejected() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(200), load: None });
    let p = platform(&[&host]);
    let (mut client, mut other) = (p.program.connect(), p.program.connect());
    client.write_all(&call_frame(1, "check-score", 4000, b"a")).unwrap();
    wait_for("the call", || host.calls() == 1);
    other.write_all(&call_frame(1, "check-score", 4000, b"b")).unwrap();
    assert_eq!(read_frame(&mut other).unwrap().code, FAILED);
    assert_eq!(read_frame(&mut client).unwrap().body, b"did a");
    other.write_all(&call_frame(2, "check-score", 4000, b"b")).unwrap();
    assert_eq!((read_frame(&mut other).unwrap().code, host.calls()), (SERVED, 2));
}

/// An invalid or incomplete answer ends its connection. Its call may have run, so a read is retried and a mail fails.
/// Other connections to the host are not affected, and the host stays in use.
#[rstest]
#[case::noise("\x01\x02\x03 noise\r\n", "protocol")]
#[case::endless_line("x".repeat(5000).leak(), "protocol")]
#[case::huge("ID 200 tell=warm 3000000000\r\n", "protocol")]
#[case::longer_than_declared("ID 200 tell=warm 3\r\nabcdef\r\n", "protocol")]
#[case::shorter_than_declared("ID 200 tell=warm 900\r\nabc", "protocol")]
#[case::no_answer("", "silent")]
fn an_invalid_answer_ends_only_its_connection(#[case] bytes: &'static str, #[case] reason: &str) {
    let (host, other) =
        (Host::start(Ways { does: Does::Answer("200"), work: ms(1500), load: None }), Host::warm());
    let mut p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"slow")).unwrap();
    wait_for("the call", || host.calls() == 1);
    host.ways.lock().unwrap().does = Does::Spoils(bytes);
    client.write_all(&call_frame(2, "send-mail", 4000, b"mail")).unwrap();
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code), (2, FAILED), "it may have run");
    p.feed.write_all(&event(2, false, &[(1, other.address, 0)])).unwrap();
    client.write_all(&call_frame(3, "check-score", 4000, b"read")).unwrap();
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code), (3, SERVED), "it may run again");
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code), (1, SERVED), "on its own connection");
    assert_eq!((host.runs("slow"), host.runs("mail") + other.runs("mail")), (1, 1));
    let ended = p.program.logged(&format!("reason={reason}"));
    assert!((1..=4).contains(&ended) && p.program.logged("rests") == 0, "{ended} connections");
}

/// In a fleet of 100, each activator held two connections to a host where one suffices, and hosts accept only a few.
#[rstest]
#[case::few(3, 2)]
#[case::a_hundred(100, 1)]
fn calls_use_several_connections_only_while_activators_are_few(
    #[case] activators: u32,
    #[case] connections: usize,
) {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(300), load: None });
    let bus = Bus::start();
    let text =
        config(bus.address, &[&host]).replace("\"GroupSize\":1", &format!("\"GroupSize\":{activators}"));
    let program = Program::start(&text, false);
    let _feed = bus.greeted();
    let mut client = program.connect();
    for stream in 1..3 {
        client.write_all(&call_frame(stream, "send-mail", 4000, b"mail")).unwrap();
        wait_for("the call", || host.calls() == stream as usize);
    }
    assert_eq!(host.connections(), connections);
}

/// In a fleet of 100, the program sent a probe every half second on each connection with a long call.
#[test]
fn probes_of_a_host_with_a_long_call_become_rarer() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(3200), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"long")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    let asked = host.seen.lock().unwrap().probes;
    assert!((1..=3).contains(&asked), "after 0.5 and 1.5 s, not {asked} times");
}

/// Answers that belong to no call are discarded, and the connection stays in use.
#[test]
fn answers_with_an_unknown_id_and_duplicates_are_discarded() {
    let host = Host::warm();
    host.ways.lock().unwrap().does =
        Does::Spoils("zz 200 - 1\r\nx\r\nID 200 - 1\r\na\r\nID 200 - 1\r\nb\r\n");
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&[call_frame(1, "send-mail", 4000, b""), client_frame(4, 9, &[0])].concat()).unwrap();
    let mut frames = [read_frame(&mut client).unwrap(), read_frame(&mut client).unwrap()];
    frames.sort_by_key(|f| f.kind);
    assert_eq!((frames[0].body.as_slice(), frames[1].kind), (&b"a"[..], 5));
    assert_eq!(p.program.logged("reason=protocol"), 0);
}

/// A new connection that sends nothing or an incomplete frame is closed in time, while a client that has sent a
/// request stays connected.
#[rstest]
#[case::no_bytes(Vec::new(), 0)]
#[case::incomplete_request(call_frame(1, "send-mail", 4000, b"")[..40].to_vec(), 1)]
#[case::incomplete_length(vec![9, 0], 1)]
fn new_connections_without_a_request_are_closed_in_time(#[case] bytes: Vec<u8>, #[case] errors: usize) {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut usual = p.program.connect();
    usual.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
    let begun = std::time::Instant::now();
    let mut client = p.program.connect();
    client.write_all(&bytes).unwrap();
    let frames: Vec<_> = std::iter::from_fn(|| read_frame(&mut client)).collect();
    assert!(begun.elapsed() < ms(3_000), "{:?}", begun.elapsed());
    assert!(frames.len() == errors && frames.iter().all(|f| (f.stream, f.code) == (0, FAILED)), "{frames:?}");
}

/// A client that is still writing is served, although connections that never complete a request need its place.
#[test]
fn a_slow_writer_is_not_evicted_for_incomplete_connections() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut slow = p.program.connect();
    let frame = call_frame(1, "send-mail", 4000, b"slow");
    let half = frame[..20].to_vec();
    let mut crowd = std::collections::VecDeque::new();
    for piece in frame.chunks(frame.len() / 25) {
        slow.write_all(piece).unwrap();
        for _ in 0..20 {
            let mut one = p.program.connect();
            let _ = one.write_all(&half);
            crowd.push_back(one);
            crowd.drain(..crowd.len().saturating_sub(300));
        }
        sleep(ms(80));
    }
    assert_eq!(read_frame(&mut slow).unwrap().code, SERVED);
    let mut usual = p.program.connect();
    usual.write_all(&call_frame(2, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
}

/// A host may take longer for an answer in pieces than it may be silent within one.
#[test]
fn an_answer_in_pieces_is_read_to_its_end() {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Drips("ID 200 tell=warm 12\r\nin good time\r\n", ms(30));
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.code, answer.body.as_slice()), (SERVED, &b"in good time"[..]));
}

/// Long answers wait for a client that reads slowly, also after SIGTERM.
#[test]
fn long_answers_reach_a_slow_reader_also_after_sigterm() {
    const LONG_BODY: usize = 230_000;
    let host = Host::start(Ways { does: Does::Long(LONG_BODY), work: ms(1), load: None });
    let mut p = platform(&[&host]);
    let mut client = p.program.connect();
    let frames: Vec<u8> = (1..=32).flat_map(|stream| call_frame(stream, "check-score", 4000, b"")).collect();
    client.write_all(&frames).unwrap();
    wait_for("the calls", || host.calls() == 32);
    sleep(ms(300));
    p.program.terminate();
    let mut answers = 0;
    while answers < 32 {
        let frame = read_frame(&mut client).unwrap();
        if frame.kind == 2 {
            assert_eq!((frame.code, frame.body.len()), (SERVED, LONG_BODY));
            answers += 1;
        }
        sleep(ms(40));
    }
    assert!(p.program.ended().success());
}

/// Bytes after a protocol error are discarded, so that no reset overtakes the error and other clients are served.
#[test]
fn a_frame_of_sixty_megabytes_is_refused_before_it_arrives() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    let mut frame = client_frame(1, 1, &[]);
    frame[..4].copy_from_slice(&(60u32 << 20).to_le_bytes());
    client.write_all(&frame).unwrap();
    let mut sender = client.try_clone().unwrap();
    let sending = std::thread::spawn(move || (0..60).all(|_| sender.write_all(&vec![7; 1 << 20]).is_ok()));
    let mut usual = p.program.connect();
    usual.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
    let error = read_frame(&mut client).unwrap();
    assert_eq!((error.stream, error.code), (0, FAILED));
    assert_eq!(read_frame(&mut client), None);
    assert!(sending.join().unwrap(), "all of it could be sent");
}

/// Clients get a third of the descriptors. Connections that never sent a request are evicted first.
#[test]
fn hundreds_of_silent_connections_do_not_displace_an_active_client() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut usual = p.program.connect();
    usual.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
    let silent: Vec<_> = (0..80).map(|_| p.program.connect()).collect();
    sleep(ms(300));
    let more: Vec<_> = (0..110).map(|_| p.program.connect()).collect();
    wait_for("evictions", || p.program.logged("reason=evicted requests=0") >= 40);
    usual.write_all(&call_frame(2, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
    drop((silent, more));
}
