//! Races between two events that end attempts, orders or connections, in both orders, on real sockets. The clock is
//! controlled by the test.

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
/// Time without progress after which a socket is full for good. The kernel delays an acknowledgement by up to 200 ms, and the
/// socket takes more once that has come.
const FULL_AFTER: Duration = Duration::from_millis(300);
/// Timeout of all waits.
const LONG: Duration = Duration::from_secs(10);

/// A pool with one host, whose connections the test accepts and reads itself.
struct Rig {
    hosts: HostPool,
    now: Micros,
    log: Log,
    events: EventLoop<'static, Wakes>,
    wakes: Wakes,
    listener: TcpListener,
    host: WorkerId,
    next_ticket: u64,
    ends: Vec<(u64, Outcome)>,
    orders: Vec<(u64, Outcome)>,
}

impl Rig {
    fn new() -> Self {
        let transport = Transport {
            conn_idle: 10 * SECOND,
            connect_timeout: SECOND / 4,
            // With this many activators, the pool uses one connection.
            activators: 100,
            streams: 1_000,
            probes: false,
            order_timeout: 2 * SECOND,
            reports_found: false,
            reports_overlap: false,
            max_retry_after: 0,
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
            next_ticket: 0,
            ends: Vec::new(),
            orders: Vec::new(),
        };
        rig.set_condition(Condition::Up);
        rig
    }

    fn listed(&self, condition: Condition) -> Host {
        let worker = self.host.clone();
        let entry = ListEntry { worker, zone: Some(1), cell: Some(2), condition, size: 1.0, ready_at: 0 };
        Host { entry, address: self.listener.local_addr().unwrap() }
    }

    fn set_condition(&mut self, condition: Condition) {
        let host = self.listed(condition);
        self.hosts.update_hosts(self.now, ListKind::Delta, &[host], &mut self.log);
        self.collect();
    }

    fn send(&mut self, length: usize) -> AttemptId {
        self.next_ticket += 1;
        let attempt = AttemptId { ticket: Ticket(self.next_ticket), number: 0 };
        let id = format!("r{}", self.next_ticket);
        let call = Call {
            id: id.into(),
            class: "send-mail".into(),
            function: "f".into(),
            key: None,
            body: vec![b'x'; length].into(),
        };
        let until = self.now + 4 * SECOND;
        let limits = SendLimits { until, leave_by: until, process: None };
        self.hosts.send(self.now, attempt, &self.host.clone(), (&call, ""), limits, &mut self.log);
        self.collect();
        attempt
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.hosts.cancel(self.now, attempt, &mut self.log);
        self.collect();
    }

    fn order(&mut self) -> u64 {
        self.next_ticket += 1;
        let (order, function) = (OrderId(self.next_ticket), "f".into());
        self.hosts.load(self.now, order, &self.host.clone(), (&function, 1), &mut self.log);
        self.collect();
        self.next_ticket
    }

    fn tick(&mut self, later: Micros) {
        self.now += later;
        self.hosts.tick(self.now, &mut self.log);
        self.collect();
    }

    /// Collects the pool's events.
    fn collect(&mut self) {
        for notice in self.hosts.events.drain(..) {
            match notice {
                PoolEvent::Attempt { attempt, end, .. } => self.ends.push((attempt.ticket.0, end.outcome)),
                PoolEvent::Order { order, outcome, .. } => self.orders.push((order.0, outcome)),
            }
        }
    }

    /// Runs the event loop once, and processes ready connections.
    fn poll(&mut self) {
        self.events.dispatch(Some(Duration::from_millis(5)), &mut self.wakes).unwrap();
        while let Some(wake) = self.wakes.next() {
            let Wake::Host(id) = wake else { panic!("{wake:?}") };
            self.hosts.ready(self.now, id, &mut self.log);
        }
        self.collect();
    }

