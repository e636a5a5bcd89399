//! Whatever ends on the side of hosts and host lists while something is still owed, on real sockets. The crossing is
//! forced: the stand-ins hold a reply, a frame or a connection until the test lets go.

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

/// Sends mails on these streams one after the other, each of which is to be served.
fn serve_mails(program: &Program, streams: std::ops::Range<u32>) {
    let mut client = program.connect();
    for stream in streams {
        client.write_all(&call_frame(stream, "send-mail", 4000, b"")).unwrap();
        let answer = read_frame(&mut client).unwrap();
        assert_eq!((answer.stream, answer.code), (stream, SERVED));
    }
}

/// A program of one host whose list names another one besides from event 2 on, and has the first one drain.
struct Handover {
    a: Host,
    b: Host,
    program: Program,
    bus: Bus,
}

impl Handover {
    /// With the bus's connection.
    fn begin() -> (Self, TcpStream) {
        let (a, b) = (Host::warm(), Host::warm());
        let Platform { program, bus, feed } = platform(&[&a]);
        (Self { a, b, program, bus }, feed)
    }

    fn event(&self, number: u64) -> Vec<u8> {
        event_with_marker(number, false, &[(0, self.a.address, DRAINING), (1, self.b.address, READY)])
    }

    /// The event of this number has been taken in: all goes to the other host.
    fn is_done(&self, number: u64) {
        wait_applied(&self.program, number);
        serve_mails(&self.program, 1..7);
        assert_eq!((self.a.calls(), self.b.calls()), (0, 6));
    }
}

/// A bus that stops talking without an end is left for a new connection, which tells what has been missed.
#[rstest]
#[case::nothing_at_all(0)]
#[case::within_a_length(2)]
#[case::within_a_frame(20)]
fn a_silent_bus_is_left_and_what_it_missed_is_caught_up_with(#[case] part: usize) {
    let (handover, mut feed) = Handover::begin();
    let event = handover.event(2);
    feed.write_all(&event[..part]).unwrap();
    let (last, mut feed) = handover.bus.greeted();
    assert_eq!(last, 1, "half an event is none");
    wait_for("its line in the log", || handover.program.logged("conn bus ended reason=silent") == 1);
    feed.write_all(&event).unwrap();
    handover.is_done(2);
}

/// One that closes or breaks off, in the middle of a frame or not, is connected to again and asked from the last event
/// that came whole.
#[rstest]
#[case::closes(false, 0)]
#[case::closes_within_a_frame(false, 20)]
#[case::resets(true, 0)]
#[case::resets_within_a_frame(true, 20)]
fn changes_after_a_reconnect_are_taken_in(#[case] resets: bool, #[case] part: usize) {
    let (handover, mut feed) = Handover::begin();
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
    handover.is_done(3);
}

/// The event after a gap is known, however long the missing ones are withheld: its host drains from then on.
#[test]
fn what_comes_after_a_gap_holds_while_the_list_is_not_told_anew() {
    let (handover, mut feed) = Handover::begin();
    let event = handover.event(4);
    feed.write_all(&event).unwrap();
    let (last, held) = handover.bus.greeted();
    assert_eq!(last, 0, "asked for from the start, and held back");
    handover.is_done(4);
    drop(held);
}

/// An old event that comes again, on the same connection or on the next one, takes no host back into service.
#[rstest]
#[case::on_the_same_connection(false)]
#[case::on_the_next_one(true)]
fn an_event_that_comes_again_changes_nothing(#[case] reconnected: bool) {
    let (handover, mut feed) = Handover::begin();
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
    handover.is_done(3);
}

/// Whoever is missing from a whole list has left, with all that is open there: a mail that runs has failed, a call that
/// comes goes elsewhere.
#[test]
fn a_host_missing_from_a_whole_list_has_left() {
    let (puppet, b) = (RawHost::start(), Host::warm());
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 4000, b"")).unwrap();
    let mut line = puppet.accept();
    line.call();
    p.feed.write_all(&event_with_marker(2, true, &[(1, b.address, READY)])).unwrap();
    assert_eq!(line.rest(), [], "its connection ends, and nothing more is said on it");
    let answer = read_frame(&mut client).unwrap();
    assert_eq!((answer.stream, answer.code), (1, FAILED), "it may have run");
    serve_mails(&p.program, 2..5);
    assert_eq!((b.calls(), p.program.maintain("exit", 7)), (3, 404));
}

