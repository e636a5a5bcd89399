//! Which datagrams are accepted.

use std::time::{Duration, Instant};

use calloop::EventLoop;

use super::*;
use crate::wake::Wakes;

fn udp() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").unwrap()
}

/// The senders and lengths of received datagrams, up to one of length `last`.
fn receive_until(peers: &Peers, last: usize) -> Vec<(u32, usize)> {
    let begun = Instant::now();
    let mut received = Vec::new();
    while received.last().is_none_or(|(_, length)| *length != last) {
        assert!(begun.elapsed() < Duration::from_secs(10), "timed out: {received:?}");
        received.extend(peers.receive().into_iter().map(|(from, data)| (from, data.len())));
    }
    received
}

/// Datagrams that are too long, from unknown addresses or from the activator itself are dropped. Datagrams of other
/// activators are accepted with any length up to the maximum, even after many dropped ones.
#[test]
fn only_datagrams_of_other_activators_are_accepted() {
    let events: EventLoop<'static, Wakes> = EventLoop::try_new().unwrap();
    let (own, other, stranger) = (udp(), udp(), udp());
    let listen = own.local_addr().unwrap();
    drop(own);
    let each = vec![listen, other.local_addr().unwrap()];
    // Its broadcasts come back to itself.
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
    assert_eq!(receive_until(&peers, 7), [(1, 0), (1, MAX_DATAGRAM_BYTES), (1, 7)]);
    peers.close();
}
