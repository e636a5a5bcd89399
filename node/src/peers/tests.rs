//! Datagrams that must not be heard, and those that must.

use std::time::{Duration, Instant};

use calloop::EventLoop;

use super::*;
use crate::wake::Wakes;

fn udp() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").unwrap()
}

/// What is heard up to the datagram of this length, which is known to come last.
fn heard_up_to(peers: &Peers, last: usize) -> Vec<(u32, usize)> {
    let begun = Instant::now();
    let mut heard = Vec::new();
    while heard.last().is_none_or(|(_, length)| *length != last) {
        assert!(begun.elapsed() < Duration::from_secs(10), "waited in vain: {heard:?}");
        heard.extend(peers.receive().into_iter().map(|(from, data)| (from, data.len())));
    }
    heard
}

/// What is too long, from elsewhere, or its own is dropped; what one of the others sent is heard, of any length that
/// may be and whatever it holds, after however many that may not.
#[test]
fn only_what_another_of_the_tier_sent_is_heard() {
    let events: EventLoop<'static, Wakes> = EventLoop::try_new().unwrap();
    let (own, other, stranger) = (udp(), udp(), udp());
    let listen = own.local_addr().unwrap();
    drop(own);
    let each = vec![listen, other.local_addr().unwrap()];
    // What it tells all comes back to itself, as a broadcast does.
    let peers = Peers::open(&events.handle(), Addresses { listen, each, all: listen }).unwrap();
    for _ in 0..2 * MAX_DATAGRAMS_PER_WAKE {
        stranger.send_to(&[1; 10], listen).unwrap();
    }
    peers.broadcast(&[2; 20]);
    peers.broadcast(&[2; MAX_DATAGRAM_BYTES + 1]);
    other.send_to(&[3; MAX_DATAGRAM_BYTES + 1], listen).unwrap();
    other.send_to(&[3; 1200], listen).unwrap();
    other.send_to(&[], listen).unwrap();
    other.send_to(&[3; MAX_DATAGRAM_BYTES], listen).unwrap();
    other.send_to(&[3; 7], listen).unwrap();
    assert_eq!(heard_up_to(&peers, 7), [(1, 0), (1, MAX_DATAGRAM_BYTES), (1, 7)]);
    peers.close();
}