    /// Polls until the condition holds.
    fn poll_until(&mut self, mut holds: impl FnMut(&Self) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < LONG, "timed out");
            self.poll();
        }
    }

    /// The pool's only connection.
    fn conn(&self) -> &HostConn {
        assert_eq!(self.hosts.conns.len(), 1);
        self.hosts.conns.values().next().unwrap()
    }

    fn conn_id(&self) -> ConnId {
        assert_eq!(self.hosts.conns.len(), 1);
        *self.hosts.conns.keys().next().unwrap()
    }

    /// Establishes a connection by a call, which is written completely; returns the call and the host's end.
    fn connect(&mut self) -> (AttemptId, TcpStream) {
        let first = self.send(10);
        self.poll_until(|rig| rig.conn().calls.len() == 1);
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        (first, stream)
    }

    /// Sends calls, which the host does not read, until the socket is full; returns the partially written call.
    fn write_part(&mut self) -> AttemptId {
        for _ in 0..900 {
            let attempt = self.send(60_001);
            while self.conn().writing.is_some() {
                if self.is_socket_full() {
                    assert!(
                        self.conn().writing.as_ref().is_some_and(|(_, begun)| *begun),
                        "no call is partially written"
                    );
                    return attempt;
                }
            }
        }
        panic!("the socket never gets full");
    }

    /// Whether the socket accepts no byte for [`FULL_AFTER`]. A full socket does not become ready for a few bytes.
    fn is_socket_full(&mut self) -> bool {
        let (left, since) = (self.conn().conn.outbox.len(), Instant::now());
        while left > 0 && since.elapsed() < FULL_AFTER {
            self.poll();
            let id = self.conn_id();
            self.hosts.write_queued(self.now, id, &mut self.log);
            self.collect();
            if self.conn().conn.outbox.len() != left {
                return false;
            }
        }
        left > 0
    }

    /// Fills the socket, bypassing the queue, until it has accepted no byte for [`FULL_AFTER`].
    fn fill_socket(&mut self) {
        let mut since = Instant::now();
        while since.elapsed() < FULL_AFTER {
            let c = self.hosts.conns.values_mut().next().unwrap();
            assert!(c.conn.outbox.push(&[b'x'; 32 << 10]));
            let written = c.conn.flush().unwrap();
            c.conn.outbox.consume(usize::MAX);
            if written > 0 {
                since = Instant::now();
            }
            self.poll();
        }
    }

    fn outcomes(&self, attempt: AttemptId) -> Vec<Outcome> {
        self.ends.iter().filter(|(ticket, _)| *ticket == attempt.ticket.0).map(|(_, o)| *o).collect()
    }

    /// Shuts the pool down, and reads all that the host was sent.
    fn received(mut self, mut stream: TcpStream) -> String {
        self.hosts.shut_down(self.now, &mut self.log);
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8(bytes).unwrap()
    }
}

