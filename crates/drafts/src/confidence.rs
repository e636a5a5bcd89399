//! Bounds that hold at every look.
//!
//! Of a rate: with Krichevsky and Trofimov's mixture (a Beta(1/2, 1/2) prior) as the stake against each rate, the likelihood ratio
//! is a martingale under that rate, so that by Ville's inequality the true one is ever left out with a chance of at most `alpha`
//! (Robbins, 1970; Howard et al., "Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021).
//!
//! Of a mean with an unknown spread: the asymptotic confidence sequence of Waudby-Smith et al. ("Time-uniform central limit
//! theory", 2021).

/// Where the second kind is tightest, in counts: about the least evidence.
const TIGHT_AT: f64 = 2_000.0;

/// Natural logarithm of the gamma function, by Stirling's series; its error is below 1e-8 for `x` of 0.5 and more.
fn ln_gamma(mut x: f64) -> f64 {
    let mut less = 0.0;
    while x < 8.0 {
        less += x.ln();
        x += 1.0;
    }
    let r = 1.0 / x;
    let series = r * (1.0 / 12.0 - r * r * (1.0 / 360.0 - r * r * (1.0 / 1260.0 - r * r / 1680.0)));
    (x - 0.5) * x.ln() - x + 0.918_938_533_204_672_7 + series - less
}

/// The interval of a rate of `hits` in `n`, at every look with a chance of `alpha` to be wrong.
pub(crate) fn rate_interval(hits: f64, n: f64, alpha: f64) -> (f64, f64) {
    if n <= 0.0 {
        return (0.0, 1.0);
    }
    let (hits, misses) = (hits.clamp(0.0, n), (n - hits).clamp(0.0, n));
    let half = ln_gamma(0.5);
    let mixture = ln_gamma(hits + 0.5) - half + ln_gamma(misses + 0.5) - half - ln_gamma(n + 1.0);
    let part = |k: f64, p: f64| if k > 0.0 { k * p.ln() } else { 0.0 };
    // Whether this rate can stand.
    let stands = |p: f64| mixture - part(hits, p) - part(misses, 1.0 - p) < -alpha.ln();
    let middle = hits / n;
    let edge = |far: f64| {
        let (mut inside, mut outside) = (middle, far);
        for _ in 0..30 {
            let p = (inside + outside) / 2.0;
            if stands(p) {
                inside = p;
            } else {
                outside = p;
            }
        }
        outside
    };
    (edge(0.0), edge(1.0))
}

/// How many standard errors wide the bound of a mean of `n` is, at every look.
pub(crate) fn standard_errors(n: f64, alpha: f64) -> f64 {
    let stake = -2.0 * alpha.ln() + (-2.0 * alpha.ln()).ln() + 1.0;
    let v = n.max(1.0) * stake / TIGHT_AT;
    (2.0 * (v + 1.0) / v * ((v + 1.0).sqrt() / alpha).ln()).sqrt()
}

#[cfg(test)]
mod tests;
