//! The system's Unix clock, in microseconds, made to never run backwards.

use std::time::{SystemTime, UNIX_EPOCH};

use wheellink::Micros;

#[derive(Default)]
pub struct Clock {
    last: Micros,
}

impl Clock {
    /// Now. A clock that was set back stands still until it has caught up: the rules count on its time, and
    /// the module on its order.
    pub fn now(&mut self) -> Micros {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.last = self.last.max(since.as_micros() as Micros);
        self.last
    }
}
