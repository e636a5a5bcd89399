use std::net::TcpListener;

use calloop::EventLoop;

use super::*;
use crate::wake::{Wake, Wakes};
use rstest::rstest;

fn host(id: &str, condition: Condition) -> Host {
    let worker: WorkerId = id.into();
    let entry = ListEntry { worker, zone: 0, cell: 0, condition, size: 1.0, ready_at: 0 };
    Host { entry, address: ([127, 0, 0, 1], 9).into() }
}

fn event(number: u64, kind: ListKind, hosts: &[(&str, Condition)]) -> Event {
    Event { number, kind, hosts: hosts.iter().map(|(id, c)| host(id, *c)).collect() }
}

#[test]
fn events_are_told_once_and_in_order() {
    let mut bus = Bus::new(([127, 0, 0, 1], 9).into(), 4);
    let up = [("a", Condition::Up)];
    assert_eq!(bus.apply(event(4, ListKind::Delta, &up)), Ok(None));
    let told = Some((ListKind::Delta, vec![host("a", Condition::Up)]));
    assert_eq!(bus.apply(event(5, ListKind::Delta, &up)), Ok(told));
    let told = Some((ListKind::Full, vec![host("a", Condition::Up)]));
    assert_eq!(bus.apply(event(9, ListKind::Full, &up)), Ok(told), "a whole list closes any gap");
    assert_eq!(bus.apply(event(9, ListKind::Full, &up)), Ok(None));
}

#[test]
fn after_a_gap_nothing_older_than_what_is_known_is_told() {
    let mut bus = Bus::new(([127, 0, 0, 1], 9).into(), 3);
    assert_eq!(bus.apply(event(6, ListKind::Delta, &[])), Err(Gap { changes: Vec::new() }));
    let all = [("a", Condition::Up), ("b", Condition::Up), ("c", Condition::Up)];
    assert_eq!(bus.apply(event(1, ListKind::Full, &all)), Ok(None));
    assert_eq!(bus.apply(event(2, ListKind::Delta, &[("a", Condition::Draining)])), Ok(None));
    let again = bus.apply(event(4, ListKind::Delta, &[("b", Condition::Gone)]));
    assert_eq!(again, Err(Gap { changes: Vec::new() }), "older than what is known");
    assert_eq!(bus.apply(event(1, ListKind::Full, &all)), Ok(None));
    for number in 2..6 {
        assert_eq!(bus.apply(event(number, ListKind::Delta, &[("a", Condition::Draining)])), Ok(None));
    }
    let told = vec![host("a", Condition::Draining), host("b", Condition::Up)];
    let last = event(6, ListKind::Delta, &[("c", Condition::Gone)]);
    assert_eq!(bus.apply(last), Ok(Some((ListKind::Full, told))));
    assert!(matches!(bus.apply(event(7, ListKind::Delta, &[])), Ok(Some((ListKind::Delta, _)))));
}

fn bytes(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [&length.to_be_bytes()[..], &7u64.to_be_bytes(), &[kind], payload].concat()
}

const RECORD_OF_A: [u8; RECORD_BYTES] =
    [0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x19, 0xa5, 1, 0, 1, 0, 2, 0, 0, 0x0f, 0xa0, 0, 0, 0, 0, 0, 0, 0, 5];

