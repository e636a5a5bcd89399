//! Detects steps of the machine's wall clock by comparing it with the monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use wheellink::Micros;

/// Smallest change of the difference between the two clocks that counts as a step. A time daemon slews the wall clock by
/// less than this between two polls.
const MIN_STEP_US: Micros = 50_000;
/// Readings of the two clocks that take longer than this are discarded, because the process was delayed in between.
const MAX_READING_TIME: Duration = Duration::from_millis(5);

/// Detects and counts steps of the wall clock.
#[derive(Debug)]
pub struct StepDetector {
    origin: Instant,
    /// Wall clock minus monotonic clock at the last poll, in microseconds.
    difference: Option<Micros>,
    count: u64,
    total: Micros,
}

impl Default for StepDetector {
    fn default() -> Self {
        Self { origin: Instant::now(), difference: None, count: 0, total: 0 }
    }
}

impl StepDetector {
    /// Reads both clocks. Returns by how much the wall clock was stepped since the previous poll, if it was.
    pub fn poll(&mut self) -> Option<Micros> {
        let before = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let after = Instant::now();
        if after - before > MAX_READING_TIME {
            return None;
        }
        self.compare(wall.as_micros() as Micros - (before - self.origin).as_micros() as Micros)
    }

    /// Compares the difference between the clocks with the previous one.
    fn compare(&mut self, difference: Micros) -> Option<Micros> {
        let step = difference - self.difference.replace(difference)?;
        if step.abs() < MIN_STEP_US {
            return None;
        }
        self.count += 1;
        self.total += step;
        Some(step)
    }

    /// The number of steps so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The sum of all steps so far.
    pub fn total(&self) -> Micros {
        self.total
    }
}

#[cfg(test)]
mod tests;
