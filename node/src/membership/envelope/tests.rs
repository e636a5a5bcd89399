//! Tests of `envelope` that need its private state.

use std::time::Duration;

use super::*;
use wheellink_members::{LocalMember, MemberInstance, Output, Settings};

#[test]
fn what_is_written_is_read_and_what_is_too_long_is_not_written() {
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
fn what_is_sealed_and_then_spoilt_is_never_read() {
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
    // A bit of the mark: nothing that the members' protocol could read, nor of any part.
    for bit in 0..CHECKED_PREFIX.len() * 8 {
        let mut corrupt = whole.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode(&corrupt), Decoded::Plain(Content::Members(&corrupt)), "bit {bit}");
    }
}

#[test]
fn an_unknown_kind_and_one_too_long_are_told_from_what_is_no_parcel() {
    for kind in [0, 4, 255] {
        assert_eq!(decode(&[&PLAIN_PREFIX[..], &[kind], b"x"].concat()), Decoded::Plain(Content::Unknown));
    }
    assert_eq!(decode(&PLAIN_PREFIX), Decoded::Plain(Content::Unknown), "no kind at all");
    assert_eq!(
        decode(&[&PLAIN_PREFIX[..], &[1], &[7; MAX_PAYLOAD_BYTES + 1]].concat()),
        Decoded::Plain(Content::Unknown)
    );
    for n in 0..PLAIN_PREFIX.len() {
        assert_eq!(decode(&PLAIN_PREFIX[..n]), Decoded::Plain(Content::Members(&PLAIN_PREFIX[..n])));
    }
    let long = [7; MAX_PAYLOAD_BYTES + 1];
    let checked = [&CHECKED_PREFIX[..], &[1], &checksum::sum(1, &long), &long].concat();
    assert_eq!(decode(&checked), Decoded::Checked(Content::Unknown));
    let other = [&CHECKED_PREFIX[..], &[9], &checksum::sum(9, b"x"), b"x"].concat();
    assert_eq!(decode(&other), Decoded::Checked(Content::Unknown));
}

/// What a member says first, of itself to others: all its datagrams begin with its own name.
fn words(name: MemberId, start: u64) -> Vec<Vec<u8>> {
    let others = (1..9).map(|n| MemberId(name.0.wrapping_add(n)));
    let mut out = Vec::new();
    let settings = Settings { expected_members: 9, ..Settings::default() };
    let life = MemberInstance::new(name, start);
    let mut member = LocalMember::new(settings, life, others, 5, Duration::ZERO).expect("a member");
    while out.len() < 20 {
        let at = member.next_timer_at().expect("something is due");
        member.handle_timers(at, &mut out);
    }
    member.leave(Duration::from_secs(999), &mut out);
    let said = out.into_iter().filter_map(|o| match o {
        Output::Send { data, .. } => Some(data),
        _ => None,
    });
    said.collect()
}

#[test]
fn no_datagram_of_the_members_protocol_is_taken_for_a_parcel() {
    // Names next to the one that is kept free, with starts that begin like the mark, and any others.
    let near =
        (RESERVED_ID.0 - 300..RESERVED_ID.0 + 300).flat_map(|name| [75, 76, 77].map(|start| (name, start)));
    let mut rng = fastrand::Rng::with_seed(33);
    let any: Vec<_> = (0..300).map(|_| (rng.u32(..), rng.u64(..))).collect();
    let mut said = 0;
    for (name, start) in near.chain(any).filter(|(name, _)| is_distinguishable(MemberId(*name))) {
        for datagram in words(MemberId(name), start) {
            assert_eq!(
                decode(&datagram),
                Decoded::Plain(Content::Members(&datagram)),
                "seed 33, name {name}, start {start}"
            );
            said += 1;
        }
    }
    assert!(said > 1_000);
}

#[test]
fn the_name_that_is_kept_free_is_the_one_that_begins_like_a_parcel() {
    // Else it would be kept free for nothing.
    assert!(words(RESERVED_ID, 76).iter().all(|d| d.starts_with(&PLAIN_PREFIX[..3])));
    assert!(!is_distinguishable(RESERVED_ID));
}
