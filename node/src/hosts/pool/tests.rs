//! Both orders of two events that end something, without and with bytes on sockets. The clock is the test's own.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use calloop::EventLoop;
use rstest::rstest;
use wheellink::Ticket;

use super::connection::MAX_STALL_US;
use super::ending::MAX_MOVES;
use super::*;
use crate::wake::Wakes;

const SECOND: Micros = 1_000_000;
/// Looks of 5 ms.
const QUIET_LOOKS: usize = 6;
/// Longer than anything here takes.
const LONG: Duration = Duration::from_secs(10);

/// A pool before one host, whose connections are accepted and read when the test says so.
struct Rig {
    hosts: HostPool,
    now: Micros,
    log: Log,
    events: EventLoop<'static, Wakes>,
    wakes: Wakes,
    listener: TcpListener,
    host: WorkerId,
    next: u64,
    ended: Vec<(u64, Outcome)>,
    orders: Vec<(u64, Outcome)>,
}

impl Rig {
    fn new() -> Self {
        let transport = Transport {
            conn_idle: 10 * SECOND,
            connect_timeout: SECOND / 4,
            // So many that all goes on one connection.
            activators: 100,
            streams: 1_000,
            probes: false,
            order_timeout: 2 * SECOND,
            says_warm: false,
            counts_alike: false,
            retry_after: 0,
        };
        let events: EventLoop<'static, Wakes> = EventLoop::try_new().unwrap();
        let mut rig = Self {
            hosts: HostPool::new(events.handle(), transport, (100, 1 << 20)),
            now: 1_000 * SECOND,
            log: Log::new(),
            events,
            wakes: Wakes::default(),
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            host: "a".into(),
            next: 0,
            ended: Vec::new(),
            orders: Vec::new(),
        };
        rig.list(Condition::Up);
        rig
    }

    fn listed(&self, condition: Condition) -> Host {
        let worker = self.host.clone();
        let entry = ListEntry { worker, zone: 1, cell: 2, condition, size: 1.0, ready_at: 0 };
        Host { entry, address: self.listener.local_addr().unwrap() }
    }

    fn list(&mut self, condition: Condition) {
        let host = self.listed(condition);
        self.hosts.update_hosts(self.now, ListKind::Delta, &[host], &mut self.log);
        self.note();
    }

    fn send(&mut self, length: usize) -> AttemptId {
        self.next += 1;
        let attempt = AttemptId { ticket: Ticket(self.next), number: 0 };
        let id = format!("r{}", self.next);
        let call = Call {
            id: id.into(),
            class: "send-mail".into(),
            function: "f".into(),
            key: None,
            body: vec![b'x'; length].into(),
        };
        let until = self.now + 4 * SECOND;
        let times = CallTimes { until, leave_by: until };
        self.hosts.send(self.now, attempt, &self.host.clone(), (&call, ""), times, &mut self.log);
        self.note();
        attempt
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.hosts.cancel(self.now, attempt, &mut self.log);
        self.note();
    }

    fn order(&mut self) -> u64 {
        self.next += 1;
        let (order, function) = (OrderId(self.next), "f".into());
        self.hosts.load(self.now, order, &self.host.clone(), (&function, 1), &mut self.log);
        self.note();
        self.next
    }

    fn tick(&mut self, later: Micros) {
        self.now += later;
        self.hosts.tick(self.now, &mut self.log);
        self.note();
    }

    /// Keeps what the pool has noticed.
    fn note(&mut self) {
        for notice in self.hosts.events.drain(..) {
            match notice {
                PoolEvent::Attempt { attempt, end, .. } => self.ended.push((attempt.ticket.0, end.outcome)),
                PoolEvent::Order { order, outcome, .. } => self.orders.push((order.0, outcome)),
            }
        }
    }

    /// Looks at what is ready, once.
    fn look(&mut self) {
        self.events.dispatch(Some(Duration::from_millis(5)), &mut self.wakes).unwrap();
        while let Some(wake) = self.wakes.next() {
            let Wake::Host(id) = wake else { panic!("{wake:?}") };
            self.hosts.ready(self.now, id, &mut self.log);
        }
        self.note();
    }

