//! How long a connection with outstanding commands may be silent before the host is probed. Pure.
//!
//! Each probe has a cost and is work for the host. Where a host gets few calls, a connection mostly carries one call
//! at a time, so that every long-running call means a silent connection: with a fixed interval of 0.5 s a fleet of 100
//! activators sent more probes than calls.

use wheellink::Micros;

/// Bounds of the delay of the first probe. After the upper one many calls have passed their deadline.
const MIN_DELAY_US: Micros = 500_000;
const MAX_DELAY_US: Micros = 2_000_000;
/// Each answered probe doubles the delay of the next one, up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// Weights of a sample in the mean and in the mean deviation, and the number of deviations above the mean, as for
/// the retransmission timeout of RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Estimates how long answers take, and from that how long to wait before a probe.
#[derive(Default)]
pub struct ProbeDelay {
    /// Mean answer time and mean deviation from it.
    estimate: Option<(f64, f64)>,
}

impl ProbeDelay {
    /// Adds the answer time of a call to the estimate.
    pub fn record(&mut self, took: Micros) {
        let took = took.max(0) as f64;
        let (mean, deviation) = self.estimate.get_or_insert((took, took / 2.0));
        *deviation += DEVIATION_WEIGHT * ((took - *mean).abs() - *deviation);
        *mean += MEAN_WEIGHT * (took - *mean);
    }

    /// How long to wait before the next probe, when `probes` probes have been answered since the last other answer.
    pub fn delay(&self, probes: u32) -> Micros {
        let (mean, deviation) = self.estimate.unwrap_or_default();
        let first = ((mean + DEVIATIONS * deviation) as Micros).clamp(MIN_DELAY_US, MAX_DELAY_US);
        first << probes.min(MAX_DOUBLINGS)
    }
}

#[cfg(test)]
mod tests;
