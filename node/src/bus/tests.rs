use std::net::TcpListener;

use calloop::EventLoop;

use super::*;
use crate::wake::{Wake, Wakes};
use rstest::rstest;

fn host(id: &str, condition: Condition) -> Host {
    let worker: WorkerId = id.into();
    let entry = ListEntry { worker, zone: Some(0), cell: Some(0), condition, size: 1.0, ready_at: 0 };
    Host { entry, address: ([127, 0, 0, 1], 9).into() }
}

fn event(number: u64, kind: ListKind, hosts: &[(&str, Condition)]) -> Event {
    Event { number, kind, hosts: hosts.iter().map(|(id, c)| host(id, *c)).collect() }
}

#[test]
fn events_are_applied_once_and_in_order() {
    let mut bus = Bus::new(([127, 0, 0, 1], 9).into(), 4);
    let up = [("a", Condition::Up)];
    assert_eq!(bus.apply(event(4, ListKind::Delta, &up)), Ok(None));
    let update = Some((ListKind::Delta, vec![host("a", Condition::Up)]));
    assert_eq!(bus.apply(event(5, ListKind::Delta, &up)), Ok(update));
    let update = Some((ListKind::Full, vec![host("a", Condition::Up)]));
    assert_eq!(bus.apply(event(9, ListKind::Full, &up)), Ok(update), "a full list closes any gap");
    assert_eq!(bus.apply(event(9, ListKind::Full, &up)), Ok(None));
}

#[test]
fn after_a_gap_no_list_older_than_the_known_one_is_passed_on() {
    let mut bus = Bus::new(([127, 0, 0, 1], 9).into(), 3);
    assert_eq!(bus.apply(event(6, ListKind::Delta, &[])), Err(Gap { changes: Vec::new() }));
    let all = [("a", Condition::Up), ("b", Condition::Up), ("c", Condition::Up)];
    assert_eq!(bus.apply(event(1, ListKind::Full, &all)), Ok(None));
    assert_eq!(bus.apply(event(2, ListKind::Delta, &[("a", Condition::Draining)])), Ok(None));
    let again = bus.apply(event(4, ListKind::Delta, &[("b", Condition::Gone)]));
    assert_eq!(again, Err(Gap { changes: Vec::new() }), "older than the known list");
    assert_eq!(bus.apply(event(1, ListKind::Full, &all)), Ok(None));
    for number in 2..6 {
        assert_eq!(bus.apply(event(number, ListKind::Delta, &[("a", Condition::Draining)])), Ok(None));
    }
    let update = vec![host("a", Condition::Draining), host("b", Condition::Up)];
    let last = event(6, ListKind::Delta, &[("c", Condition::Gone)]);
    assert_eq!(bus.apply(last), Ok(Some((ListKind::Full, update))));
    assert!(matches!(bus.apply(event(7, ListKind::Delta, &[])), Ok(Some((ListKind::Delta, _)))));
}

fn bytes(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [&length.to_be_bytes()[..], &7u64.to_be_bytes(), &[kind], payload].concat()
}

const RECORD_OF_A: [u8; RECORD_BYTES] =
    [0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x19, 0xa5, 1, 0, 1, 0, 2, 0, 0, 0x0f, 0xa0, 0, 0, 0, 0, 0, 0, 0, 5];

#[test]
fn frames_are_parsed_from_single_bytes() {
    let mut ring = Ring::new(1000);
    let all = [bytes(0, &[]), bytes(2, &RECORD_OF_A)].concat();
    let mut frames = Vec::new();
    for byte in all {
        ring.push(&[byte]);
        frames.extend(next_frame(&mut ring, &["z".into()]).unwrap());
    }
    let entry = ListEntry {
        worker: "s-00c41f7a".into(),
        zone: Some(0),
        cell: Some(2),
        condition: Condition::Draining,
        size: 4.0,
        ready_at: 5000,
    };
    let hosts = vec![Host { entry, address: ([10, 1, 0, 9], 6565).into() }];
    let event = Event { number: 7, kind: ListKind::Delta, hosts };
    assert_eq!(frames, [Frame::Heartbeat, Frame::Event(event)]);
}

#[rstest]
#[case::too_short(vec![0, 0, 0, 8])]
#[case::too_long(vec![0, 255, 0, 0])]
#[case::unknown_kind(bytes(3, &[]))]
#[case::half_a_record(bytes(1, &RECORD_OF_A[..20]))]
#[case::unknown_state(bytes(1, &[&RECORD_OF_A[..10], &[3], &RECORD_OF_A[11..]].concat()))]
fn malformed_frames_are_errors(#[case] bytes: Vec<u8>) {
    let mut ring = Ring::new(1000);
    ring.push(&bytes);
    assert!(next_frame(&mut ring, &[]).is_err());
}