    /// Looks until it holds.
    fn until(&mut self, mut holds: impl FnMut(&Self) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < LONG, "waited in vain");
            self.look();
        }
    }

    /// Its only connection.
    fn conn(&self) -> &HostConn {
        assert_eq!(self.hosts.conns.len(), 1);
        self.hosts.conns.values().next().unwrap()
    }

    fn conn_id(&self) -> ConnId {
        assert_eq!(self.hosts.conns.len(), 1);
        *self.hosts.conns.keys().next().unwrap()
    }

    /// A connection that stands, with a call that has left whole; and the host's end of it.
    fn stand(&mut self) -> (AttemptId, TcpStream) {
        let first = self.send(10);
        self.until(|rig| rig.conn().calls.len() == 1);
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        (first, stream)
    }

    /// Sends calls until the host, which does not read, takes no more: the one that has left in part.
    fn clog(&mut self) -> AttemptId {
        for _ in 0..900 {
            let attempt = self.send(60_001);
            while self.conn().writing.is_some() {
                if self.takes_no_more() {
                    assert!(
                        self.conn().writing.as_ref().is_some_and(|(_, begun)| *begun),
                        "it ends between two calls"
                    );
                    return attempt;
                }
            }
        }
        panic!("the system takes any number of bytes");
    }

    /// Whether the system has taken no byte for some looks: on a busy machine it takes more a moment after it was full,
    /// and wakes nobody for a few bytes.
    fn takes_no_more(&mut self) -> bool {
        (0..QUIET_LOOKS).all(|_| {
            let left = self.conn().conn.outbox.len();
            self.look();
            let id = self.conn_id();
            self.hosts.write_queued(self.now, id, &mut self.log);
            self.note();
            left > 0 && self.conn().conn.outbox.len() == left
        })
    }

    /// Writes past the pool until the host, which does not read, has taken no byte for a while.
    fn fill_socket(&mut self) {
        let mut quiet_looks = 0;
        while quiet_looks < QUIET_LOOKS {
            let c = self.hosts.conns.values_mut().next().unwrap();
            assert!(c.conn.outbox.push(&[b'x'; 32 << 10]));
            let written = c.conn.flush().unwrap();
            c.conn.outbox.consume(usize::MAX);
            quiet_looks = if written == 0 { quiet_looks + 1 } else { 0 };
            self.look();
        }
    }

    fn outcomes(&self, attempt: AttemptId) -> Vec<Outcome> {
        self.ended.iter().filter(|(ticket, _)| *ticket == attempt.ticket.0).map(|(_, o)| *o).collect()
    }

    /// Ends all, and reads on a thread what the host was sent.
    fn all_said(mut self, mut stream: TcpStream) -> String {
        self.hosts.shut_down(self.now, &mut self.log);
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8(bytes).unwrap()
    }
}

/// Reads on a thread what the host is sent from here on, until the connection ends.
fn read_on(stream: &TcpStream) -> std::thread::JoinHandle<String> {
    let mut stream = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into()
    })
}

fn count(text: &str, part: &str) -> usize {
    text.matches(part).count()
}

/// The socket takes no byte of it until its time is over: then it does not leave any more.
#[test]
fn a_call_of_which_nothing_has_left_is_looked_at_again() {
    let mut rig = Rig::new();
    let (_, _stream) = rig.stand();
    rig.fill_socket();
    let waits = rig.send(10);
    assert!(rig.conn().writing.as_ref().is_some_and(|(_, begun)| !begun), "no byte has left");
    rig.now += 5 * SECOND;
    let id = rig.conn_id();
    rig.hosts.write_queued(rig.now, id, &mut rig.log);
    rig.note();
    assert_eq!(rig.outcomes(waits), [Outcome::NotSent]);
}

