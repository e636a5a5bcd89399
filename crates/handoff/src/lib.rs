//! Hands work from a loop that must never wait to a thread that may take its time, and what was made of it back.
//!
//! It owns one place for work that waits, one for work that is in hand, and one for what was made. It promises that
//! the loop never blocks on the work, that newer work takes the place of what was not begun, that what the loop gets
//! never goes back to an older version and never is half of one and half of another, that the last version put is not
//! lost, and that neither end hangs when the other is gone. It knows nothing of what the work is, and starts no thread.
//!
//! Every interleaving of its ends is played by `tests/loom.rs`, which also shows that planted flaws are found.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fault;
mod sync;

use std::fmt;

use fault::Fault;
use sync::{Arc, AtomicBool, Condvar, Mutex, MutexGuard, Ordering};

/// What both ends see, under one lock that is never held while anything is made or dropped.
struct Slots<W, M> {
    /// Put and not begun: at most one.
    waiting: Option<(u64, W)>,
    /// Begun and not done: its version, and whether it is still wanted.
    begun: Option<(u64, Arc<AtomicBool>)>,
    /// Made and not fetched: at most one.
    made: Option<(u64, M)>,
    /// The newest version that was put; and that was made.
    put: Option<u64>,
    newest: Option<u64>,
    /// The loop's end asks for nothing more.
    closed: bool,
    /// The worker's end is gone, by its own end or by a panic.
    gone: bool,
}

struct Shared<W, M> {
    slots: Mutex<Slots<W, M>>,
    /// Something waits, or the desk is closed.
    wake: Condvar,
    fault: Fault,
}

impl<W, M> Shared<W, M> {
    /// A lock is poisoned only by a panic that left the places as they were: each change of them is whole.
    fn slots(&self) -> MutexGuard<'_, Slots<W, M>> {
        self.slots.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The end of the loop: puts work, fetches what was made. None of its calls waits for the worker.
pub struct Submitter<W, M>(Arc<Shared<W, M>>);

/// The end of the worker: takes work, publishes what it made. There is one, and it takes one work at a time.
pub struct Worker<W, M>(Arc<Shared<W, M>>);

/// Work that was taken.
pub struct Job<W> {
    /// Which version it makes.
    pub version: u64,
    /// What it is made from.
    pub input: W,
    /// To be looked at while it is made.
    pub cancel: Cancellation,
}

/// Whether work in hand is still wanted.
#[derive(Clone)]
pub struct Cancellation(Arc<AtomicBool>);

impl Cancellation {
    /// It is wanted no more: something newer waits, or nobody asks any longer. What is made of it all the same may be
    /// published, and harms nothing.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Why work was not taken; it is given back.
pub enum SubmitError<W> {
    /// A version as new as this was put before.
    Stale(W),
    /// There is no worker any more.
    WorkerGone(W),
}

impl<W> fmt::Debug for SubmitError<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stale(_) => "a version as new was put before",
            Self::WorkerGone(_) => "the worker is gone",
        })
    }
}

/// Two ends that belong together.
pub fn channel<W, M>() -> (Submitter<W, M>, Worker<W, M>) {
    channel_with_fault(Fault::default())
}

/// Two ends with this flaw, of which there are none but under `cfg(loom)`.
pub fn channel_with_fault<W, M>(fault: Fault) -> (Submitter<W, M>, Worker<W, M>) {
    let slots =
        Slots { waiting: None, begun: None, made: None, put: None, newest: None, closed: false, gone: false };
    let shared = Arc::new(Shared { slots: Mutex::new(slots), wake: Condvar::new(), fault });
    (Submitter(shared.clone()), Worker(shared))
}

