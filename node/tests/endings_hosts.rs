//! Hosts, connections to them or the bus end while answers are outstanding, on real sockets. The test forces the order
//! of events: its stand-ins hold back answers, frames or connections until it releases them.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

use common::raw_host::*;
use common::*;
use rstest::rstest;
use socket2::{Domain, Socket, Type};

const SERVED: u8 = 79;
const FAILED: u8 = 69;

const READ: &str = "check-score";
const MAIL: &str = "send-mail";

/// Sends calls of class `send-mail` on these streams one after the other, and checks that each is served.
fn serve_calls(program: &Program, streams: std::ops::Range<u32>) {
    let mut client = program.connect();
    for stream in streams {
        client.write_all(&call_frame(stream, "send-mail", 4000, b"")).unwrap();
        let answer = read_frame(&mut client).unwrap();
        assert_eq!((answer.stream, answer.code), (stream, SERVED));
    }
}

/// An activator with host `a`, which an event then drains while it adds host `b`.
struct Handover {
    a: Host,
    b: Host,
    program: Program,
    bus: Bus,
}

impl Handover {
    /// Starts the activator; also returns the bus's connection.
    fn start() -> (Self, TcpStream) {
        let (a, b) = (Host::warm(), Host::warm());
        let Platform { program, bus, feed } = platform(&[&a]);
        (Self { a, b, program, bus }, feed)
    }

    fn event(&self, number: u64) -> Vec<u8> {
        event_with_marker(number, false, &[(0, self.a.address, DRAINING), (1, self.b.address, READY)])
    }

    /// Waits until the event has been applied, and checks that all calls go to host `b`.
    fn check_applied(&self, number: u64) {
        wait_applied(&self.program, number);
        serve_calls(&self.program, 1..7);
        assert_eq!((self.a.calls(), self.b.calls()), (0, 6));
    }
}

/// A connection to the bus that falls silent is replaced, and the missed events arrive on the new one.
#[rstest]
#[case::nothing_at_all(0)]
#[case::within_a_length(2)]
#[case::within_a_frame(20)]
fn a_silent_connection_to_the_bus_is_replaced_and_missed_events_are_applied(#[case] part: usize) {
    let (handover, mut feed) = Handover::start();
    let event = handover.event(2);
    feed.write_all(&event[..part]).unwrap();
    let (last, mut feed) = handover.bus.greeted();
    assert_eq!(last, 1, "a partial event does not count");
    wait_for("its log line", || handover.program.logged("conn bus ended reason=silent") == 1);
    feed.write_all(&event).unwrap();
    handover.check_applied(2);
}

/// After the bus closes or resets the connection, within a frame or between frames, the activator reconnects and
/// requests the events after the last complete one.
#[rstest]
#[case::closes(false, 0)]
#[case::closes_within_a_frame(false, 20)]
#[case::resets(true, 0)]
#[case::resets_within_a_frame(true, 20)]
fn events_after_a_reconnect_are_applied(#[case] resets: bool, #[case] part: usize) {
    let (handover, mut feed) = Handover::start();
    let event = handover.event(3);
    let nobody: SocketAddr = ([127, 0, 0, 1], 1).into();
    let bytes = [event_with_marker(2, false, &[(9, nobody, GONE)]), event[..part].to_vec()].concat();
    feed.write_all(&bytes).unwrap();
    wait_applied(&handover.program, 2);
    if resets {
        socket2::SockRef::from(&feed).set_linger(Some(ms(0))).unwrap();
    }
    drop(feed);
    let (last, mut feed) = handover.bus.greeted();
    assert_eq!(last, 2);
    feed.write_all(&event).unwrap();
    handover.check_applied(3);
}

/// An event after a gap is applied at once, so that its host drains, even if the missing events do not arrive.
#[test]
fn an_event_after_a_gap_is_applied_before_the_missing_ones_arrive() {
    let (handover, mut feed) = Handover::start();
    let event = handover.event(4);
    feed.write_all(&event).unwrap();
    let (last, held) = handover.bus.greeted();
    assert_eq!(last, 0, "all events are requested, and held back");
    handover.check_applied(4);
    drop(held);
}

