//! Passes jobs from an event loop, which must not block, to a worker thread, and passes the results back.
//!
//! The channel has three slots: one pending job, one running job and one result. It guarantees that:
//!
//! - the event loop never blocks on a job;
//! - a newer job replaces a pending one;
//! - the versions of the results that the event loop receives only increase, and a version always comes with its own
//!   result;
//! - the last submitted version is not lost;
//! - neither end hangs when the other one is gone.
//!
//! The channel is generic over jobs and results and starts no thread.
//!
//! `tests/loom.rs` checks every interleaving of the two ends, and that injected faults are detected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fault;
mod sync;

use std::fmt;

use fault::Fault;
use sync::{Arc, AtomicBool, Condvar, Mutex, MutexGuard, Ordering};

/// State shared by both ends. The lock is never held while a result is computed or a value is dropped.
struct Slots<I, R> {
    /// The job that is submitted and not yet started, with its version.
    pending: Option<(u64, I)>,
    /// The version of the job that is running, and its cancellation flag.
    running: Option<(u64, Arc<AtomicBool>)>,
    /// The result that is published and not yet fetched, with its version.
    result: Option<(u64, R)>,
    /// The newest version that was submitted.
    submitted: Option<u64>,
    /// The newest version that was published.
    published: Option<u64>,
    /// Whether the submitter is closed or dropped.
    closed: bool,
    /// Whether the worker is dropped, after its last job or by a panic.
    worker_gone: bool,
}

struct Shared<I, R> {
    slots: Mutex<Slots<I, R>>,
    /// Signals the worker that a job is pending or that the submitter is closed.
    wake: Condvar,
    fault: Fault,
}

impl<I, R> Shared<I, R> {
    /// Ignores poisoning: no code that holds the lock can panic halfway through a change, so the slots are consistent.
    fn slots(&self) -> MutexGuard<'_, Slots<I, R>> {
        self.slots.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The event loop's end: submits jobs and fetches results. None of its calls waits for the worker.
pub struct Submitter<I, R>(Arc<Shared<I, R>>);

/// The worker thread's end: takes jobs and publishes results. There is one worker, which runs one job at a time.
pub struct Worker<I, R>(Arc<Shared<I, R>>);

/// A job taken by the worker.
pub struct Job<I> {
    /// The version that the result is published under.
    pub version: u64,
    /// The input of the job.
    pub input: I,
    /// Signals that the worker may abandon the job. The worker checks it while the job runs.
    pub cancel: Cancellation,
}

/// The cancellation flag of a running job.
#[derive(Clone)]
pub struct Cancellation(Arc<AtomicBool>);

impl Cancellation {
    /// Whether the job is cancelled: a newer job is pending, or the submitter is closed. Publishing the result of a
    /// cancelled job is allowed and harmless.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Why a job was refused. Contains the job's input.
pub enum SubmitError<I> {
    /// The same or a newer version was submitted before.
    Stale(I),
    /// The worker is gone.
    WorkerGone(I),
}

impl<I> fmt::Debug for SubmitError<I> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stale(_) => "the same or a newer version was submitted before",
            Self::WorkerGone(_) => "the worker is gone",
        })
    }
}

/// Creates a connected submitter and worker.
pub fn channel<I, R>() -> (Submitter<I, R>, Worker<I, R>) {
    channel_with_fault(Fault::default())
}

/// Like [`channel`], with an injected fault. Without `cfg(loom)` the only value is [`Fault::None`].
pub fn channel_with_fault<I, R>(fault: Fault) -> (Submitter<I, R>, Worker<I, R>) {
    let slots = Slots {
        pending: None,
        running: None,
        result: None,
        submitted: None,
        published: None,
        closed: false,
        worker_gone: false,
    };
    let shared = Arc::new(Shared { slots: Mutex::new(slots), wake: Condvar::new(), fault });
    (Submitter(shared.clone()), Worker(shared))
}

