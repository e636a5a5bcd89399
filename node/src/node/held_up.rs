//! Whether the process was held up: stopped, without a processor, or long at work. What it reads just after that may have
//! come at any time since it looked last, and its clients' time has run all along.

use std::time::Duration;

use wheellink::Micros;

/// A look that comes so much later than it was due follows a hold-up; less is within the margin of deadlines.
const LEAST: Micros = 100_000;
/// Turns of the loop, that of the late look included, in which what came during a hold-up is read: connections are
/// accepted in the first of them, and read in the next ones.
const TURNS: u32 = 3;

/// When the loop looked last at what has come.
#[derive(Default)]
pub struct HeldUp {
    last_look: Option<Micros>,
    /// Since when, and for how many turns more that counts.
    since: Option<(Micros, u32)>,
}

impl HeldUp {
    /// The loop has looked, after it was to wait for this long at the most: for how long it was held up, if it was.
    pub fn looked(&mut self, now: Micros, wait: Duration) -> Option<Micros> {
        let last = self.last_look.replace(now)?;
        let late = now - last - wait.as_micros() as Micros;
        if late >= LEAST {
            let since = self.since.map_or(last, |(since, _)| since);
            self.since = Some((since, TURNS));
            return Some(late);
        }
        self.since = self.since.map(|(since, turns)| (since, turns - 1)).filter(|(_, turns)| *turns > 0);
        None
    }

    /// Since when a request may have been here that is read now.
    pub fn arrived(&self, now: Micros) -> Micros {
        self.since.map_or(now, |(since, _)| since.min(now))
    }
}

#[cfg(test)]
mod tests;