#[test]
fn frames_are_read_at_any_split() {
    let mut ring = Ring::new(1000);
    let all = [bytes(0, &[]), bytes(2, &RECORD_OF_A)].concat();
    let mut frames = Vec::new();
    for byte in all {
        ring.push(&[byte]);
        frames.extend(next_frame(&mut ring, &["z".into()]).unwrap());
    }
    let entry = ListEntry {
        worker: "s-00c41f7a".into(),
        zone: 0,
        cell: 2,
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
fn what_is_no_frame_is_told(#[case] bytes: Vec<u8>) {
    let mut ring = Ring::new(1000);
    ring.push(&bytes);
    assert!(next_frame(&mut ring, &[]).is_err());
}

/// The event after a gap is known at once; the list must be as new as the newest of them before it is told.
#[test]
fn what_comes_after_a_gap_is_told_at_once_and_never_taken_back() {
    let mut bus = Bus::new(([127, 0, 0, 1], 9).into(), 3);
    let drains = [("a", Condition::Draining)];
    let told = vec![host("a", Condition::Draining)];
    assert_eq!(bus.apply(event(6, ListKind::Delta, &drains)), Err(Gap { changes: told }));
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
/// What the bus has to tell counts as told by then.
const TOLD: Micros = 7 * SECOND;

/// A bus, the time, and an event loop without which no connection can be had.
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

    /// Lets the time pass up to the next thing that is due by itself.
    fn pass(&mut self) {
        self.now = self.now.max(self.bus.next_tick());
    }

    /// Waits out the pause, and begins a connection.
    fn begin(&mut self) {
        self.pass();
        assert!(self.bus.wants_connection(self.now));
        let conn = Conn::connect(&self.events.handle(), 1, self.bus.address, (1000, 64), |_| Wake::Bus);
        self.bus.connect_started(self.now, Some(conn.unwrap()));
    }

    /// Begins one that comes up at once.
    fn stand(&mut self) {
        self.begin();
        while !self.bus.connected {
            self.bus.subscribe(self.now).unwrap();
        }
    }

    /// Waits until the connection is given up, and ends it.
    fn give_up(&mut self) {
        self.pass();
        assert!(self.bus.has_timed_out(self.now));
        self.end();
    }

    fn end(&mut self) {
        let conn = self.bus.disconnect(self.now).expect("a connection");
        conn.close(&self.events.handle());
        drop(self.listener.accept());
    }
}

/// Silence is noticed, the connection replaced and the list caught up with well before the news count as told, also
/// where the next connection does not come up and the one after it is as silent.
#[test]
fn a_silent_bus_is_replaced_before_its_news_count_as_told() {
    let mut rig = Rig::new();
    rig.stand();
    rig.now += 10 * SECOND;
    rig.bus.frame_received(rig.now);
    // What is new comes right after, and none of it arrives.
    let told = rig.now;
    rig.give_up();
    assert!(rig.now - told <= 2 * SECOND, "noticed");
    rig.begin();
    rig.give_up();
    rig.stand();
    rig.give_up();
    rig.stand();
    assert!(rig.now - told <= TOLD - SECOND, "after {} us", rig.now - told);
}

/// Bytes say that somebody is there, not that news come: a frame that never ends is given up as silence is.
#[test]
fn a_frame_that_trickles_is_given_up_in_time() {
    let mut rig = Rig::new();
    rig.stand();
    let begun = rig.now;
    while !rig.bus.has_timed_out(rig.now) {
        assert!(rig.now - begun <= 2 * SECOND, "still waiting");
        rig.bus.bytes_received(rig.now);
        rig.bus.set_partial(rig.now, true);
        rig.now += SECOND / 10;
    }
    rig.end();
    rig.stand();
    // A connection of its own, on which frames come in pieces and whole.
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

/// A bus that ends each connection, with or without a frame before it, is not asked more than a few times a second;
/// one that was in order and breaks once is asked again at once.
#[rstest]
#[case::after_a_frame(true)]
#[case::at_once(false)]
fn reconnects_are_bounded_and_the_first_is_quick(#[case] frame: bool) {
    let mut rig = Rig::new();
    let begun = rig.now;
    let mut connections = 0;
    while rig.now - begun < 10 * SECOND {
        rig.stand();
        connections += 1;
        if frame {
            rig.bus.frame_received(rig.now);
        }
        rig.end();
    }
    assert!(connections <= 30, "{connections} in 10 s");
    rig.stand();
    rig.now += SECOND;
    rig.bus.frame_received(rig.now);
    let broke = rig.now;
    rig.end();
    rig.pass();
    assert_eq!(rig.now - broke, FIRST_RETRY_DELAY_US);
}
