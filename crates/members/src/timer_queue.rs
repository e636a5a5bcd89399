//! A queue of timers, ordered by due time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Timers in order of their due time. Timers that are due at the same time fire in the order of insertion.
#[derive(Debug)]
pub(crate) struct TimerQueue<T> {
    timers: BTreeMap<(Duration, u64), T>,
    inserted: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { timers: BTreeMap::new(), inserted: 0 }
    }
}

impl<T> TimerQueue<T> {
    pub(crate) fn insert(&mut self, due: Duration, timer: T) {
        self.inserted += 1;
        self.timers.insert((due, self.inserted), timer);
    }

    /// Due time of the first timer.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.timers.keys().next().map(|(due, _)| *due)
    }

    /// Removes and returns the first timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<(Duration, T)> {
        self.next_due().filter(|due| *due <= now)?;
        self.timers.pop_first().map(|((due, _), timer)| (due, timer))
    }

    /// Postpones all timers by the same time.
    pub(crate) fn postpone(&mut self, by: Duration) {
        self.timers =
            std::mem::take(&mut self.timers).into_iter().map(|((due, n), t)| ((due + by, n), t)).collect();
    }

    pub(crate) fn len(&self) -> usize {
        self.timers.len()
    }
}

#[cfg(test)]
mod tests;
