//! Detects stalls: the process was stopped, was not scheduled, or worked for long in one iteration. Input that it reads
//! just after a stall may have arrived at any time since the last poll, and the timeouts of clients have been running
//! since then. Logs and metrics call a stall a hold-up.

use std::time::Duration;

use wheellink::Micros;

/// A poll that returns this much later than it was due follows a stall. Shorter delays are within the margin of
/// deadlines.
const MIN_STALL_US: Micros = 100_000;
/// Polls that may return input from the time of a stall: the late poll accepts connections, the next one reads them.
const AFFECTED_POLLS: usize = 2;

/// Records when the event loop polled.
#[derive(Default)]
pub struct StallDetector {
    last_poll: Option<Micros>,
    /// For the latest polls, newest first: the time of the poll before, if the poll was late.
    stalled_since: [Option<Micros>; AFFECTED_POLLS],
}

impl StallDetector {
    /// Records a poll that had this timeout. Returns the duration of the stall if the poll was late.
    pub fn polled(&mut self, now: Micros, timeout: Duration) -> Option<Micros> {
        let last = self.last_poll.replace(now)?;
        let late = now - last - timeout.as_micros() as Micros;
        self.stalled_since.rotate_right(1);
        self.stalled_since[0] = (late >= MIN_STALL_US).then_some(last);
        (late >= MIN_STALL_US).then_some(late)
    }

    /// The earliest time at which input that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Micros) -> Micros {
        self.stalled_since.iter().flatten().copied().fold(now, Micros::min)
    }
}

#[cfg(test)]
mod tests;
