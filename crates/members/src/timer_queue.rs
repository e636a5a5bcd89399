//! What is to happen later, in order of time.

use std::collections::BTreeMap;
use std::time::Duration;

/// A queue of things due. Of those due together the first put in comes first.
#[derive(Debug)]
pub(crate) struct TimerQueue<T> {
    due: BTreeMap<(Duration, u64), T>,
    count: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { due: BTreeMap::new(), count: 0 }
    }
}

impl<T> TimerQueue<T> {
    pub(crate) fn put(&mut self, at: Duration, what: T) {
        self.count += 1;
        self.due.insert((at, self.count), what);
    }

    /// When the next one is due.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// The next one that is due by now.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<(Duration, T)> {
        self.next().filter(|at| *at <= now)?;
        self.due.pop_first().map(|((at, _), what)| (at, what))
    }

    /// All wait for so much longer.
    pub(crate) fn delay(&mut self, by: Duration) {
        self.due = std::mem::take(&mut self.due).into_iter().map(|((at, n), t)| ((at + by, n), t)).collect();
    }

    pub(crate) fn len(&self) -> usize {
        self.due.len()
    }
}

#[cfg(test)]
mod tests;
