//! Tests of `checksum` that need its private state.

use super::*;

const ONE: MemberId = MemberId(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn probes_are_sent_periodically_until_a_member_uses_checksums() {
    let mut state = ChecksumState::default();
    let sent = [0, 50, 99, 100, 150, 260].map(|at| state.next_encoding(ms(at), ONE));
    use Encoding::*;
    assert_eq!(sent, [PlainAfterProbe, Plain, Plain, PlainAfterProbe, Plain, PlainAfterProbe]);
    assert!(state.accepts_plain(ms(300), ONE) && !state.uses_checksums(ONE));
    state.record_checked(ms(300), ONE);
    assert_eq!((state.next_encoding(ms(301), ONE), state.accepts_plain(ms(302), ONE)), (Checked, false));
    assert!(state.uses_checksums(ONE) && state.accepts_plain(ms(302), MemberId(2)), "tracked per member");
}

#[test]
fn two_members_that_start_anew_agree_on_checksums_although_only_one_sends() {
    // The second has nothing to send. Once it has received the probe, it drops datagrams without a checksum.
    let (mut first, mut second) = (ChecksumState::default(), ChecksumState::default());
    assert_eq!(first.next_encoding(ms(0), MemberId(2)), Encoding::PlainAfterProbe);
    second.record_checked(ms(1), ONE);
    assert!(!second.accepts_plain(ms(1), ONE) && second.should_reply(ms(1), ONE));
    first.record_checked(ms(2), MemberId(2));
    assert_eq!(first.next_encoding(ms(3), MemberId(2)), Encoding::Checked);
    // A flood of probes is not answered; a later probe is, because the reply may have been lost.
    assert_eq!((2..50).filter(|at| second.should_reply(ms(*at), ONE)).count(), 0);
    assert!(second.should_reply(ms(101), ONE));
}

#[test]
fn a_member_that_an_older_version_replaced_is_accepted_and_probed_again() {
    let mut state = ChecksumState::default();
    state.record_checked(ms(0), ONE);
    assert!(!state.accepts_plain(ms(1_000), ONE));
    // Silence alone changes nothing: in a large fleet a member rarely sends to each other one.
    assert_eq!(state.next_encoding(ms(60_000), ONE), Encoding::Checked);
    assert!(state.accepts_plain(ms(60_000), ONE));
    assert_eq!(state.next_encoding(ms(60_001), ONE), Encoding::PlainAfterProbe);
    state.record_checked(ms(60_100), ONE);
    assert!(!state.accepts_plain(ms(60_200), ONE), "a checksum is required again once it has sent one");
}

#[test]
fn members_that_left_the_roster_are_forgotten() {
    let mut state = ChecksumState::default();
    for id in 0..100 {
        state.record_checked(ms(0), MemberId(id));
    }
    state.retain(|id| id.0 < 3);
    assert_eq!(state.peers.len(), 3);
    assert!(!state.uses_checksums(MemberId(50)) && state.uses_checksums(MemberId(2)));
}

#[test]
fn the_checksum_changes_with_any_bit_the_length_and_the_kind() {
    let data: Vec<u8> = (0..200).collect();
    let right = sum(1, &data);
    for bit in 0..data.len() * 8 {
        let mut corrupt = data.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert_ne!(sum(1, &corrupt), right);
    }
    assert!((0..data.len()).all(|n| sum(1, &data[..n]) != right));
    assert_ne!(sum(2, &data), right);
}
