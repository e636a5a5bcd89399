//! Whether one rate is above another, at every look: an e-process for two proportions.
//!
//! Source: Turner, Ly and Grünwald, "Generic e-variables for exact sequential k-sample tests that allow for
//! optional stopping" (2×2 tables). For a block of `a` old and `b` new calls, the likelihood under rates
//! `(p, q)` with `q > p`, divided by that under the weighted mean `r = (a·p + b·q) / (a + b)` for both, has an
//! expectation of at most 1 whenever the new rate is no higher than the old one: at equal rates its logarithm
//! is concave in the rate with its maximum, 0, at `r`; a lower new rate only lowers it. So the product over
//! blocks, with `p` and `q` taken from earlier blocks only, exceeds `1/α` ever with a chance of at most `α`.

use crate::gates::Gate;

/// Calls and how many of them had what is counted (failed, say).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls.
    pub calls: u64,
    /// Those among them.
    pub hits: u64,
}

impl Count {
    /// One more call.
    pub fn add(&mut self, hit: bool) {
        self.calls = self.calls.saturating_add(1);
        self.hits = self.hits.saturating_add(u64::from(hit));
    }

    fn merge(&mut self, other: Count) {
        self.calls = self.calls.saturating_add(other.calls);
        self.hits = self.hits.saturating_add(other.hits);
    }

    /// The share; 0 of none.
    pub fn rate(&self) -> f64 {
        self.hits as f64 / self.calls.max(1) as f64
    }

    /// Wilson's interval of the rate, at so many standard deviations.
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

/// Sizes of a difference that are looked for at once, each with a quarter of the stake: the e-value is their
/// mean, which is an e-value again.
const SIZES: [f64; 4] = [0.02, 0.05, 0.10, 0.30];
/// What is thought of a rate before anything is known: half a hit in twenty calls.
const PRIOR: (f64, f64) = (0.5, 20.0);
/// Old calls that may wait for a new one to be set against; a longer block would mix times too far apart.
const LONGEST_BLOCK: u64 = 10_000;

/// The evidence that the new version's rate is above the old one's.
#[derive(Clone, Debug)]
pub struct Evidence {
    logs: [f64; SIZES.len()],
    /// Whole blocks.
    old: Count,
    new: Count,
    /// The block that is being filled.
    block_old: Count,
    block_new: Count,
    cluster: f64,
}

impl Evidence {
    /// None yet. So many hits may have one cause; the evidence of a block is thinned by that.
    pub fn new(cluster: f64) -> Self {
        let none = Count::default();
        let logs = [0.0; SIZES.len()];
        Self { logs, old: none, new: none, block_old: none, block_new: none, cluster: cluster.max(1.0) }
    }

    /// Calls of both versions that have been counted, whole blocks or not.
    pub fn counts(&self) -> (Count, Count) {
        let (mut old, mut new) = (self.old, self.new);
        old.merge(self.block_old);
        new.merge(self.block_new);
        (old, new)
    }

    /// A call of the old version.
    pub fn record_old(&mut self, hit: bool) {
        if self.block_old.calls >= LONGEST_BLOCK {
            self.old.merge(std::mem::take(&mut self.block_old));
        }
        self.block_old.add(hit);
    }

    /// A call of the new version.
    pub fn record_new(&mut self, hit: bool) {
        self.block_new.add(hit);
    }

    /// Ends the block. When both versions had calls in it, they are set against each other. Without old ones
    /// (the share is 100%) the new ones are set against `fixed`, where it is given: then the test is of one
    /// rate, which is no higher under the null.
    pub fn close_block(&mut self, fixed: Option<f64>) {
        let (a, b) = (self.block_old, self.block_new);
        if b.calls == 0 || (a.calls == 0 && fixed.is_none()) {
            return;
        }
        let learnt = (self.old.hits as f64 + PRIOR.0) / (self.old.calls as f64 + PRIOR.1);
        let p = fixed.unwrap_or(learnt).clamp(1e-6, 0.95);
        for (log, size) in self.logs.iter_mut().zip(SIZES) {
            let q = (p + size).min(0.999);
            let r = match fixed {
                Some(_) => p,
                None => (a.calls as f64 * p + b.calls as f64 * q) / (a.calls + b.calls) as f64,
            };
            let part = |c: Count, rate: f64| {
                let misses = (c.calls - c.hits) as f64;
                c.hits as f64 * (rate / r).ln() + misses * ((1.0 - rate) / (1.0 - r)).ln()
            };
            let old = if fixed.is_some() { 0.0 } else { part(a, p) };
            // The root of an e-value is one too (Jensen).
            *log += (old + part(b, q)) / self.cluster;
        }
        self.old.merge(std::mem::take(&mut self.block_old));
        self.new.merge(std::mem::take(&mut self.block_new));
    }

    /// Natural logarithm of the e-value.
    pub fn log_e(&self) -> f64 {
        let most = self.logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.logs.iter().map(|l| (l - most).exp()).sum();
        most + (sum / SIZES.len() as f64).ln()
    }
}

/// The upper bound of the new rate less the old one, by Newcombe's hybrid score interval, at so many standard
/// deviations.
pub(crate) fn upper_difference(old: Count, new: Count, z: f64) -> f64 {
    let ((low, _), (_, high)) = (old.wilson(z), new.wilson(z));
    let (p, q) = (old.rate(), new.rate());
    (q - p) + ((high - q).powi(2) + (p - low).powi(2)).sqrt()
}

/// The upper bound of a rate, for a baseline that new calls are set against later.
pub(crate) fn upper_rate(count: Count, z: f64) -> f64 {
    count.wilson(z).1
}

/// The standard deviations beyond which a normal variable lies with this chance, on one side. Abramowitz and
/// Stegun 26.2.23; its error, under 4.5e-4, is far below what the bounds need.
pub(crate) fn deviations(chance: f64) -> f64 {
    let t = (-2.0 * chance.clamp(1e-12, 0.5).ln()).sqrt();
    let (c, d) = ([2.515517, 0.802853, 0.010328], [1.432788, 0.189269, 0.001308]);
    (t - (c[0] + c[1] * t + c[2] * t * t) / (1.0 + d[0] * t + d[1] * t * t + d[2] * t * t * t)).max(0.0)
}

/// Sorts gates by what speaks most against the new version.
pub(crate) fn worst_first(gates: &mut [Gate]) {
    gates.sort_by(|a, b| b.log_e.total_cmp(&a.log_e));
}

#[cfg(test)]
mod tests;
