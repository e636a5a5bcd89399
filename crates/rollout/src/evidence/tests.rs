//! Tests of `evidence` that need its private state.

use super::*;

#[test]
fn normal_quantiles_match_published_tables() {
    for (chance, expected) in [(0.5, 0.0), (0.05, 1.6449), (0.01, 2.3263), (0.001, 3.0902)] {
        assert!((upper_normal_quantile(chance) - expected).abs() < 1e-3, "{chance}");
    }
}

/// The property that the error rate of the gates rests on: without a worse new rate, the expected e-value of a block is
/// at most 1.
#[test]
fn the_expected_e_value_of_a_block_is_at_most_1_under_the_null() {
    for rate in [0.001, 0.01, 0.05, 0.3, 0.9] {
        for improvement in [0.0, rate / 2.0] {
            let mut expected = 0.0;
            // All outcomes of 3 old and 2 new calls.
            for bits in 0..32u32 {
                let mut e = Evidence::new(1.0);
                let mut chance = 1.0;
                for i in 0..5 {
                    let hit = bits >> i & 1 == 1;
                    let p = if i < 3 { rate } else { rate - improvement };
                    chance *= if hit { p } else { 1.0 - p };
                    if i < 3 {
                        e.record_old(hit);
                    } else {
                        e.record_new(hit);
                    }
                }
                e.close_block(None);
                expected += chance * e.log_e().exp();
            }
            assert!(expected <= 1.0 + 1e-9, "{rate}: {expected}");
        }
    }
}

#[test]
fn a_block_without_calls_of_both_versions_stays_open() {
    let mut e = Evidence::new(1.0);
    e.record_new(true);
    e.close_block(None);
    assert_eq!((e.log_e(), e.counts().1.calls), (0.0, 1));
    e.record_old(false);
    e.close_block(None);
    assert!(e.log_e() > 0.0);
    let before = e.log_e();
    e.record_new(true);
    e.close_block(Some(0.01));
    assert!(e.log_e() > before, "compared with a baseline rate");
}

#[test]
fn the_upper_bound_covers_the_difference() {
    let (old, new) = (Count { calls: 1000, hits: 10 }, Count { calls: 400, hits: 4 });
    let upper = difference_upper_bound(old, new, 2.33);
    assert!((0.005..0.03).contains(&upper), "{upper}");
    assert!(
        difference_upper_bound(Count::default(), Count::default(), 2.33) >= 1.0,
        "without calls nothing is known of the difference"
    );
}