/// Reads, on a thread, all that the host is sent until the connection ends.
fn read_all(stream: &TcpStream) -> std::thread::JoinHandle<String> {
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

/// No byte of a call can be written before its deadline: it is not sent.
#[test]
fn an_unwritten_call_is_checked_again_before_writing() {
    let mut rig = Rig::new();
    let (_, _stream) = rig.connect();
    rig.fill_socket();
    let queued = rig.send(10);
    assert!(rig.conn().writing.as_ref().is_some_and(|(_, begun)| !begun), "no byte has been written");
    rig.now += 5 * SECOND;
    let id = rig.conn_id();
    rig.hosts.write_queued(rig.now, id, &mut rig.log);
    rig.collect();
    assert_eq!(rig.outcomes(queued), [Outcome::NotSent]);
}

/// A partially written call ends once one KILL has been written after it, however often it is cancelled. A call of
/// which no byte was written never ran.
#[test]
fn a_partially_written_call_ends_once_its_kill_is_written() {
    let mut rig = Rig::new();
    let (_, stream) = rig.connect();
    let part = rig.write_part();
    let (cancelled, withdrawn, order) = (rig.send(10), rig.send(10), rig.order());
    rig.cancel(cancelled);
    assert_eq!(rig.outcomes(cancelled), [Outcome::NotSent]);
    rig.cancel(part);
    rig.cancel(part);
    rig.set_condition(Condition::Draining);
    assert_eq!(
        (rig.outcomes(withdrawn), &rig.orders),
        (vec![Outcome::ConnectFailed], &vec![(order, Outcome::Full)])
    );
    assert_eq!(rig.outcomes(part), [], "it is outstanding until its KILL is written");
    let reading = read_all(&stream);
    rig.poll_until(|rig| !rig.outcomes(part).is_empty());
    assert_eq!(rig.outcomes(part), [Outcome::Cancelled]);
    let id = part.ticket.0;
    rig.hosts.shut_down(rig.now, &mut rig.log);
    let text = reading.join().unwrap();
    assert_eq!(count(&text, &format!("FN r{id} ")), 1);
    assert_eq!(count(&text, &format!("KILL r{id}\r\n")), 1, "a second one could cancel a later attempt");
    for unsent in [cancelled, withdrawn] {
        assert_eq!(count(&text, &format!("FN r{} ", unsent.ticket.0)), 0);
    }
    assert_eq!(count(&text, "SPAWN"), 0);
}

/// A probe that is queued behind a partially written call is sent even if the host starts to drain meanwhile: a
/// connection may only end as silent if the probe could reach the host.
#[test]
fn a_drain_does_not_withdraw_a_probe() {
    let mut rig = Rig::new();
    rig.hosts.transport.probes = true;
    let (_, stream) = rig.connect();
    rig.write_part();
    let queued = rig.send(10);
    rig.tick(SECOND);
    assert!(rig.conn().probed_at.is_some());
    rig.set_condition(Condition::Draining);
    assert_eq!(rig.outcomes(queued), [Outcome::ConnectFailed]);
    let reading = read_all(&stream);
    rig.poll_until(|rig| rig.conn().writing.is_none());
    rig.hosts.shut_down(rig.now, &mut rig.log);
    assert_eq!(count(&reading.join().unwrap(), "HELO p1\r\n"), 1);
}

/// Commands for a host that reads nothing, or only a few bytes at a time, are given up after some seconds.
#[rstest]
#[case::nothing(false)]
#[case::a_few_bytes(true)]
fn commands_for_a_host_that_stops_reading_end(#[case] some_bytes: bool) {
    let mut rig = Rig::new();
    let (whole, _stream) = rig.connect();
    let part = rig.write_part();
    rig.cancel(part);
    rig.cancel(whole);
    let begun = rig.now;
    while rig.outcomes(part).is_empty() {
        assert!(rig.now - begun < 5 * SECOND, "never ended");
        if some_bytes {
            rig.hosts.conns.values_mut().for_each(|c| c.sent_at = rig.now);
        }
        rig.tick(SECOND / 2);
    }
    assert_eq!(rig.outcomes(part), [Outcome::ConnectFailed], "it was not written completely");
    assert_eq!(rig.outcomes(whole), [Outcome::Cancelled], "the end of the connection cancels it");
    assert!(rig.hosts.attempts.is_empty() && rig.hosts.conns.is_empty());
}

/// The write timeout starts with the command, not with the last write before it.
#[test]
fn a_command_after_a_long_silence_gets_the_full_write_timeout() {
    let mut rig = Rig::new();
    let (_, _stream) = rig.connect();
    rig.write_part();
    rig.hosts.conns.values_mut().for_each(|c| c.sent_at = rig.now - 2 * MAX_STALL_US);
    rig.tick(0);
    assert_eq!(rig.hosts.conns.len(), 1);
    rig.tick(MAX_STALL_US);
    assert!(rig.hosts.conns.is_empty());
}

/// Nothing is sent for an attempt that is cancelled before its connection is established.
#[test]
fn a_call_cancelled_before_the_connection_is_established_is_not_sent() {
    let mut rig = Rig::new();
    let (cancelled, order) = (rig.send(10), rig.order());
    rig.cancel(cancelled);
    assert_eq!(rig.outcomes(cancelled), [Outcome::NotSent]);
    rig.poll_until(|rig| rig.conn().orders.len() == 1);
    let (stream, _) = rig.listener.accept().unwrap();
    assert_eq!(rig.received(stream), format!("SPAWN o{order} item=f,copies=1\r\n"));
}

/// An order whose connection is not established when its host starts to drain ends, and is never sent.
#[test]
fn an_order_that_waits_for_its_connection_is_withdrawn_by_a_drain() {
    let mut rig = Rig::new();
    let order = rig.order();
    rig.set_condition(Condition::Draining);
    assert_eq!(rig.orders, [(order, Outcome::Full)]);
    rig.poll_until(|rig| rig.conn().connected);
    rig.set_condition(Condition::Up);
    let (stream, _) = rig.listener.accept().unwrap();
    assert_eq!(rig.received(stream), "");
}

/// An answer and a KILL cross: the first that the pool processes is the attempt's only end.
#[rstest]
#[case::the_answer_first(true, Outcome::Done)]
#[case::the_kill_first(false, Outcome::Cancelled)]
fn an_answer_that_crosses_a_kill_is_one_end(#[case] answer_first: bool, #[case] end: Outcome) {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.connect();
    let id = first.ticket.0;
    let answer = format!("r{id} 200 - 2\r\nok\r\n");
    if answer_first {
        stream.write_all(answer.as_bytes()).unwrap();
        rig.poll_until(|rig| !rig.ends.is_empty());
        rig.cancel(first);
    } else {
        rig.cancel(first);
        stream.write_all(answer.as_bytes()).unwrap();
    }
    // The answer to a later call shows that all earlier bytes have been read.
    let next = rig.send(10);
    stream.write_all(format!("r{} 200 - 2\r\nok\r\n", next.ticket.0).as_bytes()).unwrap();
    rig.poll_until(|rig| !rig.outcomes(next).is_empty());
    assert_eq!((rig.outcomes(first), rig.outcomes(next)), (vec![end], vec![Outcome::Done]));
    assert_eq!(count(&rig.received(stream), "KILL"), usize::from(!answer_first));
}

/// A KILL that is queued behind a partially written call is dropped when the answer arrives.
#[test]
fn an_answer_drops_a_queued_kill() {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.connect();
    let part = rig.write_part();
    rig.cancel(first);
    assert_eq!(rig.outcomes(first), []);
    stream.write_all(format!("r{} 200 - 2\r\nok\r\n", first.ticket.0).as_bytes()).unwrap();
    rig.poll_until(|rig| !rig.outcomes(first).is_empty());
    assert_eq!(rig.outcomes(first), [Outcome::Done]);
    let reading = read_all(&stream);
    rig.poll_until(|rig| rig.conn().calls.values().any(|(a, _)| *a == part));
    rig.hosts.shut_down(rig.now, &mut rig.log);
    assert_eq!(count(&reading.join().unwrap(), "KILL"), 0);
    assert_eq!(rig.outcomes(first), [Outcome::Done]);
}

/// A connection is established at the moment of its timeout: a queued call is sent, or certainly never sent.
#[rstest]
#[case::established_first(true)]
#[case::timed_out_first(false)]
fn a_connection_established_at_its_timeout_sends_or_fails(#[case] established: bool) {
    let mut rig = Rig::new();
    let first = rig.send(10);
    if established {
        rig.poll_until(|rig| rig.conn().connected);
    }
    let (stream, _) = rig.listener.accept().unwrap();
    rig.tick(SECOND / 4);
    assert_eq!(rig.outcomes(first), if established { vec![] } else { vec![Outcome::ConnectFailed] });
    assert_eq!(count(&rig.received(stream), "FN"), usize::from(established));
}

/// A command arrives when a connection has reached its maximum idle time: the connection is used, or another one is.
#[rstest]
#[case::used_first(true)]
#[case::closed_first(false)]
fn an_idle_connection_is_used_or_closed(#[case] used: bool) {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.connect();
    answer_ok(&mut rig, first, &mut stream);
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
    let next = AttemptId { ticket: Ticket(rig.next_ticket), number: 0 };
    rig.poll_until(|rig| rig.conn().calls.len() == 1);
    assert_eq!(rig.outcomes(next), []);
}

/// Waits until the host's FIN has been acknowledged, as the kernel's table of sockets shows.
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
        assert!(begun.elapsed() < LONG, "timed out");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A host closes an idle connection just before a command is queued, before the event loop reports it: the command is
/// sent on a new connection, and nothing fails.
#[test]
fn a_command_is_not_sent_on_a_connection_that_the_host_has_closed() {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.connect();
    answer_ok(&mut rig, first, &mut stream);
    let old = rig.conn_id();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    wait_closed(&stream);
    let next = rig.send(10);
    assert_ne!(rig.conn_id(), old);
    rig.poll_until(|rig| rig.conn().calls.len() == 1);
    assert_eq!(rig.outcomes(next), []);
    let mut text = Vec::new();
    stream.read_to_end(&mut text).unwrap();
    assert_eq!(count(&String::from_utf8(text).unwrap(), "FN"), 1, "only the first call");
}

/// Commands of which no byte was written move to another connection at most twice.
#[test]
fn queued_commands_are_moved_twice_at_most() {
    let mut rig = Rig::new();
    let (queued, order) = (rig.send(10), rig.order());
    for moves in 0..=MAX_MOVES {
        assert_eq!((rig.outcomes(queued), rig.orders.len()), (vec![], 0), "after {moves} moves");
        let id = rig.conn_id();
        rig.hosts.end_conn(rig.now, id, Reason::PeerReset, &mut rig.log);
        rig.collect();
    }
    assert_eq!(rig.outcomes(queued), [Outcome::ConnectFailed]);
    assert_eq!(rig.orders, [(order, Outcome::ConnectFailed)]);
}

/// A partially written call is not moved, and certainly did not run; a completely written one may have run.
#[test]
fn a_partially_written_call_is_not_moved() {
    let mut rig = Rig::new();
    let (whole, _stream) = rig.connect();
    let (part, queued) = (rig.write_part(), rig.send(10));
    let id = rig.conn_id();
    rig.hosts.end_conn(rig.now, id, Reason::PeerReset, &mut rig.log);
    rig.collect();
    assert_eq!(rig.outcomes(whole), [Outcome::Reset]);
    assert_eq!(rig.outcomes(part), [Outcome::ConnectFailed]);
    assert_eq!(rig.outcomes(queued), []);
    rig.poll_until(|rig| rig.conn().calls.values().any(|(a, _)| *a == queued));
    assert!(rig.conn().calls.len() == 1, "only that one was moved");
}

/// The next attempt of a request uses a connection on which no answer to its cancelled attempt may still arrive.
#[test]
fn the_next_attempt_after_a_kill_uses_another_connection() {
    let mut rig = Rig::new();
    let (first, mut stream) = rig.connect();
    rig.cancel(first);
    let old = rig.conn_id();
    rig.next_ticket = first.ticket.0 - 1;
    let again = rig.send(10);
    assert_eq!(again.ticket, first.ticket);
    rig.ends.clear();
    stream.write_all(format!("r{} 503 - 0\r\n\r\n", first.ticket.0).as_bytes()).unwrap();
    rig.poll_until(|rig| rig.hosts.conns[&old].read_at == rig.now && rig.hosts.attempts[&again] != old);
    rig.poll_until(|rig| rig.hosts.conns.values().any(|c| c.calls.len() == 1));
    rig.hosts.end_conn(rig.now, old, Reason::PeerReset, &mut rig.log);
    rig.collect();
    assert_eq!(rig.ends, [], "the late answer does not end the next attempt");
}

/// An answer to an order that arrives after the timeout is ignored.
#[rstest]
#[case::the_answer_first(true)]
#[case::the_timeout_first(false)]
fn an_order_is_answered_or_has_timed_out(#[case] answered: bool) {
    let mut rig = Rig::new();
    let (_, mut stream) = rig.connect();
    let order = rig.order();
    rig.poll_until(|rig| rig.conn().orders.len() == 1);
    let answer = format!("o{order} 200 copies=1 0\r\n\r\n");
    if answered {
        stream.write_all(answer.as_bytes()).unwrap();
        rig.poll_until(|rig| !rig.orders.is_empty());
        rig.tick(3 * SECOND);
        assert_eq!(rig.orders, [(order, Outcome::Done)]);
        return;
    }
    rig.tick(3 * SECOND);
    assert!(rig.conn().orders.is_empty(), "the order is dropped");
    stream.write_all(answer.as_bytes()).unwrap();
    rig.poll_until(|rig| rig.conn().read_at == rig.now);
    assert_eq!(rig.orders, []);
}

/// A new host at the address of another one displaces that one. It does not if the update contains both, if the new
/// host is gone too, or if it had the address before.
#[test]
fn a_host_whose_address_another_one_gets_is_displaced() {
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

/// Above the limit of connections, one with an outstanding call or order stays open.
#[rstest]
#[test]
fn only_an_idle_connection_is_evicted() {
    let mut rig = Rig::new();
    let order = rig.order();
    rig.hosts.set_limits((0, 1 << 20));
    rig.tick(0);
    rig.poll_until(|rig| rig.conn().orders.len() == 1);
    rig.tick(0);
    let (mut stream, _) = rig.listener.accept().unwrap();
    rig.hosts.set_limits((1, 1 << 20));
    let call = rig.send(10);
    rig.hosts.set_limits((0, 1 << 20));
    stream.write_all(format!("o{order} 200 copies=1 0\r\n\r\n").as_bytes()).unwrap();
    rig.poll_until(|rig| !rig.orders.is_empty());
    rig.tick(0);
    answer_ok(&mut rig, call, &mut stream);
    assert_eq!(rig.hosts.conns.len(), 1, "an answer was outstanding all the time");
    rig.tick(0);
    assert!(rig.hosts.conns.is_empty());
    assert_eq!((rig.outcomes(call), rig.orders), (vec![Outcome::Done], vec![(order, Outcome::Done)]));
}

/// Reaching the process's limit of connections does not count as a refusal by the host, neither for a call nor for an
/// order. A draining host still does.
#[rstest]
#[case::up(Condition::Up, Outcome::NoConnection, Outcome::NotSent)]
#[case::draining(Condition::Draining, Outcome::ConnectFailed, Outcome::ConnectFailed)]
fn reaching_the_limit_of_connections_does_not_count_against_a_host(
    #[case] condition: Condition,
    #[case] of_call: Outcome,
    #[case] of_order: Outcome,
) {
    let mut rig = Rig::new();
    rig.set_condition(condition);
    rig.hosts.set_limits((0, 1 << 20));
    let (call, order) = (rig.send(10), rig.order());
    assert_eq!((rig.outcomes(call), rig.orders), (vec![of_call], vec![(order, of_order)]));
}

#[test]
fn a_connection_with_a_queued_kill_is_not_evicted() {
    let mut rig = Rig::new();
    let (_, stream) = rig.connect();
    let part = rig.write_part();
    rig.cancel(part);
    rig.hosts.set_limits((0, 1 << 20));
    rig.tick(0);
    assert_eq!(rig.outcomes(part), []);
    let reading = read_all(&stream);
    rig.poll_until(|rig| rig.outcomes(part) == [Outcome::Cancelled]);
    rig.hosts.shut_down(rig.now, &mut rig.log);
    assert_eq!(count(&reading.join().unwrap(), "KILL"), 1);
}

/// The host answers the only outstanding call of its connection.
fn answer_ok(rig: &mut Rig, attempt: AttemptId, stream: &mut TcpStream) {
    stream.write_all(format!("r{} 200 - 2\r\nok\r\n", attempt.ticket.0).as_bytes()).unwrap();
    rig.poll_until(|rig| !rig.outcomes(attempt).is_empty());
}
