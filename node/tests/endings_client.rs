//! Clients that cancel, half-close, close or reset, timeouts, and the end of the process, each while a request is
//! still open. Each test forces the order of the two events that race.

mod common;

use common::manual_host::*;
use common::*;
use rstest::rstest;
use serde_json::json;

const READ: &str = "check-score";
const MAIL: &str = "send-mail";

/// Has a call of another client served. Once it is answered, the program has processed everything sent before it.
fn serve_another(p: &Platform, host: &ManualHost) {
    let before = host.count("FN");
    let mut other = Client::of(&p.program);
    other.ask(1, READ, 99, "another");
    host.wait("FN", before + 1);
    let nth = host.bodies().iter().rposition(|b| b == "another").unwrap();
    host.serve(nth);
    assert_eq!(other.answer(), (1, SERVED));
}

// ------------------------------------------------------------------------------------------- half-close

/// A call of this class on stream 1, with the body "x", that its host missed: it waits for the ordered load.
fn call_that_waits_for_a_load(class: &str) -> (ManualHost, Platform, Client) {
    let host = ManualHost::start();
    let platform = platform_with(&[host.address], &[]);
    let mut client = Client::of(&platform.program);
    client.ask(1, class, 1, "x");
    host.wait("FN", 1);
    host.answer_miss(0);
    (host, platform, client)
}

#[rstest]
#[case::read(READ)]
#[case::mail(MAIL)]
fn a_call_waiting_for_a_load_is_refused_when_its_client_half_closes(#[case] class: &str) {
    let (host, p, mut client) = call_that_waits_for_a_load(class);
    client.half_close();
    assert_eq!(client.answer(), (1, REFUSED));
    host.finish_load(0);
    serve_another(&p, &host);
    assert_eq!(host.bodies(), ["x", "another"], "no attempt for a client that may have gone");
    assert!(client.is_ended());
}

#[test]
fn a_call_whose_load_ended_before_the_half_close_is_served() {
    let (host, _platform, mut client) = call_that_waits_for_a_load(READ);
    host.finish_load(0);
    host.wait("FN", 2);
    client.half_close();
    host.serve(1);
    assert_eq!(client.answer(), (1, SERVED));
    assert!(client.is_ended());
}

/// The program sees a close only as a half-close: it cannot tell whether the client still reads.
#[test]
fn no_attempt_begins_for_a_client_that_closed_while_its_call_waited() {
    let (host, p, client) = call_that_waits_for_a_load(READ);
    drop(client);
    wait_early("the end of its connection", || p.program.logged("ended reason=") == 1);
    host.finish_load(0);
    serve_another(&p, &host);
    assert_eq!(host.bodies(), ["x", "another"]);
}

/// A half-closed connection with two calls, one that waits for a load and one at the host. The refusal of the first
/// shows that the grace period after the half-close has passed, before the second is answered.
fn client_past_grace(host: &ManualHost, p: &Platform, class: &str) -> Client {
    let mut client = Client::of(&p.program);
    client.ask(1, READ, 1, "waits");
    host.wait("FN", 1);
    host.answer_miss(0);
    client.ask(2, class, 2, "out");
    host.wait("FN", 2);
    client.half_close();
    assert_eq!(client.answer(), (1, REFUSED));
    client
}

#[test]
fn a_call_at_the_host_is_answered_after_the_grace_of_a_half_close() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = client_past_grace(&host, &p, MAIL);
    host.serve(1);
    assert_eq!(client.answer(), (2, SERVED));
    assert!(client.is_ended());
    assert_eq!(host.count("KILL"), 0);
}

#[rstest]
#[case::full("503", REFUSED)]
#[case::missed("404", REFUSED)]
#[case::error("500", REFUSED)]
fn a_call_that_fails_after_the_grace_of_a_half_close_is_not_retried(#[case] status: &str, #[case] code: u8) {
    let (host, other) = (ManualHost::start(), ManualHost::start());
    let p = platform_with(&[host.address], &[]);
    let mut client = client_past_grace(&host, &p, READ);
    let mut p = p;
    std::io::Write::write_all(&mut p.feed, &event(2, false, &[(7, other.address, 0)])).unwrap();
    host.answer("FN", 1, status, "-", b"");
    assert_eq!(client.answer(), (2, code));
    assert!(client.is_ended());
    assert_eq!((host.count("FN"), other.count("FN")), (2, 0));
}