impl<I, R> Submitter<I, R> {
    /// Submits a job whose version must be newer than all versions before. Cancels the running job and returns the
    /// pending job that the new one replaces, if there is one.
    pub fn submit(&self, version: u64, input: I) -> Result<Option<(u64, I)>, SubmitError<I>> {
        let mut slots = self.0.slots();
        if slots.worker_gone {
            return Err(SubmitError::WorkerGone(input));
        }
        if slots.submitted.is_some_and(|newest| newest >= version) && !self.0.fault.accepts_stale() {
            return Err(SubmitError::Stale(input));
        }
        slots.submitted = Some(version);
        if let Some((_, cancelled)) = slots.running.as_ref().filter(|_| !self.0.fault.skips_cancel()) {
            cancelled.store(true, Ordering::Release);
        }
        let superseded = slots.pending.replace((version, input));
        drop(slots);
        if !self.0.fault.skips_wake_on_submit() {
            self.0.wake.notify_one();
        }
        Ok(superseded)
    }

    /// Takes the newest result published since the last call. Its version is newer than all versions returned before.
    pub fn take_latest(&self) -> Option<(u64, R)> {
        let mut slots = self.0.slots();
        if self.0.fault.splits_fetch() {
            let version = slots.published?;
            drop(slots);
            return self.0.slots().result.take().map(|(_, result)| (version, result));
        }
        slots.result.take()
    }

    /// The versions of the pending and of the running job.
    pub fn versions_in_progress(&self) -> (Option<u64>, Option<u64>) {
        let slots = self.0.slots();
        (slots.pending.as_ref().map(|p| p.0), slots.running.as_ref().map(|r| r.0))
    }

    /// Whether the worker is gone: it ended or a job panicked. The job that was running then is lost.
    pub fn is_worker_gone(&self) -> bool {
        self.0.slots().worker_gone
    }

    /// Drops the pending job and cancels the running one. The worker's next [`Worker::next_job`] returns `None`.
    pub fn close(&self) {
        let mut slots = self.0.slots();
        slots.closed = true;
        if let Some((_, cancelled)) = &slots.running {
            cancelled.store(true, Ordering::Release);
        }
        let dropped = slots.pending.take();
        drop(slots);
        if !self.0.fault.skips_wake_on_close() {
            self.0.wake.notify_one();
        }
        drop(dropped);
    }
}

impl<I, R> Drop for Submitter<I, R> {
    fn drop(&mut self) {
        self.close();
    }
}

impl<I, R> Worker<I, R> {
    /// Waits for a job and takes it; `None` when the submitter is closed. Ends the job that was taken before.
    pub fn next_job(&mut self) -> Option<Job<I>> {
        let mut slots = self.0.slots();
        if !self.0.fault.keeps_running_set() {
            slots.running = None;
        }
        loop {
            if slots.closed {
                return None;
            }
            if let Some((version, input)) = slots.pending.take() {
                let cancelled = Arc::new(AtomicBool::new(false));
                if self.0.fault.sets_running_late() {
                    // Until the lock is taken again the submitter sees no running job that it could cancel.
                    drop(slots);
                    slots = self.0.slots();
                }
                slots.running = Some((version, cancelled.clone()));
                return Some(Job { version, input, cancel: Cancellation(cancelled) });
            }
            if self.0.fault.unlocks_before_wait() {
                drop(slots);
                slots = self.0.slots();
            }
            slots = self.0.wake.wait(slots).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Publishes a result. Returns it as an error if the same or a newer version was published before.
    pub fn publish(&self, version: u64, result: R) -> Result<(), R> {
        let mut slots = self.0.slots();
        if slots.published.is_some_and(|newest| newest >= version) && !self.0.fault.accepts_stale() {
            return Err(result);
        }
        slots.published = Some(version);
        if slots.running.as_ref().is_some_and(|(running, _)| *running == version) {
            slots.running = None;
        }
        if self.0.fault.drops_pending_on_publish() {
            slots.pending = None;
        }
        let old = slots.result.replace((version, result));
        drop(slots);
        drop(old);
        Ok(())
    }
}

impl<I, R> Drop for Worker<I, R> {
    fn drop(&mut self) {
        let mut slots = self.0.slots();
        slots.worker_gone = !self.0.fault.hides_worker_exit();
        slots.running = None;
        let dropped = slots.pending.take();
        drop(slots);
        drop(dropped);
    }
}
