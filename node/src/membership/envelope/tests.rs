//! Tests of `envelope` that need its private state.

use std::time::Duration;

use super::*;
use wheellink_members::{LocalMember, MemberInstance, Output, Settings};

#[test]
fn what_is_written_is_read_and_what_is_too_long_is_not_written() {
    for kind in Kind::ALL {
        for data in [&b""[..], b"x", &[7; LONGEST]] {
            let datagram = write(Some(kind), data, false).expect("short enough");
            assert!(datagram.len() <= DATAGRAM);
            assert_eq!(open(&datagram), Opened::Plain(Read::Envelope(kind, data)));
            let sealed = write(Some(kind), data, true).expect("short enough");
            assert_eq!(sealed.len(), datagram.len() + SUM);
            assert_eq!(open(&sealed), Opened::Sealed(Read::Envelope(kind, data)));
        }
        assert_eq!(write(Some(kind), &[7; LONGEST + 1], false), None);
        assert_eq!(write(Some(kind), &[7; LONGEST + 1], true), None);
    }
    for data in [&b"x"[..], &[7; 1_400]] {
        assert_eq!(open(&write(None, data, true).expect("any")), Opened::Sealed(Read::Own(data)));
        assert_eq!(write(None, data, false).expect("any"), data);
    }
    assert_eq!(open(&word()), Opened::Sealed(Read::Word));
    assert_eq!(open(&answer()), Opened::Sealed(Read::Answer));
}

#[test]
fn what_is_sealed_and_then_spoilt_is_never_read() {
    let whole = write(Some(Kind::Accord), b"a record that was chosen", true).expect("short enough");
    for bit in SEALED.len() * 8..whole.len() * 8 {
        let mut spoilt = whole.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(open(&spoilt), Opened::Spoilt, "bit {bit}");
    }
    for n in SEALED.len()..whole.len() {
        assert_eq!(open(&whole[..n]), Opened::Spoilt, "{n} bytes");
    }
    assert_eq!(open(&[&whole[..], b"x"].concat()), Opened::Spoilt);
    // A bit of the mark: nothing that the members' protocol could read, nor of any part.
    for bit in 0..SEALED.len() * 8 {
        let mut spoilt = whole.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(open(&spoilt), Opened::Plain(Read::Own(&spoilt)), "bit {bit}");
    }
}

#[test]
fn an_unknown_kind_and_one_too_long_are_told_from_what_is_no_parcel() {
    for kind in [0, 4, 255] {
        assert_eq!(open(&[&MARK[..], &[kind], b"x"].concat()), Opened::Plain(Read::Unknown));
    }
    assert_eq!(open(&MARK), Opened::Plain(Read::Unknown), "no kind at all");
    assert_eq!(open(&[&MARK[..], &[1], &[7; LONGEST + 1]].concat()), Opened::Plain(Read::Unknown));
    for n in 0..MARK.len() {
        assert_eq!(open(&MARK[..n]), Opened::Plain(Read::Own(&MARK[..n])));
    }
    let long = [7; LONGEST + 1];
    let sealed = [&SEALED[..], &[1], &checksum::sum(1, &long), &long].concat();
    assert_eq!(open(&sealed), Opened::Sealed(Read::Unknown));
    let other = [&SEALED[..], &[9], &checksum::sum(9, b"x"), b"x"].concat();
    assert_eq!(open(&other), Opened::Sealed(Read::Unknown));
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
    let near = (TAKEN.0 - 300..TAKEN.0 + 300).flat_map(|name| [75, 76, 77].map(|start| (name, start)));
    let mut rng = fastrand::Rng::with_seed(33);
    let any: Vec<_> = (0..300).map(|_| (rng.u32(..), rng.u64(..))).collect();
    let mut said = 0;
    for (name, start) in near.chain(any).filter(|(name, _)| differs(MemberId(*name))) {
        for datagram in words(MemberId(name), start) {
            assert_eq!(
                open(&datagram),
                Opened::Plain(Read::Own(&datagram)),
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
    assert!(words(TAKEN, 76).iter().all(|d| d.starts_with(&MARK[..3])));
    assert!(!differs(TAKEN));
}