#[test]
fn a_call_whose_host_connection_breaks_after_a_half_close_is_not_retried() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = client_past_grace(&host, &p, MAIL);
    host.close_conn(1);
    assert_eq!(client.answer(), (2, FAILED));
    assert_eq!(host.count("FN"), 2);
}

/// An attempt that still waits for a connection to its host is withdrawn.
#[test]
fn a_call_waiting_for_a_host_connection_is_refused_after_a_half_close() {
    let stuck = Stuck::start();
    let late = [("settings/Limits/ConnectTimeoutUs", json!(7_000_000))];
    let p = platform_with(&[stuck.address], &late);
    let mut client = Client::of(&p.program);
    client.ask(1, MAIL, 1, "x");
    client.half_close();
    assert_eq!(client.answer(), (1, REFUSED), "it never ran");
    assert!(client.is_ended());
    assert_eq!(stuck.heard(), 0);
}

/// A request and its client's half-close arrive in one read: the attempt begins at once and is served.
#[test]
fn a_request_read_together_with_a_half_close_is_served() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    p.program.stop(true);
    client.ask(1, MAIL, 1, "x");
    client.half_close();
    p.program.stop(false);
    host.wait("FN", 1);
    host.serve(0);
    assert_eq!(client.answer(), (1, SERVED));
    assert!(client.is_ended());
}

/// A request and its client's half-close arrive in one read: the first attempt ends after the grace period, so no
/// second one begins.
#[test]
fn a_request_read_together_with_a_half_close_is_not_retried() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    p.program.stop(true);
    client.ask(1, READ, 1, "x");
    client.half_close();
    p.program.stop(false);
    host.wait("FN", 1);
    // The refusal of a later client's call shows that its grace period has passed, and thus the first client's too.
    let mut later = Client::of(&p.program);
    later.ask(1, READ, 2, "later");
    host.wait("FN", 2);
    host.answer_miss(1);
    later.half_close();
    assert_eq!(later.answer(), (1, REFUSED));
    host.answer("FN", 0, "503", "-", b"");
    assert_eq!(client.answer(), (1, REFUSED));
    assert_eq!(host.count("FN"), 2);
}

/// During a rollout, a half-close reaches the candidate to which the call was passed.
#[test]
fn a_half_close_is_passed_to_the_candidate_that_decides_the_call() {
    let host = ManualHost::start();
    let known = [("known/batch/0/topology/members", host_entries(&[host.address]))];
    let pair = common::rollout::pair_of(&[], &known, &[]).with_full_share();
    let mut client = client_past_grace(&host, &pair.old, MAIL);
    assert_eq!(pair.count("passed"), 2);
    host.finish_load(0);
    serve_another(&pair.old, &host);
    assert_eq!(host.bodies(), ["waits", "out", "another"]);
    host.serve(1);
    assert_eq!(client.answer(), (2, SERVED), "the call at the host continues there too");
}

// ----------------------------------------------------------------------------------- cancels and resets

/// Waits until the program has processed everything that the client sent; only the readiness answer may arrive.
fn wait_readiness(client: &mut Client) {
    std::io::Write::write_all(&mut client.0, &client_frame(4, 9_999, &[0])).unwrap();
    let frame = read_frame(&mut client.0).unwrap();
    assert_eq!((frame.kind, frame.stream), (5, 9_999), "{frame:?}");
}

#[test]
fn a_cancel_withdraws_calls_waiting_for_a_host_connection() {
    let stuck = Stuck::start();
    let late = [("settings/Limits/ConnectTimeoutUs", json!(7_000_000))];
    let p = platform_with(&[stuck.address], &late);
    let mut client = Client::of(&p.program);
    client.ask(1, MAIL, 1, "x");
    client.ask(2, MAIL, 1, "y");
    wait_for("the requests", || open_requests(&p) == 2);
    client.cancel(2);
    client.cancel(1);
    wait_readiness(&mut client);
    assert_eq!(open_requests(&p), 0);
    assert_eq!(stuck.heard(), 0);
}

#[test]
fn a_request_read_together_with_its_cancel_is_not_sent() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    p.program.stop(true);
    client.ask(1, READ, 1, "cancelled");
    client.cancel(1);
    client.ask(2, READ, 1, "wanted");
    p.program.stop(false);
    host.wait("FN", 1);
    wait_readiness(&mut client);
    assert_eq!(host.bodies(), ["wanted"]);
    host.serve(0);
    assert_eq!(client.answer(), (2, SERVED));
}