/// A bus that is not there, or does not come up, is asked again and again; the list of the configuration does until
/// then, and what the bus tells at last is taken in.
#[rstest]
#[case::turns_connections_away(false)]
#[case::does_not_come_up(true)]
fn a_bus_that_comes_late_is_found(#[case] held: bool) {
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
    serve_mails(&program, 1..4);
    assert_eq!(a.calls(), 3, "by the list of the configuration");
    let own: Vec<_> = fill.iter().map(|s| s.local_addr().unwrap()).collect();
    socket.listen(128).unwrap();
    let listener: TcpListener = socket.into();
    let mut feed = loop {
        let (stream, from) = listener.accept().unwrap();
        // One that was given up before it came up has ended by now.
        if !own.contains(&from) && first_greeting(&stream) {
            break stream;
        }
    };
    feed.write_all(&event_with_marker(2, false, &[(0, a.address, DRAINING), (1, b.address, READY)])).unwrap();
    wait_applied(&program, 2);
    serve_mails(&program, 4..7);
    assert_eq!((a.calls(), b.calls()), (3, 3));
}

/// Whether the connection says from where it wants to go on.
fn first_greeting(stream: &TcpStream) -> bool {
    let mut last = [0; 8];
    std::io::Read::read_exact(&mut &*stream, &mut last).is_ok()
}

/// A process that was held up for longer than the bus may be silent has not heard what came meanwhile: it looks before
/// it gives the connection up.
#[test]
fn a_bus_that_spoke_while_the_process_was_held_up_is_not_silent() {
    let (handover, mut feed) = Handover::begin();
    wait_for("readiness", || handover.program.status() == 200);
    // A stopped process often finds its wait broken off, and looks at the time first; hence three rounds.
    for number in 2..5 {
        handover.program.stop(true);
        // By its own clock the bus has said nothing for too long.
        std::thread::sleep(ms(2_200));
        feed.write_all(&handover.event(number)).unwrap();
        wait_for("the event to arrive", || unread(&feed) > 0);
        handover.program.stop(false);
        wait_applied(&handover.program, number);
    }
    handover.is_done(4);
    assert_eq!(handover.program.logged("conn bus ended"), 0);
}

