//! Tests of `seal` that need its private state.

use super::*;

const ONE: MemberId = MemberId(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn words_are_said_now_and_then_until_one_is_known_to_read_them() {
    let mut state = ChecksumState::default();
    let said = [0, 50, 99, 100, 150, 260].map(|at| state.next_encoding(ms(at), ONE));
    use Encoding::*;
    assert_eq!(said, [PlainAfterProbe, Plain, Plain, PlainAfterProbe, Plain, PlainAfterProbe]);
    assert!(state.accepts_plain(ms(300), ONE) && !state.uses_checksums(ONE));
    state.record_checked(ms(300), ONE);
    assert_eq!((state.next_encoding(ms(301), ONE), state.accepts_plain(ms(302), ONE)), (Checked, false));
    assert!(state.uses_checksums(ONE) && state.accepts_plain(ms(302), MemberId(2)), "each for itself");
}

#[test]
fn two_that_start_with_nothing_find_each_other_though_only_one_speaks() {
    // The second has nothing to say: what it hears without a sum it drops once it heard the word.
    let (mut first, mut second) = (ChecksumState::default(), ChecksumState::default());
    assert_eq!(first.next_encoding(ms(0), MemberId(2)), Encoding::PlainAfterProbe);
    second.record_checked(ms(1), ONE);
    assert!(!second.accepts_plain(ms(1), ONE) && second.should_reply(ms(1), ONE));
    first.record_checked(ms(2), MemberId(2));
    assert_eq!(first.next_encoding(ms(3), MemberId(2)), Encoding::Checked);
    // Of a flood of words few are answered; a later one is, as the answer may have been lost.
    assert_eq!((2..50).filter(|at| second.should_reply(ms(*at), ONE)).count(), 0);
    assert!(second.should_reply(ms(101), ONE));
}

#[test]
fn one_that_a_program_of_before_replaced_is_heard_and_spoken_to_again() {
    let mut state = ChecksumState::default();
    state.record_checked(ms(0), ONE);
    assert!(!state.accepts_plain(ms(1_000), ONE));
    // Nothing said is no reason: large fleets seldom speak to each one.
    assert_eq!(state.next_encoding(ms(60_000), ONE), Encoding::Checked);
    assert!(state.accepts_plain(ms(60_000), ONE));
    assert_eq!(state.next_encoding(ms(60_001), ONE), Encoding::PlainAfterProbe);
    state.record_checked(ms(60_100), ONE);
    assert!(!state.accepts_plain(ms(60_200), ONE), "and held to sums again once it has them");
}

#[test]
fn those_who_left_the_roster_are_forgotten() {
    let mut state = ChecksumState::default();
    for name in 0..100 {
        state.record_checked(ms(0), MemberId(name));
    }
    state.retain(|name| name.0 < 3);
    assert_eq!(state.peers.len(), 3);
    assert!(!state.uses_checksums(MemberId(50)) && state.uses_checksums(MemberId(2)));
}

#[test]
fn any_flipped_bit_and_any_other_length_or_kind_has_another_sum() {
    let data: Vec<u8> = (0..200).collect();
    let right = sum(1, &data);
    for bit in 0..data.len() * 8 {
        let mut spoilt = data.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        assert_ne!(sum(1, &spoilt), right);
    }
    assert!((0..data.len()).all(|n| sum(1, &data[..n]) != right));
    assert_ne!(sum(2, &data), right);
}