/// What has left in part ends when KILL has been written after it, however often it is cancelled; what has not begun to
/// leave never ran.
#[test]
fn a_call_that_left_in_part_has_ended_once_its_kill_is_written() {
    let mut rig = Rig::new();
    let (_, stream) = rig.stand();
    let part = rig.clog();
    let (cancelled, withdrawn, order) = (rig.send(10), rig.send(10), rig.order());
    rig.cancel(cancelled);
    assert_eq!(rig.outcomes(cancelled), [Outcome::NotSent]);
    rig.cancel(part);
    rig.cancel(part);
    rig.list(Condition::Draining);
    assert_eq!(
        (rig.outcomes(withdrawn), &rig.orders),
        (vec![Outcome::ConnectFailed], &vec![(order, Outcome::Full)])
    );
    assert_eq!(rig.outcomes(part), [], "it is out until its end is written");
    let reading = read_on(&stream);
    rig.until(|rig| !rig.outcomes(part).is_empty());
    assert_eq!(rig.outcomes(part), [Outcome::Cancelled]);
    let id = part.ticket.0;
    rig.hosts.shut_down(rig.now, &mut rig.log);
    let said = reading.join().unwrap();
    assert_eq!(count(&said, &format!("FN r{id} ")), 1);
    assert_eq!(count(&said, &format!("KILL r{id}\r\n")), 1, "a second one could meet a later attempt");
    for unsent in [cancelled, withdrawn] {
        assert_eq!(count(&said, &format!("FN r{} ", unsent.ticket.0)), 0);
    }
    assert_eq!(count(&said, "SPAWN"), 0);
}

/// A host that is asked whether it is there while it takes nothing is asked also when it begins to drain: it is given
/// up for silence only where the question could reach it.
#[test]
fn a_drain_takes_no_question_back() {
    let mut rig = Rig::new();
    rig.hosts.transport.probes = true;
    let (_, stream) = rig.stand();
    rig.clog();
    let waits = rig.send(10);
    rig.tick(SECOND);
    assert!(rig.conn().probed_at.is_some());
    rig.list(Condition::Draining);
    assert_eq!(rig.outcomes(waits), [Outcome::ConnectFailed]);
    let reading = read_on(&stream);
    rig.until(|rig| rig.conn().writing.is_none());
    rig.hosts.shut_down(rig.now, &mut rig.log);
    assert_eq!(count(&reading.join().unwrap(), "HELO p1\r\n"), 1);
}

/// A host that reads nothing, or a few bytes now and then, holds what waits for it for some seconds at most.
#[rstest]
#[case::nothing(false)]
#[case::a_few_bytes(true)]
fn a_host_that_stops_reading_holds_nothing_for_ever(#[case] trickles: bool) {
    let mut rig = Rig::new();
    let (whole, _stream) = rig.stand();
    let part = rig.clog();
    rig.cancel(part);
    rig.cancel(whole);
    let begun = rig.now;
    while rig.outcomes(part).is_empty() {
        assert!(rig.now - begun < 5 * SECOND, "held for ever");
        if trickles {
            rig.hosts.conns.values_mut().for_each(|c| c.sent_at = rig.now);
        }
        rig.tick(SECOND / 2);
    }
    assert_eq!(rig.outcomes(part), [Outcome::ConnectFailed], "it never came whole");
    assert_eq!(rig.outcomes(whole), [Outcome::Cancelled], "the end of the connection gives it up");
    assert!(rig.hosts.attempts.is_empty() && rig.hosts.conns.is_empty());
}

/// A host that took nothing for long, as nothing was written, is not taken for one that has stopped reading.
#[test]
fn a_command_after_a_long_silence_has_its_time_to_leave() {
    let mut rig = Rig::new();
    let (_, _stream) = rig.stand();
    rig.clog();
    rig.hosts.conns.values_mut().for_each(|c| c.sent_at = rig.now - 2 * MAX_STALL_US);
    rig.tick(0);
    assert_eq!(rig.hosts.conns.len(), 1);
    rig.tick(MAX_STALL_US);
    assert!(rig.hosts.conns.is_empty());
}

/// Nothing is sent for an attempt that was given up before its connection stood.
#[test]
fn a_cancel_before_the_connection_stands_proves_that_nothing_ran() {
    let mut rig = Rig::new();
    let (cancelled, order) = (rig.send(10), rig.order());
    rig.cancel(cancelled);
    assert_eq!(rig.outcomes(cancelled), [Outcome::NotSent]);
    rig.until(|rig| rig.conn().orders.len() == 1);
    let (stream, _) = rig.listener.accept().unwrap();
    assert_eq!(rig.all_said(stream), format!("SPAWN o{order} item=f,copies=1\r\n"));
}