/// An answer whose end came while the process was held up is whole, though it paused for too long by the clock.
#[test]
fn an_answer_that_became_whole_while_the_process_was_held_up_counts() {
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
        // Answered after the half has been read.
        p.program.status();
        p.program.stop(true);
        if begun.elapsed() > ms(250) {
            // This test was held up itself, so that the answer may rightly have been given up.
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

/// A connection that came up while the process was held up stands, though it took too long by the clock.
#[test]
fn a_connection_that_came_up_while_the_process_was_held_up_stands() {
    let mut puppet = RawHost::start();
    let timeout = |text: String| long_timeouts(text).replace("60000000", "3000000");
    let p = platform_of(&[(7, puppet.address)], timeout);
    puppet.block_connects();
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, "send-mail", 8000, b"")).unwrap();
    wait_for("the connection's beginning", || puppet.has_pending_connect());
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

/// Calls that are under way to a host which listens and takes no connection.
struct Waiting {
    puppet: RawHost,
    p: Platform,
    client: TcpStream,
}

impl Waiting {
    /// A mail waits for a connection to host 7.
    fn begin() -> Self {
        let mut puppet = RawHost::start();
        puppet.block_connects();
        let p = platform_of(&[(7, puppet.address)], long_timeouts);
        let mut client = p.program.connect();
        client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
        wait_for("the connection's beginning", || puppet.has_pending_connect());
        Self { puppet, p, client }
    }

    /// The mail has been served elsewhere, and host 7 has heard nothing when it lets connections in at last.
    fn has_gone_elsewhere(mut self, served: impl Fn() -> usize) {
        assert_eq!(read_frame(&mut self.client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
        assert_eq!(served(), 1);
        let nothing: Vec<_> =
            self.puppet.accept_all().iter_mut().map(HostConn::rest).filter(|said| !said.is_empty()).collect();
        assert_eq!(nothing, Vec::<Vec<Command>>::new());
    }
}

/// A mail waits for a connection, and what is told of its host says that it can't be meant any more: it is withdrawn as
/// never sent, and goes elsewhere.
#[rstest]
#[case::the_host_drains(DRAINING)]
#[case::the_host_has_gone(GONE)]
fn a_mail_that_waits_for_a_connection_goes_elsewhere(#[case] state: u8) {
    let mut w = Waiting::begin();
    let other = Host::warm();
    let hosts = [(7, w.puppet.address, state), (8, other.address, READY)];
    apply_changes(&w.p.program, &mut w.p.feed, 2, &hosts);
    w.has_gone_elsewhere(|| other.calls());
}

/// A new id at the address of a host that waits for its connection: what was meant for the old one is not sent to the
/// new process as if it were that, and nobody waits for the connection any more.
#[test]
fn a_mail_for_a_host_whose_address_another_takes_over_is_withdrawn() {
    let mut w = Waiting::begin();
    apply_changes(&w.p.program, &mut w.p.feed, 2, &[(8, w.puppet.address, READY)]);
    wait_for("its line in the log", || w.p.program.logged("host s-00000007 ended reason=host_gone") == 1);
    assert_eq!(w.p.program.maintain("exit", 7), 404, "it has gone, whether the list says so by now or not");
    // It goes to the new one, on a connection that was begun for it.
    let mut lines = w.puppet.accept_all();
    let calls: Vec<_> = lines.iter_mut().filter_map(|line| Some((line.next()?, line))).collect();
    assert_eq!(calls.len(), 1);
    for (said, line) in calls {
        let Command::Call { id, .. } = said else { panic!("{said:?}") };
        line.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    }
    assert_eq!(read_frame(&mut w.client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    // The old one's end comes in its own event, and changes nothing for the new one.
    apply_changes(&w.p.program, &mut w.p.feed, 3, &[(7, w.puppet.address, GONE)]);
    assert_eq!(w.p.program.maintain("exit", 8), 200);
}

/// A process started anew at the same id and address: what waits for a connection to the old one is withdrawn.
#[test]
fn a_mail_for_a_process_that_was_started_anew_is_withdrawn() {
    let mut w = Waiting::begin();
    let other = Host::warm();
    let started = unix_ms() + 1;
    let nowhere: SocketAddr = ([127, 0, 0, 1], 2).into();
    let entries =
        [(7, w.puppet.address, READY, started), (8, other.address, READY, 0), (9, nowhere, DRAINING, 0)];
    w.p.feed.write_all(&timed_event(2, false, &entries)).unwrap();
    wait_for("the event", || w.p.program.maintain("exit", 9) == 200);
    wait_for("its line in the log", || w.p.program.logged("host s-00000007 ended reason=host_gone") == 1);
    // To whichever it goes now, its old connection is not used.
    let mut lines = w.puppet.accept_all();
    let said: Vec<_> = lines.iter_mut().filter_map(HostConn::next).collect();
    assert_eq!(said.len() + other.calls(), 1);
}

/// A host that is told to drain gets no order for what it has just missed, and no repeat: they go elsewhere.
#[rstest]
#[case::a_read(READ)]
#[case::a_mail(MAIL)]
fn a_miss_of_a_host_that_drains_is_followed_by_no_order_there(#[case] class: &str) {
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

/// An order goes on a connection that is not up, as the one before it ended with the miss: the drain withdraws it.
#[test]
fn an_order_that_waits_for_a_connection_is_never_sent_to_a_host_that_drains() {
    let (mut puppet, other) = (RawHost::start(), Host::warm());
    let mut p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    puppet.block_connects();
    // Both are there when the program looks again.
    p.program.stop(true);
    line.answer(&id, "404", "-");
    line.close();
    p.program.stop(false);
    wait_for("the order's connection", || puppet.has_pending_connect());
    apply_changes(&p.program, &mut p.feed, 2, &[(7, puppet.address, DRAINING), (8, other.address, READY)]);
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((1, SERVED)));
    assert_eq!(other.calls(), 1);
    apply_changes(&p.program, &mut p.feed, 3, &[(7, puppet.address, GONE)]);
    let said: Vec<_> = puppet.accept_all().iter_mut().flat_map(HostConn::rest).collect();
    assert_eq!(said, []);
}

/// A connection ends while an answer is awaited or half there: its call has one end, may have run, and a mail is not sent
/// again. A call on another connection to the host goes on.
#[rstest]
#[case::closed_before_the_answer("", false)]
#[case::closed_within_its_line("ID 200 tell=wa", false)]
#[case::closed_within_its_body("ID 200 tell=warm 10\r\nhalf", false)]
#[case::closed_before_its_last_byte("ID 200 tell=warm 2\r\nok\r", false)]
#[case::reset_before_the_answer("", true)]
#[case::reset_within_its_body("ID 200 tell=warm 10\r\nhalf", true)]
#[case::too_long("ID 200 tell=warm 2\r\nmore than two\r\n", false)]
#[case::no_length("ID 200 tell=warm many\r\n\r\n", false)]
#[case::no_fields("ID 200 tell 0\r\n\r\n", false)]
#[case::a_word_too_few("ID 200 0\r\n\r\n", false)]
fn a_mail_whose_answer_is_spoilt_or_cut_short_fails_once(#[case] bytes: &str, #[case] resets: bool) {
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
    assert_eq!(usual.rest(), [], "nothing of the mail is sent again");
    assert!(puppet.accept_within(ms(300)).is_none());
}

/// The same of a read: it goes on elsewhere, once.
#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn a_read_whose_answer_is_cut_short_goes_on_elsewhere(#[case] resets: bool) {
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

/// A host says an answer twice, the second time when the call has long been answered: it is dropped, and the next call
/// on the connection gets its own answer alone.
#[test]
fn a_second_answer_that_comes_later_is_dropped() {
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

/// The client leaves, and the answer crosses the KILL: it is nobody's, and the connection is used on. A call under the
/// same id, as a client may choose it, goes on another connection.
#[test]
fn an_answer_after_the_kill_is_nobodys() {
    let puppet = RawHost::start();
    let p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    client.write_all(&client_frame(3, 1, &[])).unwrap();
    assert_eq!(line.next(), Some(Command::Kill { id: id.clone() }));
    let again = [id.as_str(), MAIL, "5c0f6e1a", "7f3a9c21e0b4d655"];
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

/// The host ends its idle connection and a mail comes before the program looks again, in either order: the mail is sent
/// once, where it is heard.
#[rstest]
#[case::the_end_first(true)]
#[case::the_mail_first(false)]
fn a_mail_that_crosses_the_end_of_an_idle_connection_is_served(#[case] end_first: bool) {
    let puppet = RawHost::start();
    let p = platform_of(&[(7, puppet.address)], long_timeouts);
    let mut client = p.program.connect();
    client.write_all(&call_frame(1, MAIL, 8000, b"")).unwrap();
    let mut line = puppet.accept();
    let id = line.call();
    line.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| f.code), Some(SERVED));
    p.program.stop(true);
    let mail = call_frame(2, MAIL, 8000, b"");
    if end_first {
        line.half_close();
        client.write_all(&mail).unwrap();
    } else {
        client.write_all(&mail).unwrap();
        line.half_close();
    }
    p.program.stop(false);
    let mut fresh = puppet.accept();
    let id = fresh.call();
    fresh.say(&format!("{id} 200 tell=warm 2\r\nok\r\n"));
    assert_eq!(read_frame(&mut client).map(|f| (f.stream, f.code)), Some((2, SERVED)));
    assert_eq!(line.rest(), []);
}