impl<W, M> Submitter<W, M> {
    /// Puts work for a version newer than all before. What waited and was not begun is given back; what is in hand is
    /// told that it is not wanted any more.
    pub fn submit(&self, version: u64, work: W) -> Result<Option<(u64, W)>, SubmitError<W>> {
        let mut slots = self.0.slots();
        if slots.gone {
            return Err(SubmitError::WorkerGone(work));
        }
        if slots.put.is_some_and(|newest| newest >= version) && !self.0.fault.accepts_stale_version() {
            return Err(SubmitError::Stale(work));
        }
        slots.put = Some(version);
        if let Some((_, unwanted)) = slots.begun.as_ref().filter(|_| !self.0.fault.skips_cancel_on_submit()) {
            unwanted.store(true, Ordering::Release);
        }
        let superseded = slots.waiting.replace((version, work));
        drop(slots);
        if !self.0.fault.skips_wake_on_submit() {
            self.0.wake.notify_one();
        }
        Ok(superseded)
    }

    /// The newest that was made since this was last asked, newer than all that it ever gave.
    pub fn take_latest(&self) -> Option<(u64, M)> {
        let mut slots = self.0.slots();
        if self.0.fault.splits_fetch() {
            let version = slots.newest?;
            drop(slots);
            return self.0.slots().made.take().map(|(_, made)| (version, made));
        }
        slots.made.take()
    }

    /// Versions that wait and that are in hand.
    pub fn versions_in_progress(&self) -> (Option<u64>, Option<u64>) {
        let slots = self.0.slots();
        (slots.waiting.as_ref().map(|w| w.0), slots.begun.as_ref().map(|b| b.0))
    }

    /// Whether the worker is gone: it ended, or what it made had it panic. What it had in hand is lost.
    pub fn is_worker_gone(&self) -> bool {
        self.0.slots().gone
    }

    /// Asks for nothing more: what waits is dropped, what is in hand is told. The worker's next call returns.
    pub fn close(&self) {
        let mut slots = self.0.slots();
        slots.closed = true;
        if let Some((_, unwanted)) = &slots.begun {
            unwanted.store(true, Ordering::Release);
        }
        let dropped = slots.waiting.take();
        drop(slots);
        if !self.0.fault.skips_wake_on_close() {
            self.0.wake.notify_one();
        }
        drop(dropped);
    }
}

impl<W, M> Drop for Submitter<W, M> {
    fn drop(&mut self) {
        self.close();
    }
}

impl<W, M> Worker<W, M> {
    /// Waits for work and takes it; none when the desk is closed. What was taken before counts as done with.
    pub fn next_job(&mut self) -> Option<Job<W>> {
        let mut slots = self.0.slots();
        if !self.0.fault.keeps_running_set() {
            slots.begun = None;
        }
        loop {
            if slots.closed {
                return None;
            }
            if let Some((version, input)) = slots.waiting.take() {
                let unwanted = Arc::new(AtomicBool::new(false));
                if self.0.fault.sets_running_late() {
                    // Between these two the desk finds nothing in hand that it could cancel.
                    drop(slots);
                    slots = self.0.slots();
                }
                slots.begun = Some((version, unwanted.clone()));
                return Some(Job { version, input, cancel: Cancellation(unwanted) });
            }
            if self.0.fault.unlocks_before_wait() {
                drop(slots);
                slots = self.0.slots();
            }
            slots = self.0.wake.wait(slots).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Publishes what was made. What is no newer than what was published before is given back.
    pub fn publish(&self, version: u64, made: M) -> Result<(), M> {
        let mut slots = self.0.slots();
        if slots.newest.is_some_and(|newest| newest >= version) && !self.0.fault.accepts_stale_version() {
            return Err(made);
        }
        slots.newest = Some(version);
        if slots.begun.as_ref().is_some_and(|(begun, _)| *begun == version) {
            slots.begun = None;
        }
        if self.0.fault.drops_pending_on_publish() {
            slots.waiting = None;
        }
        let old = slots.made.replace((version, made));
        drop(slots);
        drop(old);
        Ok(())
    }
}

impl<W, M> Drop for Worker<W, M> {
    fn drop(&mut self) {
        let mut slots = self.0.slots();
        slots.gone = !self.0.fault.hides_worker_exit();
        slots.begun = None;
        let dropped = slots.waiting.take();
        drop(slots);
        drop(dropped);
    }
}
