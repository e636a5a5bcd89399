//! How long a connection with something out may be quiet before its host is asked whether anybody still answers.
//! Pure.
//!
//! An ask is a probe, which has its price and is work for the host. Where calls are spread thin a connection
//! mostly carries one call, so that each that takes its time looks like silence: asking every half second cost
//! a fleet of 100 activators more probes than it had calls.

use wheellink::Micros;

/// No connection is asked sooner.
const LEAST: Micros = 500_000;
/// Nor does any wait longer than this for its first ask: by then many a call is past its time.
const MOST: Micros = 2_000_000;
/// Each ask that was answered makes the next one wait twice as long, up to so many times.
const DOUBLINGS: u32 = 3;
/// Weights of one answer in the mean time and in the mean deviation from it, and deviations that are usual, as
/// in RFC 6298.
const MEAN: f64 = 1.0 / 8.0;
const DEVIATION: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Learns how long answers take.
#[derive(Default)]
pub struct ProbeDelay {
    usual: Option<(f64, f64)>,
}

impl ProbeDelay {
    /// A call was answered after so long.
    pub fn learn(&mut self, took: Micros) {
        let took = took.max(0) as f64;
        let (mean, deviation) = self.usual.get_or_insert((took, took / 2.0));
        *deviation += DEVIATION * ((took - *mean).abs() - *deviation);
        *mean += MEAN * (took - *mean);
    }

    /// How long a connection may be quiet that was asked so often since its last answer, and said it was well.
    pub fn patience(&self, asked: u32) -> Micros {
        let (mean, deviation) = self.usual.unwrap_or_default();
        let first = ((mean + DEVIATIONS * deviation) as Micros).clamp(LEAST, MOST);
        first << asked.min(DOUBLINGS)
    }
}

#[cfg(test)]
mod tests;