/// A repeated old event, on the same connection or on the next one, does not return a host into service.
#[rstest]
#[case::on_the_same_connection(false)]
#[case::on_the_next_one(true)]
fn a_repeated_event_changes_nothing(#[case] reconnected: bool) {
    let (handover, mut feed) = Handover::start();
    let again = event(2, false, &[(0, handover.a.address, READY)]);
    let drains = handover.event(3);
    feed.write_all(&[again.clone(), drains.clone()].concat()).unwrap();
    wait_applied(&handover.program, 3);
    if reconnected {
        feed.shutdown(std::net::Shutdown::Both).unwrap();
        let (last, fresh) = handover.bus.greeted();
        assert_eq!(last, 3);
        feed = fresh;
    }
    let next = event_with_marker(4, false, &[]);
    feed.write_all(&[again, drains, next].concat()).unwrap();
    wait_applied(&handover.program, 4);
    handover.check_applied(3);
}

/// A host that is missing from a full list is removed, and its connections end: a running call of a class that is not
/// idempotent fails, and later calls go to other hosts.
#[test]
fn a_host_missing_from_a_full_list_is_removed() {
    let (puppet, b) = (RawHost::start(), Host::warm());
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    let mut line = puppet.accept();
    line.call();
    p.feed.write_all(&event_with_marker(2, true, &[(1, b.address, READY)])).unwrap();
    assert_eq!(line.rest(), [], "its connection ends without further commands");
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code), (1, FAILED), "it may have run");
    serve_calls(&p.program, 2..5);
    assert_eq!((b.calls(), p.program.maintain("exit", 7)), (3, 404));
}

/// While the bus refuses connections or does not accept them, the activator keeps retrying and uses the list of the
/// configuration. Once the bus is available, its events are applied.
#[rstest]
#[case::refuses_connections(false)]
#[case::accepts_no_connection(true)]
fn a_bus_that_becomes_available_late_is_used(#[case] held: bool) {
    let (a, b) = (Host::warm(), Host::warm());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut fill = Vec::new();
    if held {
        socket.listen(0).unwrap();
        fill.extend((0..3).map_while(|_| TcpStream::connect_timeout(&address, ms(100)).ok()));
    }
    let program = Program::start(&config_with(address, &[(0, a.address)]), false);
    let reason = if held { "conn bus ended reason=silent" } else { "conn bus ended reason=connect_refused" };
    wait_for("several attempts", || program.logged(reason) >= 3);
    serve_calls(&program, 1..4);
    assert_eq!(a.calls(), 3, "routed by the list of the configuration");
    let own: Vec<_> = fill.iter().map(|s| s.local_addr().unwrap()).collect();
    socket.listen(128).unwrap();
    let listener: TcpListener = socket.into();
    let mut feed = loop {
        let (stream, from) = listener.accept().unwrap();
        // Connections that timed out before they were accepted have ended by now.
        if !own.contains(&from) && sends_request(&stream) {
            break stream;
        }
    };
    feed.write_all(&event_with_marker(2, false, &[(0, a.address, DRAINING), (1, b.address, READY)])).unwrap();
    wait_applied(&program, 2);
    serve_calls(&program, 4..7);
    assert_eq!((a.calls(), b.calls()), (3, 3));
}

/// Whether the client requests events on this connection.
fn sends_request(stream: &TcpStream) -> bool {
    let mut last = [0; 8];
    std::io::Read::read_exact(&mut &*stream, &mut last).is_ok()
}

/// A process is stopped for longer than the silence timeout while an event arrives: it must read before it checks the
/// timeout, and keep the connection.
#[test]
fn data_that_arrived_while_the_process_was_stopped_prevents_the_silence_timeout() {
    let (handover, mut feed) = Handover::start();
    wait_for("readiness", || handover.program.status() == 200);
    // The wait of a stopped process is often interrupted, so that it checks timeouts first; hence three rounds.
    for number in 2..5 {
        handover.program.stop(true);
        // Longer than the silence timeout of 2 s.
        std::thread::sleep(ms(2_200));
        feed.write_all(&handover.event(number)).unwrap();
        wait_for("the event to arrive", || unread(&feed) > 0);
        handover.program.stop(false);
        wait_applied(&handover.program, number);
    }
    handover.check_applied(4);
    assert_eq!(handover.program.logged("conn bus ended"), 0);
}