/// An order whose connection does not stand when its host drains has ended, and is never sent.
#[test]
fn an_order_that_waits_for_its_connection_is_withdrawn_by_a_drain() {
    let mut rig = Rig::new();
    let order = rig.order();
    rig.list(Condition::Draining);
    assert_eq!(rig.orders, [(order, Outcome::Full)]);
    rig.until(|rig| rig.conn().connected);
    rig.list(Condition::Up);
    let (stream, _) = rig.listener.accept().unwrap();
    assert_eq!(rig.all_said(stream), "");
}

/// The answer and the KILL cross: whichever the pool sees first is the attempt's only end.
#[rstest]
#[case::the_answer_first(true, Outcome::Done)]
#[case::the_kill_first(false, Outcome::Cancelled)]
fn an_answer_that_crosses_a_kill_is_one_end(#[case] answer_first: bool, #[case] end: Outcome) {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.stand();
    let id = first.ticket.0;
    let answer = format!("r{id} 200 - 2\r\nok\r\n");
    if answer_first {
        stream.write_all(answer.as_bytes()).unwrap();
        rig.until(|rig| !rig.ended.is_empty());
        rig.cancel(first);
    } else {
        rig.cancel(first);
        stream.write_all(answer.as_bytes()).unwrap();
    }
    // A later answer shows that all before it has been read.
    let next = rig.send(10);
    stream.write_all(format!("r{} 200 - 2\r\nok\r\n", next.ticket.0).as_bytes()).unwrap();
    rig.until(|rig| !rig.outcomes(next).is_empty());
    assert_eq!((rig.outcomes(first), rig.outcomes(next)), (vec![end], vec![Outcome::Done]));
    assert_eq!(count(&rig.all_said(stream), "KILL"), usize::from(!answer_first));
}

/// ... and where the KILL waits behind a call that does not leave, it goes with the answer.
#[test]
fn a_kill_that_has_not_left_goes_with_the_answer() {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.stand();
    let part = rig.clog();
    rig.cancel(first);
    assert_eq!(rig.outcomes(first), []);
    stream.write_all(format!("r{} 200 - 2\r\nok\r\n", first.ticket.0).as_bytes()).unwrap();
    rig.until(|rig| !rig.outcomes(first).is_empty());
    assert_eq!(rig.outcomes(first), [Outcome::Done]);
    let reading = read_on(&stream);
    rig.until(|rig| rig.conn().calls.values().any(|(a, _)| *a == part));
    rig.hosts.shut_down(rig.now, &mut rig.log);
    assert_eq!(count(&reading.join().unwrap(), "KILL"), 0);
    assert_eq!(rig.outcomes(first), [Outcome::Done]);
}

/// The connection comes up in the turn in which its time is over: what waits for it is sent, or is known as never sent.
#[rstest]
#[case::looked_at_first(true)]
#[case::given_up_first(false)]
fn a_connection_that_comes_up_as_its_time_ends_sends_or_does_not(#[case] looks: bool) {
    let mut rig = Rig::new();
    let first = rig.send(10);
    if looks {
        rig.until(|rig| rig.conn().connected);
    }
    let (stream, _) = rig.listener.accept().unwrap();
    rig.tick(SECOND / 4);
    assert_eq!(rig.outcomes(first), if looks { vec![] } else { vec![Outcome::ConnectFailed] });
    assert_eq!(count(&rig.all_said(stream), "FN"), usize::from(looks));
}

/// A connection that has been idle for too long and a new command: either it is used, or another one is.
#[rstest]
#[case::used_first(true)]
#[case::closed_first(false)]
fn an_idle_connection_is_used_or_closed(#[case] used: bool) {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.stand();
    finish(&mut rig, first, &mut stream);
    let old = rig.conn_id();
    rig.now += 9 * SECOND;
    if used {
        rig.send(10);
        rig.tick(0);
        assert_eq!(rig.conn_id(), old);
    } else {
        rig.tick(0);
        rig.send(10);
        assert_ne!(rig.conn_id(), old);
    }
    let next = AttemptId { ticket: Ticket(rig.next), number: 0 };
    rig.until(|rig| rig.conn().calls.len() == 1);
    assert_eq!(rig.outcomes(next), []);
}

