//! Tests of `seal` that need its private state.

use super::*;

const ONE: MemberId = MemberId(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn words_are_said_now_and_then_until_one_is_known_to_read_them() {
    let mut seals = Seals::default();
    let said = [0, 50, 99, 100, 150, 260].map(|at| seals.next(ms(at), ONE));
    use As::*;
    assert_eq!(said, [PlainAfterWord, Plain, Plain, PlainAfterWord, Plain, PlainAfterWord]);
    assert!(seals.takes_plain(ms(300), ONE) && !seals.knows(ONE));
    seals.heard(ms(300), ONE);
    assert_eq!((seals.next(ms(301), ONE), seals.takes_plain(ms(302), ONE)), (Sealed, false));
    assert!(seals.knows(ONE) && seals.takes_plain(ms(302), MemberId(2)), "each for itself");
}

#[test]
fn two_that_start_with_nothing_find_each_other_though_only_one_speaks() {
    // The second has nothing to say: what it hears without a sum it drops once it heard the word.
    let (mut first, mut second) = (Seals::default(), Seals::default());
    assert_eq!(first.next(ms(0), MemberId(2)), As::PlainAfterWord);
    second.heard(ms(1), ONE);
    assert!(!second.takes_plain(ms(1), ONE) && second.answers(ms(1), ONE));
    first.heard(ms(2), MemberId(2));
    assert_eq!(first.next(ms(3), MemberId(2)), As::Sealed);
    // Of a flood of words few are answered; a later one is, as the answer may have been lost.
    assert_eq!((2..50).filter(|at| second.answers(ms(*at), ONE)).count(), 0);
    assert!(second.answers(ms(101), ONE));
}

#[test]
fn one_that_a_program_of_before_replaced_is_heard_and_spoken_to_again() {
    let mut seals = Seals::default();
    seals.heard(ms(0), ONE);
    assert!(!seals.takes_plain(ms(1_000), ONE));
    // Nothing said is no reason: large fleets seldom speak to each one.
    assert_eq!(seals.next(ms(60_000), ONE), As::Sealed);
    assert!(seals.takes_plain(ms(60_000), ONE));
    assert_eq!(seals.next(ms(60_001), ONE), As::PlainAfterWord);
    seals.heard(ms(60_100), ONE);
    assert!(!seals.takes_plain(ms(60_200), ONE), "and held to sums again once it has them");
}

#[test]
fn those_who_left_the_roster_are_forgotten() {
    let mut seals = Seals::default();
    for name in 0..100 {
        seals.heard(ms(0), MemberId(name));
    }
    seals.keep(|name| name.0 < 3);
    assert_eq!(seals.peers.len(), 3);
    assert!(!seals.knows(MemberId(50)) && seals.knows(MemberId(2)));
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
