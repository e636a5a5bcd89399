//! A sequential test of whether one rate is above another, valid at every look: an e-process for two proportions.
//!
//! Source: Turner, Ly and Grünwald, "Generic e-variables for exact sequential k-sample tests that allow for
//! optional stopping" (2×2 tables). For a block of `a` old and `b` new calls, the likelihood under rates
//! `(p, q)` with `q > p`, divided by that under the weighted mean `r = (a·p + b·q) / (a + b)` for both, has an
//! expectation of at most 1 whenever the new rate is no higher than the old one: at equal rates its logarithm
//! is concave in the rate with its maximum, 0, at `r`; a lower new rate only lowers it. Therefore the product over
//! blocks, with `p` and `q` estimated from earlier blocks only, ever exceeds `1/α` with a probability of at most `α`.

use crate::gates::Gate;

/// A number of calls, and how many of them have a property such as having failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All calls.
    pub calls: u64,
    /// Calls with the property.
    pub hits: u64,
}

impl Count {
    /// Adds a call.
    pub fn add(&mut self, hit: bool) {
        self.calls = self.calls.saturating_add(1);
        self.hits = self.hits.saturating_add(u64::from(hit));
    }

    fn merge(&mut self, other: Count) {
        self.calls = self.calls.saturating_add(other.calls);
        self.hits = self.hits.saturating_add(other.hits);
    }

    /// Rate of hits; 0 without calls.
    pub fn rate(&self) -> f64 {
        self.hits as f64 / self.calls.max(1) as f64
    }

    /// Wilson score interval of the rate, at `z` standard deviations.
    fn wilson(&self, z: f64) -> (f64, f64) {
        if self.calls == 0 {
            return (0.0, 1.0);
        }
        let (n, p) = (self.calls as f64, self.rate());
        let centre = p + z * z / (2.0 * n);
        let half = z * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        let scale = 1.0 + z * z / n;
        (((centre - half) / scale).max(0.0), ((centre + half) / scale).min(1.0))
    }
}

/// Differences between the rates that are tested at the same time, each with a quarter of the weight: the mean of the
/// four e-values is an e-value again.
const EFFECT_SIZES: [f64; 4] = [0.02, 0.05, 0.10, 0.30];
/// Prior of the old rate, before there are calls: half a hit in twenty calls.
const PRIOR_HITS: f64 = 0.5;
const PRIOR_CALLS: f64 = 20.0;
/// Maximum number of calls of the old version in a block. A longer block would compare calls from times too far apart.
const MAX_BLOCK_CALLS: u64 = 10_000;

/// The evidence that the new version's rate is above the old one's.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Natural logarithm of the e-value for each effect size.
    log_e_values: [f64; EFFECT_SIZES.len()],
    /// Calls in closed blocks.
    old: Count,
    new: Count,
    /// Calls in the open block.
    block_old: Count,
    block_new: Count,
    max_cluster_size: f64,
}

impl Evidence {
    /// No evidence yet. Up to `max_cluster_size` hits may have one cause, so the log evidence of each block is
    /// divided by it.
    pub fn new(max_cluster_size: f64) -> Self {
        let none = Count::default();
        let log_e_values = [0.0; EFFECT_SIZES.len()];
        let max_cluster_size = max_cluster_size.max(1.0);
        Self { log_e_values, old: none, new: none, block_old: none, block_new: none, max_cluster_size }
    }

    /// Calls of the old and the new version, in closed blocks and in the open one.
    pub fn counts(&self) -> (Count, Count) {
        let (mut old, mut new) = (self.old, self.new);
        old.merge(self.block_old);
        new.merge(self.block_new);
        (old, new)
    }

    /// Records a call of the old version.
    pub fn record_old(&mut self, hit: bool) {
        if self.block_old.calls >= MAX_BLOCK_CALLS {
            self.old.merge(std::mem::take(&mut self.block_old));
        }
        self.block_old.add(hit);
    }

    /// Records a call of the new version.
    pub fn record_new(&mut self, hit: bool) {
        self.block_new.add(hit);
    }

    /// Closes the block if both versions have calls in it, and compares them. If `baseline_rate` is given (the share is
    /// 100%, so that there are no calls of the old version), the calls of the new version are compared with that rate:
    /// the test then has one sample, whose rate is no higher than the baseline under the null hypothesis.
    pub fn close_block(&mut self, baseline_rate: Option<f64>) {
        let (a, b) = (self.block_old, self.block_new);
        if b.calls == 0 || (a.calls == 0 && baseline_rate.is_none()) {
            return;
        }
        let estimate = (self.old.hits as f64 + PRIOR_HITS) / (self.old.calls as f64 + PRIOR_CALLS);
        let p = baseline_rate.unwrap_or(estimate).clamp(1e-6, 0.95);
        for (log, size) in self.log_e_values.iter_mut().zip(EFFECT_SIZES) {
            let q = (p + size).min(0.999);
            let r = match baseline_rate {
                Some(_) => p,
                None => (a.calls as f64 * p + b.calls as f64 * q) / (a.calls + b.calls) as f64,
            };
            let log_ratio = |c: Count, rate: f64| {
                let misses = (c.calls - c.hits) as f64;
                c.hits as f64 * (rate / r).ln() + misses * ((1.0 - rate) / (1.0 - r)).ln()
            };
            let old = if baseline_rate.is_some() { 0.0 } else { log_ratio(a, p) };
            // A root of an e-value is an e-value too (Jensen's inequality).
            *log += (old + log_ratio(b, q)) / self.max_cluster_size;
        }
        self.old.merge(std::mem::take(&mut self.block_old));
        self.new.merge(std::mem::take(&mut self.block_new));
    }

    /// Natural logarithm of the e-value against the new version.
    pub fn log_e(&self) -> f64 {
        let max = self.log_e_values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.log_e_values.iter().map(|l| (l - max).exp()).sum();
        max + (sum / EFFECT_SIZES.len() as f64).ln()
    }
}

/// Upper bound of the new rate minus the old rate, by Newcombe's hybrid score interval at `z` standard deviations.
pub(crate) fn difference_upper_bound(old: Count, new: Count, z: f64) -> f64 {
    let ((low, _), (_, high)) = (old.wilson(z), new.wilson(z));
    let (p, q) = (old.rate(), new.rate());
    (q - p) + ((high - q).powi(2) + (p - low).powi(2)).sqrt()
}

/// Upper bound of a rate at `z` standard deviations.
pub(crate) fn rate_upper_bound(count: Count, z: f64) -> f64 {
    count.wilson(z).1
}

/// The number of standard deviations that a normal variable exceeds with this probability (one-sided). Abramowitz and
/// Stegun 26.2.23, with an error below 4.5e-4, which is far more accurate than the bounds need.
pub(crate) fn upper_normal_quantile(probability: f64) -> f64 {
    let t = (-2.0 * probability.clamp(1e-12, 0.5).ln()).sqrt();
    let (c, d) = ([2.515517, 0.802853, 0.010328], [1.432788, 0.189269, 0.001308]);
    (t - (c[0] + c[1] * t + c[2] * t * t) / (1.0 + d[0] * t + d[1] * t * t + d[2] * t * t * t)).max(0.0)
}

/// Sorts gates by their evidence against the new version, the strongest first.
pub(crate) fn sort_worst_first(gates: &mut [Gate]) {
    gates.sort_by(|a, b| b.log_e.total_cmp(&a.log_e));
}

#[cfg(test)]
mod tests;
