//! Whether the process was held up: stopped, without a processor, or long at work. What it reads just after that may have
//! come at any time since it looked last, and its clients' time has run all along.

use std::time::Duration;

use wheellink::Micros;

/// A look that comes so much later than it was due follows a hold-up; less is within the margin of deadlines.
const MIN_STALL_US: Micros = 100_000;
/// Looks in which what came during a hold-up is read: connections are accepted in the late one, and read in the next.
const AFFECTED_POLLS: usize = 2;

/// When the loop looked last at what has come.
#[derive(Default)]
pub struct StallDetector {
    last_poll: Option<Micros>,
    /// Of the last looks, newest first: since when what it found may have been there, if it came late.
    late: [Option<Micros>; AFFECTED_POLLS],
}

impl StallDetector {
    /// The loop has looked, after it was to wait for this long at the most: for how long it was held up, if it was.
    pub fn polled(&mut self, now: Micros, wait: Duration) -> Option<Micros> {
        let last = self.last_poll.replace(now)?;
        let late = now - last - wait.as_micros() as Micros;
        self.late.rotate_right(1);
        self.late[0] = (late >= MIN_STALL_US).then_some(last);
        (late >= MIN_STALL_US).then_some(late)
    }

    /// Since when something may have been here that is read now.
    pub fn earliest_arrival(&self, now: Micros) -> Micros {
        self.late.iter().flatten().copied().fold(now, Micros::min)
    }
}

#[cfg(test)]
mod tests;
