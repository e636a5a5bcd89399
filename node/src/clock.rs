//! The program's time: microseconds by the monotonic clock, which nobody sets.
//!
//! Deadlines, windows, waits and graces are spans of real time, so the machine's wall clock must not be part of them: it
//! may be stepped, forward or back, by seconds or by an hour. It is read once, when the clock is made, so that times
//! in the log can be laid beside others', and never again. A process that takes another's place goes on with the other's
//! time, since it is handed times by it.

pub mod steps;

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use wheellink::Micros;

/// Two readings no further apart than this count as made at the same time.
const MAX_READING_GAP_US: Micros = 200;
/// A machine on which no two readings are that close is not waited for any longer.
const MAX_READINGS: u32 = 100;

/// What another process on the same machine needs to go by this one's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeBase {
    /// The program's time less the machine's monotonic clock, in microseconds.
    difference: Micros,
}

/// See the module's page.
pub struct Clock {
    origin: Instant,
    /// The time at `origin`.
    began: Micros,
    /// While it is held, what it stands at.
    frozen: Option<Micros>,
}

impl Default for Clock {
    /// Begins at what the wall clock says.
    fn default() -> Self {
        let origin = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin, began: unix.as_micros() as Micros, frozen: None }
    }
}

impl Clock {
    /// Goes on with the time of another process of this machine.
    pub fn from_base(base: TimeBase) -> Self {
        let (origin, monotonic) = read_together(Instant::now);
        Self { origin, began: base.difference + monotonic, frozen: None }
    }

    /// What another process of this machine goes on by.
    pub fn base(&self) -> TimeBase {
        let (time, monotonic) = read_together(|| self.running());
        TimeBase { difference: time - monotonic }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.frozen.unwrap_or_else(|| self.running())
    }

    /// Now, also while the clock is held.
    pub fn running(&self) -> Micros {
        self.began + self.origin.elapsed().as_micros() as Micros
    }

    /// Now, and for all who ask until [`Clock::unfreeze`]: whatever is found to be due is due by one time, from before
    /// what has come was looked at, however long that took.
    pub fn freeze(&mut self) -> Micros {
        let now = self.running();
        self.frozen = Some(now);
        now
    }

    /// It goes on.
    pub fn unfreeze(&mut self) {
        self.frozen = None;
    }
}

/// Reads a clock and the machine's monotonic one at the same time: read anew where the process was held up between them.
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
