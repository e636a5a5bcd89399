//! Tests of `envelope` that need its private state.

use std::time::Duration;

use super::*;
use wheellink_members::{LocalMember, MemberInstance, Output, Settings};

#[test]
fn encoded_messages_are_decoded_and_long_ones_are_not_encoded() {
    for kind in Kind::ALL {
        for data in [&b""[..], b"x", &[7; MAX_PAYLOAD_BYTES]] {
            let datagram = encode(Some(kind), data, false).expect("short enough");
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            assert_eq!(decode(&datagram), Decoded::Plain(Content::Envelope(kind, data)));
            let checked = encode(Some(kind), data, true).expect("short enough");
            assert_eq!(checked.len(), datagram.len() + SUM_BYTES);
            assert_eq!(decode(&checked), Decoded::Checked(Content::Envelope(kind, data)));
        }
        assert_eq!(encode(Some(kind), &[7; MAX_PAYLOAD_BYTES + 1], false), None);
        assert_eq!(encode(Some(kind), &[7; MAX_PAYLOAD_BYTES + 1], true), None);
    }
    for data in [&b"x"[..], &[7; 1_400]] {
        assert_eq!(decode(&encode(None, data, true).expect("any")), Decoded::Checked(Content::Members(data)));
        assert_eq!(encode(None, data, false).expect("any"), data);
    }
    assert_eq!(decode(&probe()), Decoded::Checked(Content::Probe));
    assert_eq!(decode(&probe_reply()), Decoded::Checked(Content::ProbeReply));
}

#[test]
fn a_corrupted_datagram_with_a_checksum_is_never_accepted() {
    let whole = encode(Some(Kind::Accord), b"a record that was chosen", true).expect("short enough");
    for bit in CHECKED_PREFIX.len() * 8..whole.len() * 8 {
        let mut corrupt = whole.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode(&corrupt), Decoded::Corrupt, "bit {bit}");
    }
    for n in CHECKED_PREFIX.len()..whole.len() {
        assert_eq!(decode(&whole[..n]), Decoded::Corrupt, "{n} bytes");
    }
    assert_eq!(decode(&[&whole[..], b"x"].concat()), Decoded::Corrupt);
    // A flipped bit of the prefix gives neither a valid membership datagram nor an envelope.
    for bit in 0..CHECKED_PREFIX.len() * 8 {
        let mut corrupt = whole.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode(&corrupt), Decoded::Plain(Content::Members(&corrupt)), "bit {bit}");
    }
}

#[test]
fn unknown_kinds_and_long_messages_differ_from_datagrams_without_a_prefix() {
    for kind in [0, 4, 255] {
        assert_eq!(decode(&[&PLAIN_PREFIX[..], &[kind], b"x"].concat()), Decoded::Plain(Content::Unknown));
    }
    assert_eq!(decode(&PLAIN_PREFIX), Decoded::Plain(Content::Unknown), "no kind at all");
    let long = [7; MAX_PAYLOAD_BYTES + 1];
    assert_eq!(decode(&[&PLAIN_PREFIX[..], &[1], &long].concat()), Decoded::Plain(Content::Unknown));
    for n in 0..PLAIN_PREFIX.len() {
        assert_eq!(decode(&PLAIN_PREFIX[..n]), Decoded::Plain(Content::Members(&PLAIN_PREFIX[..n])));
    }
    let checked = [&CHECKED_PREFIX[..], &[1], &checksum::sum(1, &long), &long].concat();
    assert_eq!(decode(&checked), Decoded::Checked(Content::Unknown));
    let other = [&CHECKED_PREFIX[..], &[9], &checksum::sum(9, b"x"), b"x"].concat();
    assert_eq!(decode(&other), Decoded::Checked(Content::Unknown));
}

/// The first datagrams of a member to the others. They all begin with its own id.
fn first_datagrams(id: MemberId, start: u64) -> Vec<Vec<u8>> {
    let others = (1..9).map(|n| MemberId(id.0.wrapping_add(n)));
    let mut out = Vec::new();
    let settings = Settings { expected_members: 9, ..Settings::default() };
    let instance = MemberInstance::new(id, start);
    let mut member = LocalMember::new(settings, instance, others, 5, Duration::ZERO).expect("a member");
    while out.len() < 20 {
        let at = member.next_timer_at().expect("something is due");
        member.handle_timers(at, &mut out);
    }
    member.leave(Duration::from_secs(999), &mut out);
    let sent = out.into_iter().filter_map(|o| match o {
        Output::Send { data, .. } => Some(data),
        _ => None,
    });
    sent.collect()
}

#[test]
fn no_membership_datagram_is_mistaken_for_an_envelope() {
    // Ids near the reserved one, with starts that encode like the prefix, and random ids.
    let near =
        (RESERVED_ID.0 - 300..RESERVED_ID.0 + 300).flat_map(|id| [75, 76, 77].map(|start| (id, start)));
    let mut rng = fastrand::Rng::with_seed(33);
    let any: Vec<_> = (0..300).map(|_| (rng.u32(..), rng.u64(..))).collect();
    let mut count = 0;
    for (id, start) in near.chain(any).filter(|(id, _)| is_distinguishable(MemberId(*id))) {
        for datagram in first_datagrams(MemberId(id), start) {
            assert_eq!(
                decode(&datagram),
                Decoded::Plain(Content::Members(&datagram)),
                "seed 33, id {id}, start {start}"
            );
            count += 1;
        }
    }
    assert!(count > 1_000);
}

#[test]
fn the_reserved_id_is_the_one_whose_datagrams_begin_like_an_envelope() {
    // Otherwise reserving it would be pointless.
    assert!(first_datagrams(RESERVED_ID, 76).iter().all(|d| d.starts_with(&PLAIN_PREFIX[..3])));
    assert!(!is_distinguishable(RESERVED_ID));
}
