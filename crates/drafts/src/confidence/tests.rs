//! Unit tests of `confidence`.

use super::*;

#[test]
fn ln_gamma_matches_known_values() {
    for (x, expected) in [(0.5, 0.572_364_943), (1.0, 0.0), (5.0, 24f64.ln()), (100.5, 361.436_143_3)] {
        let expected: f64 = expected;
        assert!((ln_gamma(x) - expected).abs() < 2e-3 * expected.abs().max(1e-5), "{x}: {}", ln_gamma(x));
    }
}

#[test]
fn the_interval_contains_the_rate_and_narrows() {
    let wide = rate_interval(35.0, 50.0, 0.01);
    let narrow = rate_interval(3500.0, 5000.0, 0.01);
    assert!(
        wide.0 < narrow.0 && narrow.0 < 0.7 && 0.7 < narrow.1 && narrow.1 < wide.1,
        "{wide:?} {narrow:?}"
    );
    assert!(narrow.1 - narrow.0 < 0.06, "{narrow:?}");
    let (none, all) = (rate_interval(0.0, 100.0, 0.01), rate_interval(100.0, 100.0, 0.01));
    assert!(none.0 < 1e-9 && none.1 < 0.1 && all.0 > 0.9 && all.1 > 1.0 - 1e-9, "{none:?} {all:?}");
    assert_eq!(rate_interval(0.0, 0.0, 0.01), (0.0, 1.0));
}

/// With an evaluation after every trial, the share of runs that ever exclude the true rate stays near `alpha`.
#[test]
fn frequent_evaluation_keeps_the_error_probability() {
    let mut rng = fastrand::Rng::with_seed(7);
    for p in [0.05, 0.5, 0.9] {
        let mut excluded = 0;
        for _ in 0..200 {
            let mut hits = 0.0;
            let is_excluded = (1..=400).any(|n| {
                hits += f64::from(u8::from(rng.f64() < p));
                let (low, high) = rate_interval(hits, f64::from(n), 0.05);
                p < low || p > high
            });
            excluded += u32::from(is_excluded);
        }
        assert!(excluded <= 20, "{p}: {excluded} of 200, 10 are allowed on average");
    }
}

#[test]
fn the_width_in_standard_errors_grows_slowly() {
    let (few, tight, many) =
        (standard_errors(100.0, 0.01), standard_errors(2_000.0, 0.01), standard_errors(1e7, 0.01));
    assert!(tight < few && tight < many && many < 7.0 && tight > 2.6, "{few} {tight} {many}");
}
