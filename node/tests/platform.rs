//! The platform's front, its bus and its hosts on real sockets, one test a rule.

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
fn requests_come_in_any_split_and_go_on_unchanged() {
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
fn answers_come_in_any_order_and_readiness_is_told() {
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
#[case::cut_fields(client_frame(1, 2, &[3, 1, b'x']), 2)]
#[case::reused_stream(call_frame(1, "send-mail", 4000, b""), 0)]
#[case::stream_zero(call_frame(0, "send-mail", 4000, b""), 0)]
#[case::unknown_type(client_frame(7, 2, &[]), 0)]
#[case::long_body(call_frame(2, "send-mail", 4000, &[7; 17_000]), 2)]
#[case::very_long_body(call_frame(2, "send-mail", 4000, &[7; 200_000]), 2)]
fn bad_input_gets_an_error_and_hurts_no_other_request(#[case] bad: Vec<u8>, #[case] stream: u32) {
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
fn who_stops_waiting_gets_no_answer_and_the_host_is_told() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(200), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    wait_for("the call", || host.calls() == 1);
    client.write_all(&client_frame(3, 1, &[])).unwrap();
    wait_for("the KILL", || host.kills() == 1);
    client.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    // The host's answer to the first is on its way all the same; it must reach nobody.
    assert_eq!(read_frame(&mut client).unwrap().stream, 2);
}

#[test]
fn a_client_that_has_ended_its_side_still_gets_its_answer() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(100), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    assert_eq!(read_frame(&mut client), None);
}

#[test]
fn a_failed_answer_comes_before_the_client_gives_up() {
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
fn given_up_requests_are_answered_at_once_with_advice() {
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
fn a_connection_that_breaks_proves_nothing(
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

/// One attempt out at most: what a silent host is left with is given up there before it goes elsewhere.
#[test]
fn what_leaves_a_silent_host_has_been_killed_there() {
    let (a, b) = (Host::warm(), Host::warm());
    let p = platform(&[&a, &b]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    let (silent, other) = if a.calls() == 1 { (&a, &b) } else { (&b, &a) };
    silent.ways.lock().unwrap().does = Does::Nothing;
    // Three that grow old there without a word tell that the host is silent.
    for stream in 2..=4 {
        client.write_all(&call_frame(stream, "check-score", 4000, b"")).unwrap();
    }
    for _ in 2..=4 {
        assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    }
    let went: Vec<String> =
        other.seen.lock().unwrap().calls.iter().map(|(l, _)| l[3..19].to_string()).collect();
    let stayed: Vec<String> =
        silent.seen.lock().unwrap().calls[1..].iter().map(|(l, _)| l[3..19].to_string()).collect();
    assert!(!stayed.is_empty() && stayed.iter().all(|id| went.contains(id)), "{stayed:?} {went:?}");
    wait_for("the KILLs", || silent.kills() == stayed.len());
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
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

/// Attempts that are still connecting when their host drains never ran: they go elsewhere, and nothing is
/// sent once the connection stands, whatever the list says of that host next.
#[rstest]
#[case::drains(&[1])]
#[case::drains_and_is_gone(&[1, 2])]
#[case::drains_which_is_taken_back(&[1, 0])]
#[case::is_gone_and_back(&[2, 0])]
fn what_waits_for_a_draining_host_is_withdrawn(#[case] states: &[u8]) {
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
fn the_bus_is_resumed_from_the_last_event_and_a_gap_is_asked_for() {
    let (a, b) = (Host::warm(), Host::warm());
    let mut p = platform(&[&a]);
    // Events may come in any split too.
    for piece in event(2, false, &[(1, b.address, 0)]).chunks(5) {
        p.feed.write_all(piece).unwrap();
        sleep(ms(1));
    }
    drop(p.feed);
    let (last, mut feed) = p.bus.greeted();
    assert_eq!(last, 2);
    feed.write_all(&event(4, false, &[(0, a.address, 1)])).unwrap();
    let (last, mut feed) = p.bus.greeted();
    assert_eq!(last, 0, "event 3 is missing: only the start can tell");
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
fn a_new_process_at_an_address_gets_connections_of_its_own() {
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

/// A list changes twice while a call is on its way, and a new host takes the address over before the old one is said to be
/// gone. Whatever belongs to the old one ends with it, and the new one is spoken to on connections of its own.
#[rstest]
#[case::told_of_the_new_one_first(vec![vec![(5, 0)], vec![(0, 2)]])]
#[case::both_at_once(vec![vec![(5, 0), (0, 2)]])]
#[case::by_a_drain_and_a_whole_list(vec![vec![(0, 1)], vec![(5, 0)]])]
fn an_address_is_taken_over_by_a_new_id_under_calls(#[case] changes: Vec<Vec<(u32, u8)>>) {
    let host = Host::warm();
    let mut p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    let met = host.connections();
    host.ways.lock().unwrap().work = ms(1_500);
    // A read goes on elsewhere, here to the new one; a mail may have run, and fails.
    client.write_all(&call_frame(2, "check-score", 4000, b"read")).unwrap();
    client.write_all(&call_frame(3, "send-mail", 4000, b"mail")).unwrap();
    wait_for("the calls", || host.calls() == 3);
    host.ways.lock().unwrap().work = ms(1);
    let last = changes.len() as u64 - 1;
    for (k, hosts) in (0..).zip(&changes) {
        let hosts: Vec<_> = hosts.iter().map(|(id, state)| (*id, host.address, *state)).collect();
        // The last of a drain and a start is the whole list, without the old one.
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
    assert!(host.connections() > met, "a connection of its own");
    assert_eq!((host.runs("mail"), host.runs("new")), (1, 1), "a mail is sent once");
}

#[test]
fn idle_connections_are_closed_with_one_line_each() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    assert_eq!(read_frame(&mut client), None, "the settings say 1 s");
    wait_for("both lines", || p.program.logged("ended reason=idle") == 2);
}

#[test]
fn after_sigterm_clients_are_told_and_everything_is_answered() {
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

/// SIGTERM finds connections open, each with a request read in part. What is left of them comes within the time that a front
/// goes on for: each has one answer, and nothing is owed or lost.
#[rstest]
#[case::within_the_length(2)]
#[case::within_the_fields(40)]
#[case::within_the_body(-5)]
#[case::but_for_the_last_byte(-1)]
fn requests_read_in_part_at_sigterm_get_one_answer_each(#[case] cut: isize) {
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
        // Before the half one there is one that is out at its host.
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

/// One that is still being read when the time for what may come is over: it is waited for as long as it moves.
#[test]
fn a_request_that_comes_slowly_over_sigterm_is_answered() {
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
#[case::nothing("{}", "listen")]
#[case::address("\"listen\":\"nowhere\"", "listen is no address")]
#[case::bus("\"bus\":\"nowhere\"", "bus is no address")]
#[case::effect("\"Effect\":\"maybe\"", "unknown Effect")]
#[case::state("\"phase\":\"lost\"", "in no known phase")]
fn a_bad_configuration_ends_the_program_with_one_plain_line(#[case] wrong: &str, #[case] part: &str) {
    let good = config("127.0.0.1:9".parse().unwrap(), &[&Host::warm()]);
    let text = match wrong.split_once(':') {
        None => wrong.to_string(),
        Some((key, _)) => {
            let at = good.find(&format!("{key}:")).unwrap();
            let end = at + good[at..].find([',', '}']).unwrap();
            format!("{}{wrong}{}", &good[..at], &good[end..])
        }
    };
    let (status, said) = turned_down(&text, false);
    assert!(!status.success() && said.lines().count() == 1 && said.contains(part), "{said}");
}

/// SIGHUP ended the process before; now the bus is found where the new file says, and all else lives on.
#[test]
fn a_new_configuration_moves_the_bus_and_nothing_else() {
    let (a, b) = (Host::start(Ways { does: Does::Answer("200"), work: ms(400), load: None }), Host::warm());
    let mut p = platform(&[&a]);
    p.feed.write_all(&event(2, false, &[(1, b.address, 2)])).unwrap();
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    wait_for("the call", || a.calls() == 1);
    p.program.reload("{");
    wait_for("word of the bad file", || p.program.logged("the old configuration is kept") == 1);
    let moved = Bus::start();
    p.program.reload(&config(moved.address, &[]));
    let (last, mut feed) = moved.greeted();
    assert_eq!(last, 2, "the numbers carry on");
    wait_for("the old connection's end", || p.program.logged("conn bus ended reason=moved") == 1);
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED, "what was open lives on");
    feed.write_all(&event(3, false, &[(0, a.address, 2), (1, b.address, 0)])).unwrap();
    wait_for("the end of a host's connections", || p.program.logged("reason=host_gone") == 1);
    client.write_all(&call_frame(2, "send-mail", 4000, b"")).unwrap();
    assert_eq!((read_frame(&mut client).unwrap().code, b.calls()), (SERVED, 1));
}

/// A file with something changed by its text.
fn changed(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1)
}

/// A file is turned down as a whole where a part of it makes no sense or is missing: the new class is not known.
#[rstest]
#[case::cut_short("\"FallUs\"", "")]
#[case::no_attempts("\"MaxAttempts\":5", "\"MaxAttempts\":0")]
#[case::attempts_no_number("\"MaxAttempts\":5", "\"MaxAttempts\":\"many\"")]
#[case::no_time("\"GiveUpUs\":4000000", "\"GiveUpUs\":0")]
#[case::negative_aim("\"AimUs\":1500000", "\"AimUs\":-1")]
#[case::time_no_number("\"GiveUpUs\":4000000", "\"GiveUpUs\":\"NaN\"")]
#[case::a_key_missing("\"limits\":", "\"limit\":")]
#[case::an_optional_key_missing("\"ConnIdleUs\":", "\"Idle\":")]
fn a_reload_takes_all_or_nothing(#[case] from: &str, #[case] to: &str) {
    let host = Host::warm();
    let p = platform(&[&host]);
    let good = config(p.bus.address, &[&host]).replace("\"send-mail\"", "\"post\"");
    let bad =
        if to.is_empty() { good[..good.find(from).unwrap()].to_string() } else { changed(&good, from, to) };
    for text in ["", &bad] {
        p.program.reload(text);
    }
    wait_for("word of the bad file", || p.program.logged("the old configuration is kept") >= 1);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    p.program.reload(&good);
    wait_for("word of the good file", || p.program.logged("configuration read again") == 1);
    client.write_all(&call_frame(2, "post", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    client.write_all(&call_frame(3, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, FAILED, "gone");
}

/// A request under way keeps its class, and as many attempts as both files allow.
#[test]
fn a_request_under_way_keeps_its_class_over_a_reload() {
    let (a, b) = (Host::start(Ways { does: Does::HangUp, work: ms(1), load: None }), Host::warm());
    let stuck = Stuck::start();
    let mut p = platform(&[]);
    p.feed.write_all(&event(2, false, &[(7, stuck.address, 0)])).unwrap();
    sleep(ms(100));
    let mut client = p.program.connect();
    // A read that has not left yet: when its host drains it goes to one that hangs up, and on from there, as
    // a read may. By the new file its class is one that never may.
    client.write_all(&call_frame(1, "check-score", 4000, b"")).unwrap();
    sleep(ms(50));
    let text = config(p.bus.address, &[]);
    p.program.reload(&changed(&text, "\"Effect\":\"safe\"", "\"Effect\":\"unsafe\""));
    wait_for("the reload", || p.program.logged("configuration read again") == 1);
    let hosts = [(7, stuck.address, 1), (8, a.address, 0), (9, b.address, 0)];
    p.feed.write_all(&event(3, false, &hosts)).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    // One that comes now is of the new class: where its attempt may have run, it has failed.
    b.ways.lock().unwrap().does = Does::HangUp;
    client.write_all(&call_frame(2, "check-score", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, FAILED);
}

/// Hosts tell answers apart by the id: a second request under one that is open is turned away alone.
#[test]
fn the_id_of_an_open_request_is_taken_once() {
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

/// An answer that cannot be read, or does not come whole, has its connection ended. Its call has run: a read
/// goes on elsewhere and a mail fails, each once. Other connections to the host, and the host, are untouched.
#[rstest]
#[case::noise("\x01\x02\x03 noise\r\n", "protocol")]
#[case::a_line_that_never_ends("x".repeat(5000).leak(), "protocol")]
#[case::huge("ID 200 tell=warm 3000000000\r\n", "protocol")]
#[case::longer_than_told("ID 200 tell=warm 3\r\nabcdef\r\n", "protocol")]
#[case::stops_short("ID 200 tell=warm 900\r\nabc", "protocol")]
#[case::not_at_all("", "silent")]
fn a_spoilt_answer_ends_its_connection_alone(#[case] bytes: &'static str, #[case] reason: &str) {
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
    assert_eq!((answer.stream, answer.code), (1, SERVED), "on a connection of its own");
    assert_eq!((host.runs("slow"), host.runs("mail") + other.runs("mail")), (1, 1));
    let ended = p.program.logged(&format!("reason={reason}"));
    assert!((1..=4).contains(&ended) && p.program.logged("rests") == 0, "{ended} connections");
}

/// Found on a fleet of 100: each activator held two connections where one carries all, and hosts have few to give.
#[rstest]
#[case::few(3, 2)]
#[case::a_hundred(100, 1)]
fn calls_are_spread_over_connections_as_long_as_activators_are_few(
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

/// Found on a fleet of 100: each connection with one call that took its time was asked every half second.
#[test]
fn a_host_at_work_is_asked_ever_more_rarely_whether_it_answers() {
    let host = Host::start(Ways { does: Does::Answer("200"), work: ms(3200), load: None });
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"long")).unwrap();
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    let asked = host.seen.lock().unwrap().probes;
    assert!((1..=3).contains(&asked), "after 0.5 and 1.5 s, not {asked} times");
}

/// What belongs to no call is dropped, and the connection is used on.
#[test]
fn an_answer_under_an_unknown_id_and_a_second_copy_are_dropped() {
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

/// A newcomer that says nothing, or half of something, is turned away in good time, and a client that asked
/// once stays.
#[rstest]
#[case::nothing(Vec::new(), 0)]
#[case::half_a_request(call_frame(1, "send-mail", 4000, b"")[..40].to_vec(), 1)]
#[case::half_a_length(vec![9, 0], 1)]
fn newcomers_that_do_not_ask_are_turned_away_in_time(#[case] bytes: Vec<u8>, #[case] errors: usize) {
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

/// Who still writes is waited for, in pieces of any size and with every place wanted by thousands that never
/// finish a request.
#[test]
fn a_slow_writer_is_served_though_a_crowd_wants_its_place() {
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

/// A host may write its answer in pieces for longer than it may be silent within it.
#[test]
fn an_answer_in_pieces_is_waited_for() {
    let host = Host::warm();
    host.ways.lock().unwrap().does = Does::Drips("ID 200 tell=warm 12\r\nin good time\r\n", ms(30));
    let p = platform(&[&host]);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.code, answer.body.as_slice()), (SERVED, &b"in good time"[..]));
}

/// Long answers to one that reads slowly wait for it, however many; when told to stop the program waits too.
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

/// What is sent at full speed after an error is passed over, so that no reset overtakes the error, and costs
/// others next to nothing.
#[test]
fn sixty_megabytes_are_refused_before_they_have_come() {
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

/// A third of the descriptors is the clients': those that never asked go first.
#[test]
fn hundreds_that_say_nothing_do_not_crowd_out_a_client_that_asked() {
    let host = Host::warm();
    let p = platform(&[&host]);
    let mut usual = p.program.connect();
    usual.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
    let silent: Vec<_> = (0..80).map(|_| p.program.connect()).collect();
    sleep(ms(300));
    let more: Vec<_> = (0..110).map(|_| p.program.connect()).collect();
    wait_for("places to be made", || p.program.logged("reason=evicted requests=0") >= 40);
    usual.write_all(&call_frame(2, "send-mail", 4000, b"")).unwrap();
    assert_eq!(read_frame(&mut usual).unwrap().code, SERVED);
    drop((silent, more));
}
