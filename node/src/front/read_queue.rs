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

/// Connections that may have more input than their last visit took, in the order of their next visits.
#[derive(Default)]
pub struct ReadQueue {
    order: VecDeque<ConnId>,
    waiting: HashSet<ConnId>,
}

impl ReadQueue {
    /// Appends a connection, unless it is queued already.
    pub fn push(&mut self, id: ConnId) {
        if self.waiting.insert(id) {
            self.order.push_back(id);
        }
    }

    /// Removes the next connection.
    pub fn pop(&mut self) -> Option<ConnId> {
        let id = self.order.pop_front()?;
        self.waiting.remove(&id);
        Some(id)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnId) {
        if self.waiting.remove(&id) {
            self.order.retain(|other| *other != id);
        }
    }

    pub fn contains(&self, id: ConnId) -> bool {
        self.waiting.contains(&id)
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