/// The changes of an event after a gap are passed on at once. The replayed list is only passed on once it contains the
/// newest of these events.
#[test]
fn changes_after_a_gap_are_passed_on_at_once_and_not_reverted() {
    let mut bus = Bus::new(([127, 0, 0, 1], 9).into(), 3);
    let drains = [("a", Condition::Draining)];
    let update = vec![host("a", Condition::Draining)];
    assert_eq!(bus.apply(event(6, ListKind::Delta, &drains)), Err(Gap { changes: update }));
    let all = [("a", Condition::Up), ("b", Condition::Up)];
    assert_eq!(bus.apply(event(1, ListKind::Full, &all)), Ok(None));
    let gone = vec![host("b", Condition::Gone)];
    let again = bus.apply(event(8, ListKind::Delta, &[("b", Condition::Gone)]));
    assert_eq!(again, Err(Gap { changes: gone }));
    assert_eq!(bus.apply(event(1, ListKind::Full, &all)), Ok(None));
    for number in 2..6 {
        assert_eq!(bus.apply(event(number, ListKind::Delta, &[])), Ok(None));
    }
    assert_eq!(bus.apply(event(6, ListKind::Delta, &drains)), Ok(None), "older than event 8");
    assert_eq!(bus.apply(event(7, ListKind::Delta, &[])), Ok(None));
    let list = Some((ListKind::Full, vec![host("a", Condition::Draining)]));
    assert_eq!(bus.apply(event(8, ListKind::Delta, &[("b", Condition::Gone)])), Ok(list));
}

const SECOND: Micros = 1_000_000;
/// The platform counts events as delivered after this.
const DELIVERED_US: Micros = 7 * SECOND;

/// A bus client, a test clock, and the event loop that connections need.
struct Rig {
    bus: Bus,
    now: Micros,
    events: EventLoop<'static, Wakes>,
    listener: TcpListener,
}

impl Rig {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let events = EventLoop::try_new().unwrap();
        let bus = Bus::new(listener.local_addr().unwrap(), 1);
        Self { bus, now: SECOND, events, listener }
    }

    /// Advances the time to the next timeout or connection attempt.
    fn advance(&mut self) {
        self.now = self.now.max(self.bus.next_tick());
    }

    /// Waits for the retry delay, and starts to connect.
    fn start_connect(&mut self) {
        self.advance();
        assert!(self.bus.wants_connection(self.now));
        let conn = Conn::connect(&self.events.handle(), 1, self.bus.address, (1000, 64), |_| Wake::Bus);
        self.bus.connect_started(self.now, Some(conn.unwrap()));
    }

    /// Establishes a connection.
    fn connect(&mut self) {
        self.start_connect();
        while !self.bus.connected {
            self.bus.subscribe(self.now).unwrap();
        }
    }

    /// Waits until the connection times out, and ends it.
    fn time_out(&mut self) {
        self.advance();
        assert!(self.bus.has_timed_out(self.now));
        self.end();
    }

    fn end(&mut self) {
        let conn = self.bus.disconnect(self.now).expect("a connection");
        conn.close(&self.events.handle());
        drop(self.listener.accept());
    }
}

/// A silent connection is detected and replaced well before events count as delivered, even if the next connection
/// cannot be established and the one after that is silent, too.
#[test]
fn a_silent_connection_is_replaced_before_events_count_as_delivered() {
    let mut rig = Rig::new();
    rig.connect();
    rig.now += 10 * SECOND;
    rig.bus.frame_received(rig.now);
    // Events follow right after this, and none of them arrives.
    let sent = rig.now;
    rig.time_out();
    assert!(rig.now - sent <= 2 * SECOND, "detected");
    rig.start_connect();
    rig.time_out();
    rig.connect();
    rig.time_out();
    rig.connect();
    assert!(rig.now - sent <= DELIVERED_US - SECOND, "after {} us", rig.now - sent);
}

/// Bytes of a frame that is never completed do not keep a connection alive.
#[test]
fn a_frame_that_is_not_completed_times_out() {
    let mut rig = Rig::new();
    rig.connect();
    let begun = rig.now;
    while !rig.bus.has_timed_out(rig.now) {
        assert!(rig.now - begun <= 2 * SECOND, "not timed out");
        rig.bus.bytes_received(rig.now);
        rig.bus.set_partial(rig.now, true);
        rig.now += SECOND / 10;
    }
    rig.end();
    rig.connect();
    // On a new connection, frames that arrive in parts and are completed keep it alive.
    for _ in 0..100 {
        rig.now += SECOND / 2;
        rig.bus.bytes_received(rig.now);
        rig.bus.set_partial(rig.now, true);
        rig.now += SECOND / 2;
        rig.bus.frame_received(rig.now);
        rig.bus.set_partial(rig.now, false);
        assert!(!rig.bus.has_timed_out(rig.now));
    }
}

/// A bus that ends every connection, with or without a frame before, is connected to only a few times per second.
/// After a stable connection breaks, the first retry is immediate.
#[rstest]
#[case::after_a_frame(true)]
#[case::at_once(false)]
fn the_rate_of_reconnects_is_bounded_and_the_first_is_fast(#[case] frame: bool) {
    let mut rig = Rig::new();
    let begun = rig.now;
    let mut connections = 0;
    while rig.now - begun < 10 * SECOND {
        rig.connect();
        connections += 1;
        if frame {
            rig.bus.frame_received(rig.now);
        }
        rig.end();
    }
    assert!(connections <= 30, "{connections} in 10 s");
    rig.connect();
    rig.now += SECOND;
    rig.bus.frame_received(rig.now);
    let broke = rig.now;
    rig.end();
    rig.advance();
    assert_eq!(rig.now - broke, FIRST_RETRY_DELAY_US);
}