#[test]
fn a_request_read_together_with_a_reset_is_not_sent() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    p.program.stop(true);
    client.ask(1, READ, 1, "x");
    client.reset();
    p.program.stop(false);
    wait_for("the end of its connection", || p.program.logged("ended reason=") == 1);
    serve_another(&p, &host);
    assert_eq!(host.bodies(), ["another"]);
}

#[test]
fn a_reset_ends_a_call_waiting_for_a_load() {
    let (host, p, client) = call_that_waits_for_a_load(READ);
    client.reset();
    wait_early("the end of the waiting call", || open_requests(&p) == 0);
    host.finish_load(0);
    serve_another(&p, &host);
    assert_eq!(host.bodies(), ["x", "another"]);
}

/// The end of an attempt and the client's cancel arrive in one turn of the event loop, in both orders.
#[rstest]
fn a_cancel_and_the_end_of_the_attempt_arrive_together(
    #[values("200", "404", "500", "503", "hangs up")] end: &str,
    #[values(true, false)] host_first: bool,
    #[values(READ, MAIL)] class: &str,
) {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    client.ask(1, class, 1, "x");
    host.wait("FN", 1);
    p.program.stop(true);
    if !host_first {
        client.cancel(1);
    }
    match end {
        "hangs up" => host.close_conn(0),
        status => host.answer("FN", 0, status, "-", b""),
    }
    if host_first {
        client.cancel(1);
    }
    p.program.stop(false);
    wait_early("the end of the request", || open_requests(&p) == 0);
    let begun = host.bodies().len();
    serve_another(&p, &host);
    let bodies = host.bodies();
    assert_eq!(bodies.len(), begun + 1, "{bodies:?}: no attempt after the cancel");
    assert!(
        class == READ || end == "404" || end == "503" || begun == 1,
        "a mail that may have run runs once"
    );
    // An attempt that began before the cancel was read is killed.
    assert!(begun == 1 || host.count("KILL") == begun - 1, "{bodies:?}");
    // At most one answer, sent before the cancel was read; then the connection works as before.
    std::io::Write::write_all(&mut client.0, &client_frame(4, 9_999, &[0])).unwrap();
    let frames: Vec<_> = std::iter::from_fn(|| read_frame(&mut client.0).filter(|f| f.kind != 5)).collect();
    assert!(frames.len() <= usize::from(host_first), "{frames:?}");
}

/// The event loop finds the request timed out and the host's answer at once: the client gets exactly one of them.
#[test]
fn a_timeout_and_the_hosts_answer_in_one_turn_make_one_answer() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    let frame = whole_call_frame(1, ["00000000000000aa", READ, "k", "00000000000000bb"], 300, b"x");
    std::io::Write::write_all(&mut client.0, &frame).unwrap();
    host.wait("FN", 1);
    p.program.stop(true);
    host.serve(0);
    std::thread::sleep(ms(400));
    p.program.stop(false);
    let (stream, code) = client.answer();
    assert!(stream == 1 && [SERVED, FAILED].contains(&code), "{code}");
    wait_early("the end of the request", || open_requests(&p) == 0);
    serve_another(&p, &host);
    wait_readiness(&mut client);
    assert_eq!(host.count("FN"), 2);
}

#[test]
fn cancels_of_streams_that_are_not_open_are_ignored() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    client.cancel(7);
    client.ask(1, READ, 1, "x");
    host.wait("FN", 1);
    host.serve(0);
    assert_eq!(client.answer(), (1, SERVED));
    client.cancel(1);
    client.ask(2, READ, 1, "y");
    client.cancel(2);
    client.cancel(2);
    wait_readiness(&mut client);
    wait_early("the end of both", || open_requests(&p) == 0);
    client.ask(3, READ, 1, "z");
    host.serve(host.find("z"));
    assert_eq!(client.answer(), (3, SERVED));
}

// ----------------------------------------------------------------------- a client that reads no answers

/// Number of answers that the client does not read: more than the system's buffers hold, so that the program has to
/// buffer the rest.
const UNREAD_ANSWERS: u32 = 30;
const LONG_BYTES: usize = 250_000;

/// A client that does not read, with long answers waiting for it; one call is at the host and one waits for a load.
fn client_that_does_not_read(p: &Platform, host: &ManualHost) -> Client {
    let mut client = Client::with_small_buffer(&p.program);
    client.ask(31, READ, 1, "waits");
    host.wait("FN", 1);
    host.answer_miss(0);
    client.ask(32, READ, 2, "out");
    host.find("out");
    for stream in 1..=UNREAD_ANSWERS {
        client.ask(stream, READ, 3, &format!("long {stream}"));
    }
    for stream in 1..=UNREAD_ANSWERS {
        host.answer("FN", host.find(&format!("long {stream}")), "200", "tell=warm", &vec![b'x'; LONG_BYTES]);
    }
    wait_for("the answers of the host", || open_requests(p) == 2);
    client
}

