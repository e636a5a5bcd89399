//! The process's clock: microseconds, advanced by the monotonic clock.
//!
//! Deadlines, windows and timeouts are spans of real time, so they must not depend on the machine's wall clock, which may be
//! stepped forward or back by seconds or by an hour. The wall clock is read only once, when the clock is created, so that
//! times in the log can be compared with other logs. A process that takes over from another continues with that process's
//! clock, because it receives times on that clock.

pub mod steps;

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use wheellink::Micros;

/// Two readings no further apart than this count as simultaneous.
const MAX_READING_GAP_US: Micros = 200;
/// Attempts to get two simultaneous readings; after that the last ones are used.
const MAX_READINGS: u32 = 100;

/// What another process on the same machine needs to continue with this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeBase {
    /// The process's clock minus the machine's monotonic clock, in microseconds.
    difference: Micros,
}

/// The process's clock.
pub struct Clock {
    origin: Instant,
    /// The time at `origin`.
    began: Micros,
    /// The frozen time, while the clock is frozen.
    frozen: Option<Micros>,
}

impl Default for Clock {
    /// Starts at the time of the wall clock.
    fn default() -> Self {
        let origin = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin, began: unix.as_micros() as Micros, frozen: None }
    }
}

impl Clock {
    /// Continues with the clock of another process on this machine.
    pub fn from_base(base: TimeBase) -> Self {
        let (origin, monotonic) = read_together(Instant::now);
        Self { origin, began: base.difference + monotonic, frozen: None }
    }

    /// The base from which another process on this machine continues with this clock.
    pub fn base(&self) -> TimeBase {
        let (time, monotonic) = read_together(|| self.running());
        TimeBase { difference: time - monotonic }
    }

    /// The current time, or the frozen time.
    pub fn now(&self) -> Micros {
        self.frozen.unwrap_or_else(|| self.running())
    }

    /// The current time, even while the clock is frozen.
    pub fn running(&self) -> Micros {
        self.began + self.origin.elapsed().as_micros() as Micros
    }

    /// Freezes the clock at the current time until [`Clock::unfreeze`]. So all timers of one pass are compared with the same
    /// time, taken before the pass handled its input, however long that takes.
    pub fn freeze(&mut self) -> Micros {
        let now = self.running();
        self.frozen = Some(now);
        now
    }

    /// Lets the clock run again.
    pub fn unfreeze(&mut self) {
        self.frozen = None;
    }
}

/// Reads a clock and the machine's monotonic clock simultaneously; reads again if the process was delayed in between.
fn read_together<T>(read: impl Fn() -> T) -> (T, Micros) {
    let mut tries = 0;
    loop {
        let before = monotonic();
        let value = read();
        tries += 1;
        if monotonic() - before <= MAX_READING_GAP_US || tries == MAX_READINGS {
            return (value, before);
        }
    }
}

/// The machine's monotonic clock, the one behind [`Instant`], in microseconds.
fn monotonic() -> Micros {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

#[cfg(test)]
mod tests;
