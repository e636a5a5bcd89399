//! The system's Unix clock, in microseconds, made to never run backwards.

pub mod steps;

use std::time::{SystemTime, UNIX_EPOCH};

use wheellink::Micros;

#[derive(Default)]
pub struct Clock {
    last: Micros,
    held: bool,
}

impl Clock {
    /// Now. A clock that was set back stands still until it has caught up: the rules count on its time, and
    /// the module on its order.
    pub fn now(&mut self) -> Micros {
        if self.held {
            return self.last;
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.last = self.last.max(since.as_micros() as Micros);
        self.last
    }

    /// Now, and for all who ask until [`Clock::release`]: whatever is found to be due is due by one time, from before
    /// what has come was looked at, however long that took.
    pub fn hold(&mut self) -> Micros {
        self.release();
        let now = self.now();
        self.held = true;
        now
    }

    /// It goes on.
    pub fn release(&mut self) {
        self.held = false;
    }
}

#[cfg(test)]
mod tests;
