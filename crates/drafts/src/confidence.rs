//! Confidence sequences: intervals that hold at all evaluations at once, however often the data is evaluated.
//!
//! For a rate: the likelihood ratio of the Krichevsky-Trofimov mixture (a Beta(1/2, 1/2) prior) against each rate is a martingale
//! under that rate, so that by Ville's inequality the probability that the interval ever excludes the true rate is at most `alpha`
//! (Robbins, 1970; Howard et al., "Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021).
//!
//! For a mean of unknown variance: the asymptotic confidence sequence of Waudby-Smith et al. ("Time-uniform central limit
//! theory", 2021).

/// The count at which the sequence for a mean is tightest: about the minimum evidence for a decision.
const TIGHTEST_COUNT: f64 = 2_000.0;

/// The natural logarithm of the gamma function by Stirling's series; the error is below 1e-8 for `x` of at least 0.5.
fn ln_gamma(mut x: f64) -> f64 {
    let mut correction = 0.0;
    while x < 8.0 {
        correction += x.ln();
        x += 1.0;
    }
    let r = 1.0 / x;
    let series = r * (1.0 / 12.0 - r * r * (1.0 / 360.0 - r * r * (1.0 / 1260.0 - r * r / 1680.0)));
    (x - 0.5) * x.ln() - x + 0.918_938_533_204_672_7 + series - correction
}

/// The confidence interval of the rate of `hits` in `n` trials. The probability that any of its evaluations is wrong is `alpha`.
pub(crate) fn rate_interval(hits: f64, n: f64, alpha: f64) -> (f64, f64) {
    if n <= 0.0 {
        return (0.0, 1.0);
    }
    let (hits, misses) = (hits.clamp(0.0, n), (n - hits).clamp(0.0, n));
    let half = ln_gamma(0.5);
    let mixture = ln_gamma(hits + 0.5) - half + ln_gamma(misses + 0.5) - half - ln_gamma(n + 1.0);
    let log_likelihood = |k: f64, p: f64| if k > 0.0 { k * p.ln() } else { 0.0 };
    // Whether the rate is in the interval.
    let is_plausible =
        |p: f64| mixture - log_likelihood(hits, p) - log_likelihood(misses, 1.0 - p) < -alpha.ln();
    let estimate = hits / n;
    let edge = |limit: f64| {
        let (mut inside, mut outside) = (estimate, limit);
        for _ in 0..30 {
            let p = (inside + outside) / 2.0;
            if is_plausible(p) {
                inside = p;
            } else {
                outside = p;
            }
        }
        outside
    };
    (edge(0.0), edge(1.0))
}

/// The half width of the confidence interval of a mean of `n` samples, in standard errors, valid at all evaluations.
pub(crate) fn standard_errors(n: f64, alpha: f64) -> f64 {
    let log_term = -2.0 * alpha.ln() + (-2.0 * alpha.ln()).ln() + 1.0;
    let v = n.max(1.0) * log_term / TIGHTEST_COUNT;
    (2.0 * (v + 1.0) / v * ((v + 1.0).sqrt() / alpha).ln()).sqrt()
}

#[cfg(test)]
mod tests;