/// The second half of an answer arrives while the process is stopped for longer than the allowed pause within an
/// answer: the answer counts.
#[test]
fn an_answer_that_was_completed_while_the_process_was_stopped_counts() {
    let puppet = RawHost::start();
    let p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    let (mut line, mut rounds) = (None, 0);
    for stream in 1..20 {
        client.write_all(&call_frame(stream, MAIL, 8000, b"")).unwrap();
        let mut held = line.take().unwrap_or_else(|| puppet.accept());
        let id = held.call();
        let begun = Instant::now();
        held.say(&format!("{id} 200 tell=warm 10\r\nhalf"));
        // The status request is answered after the first half has been read.
        p.program.status();
        p.program.stop(true);
        if begun.elapsed() > ms(250) {
            // This test itself was delayed, so that the pause may rightly have ended the answer.
            p.program.stop(false);
            drop(held);
            read_frame(&mut client).unwrap();
            continue;
        }
        std::thread::sleep(ms(700));
        held.say("a body\r\n");
        wait_for("the second half to arrive", || held.unread() > 0);
        p.program.stop(false);
        let answer = read_frame(&mut client).unwrap();
        let served = (stream, SERVED, &b"halfa body"[..]);
        assert_eq!((answer.stream, answer.code, answer.body.as_slice()), served, "{:?}", p.program.lines());
        (line, rounds) = (Some(held), rounds + 1);
        if rounds == 3 {
            return;
        }
    }
}

/// A connection is established while the process is stopped for longer than the connect timeout: it is used.
#[test]
fn a_connection_that_was_established_while_the_process_was_stopped_is_used() {
    let mut puppet = RawHost::start();
    let timeout = |text: String| long_timeouts(text).replace("60000000", "3000000");
    let p = platform_of(&[(7, puppet.address)], timeout);
    puppet.block_connects();
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 8000, b"")).unwrap();
    wait_for("the connection attempt", || puppet.has_pending_connect());
    p.program.stop(true);
    let mut lines = puppet.accept_all();
    std::thread::sleep(ms(3_000));
    p.program.stop(false);
    assert_eq!(lines.len(), 1);
    let id = lines[0].call();
    lines[0].say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    assert_eq!(read_frame(&mut client).unwrap().code, SERVED);
    assert_eq!(p.program.logged("conn host s-00000007 ended"), 0);
}

/// A call that waits for a connection to a host that listens but accepts none.
struct WaitingCall {
    puppet: RawHost,
    p: Platform,
    client: TcpStream,
}

impl WaitingCall {
    /// A call of class `send-mail` waits for a connection to host 7.
    fn start() -> Self {
        let mut puppet = RawHost::start();
        puppet.block_connects();
        let p = platform_of(&[(7, puppet.address)], long_timeouts);
        let mut client = p.program.connect();
        client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
        wait_for("the connection attempt", || puppet.has_pending_connect());
        Self { puppet, p, client }
    }