#[test]
fn a_cancel_takes_effect_while_the_client_reads_no_answers() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = client_that_does_not_read(&p, &host);
    client.cancel(32);
    host.wait("KILL", 1);
    client.cancel(31);
    wait_early("the end of the waiting call", || open_requests(&p) == 0);
    host.finish_load(0);
    serve_another(&p, &host);
    assert_eq!(host.count("FN"), 2 + UNREAD_ANSWERS as usize + 1, "no attempt after the cancel");
    // All answers given before still arrive, and none for the cancelled calls.
    let mut streams: Vec<u32> = (0..UNREAD_ANSWERS).map(|_| client.answer().0).collect();
    streams.sort();
    assert_eq!(streams, (1..=UNREAD_ANSWERS).collect::<Vec<_>>());
    client.half_close();
    assert!(client.is_ended());
}

#[test]
fn a_half_close_takes_effect_while_the_client_reads_no_answers() {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let mut client = client_that_does_not_read(&p, &host);
    client.half_close();
    wait_early("the end of the waiting call", || open_requests(&p) == 1);
    host.finish_load(0);
    serve_another(&p, &host);
    assert_eq!(host.count("FN"), 2 + UNREAD_ANSWERS as usize + 1, "no attempt after the grace period");
    host.serve(host.find("out"));
    let mut answers: Vec<(u32, u8)> = (0..UNREAD_ANSWERS + 2).map(|_| client.answer()).collect();
    answers.sort();
    let long = (1..=UNREAD_ANSWERS).map(|stream| (stream, SERVED));
    assert_eq!(answers, long.chain([(31, REFUSED), (32, SERVED)]).collect::<Vec<_>>());
    assert!(client.is_ended());
}

/// Because of the unread answers, a close arrives as a reset. The program must notice it although it cannot write.
#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn a_close_with_unread_answers_ends_the_requests(#[case] reset: bool) {
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    let client = client_that_does_not_read(&p, &host);
    if reset {
        client.reset();
    } else {
        drop(client);
    }
    host.wait("KILL", 1);
    wait_early("the end of the waiting call", || open_requests(&p) == 0);
    host.finish_load(0);
    serve_another(&p, &host);
    assert_eq!(host.count("FN"), 2 + UNREAD_ANSWERS as usize + 1);
}

/// Requests of a client that reads no answers are queued up to a limit and refused beyond it; each gets one answer.
#[test]
fn requests_of_a_client_that_reads_no_answers_get_one_answer_each() {
    const MORE: std::ops::Range<u32> = 100..130;
    let host = ManualHost::start();
    let p = platform_with(&[host.address], &[]);
    host.serve_at_once("m");
    let mut client = client_that_does_not_read(&p, &host);
    for stream in MORE {
        std::io::Write::write_all(&mut client.0, &Client::request(stream, READ, 3, &[b'm'; 4000])).unwrap();
    }
    // A queued request is cancelled and gets no answer.
    client.cancel(MORE.start);
    client.cancel(31);
    wait_early("the cancel", || open_requests(&p) == 1);
    // The others are refused at once, served, or refused after their time in the queue.
    let mut answers: Vec<(u32, u8)> = (0..UNREAD_ANSWERS + 29).map(|_| client.answer()).collect();
    host.serve(host.find("out"));
    answers.push(client.answer());
    answers.sort();
    let streams: Vec<u32> = answers.iter().map(|a| a.0).collect();
    assert_eq!(streams, (1..=UNREAD_ANSWERS).chain([32]).chain(MORE.skip(1)).collect::<Vec<_>>());
    client.half_close();
    assert!(client.is_ended());
}

// ------------------------------------------------------------------------------------ the invoke front

/// More than the invoke front buffers while a call is running.
const PIPELINED_BYTES: usize = 400 << 10;

