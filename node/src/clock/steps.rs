//! Notices that the machine's wall clock was set, by comparing it with the monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use wheellink::Micros;

/// A change of the difference between the two clocks above this is a step; daemons that discipline a clock slew it by
/// less between two looks.
const MIN_STEP_US: Micros = 50_000;
/// Two readings that are further apart say nothing: the process was held up between them.
const MAX_READING_TIME: Duration = Duration::from_millis(5);

/// What was seen of steps so far.
#[derive(Debug)]
pub struct StepDetector {
    origin: Instant,
    /// Wall clock less monotonic clock, in microseconds, when last looked at.
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
    /// Reads both clocks: by how much the wall clock was stepped since the last look, if it was.
    pub fn poll(&mut self) -> Option<Micros> {
        let before = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let after = Instant::now();
        if after - before > MAX_READING_TIME {
            return None;
        }
        self.compare(wall.as_micros() as Micros - (before - self.origin).as_micros() as Micros)
    }

    /// Takes in a reading of the difference between the clocks.
    fn compare(&mut self, difference: Micros) -> Option<Micros> {
        let step = difference - self.difference.replace(difference)?;
        if step.abs() < MIN_STEP_US {
            return None;
        }
        self.count += 1;
        self.total += step;
        Some(step)
    }

    /// How many steps were seen.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// All steps together.
    pub fn total(&self) -> Micros {
        self.total
    }
}

#[cfg(test)]
mod tests;
