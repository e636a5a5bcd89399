//! Reads documents on a thread outside the event loop. Documents and results pass through a `wheellink_handoff` channel,
//! and a ping wakes the loop when a document is read.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use calloop::ping::{make_ping, Ping};
use calloop::RegistrationToken;
use wheellink_accord::{Document, Version};
use wheellink_handoff::{channel, Submitter, Worker};

use super::terms::{Base, Terms};
use crate::wake::{Handle, Wake};

/// Maximum number of terms that wait to be dropped on the thread. Dropping 100,000 entries in the loop would take as long
/// as a call.
const MAX_RETIRED_TERMS: usize = 8;

/// A document that is to be read.
struct Job {
    version: Version,
    document: Arc<Document>,
    base: Arc<Base>,
    /// Terms out of use, which the thread drops.
    retired: Vec<Arc<Terms>>,
}

/// The result of reading a document.
pub struct Prepared {
    pub version: Version,
    pub terms: Result<Arc<Terms>, String>,
}

/// The thread and its channel.
pub struct Preparer {
    handle: Handle,
    token: RegistrationToken,
    submitter: Option<Submitter<Job, Prepared>>,
    thread: Option<JoinHandle<()>>,
    /// Number of jobs submitted, which serves as the job's id: the same version may be submitted again.
    jobs: u64,
    /// Terms that the next job takes to the thread to be dropped.
    retired: Vec<Arc<Terms>>,
}

/// Wakes the loop when a document is read, and when the thread ends and its end of the channel is closed.
struct Waker(Ping);

impl Drop for Waker {
    fn drop(&mut self) {
        self.0.ping();
    }
}

impl Preparer {
    /// Starts the thread.
    pub fn open(handle: &Handle) -> io::Result<Self> {
        let (ping, source) = make_ping()?;
        let token = handle.insert_source(source, |(), (), wakes| wakes.push(Wake::AccordPrepared));
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        let (submitter, worker) = channel();
        let waker = Waker(ping);
        let thread = Builder::new().name("preparing".into()).spawn(move || run(waker, worker));
        let thread = thread.inspect_err(|_| handle.remove(token))?;
        let (handle, submitter, thread) = (handle.clone(), Some(submitter), Some(thread));
        Ok(Self { handle, token, submitter, thread, jobs: 0, retired: Vec::new() })
    }

    /// Submits a document. Documents submitted before whose reading has not begun are not read.
    ///
    /// # Errors
    /// The reason to refuse the version.
    pub fn submit(
        &mut self,
        version: Version,
        document: Arc<Document>,
        base: Arc<Base>,
    ) -> Result<(), &'static str> {
        self.jobs += 1;
        let retired = std::mem::take(&mut self.retired);
        let job = Job { version, document, base, retired };
        let submitted = self.submitter.as_ref().map(|submitter| submitter.submit(self.jobs, job));
        match submitted {
            Some(Ok(superseded)) => {
                superseded.into_iter().for_each(|(_, job)| self.retired.extend(job.retired));
                Ok(())
            }
            Some(Err(_)) | None => Err("the thread that reads documents has ended"),
        }
    }

    /// Takes the newest result since the previous call.
    pub fn take_latest(&self) -> Option<Prepared> {
        self.submitter.as_ref()?.take_latest().map(|(_, prepared)| prepared)
    }

    /// Takes terms out of use, which the thread drops with the next job.
    pub fn retire(&mut self, terms: Arc<Terms>) {
        if self.retired.len() < MAX_RETIRED_TERMS {
            self.retired.push(terms);
        }
    }
}

impl Drop for Preparer {
    fn drop(&mut self) {
        self.handle.remove(self.token);
        // The thread checks for cancellation every few keys, so this waits only for microseconds.
        drop(self.submitter.take());
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Reads submitted documents until the channel is closed.
fn run(waker: Waker, mut worker: Worker<Job, Prepared>) {
    while let Some(job) = worker.next_job() {
        let Job { version, document, base, retired } = job.input;
        drop(retired);
        let read = || Terms::read(&document, &base, || job.cancel.is_set());
        // A panic refuses this version only; the thread goes on with the next.
        let terms = catch_unwind(AssertUnwindSafe(read))
            .unwrap_or_else(|_| Err("reading the document panicked".into()));
        drop(document);
        if !job.cancel.is_set() {
            let _ = worker.publish(job.version, Prepared { version, terms: terms.map(Arc::new) });
            waker.0.ping();
        }
    }
}