/// A client with a call at the host and further requests sent after it.
fn pipelining(program: &Program, host: &Host, timeout_ms: u32) -> std::net::TcpStream {
    host.ways.lock().unwrap().does = Does::Nothing;
    let mut client = program.connect();
    let first = call("f1", MAIL, &[&format!("Wheellink-Timeout-Ms: {timeout_ms}")], "first");
    std::io::Write::write_all(&mut client, first.as_bytes()).unwrap();
    wait_for("the call", || host.calls() == 1);
    let more = call("f2", MAIL, &[], "more");
    let more = more.repeat(PIPELINED_BYTES / more.len());
    // The program may stop reading, so the last bytes may stay unsent.
    client.set_write_timeout(Some(ms(1000))).unwrap();
    let _ = std::io::Write::write_all(&mut client, more.as_bytes());
    client
}

#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn a_close_after_pipelined_requests_ends_the_running_call(#[case] reset: bool) {
    let host = Host::warm();
    let (program, _dns) = operator(&[&host], |text| text);
    let client = pipelining(&program, &host, 20_000);
    if reset {
        Client(client).reset();
    } else {
        drop(client);
    }
    wait_for("the KILL", || host.kills() == 1);
    assert_eq!(host.calls(), 1);
}

#[test]
fn after_more_pipelined_requests_than_are_buffered_the_answer_closes_the_connection() {
    let host = Host::warm();
    let (program, _dns) = operator(&[&host], |text| text);
    let mut client = pipelining(&program, &host, 3_000);
    let reply = read_reply(&mut client).unwrap();
    assert_eq!((reply.status, reply.header("connection")), (504, Some("close")));
    assert!(read_reply(&mut client).is_none(), "the discarded requests get no answer");
    assert_eq!(host.calls(), 1);
}

// ------------------------------------------------------------------------------- the end of the process

/// Sends SIGTERM and waits until the program has noticed it.
fn terminate(p: &Platform) {
    p.program.terminate();
    wait_for("the signal", || p.program.logged("told to stop with") == 1);
}

#[rstest]
#[case::loaded_and_served(true)]
#[case::never_loaded(false)]
fn calls_that_are_open_at_sigterm_are_answered(#[case] loads: bool) {
    let host = ManualHost::start();
    let mut p = platform_with(&[host.address], &[]);
    let mut client = Client::of(&p.program);
    client.ask(1, READ, 1, "waits");
    host.wait("FN", 1);
    host.answer_miss(0);
    client.ask(2, MAIL, 2, "out");
    let out = host.find("out");
    terminate(&p);
    assert_eq!(read_frame(&mut client.0).unwrap().kind, 6, "it asks for no new requests");
    if loads {
        host.finish_load(0);
        host.wait("FN", 3);
        host.serve(2);
        assert_eq!(client.answer(), (1, SERVED));
    } else {
        // Cancels still take effect.
        client.cancel(1);
    }
    assert!(p.program.has_ended().is_none(), "an answer is still to be sent");
    host.serve(out);
    assert_eq!(client.answer(), (2, SERVED));
    assert!(client.is_ended());
    assert!(p.program.ended().success());
}

/// An attempt that waits for a host connection keeps the program running until its request is answered.
#[test]
fn a_call_waiting_for_a_host_connection_at_sigterm_is_answered() {
    let (host, stuck) = (ManualHost::start(), Stuck::start());
    let late = [("settings/Limits/ConnectTimeoutUs", json!(2_000_000))];
    let mut p = platform_with(&[stuck.address], &late);
    let mut client = Client::of(&p.program);
    client.ask(1, MAIL, 1, "x");
    wait_for("the request", || open_requests(&p) == 1);
    terminate(&p);
    std::io::Write::write_all(&mut p.feed, &event(2, false, &[(7, host.address, 0), (0, stuck.address, 1)]))
        .unwrap();
    host.wait("FN", 1);
    host.serve(0);
    assert_eq!(read_frame(&mut client.0).unwrap().kind, 6);
    assert_eq!(client.answer(), (1, SERVED));
    assert!(p.program.ended().success());
    assert_eq!(stuck.heard(), 0);
}

#[test]
fn requests_after_sigterm_are_answered_on_old_and_new_connections() {
    let host = ManualHost::start();
    let mut p = platform_with(&[host.address], &[]);
    let mut old = Client::of(&p.program);
    old.ask(1, READ, 1, "before");
    host.wait("FN", 1);
    terminate(&p);
    let mut new = Client::of(&p.program);
    old.ask(2, MAIL, 1, "old");
    new.ask(1, MAIL, 1, "new");
    for body in ["before", "old", "new"] {
        host.serve(host.find(body));
    }
    let mut streams = Vec::new();
    while streams.len() < 2 {
        let frame = read_frame(&mut old.0).unwrap();
        if frame.kind == 2 {
            streams.push((frame.stream, frame.code));
        }
    }
    assert_eq!(streams, [(1, SERVED), (2, SERVED)]);
    assert_eq!(read_frame(&mut new.0).unwrap().kind, 6, "new connections are asked to leave too");
    assert_eq!(new.answer(), (1, SERVED));
    assert!(p.program.ended().success());
}