    /// Checks that the call was served elsewhere, and that host 7 receives no command once it accepts connections.
    fn check_served_elsewhere(mut self, served: impl Fn() -> usize) {
        assert_eq!(read_frame(&mut self.client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
        assert_eq!(served(), 1);
        let sent: Vec<_> =
            self.puppet.accept_all().iter_mut().map(HostConn::rest).filter(|sent| !sent.is_empty()).collect();
        assert_eq!(sent, Vec::<Vec<Command>>::new());
    }
}

/// A call waits for a connection when its host starts to drain or is removed: it is withdrawn as never sent, and goes
/// to another host.
#[rstest]
#[case::the_host_drains(DRAINING)]
#[case::the_host_has_gone(GONE)]
fn a_call_that_waits_for_a_connection_goes_to_another_host(#[case] state: u8) {
    let mut w = WaitingCall::start();
    let other = Host::warm();
    let hosts = [(7, w.puppet.address, state), (8, other.address, READY)];
    apply_changes(&w.p.program, &mut w.p.feed, 2, &hosts);
    w.check_served_elsewhere(|| other.calls());
}

/// A new host gets the address of a host to which a call waits for a connection: the call must not be sent to the new
/// host as if it were the old one, and the pending connection ends.
#[test]
fn a_call_for_a_host_whose_address_another_one_gets_is_withdrawn() {
    let mut w = WaitingCall::start();
    apply_changes(&w.p.program, &mut w.p.feed, 2, &[(8, w.puppet.address, READY)]);
    wait_for("its log line", || w.p.program.logged("host s-00000007 ended reason=host_gone") == 1);
    assert_eq!(w.p.program.maintain("exit", 7), 404, "it is removed, though the list does not say so yet");
    // The call goes to the new host, on a connection that was opened for it.
    let mut lines = w.puppet.accept_all();
    let calls: Vec<_> = lines.iter_mut().filter_map(|line| Some((line.next()?, line))).collect();
    assert_eq!(calls.len(), 1);
    for (command, line) in calls {
        let Command::Call { id, .. } = command else { panic!("{command:?}") };
        line.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    }
    assert_eq!(read_frame(&mut w.client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    // The removal of the old host arrives in a later event, and does not affect the new one.
    apply_changes(&w.p.program, &mut w.p.feed, 3, &[(7, w.puppet.address, GONE)]);
    assert_eq!(w.p.program.maintain("exit", 8), 200);
}

/// A host restarts with the same id and address: a call that waits for a connection to the old process is withdrawn.
#[test]
fn a_call_for_a_restarted_host_is_withdrawn() {
    let mut w = WaitingCall::start();
    let other = Host::warm();
    let started = unix_ms() + 1;
    let nowhere: SocketAddr = ([127, 0, 0, 1], 2).into();
    let entries =
        [(7, w.puppet.address, READY, started), (8, other.address, READY, 0), (9, nowhere, DRAINING, 0)];
    w.p.feed.write_all(&timed_event(2, false, &entries)).unwrap();
    wait_for("the event", || w.p.program.maintain("exit", 9) == 200);
    wait_for("its log line", || w.p.program.logged("host s-00000007 ended reason=host_gone") == 1);
    // It is sent once, to either host, but not on the old connection.
    let mut lines = w.puppet.accept_all();
    let commands: Vec<_> = lines.iter_mut().filter_map(HostConn::next).collect();
    assert_eq!(commands.len() + other.calls(), 1);
}

/// A host answers a call with a miss and drains: the order for the missing function and the retry go to another host.
#[rstest]
#[case::idempotent(READ)]
#[case::not_idempotent(MAIL)]
fn after_a_miss_a_draining_host_gets_no_order(#[case] class: &str) {
    let (puppet, other) = (RawHost::start(), Host::warm());
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, class, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    apply_changes(&p.program, &mut p.feed, 2, &[(7, puppet.address, DRAINING), (8, other.address, READY)]);
    line.answer(&id, "404", "-");
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    assert_eq!(other.calls(), 1);
    apply_changes(&p.program, &mut p.feed, 3, &[(7, puppet.address, GONE)]);
    assert_eq!(line.rest(), [], "neither an order nor a call");
}

/// An order waits for a new connection, as the previous one ended after the miss: a drain withdraws it.
#[test]
fn an_order_that_waits_for_a_connection_is_never_sent_to_a_draining_host() {
    let (mut puppet, other) = (RawHost::start(), Host::warm());
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    puppet.block_connects();
    // The answer and the end of the connection are both there when the program continues.
    p.program.stop(true);
    line.answer(&id, "404", "-");
    line.close();
    p.program.stop(false);
    wait_for("the connection of the order", || puppet.has_pending_connect());
    apply_changes(&p.program, &mut p.feed, 2, &[(7, puppet.address, DRAINING), (8, other.address, READY)]);
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    assert_eq!(other.calls(), 1);
    apply_changes(&p.program, &mut p.feed, 3, &[(7, puppet.address, GONE)]);
    let commands: Vec<_> = puppet.accept_all().iter_mut().flat_map(HostConn::rest).collect();
    assert_eq!(commands, []);
}

/// A connection ends while an answer is outstanding or incomplete: its call fails once, and is not repeated if its
/// class is not idempotent, since it may have run. A call on another connection to the host is not affected.
#[rstest]
#[case::closed_before_the_answer("", false)]
#[case::closed_within_its_line("ID 200 tell=wa", false)]
#[case::closed_within_its_body("ID 200 tell=warm 10\r\nhalf", false)]
#[case::closed_before_its_last_byte("ID 200 tell=warm 2\r\nok\r", false)]
#[case::reset_before_the_answer("", true)]
#[case::reset_within_its_body("ID 200 tell=warm 10\r\nhalf", true)]
#[case::body_too_long("ID 200 tell=warm 2\r\nmore than two\r\n", false)]
#[case::invalid_length("ID 200 tell=warm many\r\n\r\n", false)]
#[case::malformed_fields("ID 200 tell 0\r\n\r\n", false)]
#[case::a_word_too_few("ID 200 0\r\n\r\n", false)]
fn a_call_whose_answer_is_malformed_or_cut_short_fails_once(#[case] bytes: &str, #[case] resets: bool) {
    let puppet = RawHost::start();
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, READ, 8000, b"")).unwrap();
    let mut usual = puppet.accept();
    let first = usual.call();
    client.write_all(&call_frame(2, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let second = line.call();
    line.say(&bytes.replace("ID", &second));
    if resets {
        line.reset();
    } else {
        line.half_close();
        assert_eq!(line.rest(), []);
    }
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((2, FAILED)));
    usual.say(&format!("{first} 200 tell=warm 2\r\nok\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    apply_changes(&p.program, &mut p.feed, 2, &[(7, puppet.address, GONE)]);
    assert_eq!(usual.rest(), [], "the call is not sent again");
    assert!(puppet.accept_within(ms(300)).is_none());
}

/// An idempotent call whose answer is cut short is repeated at another host, once.
#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn an_idempotent_call_whose_answer_is_cut_short_is_repeated_elsewhere(#[case] resets: bool) {
    let (puppet, other) = (RawHost::start(), Host::warm());
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, READ, 8000, b"read")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    apply_changes(&p.program, &mut p.feed, 2, &[(7, puppet.address, DRAINING), (8, other.address, READY)]);
    line.say(&format!("{id} 200 tell=warm 10\r\nhalf"));
    if resets {
        line.reset();
    } else {
        line.half_close();
    }
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code, answer.body.as_slice()), (1, SERVED, &b"did read"[..]));
    assert_eq!(other.runs("read"), 1);
}

/// A host sends an answer twice, the second time long after the call has ended: that one is ignored, and the next call
/// on the connection gets its own answer.
#[test]
fn a_repeated_answer_is_ignored() {
    let puppet = RawHost::start();
    let p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let first = line.call();
    let answer = format!("{first} 200 tell=warm 3\r\none\r\n");
    line.say(&answer);
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.body)), Some((1, b"one".to_vec())));
    client.write_all(&call_frame(2, MAIL, 8000, b"")).unwrap();
    let second = line.call();
    line.say(&answer);
    line.say(&format!("{second} 200 tell=warm 3\r\ntwo\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.body)), Some((2, b"two".to_vec())));
    assert_eq!(p.program.logged("conn host s-00000007 ended"), 0);
}

/// The client cancels a call, and the answer crosses the KILL: it is ignored, and the connection stays in use. A call
/// with the same id, which clients choose, uses another connection. (One that may not be repeated does not run again: see
/// `departed_clients.rs`.)
#[test]
fn an_answer_after_the_kill_is_ignored() {
    let puppet = RawHost::start();
    let p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, READ, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    client.write_all(&client_frame(3, 1, &[])).unwrap();
    assert_eq!(line.next(), Some(Command::Kill { id: id.clone() }));
    let again = [id.as_str(), READ, "5c0f6e1a", "7f3a9c21e0b4d655"];
    client.write_all(&whole_call_frame(2, again, 8000, b"")).unwrap();
    let mut other = puppet.accept();
    assert_eq!(other.call(), id);
    line.say(&format!("{id} 200 tell=warm 3\r\nold\r\n"));
    client.write_all(&call_frame(3, MAIL, 8000, b"")).unwrap();
    let third = line.call();
    line.say(&format!("{third} 200 tell=warm 5\r\nthird\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.body)), Some((3, b"third".to_vec())));
    other.say(&format!("{id} 200 tell=warm 3\r\nnew\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.body)), Some((2, b"new".to_vec())));
    assert_eq!(p.program.logged("conn host s-00000007 ended"), 0);
}

/// The host closes an idle connection and a call arrives before the program runs again, in either order: the call is
/// sent once, on a new connection.
#[rstest]
#[case::the_end_first(true)]
#[case::the_call_first(false)]
fn a_call_that_crosses_the_end_of_an_idle_connection_is_served(#[case] end_first: bool) {
    let puppet = RawHost::start();
    let p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    line.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| f.code), Some(SERVED));
    p.program.stop(true);
    let call = call_frame(2, MAIL, 8000, b"");
    if end_first {
        line.half_close();
        client.write_all(&call).unwrap();
    } else {
        client.write_all(&call).unwrap();
        line.half_close();
    }
    p.program.stop(false);
    let mut fresh = puppet.accept();
    let id = fresh.call();
    fresh.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((2, SERVED)));
    assert_eq!(line.rest(), []);
}