/// Until the host has ended this connection, as its kernel knows.
fn wait_closed(stream: &TcpStream) {
    const FIN_WAIT2: &str = "05";
    let ports =
        [stream.local_addr().unwrap(), stream.peer_addr().unwrap()].map(|a| format!(":{:04X}", a.port()));
    let begun = Instant::now();
    let closed = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words[1].ends_with(&ports[0]) && words[2].ends_with(&ports[1]) && words[3] == FIN_WAIT2
    };
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(closed) {
        assert!(begun.elapsed() < LONG, "waited in vain");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A host closes an idle connection just before a command is pushed, and the loop has not told so: the command goes on
/// a connection of its own, and nothing is given up.
#[test]
fn a_command_does_not_leave_on_a_connection_that_the_host_has_closed() {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.stand();
    finish(&mut rig, first, &mut stream);
    let old = rig.conn_id();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    wait_closed(&stream);
    let next = rig.send(10);
    assert_ne!(rig.conn_id(), old);
    rig.until(|rig| rig.conn().calls.len() == 1);
    assert_eq!(rig.outcomes(next), []);
    let mut said = Vec::new();
    stream.read_to_end(&mut said).unwrap();
    assert_eq!(count(&String::from_utf8(said).unwrap(), "FN"), 1, "the first call alone");
}

/// What has not begun to leave goes on another connection twice at most. What has left in part never came whole, and is
/// not moved; what has left whole may have run.
#[test]
fn what_waits_is_moved_twice_at_most() {
    let mut rig = Rig::new();
    let (waits, order) = (rig.send(10), rig.order());
    for moves in 0..=MAX_MOVES {
        assert_eq!((rig.outcomes(waits), rig.orders.len()), (vec![], 0), "after {moves} moves");
        let id = rig.conn_id();
        rig.hosts.end_conn(rig.now, id, Reason::PeerReset, &mut rig.log);
        rig.note();
    }
    assert_eq!(rig.outcomes(waits), [Outcome::ConnectFailed]);
    assert_eq!(rig.orders, [(order, Outcome::ConnectFailed)]);
}

#[test]
fn what_has_begun_to_leave_is_not_moved() {
    let mut rig = Rig::new();
    let (whole, _stream) = rig.stand();
    let (part, waits) = (rig.clog(), rig.send(10));
    let id = rig.conn_id();
    rig.hosts.end_conn(rig.now, id, Reason::PeerReset, &mut rig.log);
    rig.note();
    assert_eq!(rig.outcomes(whole), [Outcome::Reset]);
    assert_eq!(rig.outcomes(part), [Outcome::ConnectFailed]);
    assert_eq!(rig.outcomes(waits), []);
    rig.until(|rig| rig.conn().calls.values().any(|(a, _)| *a == waits));
    assert!(rig.conn().calls.len() == 1, "that one alone has gone on");
}

/// A request goes to the host again on a connection where no answer to its killed attempt may still come.
#[test]
fn the_next_attempt_of_a_killed_call_is_told_apart_by_its_connection() {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.stand();
    rig.cancel(first);
    let old = rig.conn_id();
    rig.next = first.ticket.0 - 1;
    let again = rig.send(10);
    assert_eq!(again.ticket, first.ticket);
    rig.ended.clear();
    stream.write_all(format!("r{} 503 - 0\r\n\r\n", first.ticket.0).as_bytes()).unwrap();
    rig.until(|rig| rig.hosts.conns[&old].read_at == rig.now && rig.hosts.attempts[&again] != old);
    rig.until(|rig| rig.hosts.conns.values().any(|c| c.calls.len() == 1));
    rig.hosts.end_conn(rig.now, old, Reason::PeerReset, &mut rig.log);
    rig.note();
    assert_eq!(rig.ended, [], "the late answer is no end of the next attempt");
}

/// An order and its time-out: an answer that comes later is dropped.
#[rstest]
#[case::the_answer_first(true)]
#[case::the_time_first(false)]
fn an_order_is_answered_or_has_timed_out(#[case] answered: bool) {
    let mut rig = Rig::new();
    let (_, mut stream) = rig.stand();
    let order = rig.order();
    rig.until(|rig| rig.conn().orders.len() == 1);
    let answer = format!("o{order} 200 copies=1 0\r\n\r\n");
    if answered {
        stream.write_all(answer.as_bytes()).unwrap();
        rig.until(|rig| !rig.orders.is_empty());
        rig.tick(3 * SECOND);
        assert_eq!(rig.orders, [(order, Outcome::Done)]);
        return;
    }
    rig.tick(3 * SECOND);
    assert!(rig.conn().orders.is_empty(), "nothing is kept of it");
    stream.write_all(answer.as_bytes()).unwrap();
    rig.until(|rig| rig.conn().read_at == rig.now);
    assert_eq!(rig.orders, []);
}

/// A new id at the address of another: what listened there has gone, with its place in the list. Not so where both are
/// named, where the newcomer has gone too, or where it had the address all along.
#[test]
fn who_loses_its_address_to_another_has_gone() {
    let mut rig = Rig::new();
    let mut other = rig.listed(Condition::Up);
    other.entry.worker = "b".into();
    let gone = rig.listed(Condition::Gone);
    assert_eq!(rig.hosts.displaced(std::slice::from_ref(&other)), [gone]);
    assert_eq!(rig.hosts.displaced(&[other.clone(), rig.listed(Condition::Up)]), []);
    let mut left = other.clone();
    left.entry.condition = Condition::Gone;
    assert_eq!(rig.hosts.displaced(&[left]), []);
    rig.hosts.update_hosts(rig.now, ListKind::Delta, std::slice::from_ref(&other), &mut rig.log);
    assert_eq!(rig.hosts.displaced(&[other]), []);
}

/// Where connections must go, one on which something is owed stays: a call, an order, or a KILL that has not left.
#[rstest]
#[test]
fn only_an_idle_connection_is_evicted() {
    let mut rig = Rig::new();
    let order = rig.order();
    rig.hosts.set_limits((0, 1 << 20));
    rig.tick(0);
    rig.until(|rig| rig.conn().orders.len() == 1);
    rig.tick(0);
    let (mut stream, _) = rig.listener.accept().unwrap();
    rig.hosts.set_limits((1, 1 << 20));
    let call = rig.send(10);
    rig.hosts.set_limits((0, 1 << 20));
    stream.write_all(format!("o{order} 200 copies=1 0\r\n\r\n").as_bytes()).unwrap();
    rig.until(|rig| !rig.orders.is_empty());
    rig.tick(0);
    finish(&mut rig, call, &mut stream);
    assert_eq!(rig.hosts.conns.len(), 1, "something was owed all the time");
    rig.tick(0);
    assert!(rig.hosts.conns.is_empty());
    assert_eq!((rig.outcomes(call), rig.orders), (vec![Outcome::Done], vec![(order, Outcome::Done)]));
}

/// The bound on connections is the process's own: neither a call nor an order that finds none says that the host
/// turned it away. Of a host that takes nothing new it is said as before.
#[rstest]
#[case::up(Condition::Up, Outcome::NoConnection, Outcome::NotSent)]
#[case::draining(Condition::Draining, Outcome::ConnectFailed, Outcome::ConnectFailed)]
fn without_a_connection_to_spare_nothing_is_said_of_a_host(
    #[case] condition: Condition,
    #[case] of_call: Outcome,
    #[case] of_order: Outcome,
) {
    let mut rig = Rig::new();
    rig.list(condition);
    rig.hosts.set_limits((0, 1 << 20));
    let (call, order) = (rig.send(10), rig.order());
    assert_eq!((rig.outcomes(call), rig.orders), (vec![of_call], vec![(order, of_order)]));
}

#[test]
fn a_connection_whose_kill_has_not_left_is_not_evicted() {
    let mut rig = Rig::new();
    let (_, stream) = rig.stand();
    let part = rig.clog();
    rig.cancel(part);
    rig.hosts.set_limits((0, 1 << 20));
    rig.tick(0);
    assert_eq!(rig.outcomes(part), []);
    let reading = read_on(&stream);
    rig.until(|rig| rig.outcomes(part) == [Outcome::Cancelled]);
    rig.hosts.shut_down(rig.now, &mut rig.log);
    assert_eq!(count(&reading.join().unwrap(), "KILL"), 1);
}

/// The host answers a call, which is all that is owed on its connection.
fn finish(rig: &mut Rig, attempt: AttemptId, stream: &mut TcpStream) {
    stream.write_all(format!("r{} 200 - 2\r\nok\r\n", attempt.ticket.0).as_bytes()).unwrap();
    rig.until(|rig| !rig.outcomes(attempt).is_empty());
}