/// The bus was never reached: requests are answered all the same, and the program ends.
#[test]
fn sigterm_before_the_bus_is_reached_ends_the_program_after_its_answers() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = nobody.local_addr().unwrap();
    drop(nobody);
    let mut program = Program::start(&config(address, &[]), false);
    let mut client = Client::of(&program);
    client.ask(1, MAIL, 1, "x");
    wait_for("the request", || program.ask("GET", "/status", "").1["requests"] == 1);
    program.terminate();
    assert_eq!(read_frame(&mut client.0).unwrap().kind, 6);
    assert_eq!(client.answer(), (1, REFUSED));
    assert!(program.ended().success());
}

/// Requests that arrived while the process was stopped are read before it ends, however long it was stopped.
#[test]
fn requests_still_unread_when_the_time_after_sigterm_is_over_are_answered() {
    const MANY: u32 = 80;
    let host = Host::warm();
    let mut p = platform(&[&host]);
    terminate(&p);
    p.program.stop(true);
    let mut clients: Vec<Client> = (0..MANY).map(|_| Client::of(&p.program)).collect();
    // Answered at once with an error, so no open request keeps the program running.
    clients.iter_mut().for_each(|client| client.ask(1, "unknown", 1, "x"));
    // Longer than the program waits for further requests.
    std::thread::sleep(ms(1_200));
    p.program.stop(false);
    for client in &mut clients {
        let mut frames = std::iter::from_fn(|| read_frame(&mut client.0));
        let answer = frames.find(|frame| frame.kind == 2).expect("an answer");
        assert_eq!((answer.stream, answer.code), (1, FAILED));
    }
    assert!(p.program.ended().success());
}

/// A reload between two attempts of a request does not affect it.
#[test]
fn a_request_keeps_its_second_attempt_over_a_reload() {
    let (host, p, mut client) = call_that_waits_for_a_load(READ);
    let edits = [
        ("known/batch/0/topology/members", host_entries(&[host.address])),
        ("settings/Limits/MaxAttempts", json!(2)),
    ];
    p.program.reload(&common::rollout::edited(&config(p.bus.address, &[]), &edits));
    wait_for("the reload", || p.program.logged("configuration read again") == 1);
    host.finish_load(0);
    host.wait("FN", 2);
    host.serve(1);
    assert_eq!(client.answer(), (1, SERVED));
}

/// During an upgrade, the old process still answers its open requests and reacts to half-closes until it ends.
#[test]
fn the_old_process_of_an_upgrade_answers_its_open_requests() {
    let host = ManualHost::start();
    let bus = Bus::start();
    let known = [("known/batch/0/topology/members", host_entries(&[host.address]))];
    let text = common::rollout::edited(&config(bus.address, &[]), &known);
    let program = Program::start(&text, false);
    let (_, feed) = bus.greeted();
    let mut old = Platform { program, bus, feed };
    let (mut stays, mut goes) = (Client::of(&old.program), Client::of(&old.program));
    stays.ask(1, READ, 1, "waits");
    host.wait("FN", 1);
    host.answer_miss(0);
    stays.ask(2, MAIL, 2, "out");
    goes.ask(1, READ, 1, "abandoned");
    wait_for("the requests", || open_requests(&old) == 3);
    let listen = json!(old.program.address.to_string());
    let new = Program::start(&common::rollout::edited(&text, &[("listen", listen)]), false);
    wait_for("the change", || old.program.logged("the new process takes clients") == 1);
    for client in [&mut stays, &mut goes] {
        assert_eq!(read_frame(&mut client.0).unwrap().kind, 6);
    }
    goes.half_close();
    assert_eq!(goes.answer(), (1, REFUSED));
    old.program.terminate();
    host.finish_load(0);
    host.serve(host.find("out"));
    assert_eq!(stays.answer(), (2, SERVED));
    host.wait("FN", 3);
    host.serve(2);
    assert_eq!(stays.answer(), (1, SERVED));
    assert!(old.program.ended().success());
    assert_eq!(host.bodies(), ["waits", "out", "waits"]);
    let mut client = Client::of(&new);
    client.ask(1, READ, 1, "new");
    host.serve(host.find("new"));
    assert_eq!(client.answer(), (1, SERVED));
}
