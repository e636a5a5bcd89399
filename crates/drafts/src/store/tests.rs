//! Unit tests of `store`.

use super::*;
use proptest::prelude::*;

fn sums() -> impl Strategy<Value = Sums> {
    let metric = || 0..=u64::MAX;
    (metric(), metric(), metric(), metric(), metric(), proptest::array::uniform8(metric())).prop_map(
        |(calls, rounds, tokens, micros, squares, accepted)| Sums {
            calls,
            rounds,
            tokens,
            micros,
            squares,
            accepted,
        },
    )
}

fn merged(a: &Sums, b: &Sums) -> Sums {
    let mut sums = *a;
    sums.merge(b);
    sums
}

proptest! {
    #[test]
    fn merging_is_idempotent_commutative_and_associative(a in sums(), b in sums(), c in sums()) {
        prop_assert_eq!(merged(&a, &a), a);
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
    }

    /// The merge of two valid rows is valid, so that merged rows need no second check.
    #[test]
    fn merged_rows_stay_valid(k in proptest::collection::vec(0u64..50, 8), rounds in 50u64..90, more in 0u64..90) {
        let settings = Settings::default();
        let draft = Draft { drafter: 1, length: 4 };
        let made = |rounds: u64, k: &[u64]| {
            let mut accepted = [0; 8];
            let mut most = rounds;
            for (to, from) in accepted.iter_mut().zip(k).take(4) {
                most = most.min(*from);
                *to = most;
            }
            let tokens = rounds + accepted.iter().sum::<u64>();
            Sums { calls: 1, rounds, tokens, micros: rounds * 30, squares: 900, accepted }
        };
        let (a, b) = (made(rounds, &k[..4]), made(rounds + more, &k[4..]));
        prop_assert_eq!(a.check(draft, &settings), Ok(()));
        prop_assert_eq!(merged(&a, &b).check(draft, &settings), Ok(()));
    }
}

#[test]
fn a_delayed_clock_reading_does_not_make_rows_younger() {
    let settings = Settings::default();
    let secs = Duration::from_secs;
    let mut record = Record::new(secs(100), secs(0));
    record.advance_clock(secs(50), secs(110));
    assert_eq!(record.clock(secs(60)), secs(160), "the clock has advanced");
    record.advance_clock(secs(60), secs(400));
    assert_eq!(record.epoch(secs(60), &settings), 400 / 15);
}
