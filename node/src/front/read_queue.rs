//! Which client connections are read next, and how much of each, so that clients that send at full speed do not delay
//! the others.

use std::collections::{HashSet, VecDeque};

use crate::conn::ConnId;

/// Maximum frames or requests that one visit takes from a connection: as many as a well-behaved client may have open.
const MAX_FRAMES_PER_VISIT: usize = 32;
/// Maximum reads of a connection in one visit.
const MAX_READS_PER_VISIT: usize = 8;

/// What one visit of a connection may still take from it.
pub struct Visit {
    frames: usize,
    reads: usize,
}

impl Visit {
    pub fn new() -> Self {
        Self { frames: MAX_FRAMES_PER_VISIT, reads: MAX_READS_PER_VISIT }
    }

    /// Counts a read; false if no further one is allowed.
    pub fn read(&mut self) -> bool {
        let allowed = self.reads > 0;
        self.reads = self.reads.saturating_sub(1);
        allowed
    }

    /// Counts a frame that was taken.
    pub fn took_frame(&mut self) {
        self.frames = self.frames.saturating_sub(1);
    }

    /// Whether a further frame may be taken.
    pub fn allows_frame(&self) -> bool {
        self.frames > 0
    }
}

/// Connections whose input is read later, each once.
#[derive(Default)]
pub struct ReadQueue {
    /// Connections that became ready when the turn of the event loop had no time left: they are read first.
    postponed: VecDeque<ConnId>,
    /// Connections that may have more input than their last visit took.
    unfinished: VecDeque<ConnId>,
    queued: HashSet<ConnId>,
}

impl ReadQueue {
    /// Appends a connection that became ready, unless it is queued already.
    pub fn postpone(&mut self, id: ConnId) {
        if self.queued.insert(id) {
            self.postponed.push_back(id);
        }
    }

    /// Appends a connection that may have more input, unless it is queued already.
    pub fn push_unfinished(&mut self, id: ConnId) {
        if self.queued.insert(id) {
            self.unfinished.push_back(id);
        }
    }

    /// Removes the next connection.
    pub fn pop(&mut self) -> Option<ConnId> {
        let id = self.postponed.pop_front().or_else(|| self.unfinished.pop_front())?;
        self.queued.remove(&id);
        Some(id)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnId) {
        if self.queued.remove(&id) {
            self.postponed.retain(|other| *other != id);
            self.unfinished.retain(|other| *other != id);
        }
    }

    pub fn contains(&self, id: ConnId) -> bool {
        self.queued.contains(&id)
    }

    /// Connections that may have more input than their last visit took.
    pub fn unfinished(&self) -> impl Iterator<Item = ConnId> + '_ {
        self.unfinished.iter().copied()
    }

    /// Whether connections wait that had no visit when they became ready.
    pub fn has_postponed(&self) -> bool {
        !self.postponed.is_empty()
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

#[cfg(test)]
mod tests;
