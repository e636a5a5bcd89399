//! Reads documents beside the loop: a thread, what lies between it and the loop (`wheellink_handoff`), and the bell that
//! wakes the loop when something is read.

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

/// Readings that wait to be dropped beside the loop, at most: dropping 100,000 entries takes as long as a call.
const MOST_RETIRED: usize = 8;

/// A document to be read beside a file.
struct Order {
    version: Version,
    document: Arc<Document>,
    base: Arc<Base>,
    /// To be dropped there, not here.
    retired: Vec<Arc<Terms>>,
}

/// What became of it.
pub struct Reading {
    pub version: Version,
    pub terms: Result<Arc<Terms>, String>,
}

/// See the module's page.
pub struct Office {
    handle: Handle,
    token: RegistrationToken,
    desk: Option<Submitter<Order, Reading>>,
    thread: Option<JoinHandle<()>>,
    /// Orders so far: versions may come again, orders do not.
    orders: u64,
    retired: Vec<Arc<Terms>>,
}

/// Rings when the thread ends, after its bench is gone.
struct Bell(Ping);

impl Drop for Bell {
    fn drop(&mut self) {
        self.0.ping();
    }
}

impl Office {
    /// Starts its thread.
    pub fn open(handle: &Handle) -> io::Result<Self> {
        let (ping, source) = make_ping()?;
        let token = handle.insert_source(source, |(), (), wakes| wakes.push(Wake::AccordPrepared));
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        let (desk, bench) = channel();
        let bell = Bell(ping);
        let thread = Builder::new().name("preparing".into()).spawn(move || work(bell, bench));
        let thread = thread.inspect_err(|_| handle.remove(token))?;
        let (handle, desk, thread) = (handle.clone(), Some(desk), Some(thread));
        Ok(Self { handle, token, desk, thread, orders: 0, retired: Vec::new() })
    }

    /// Has a document read; what was not begun is not read any more. An error is a reason not to take the version up.
    pub fn read(
        &mut self,
        version: Version,
        document: Arc<Document>,
        base: Arc<Base>,
    ) -> Result<(), &'static str> {
        self.orders += 1;
        let retired = std::mem::take(&mut self.retired);
        let order = Order { version, document, base, retired };
        let put = self.desk.as_ref().map(|desk| desk.submit(self.orders, order));
        match put {
            Some(Ok(superseded)) => {
                superseded.into_iter().for_each(|(_, order)| self.retired.extend(order.retired));
                Ok(())
            }
            Some(Err(_)) | None => Err("the thread that prepares is gone"),
        }
    }

    /// The newest that was read since this was last asked.
    pub fn latest(&self) -> Option<Reading> {
        self.desk.as_ref()?.take_latest().map(|(_, reading)| reading)
    }

    /// Takes what is obeyed no more, to be dropped with the next order's reading.
    pub fn retire(&mut self, terms: Arc<Terms>) {
        if self.retired.len() < MOST_RETIRED {
            self.retired.push(terms);
        }
    }
}

impl Drop for Office {
    fn drop(&mut self) {
        self.handle.remove(self.token);
        // The thread looks whether it is wanted every few keys, so this waits for microseconds.
        drop(self.desk.take());
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn work(bell: Bell, mut bench: Worker<Order, Reading>) {
    while let Some(work) = bench.next_job() {
        let Order { version, document, base, retired } = work.input;
        drop(retired);
        let read = || Terms::read(&document, &base, || work.cancel.is_set());
        // A panic here is one version refused, not the end of preparing.
        let terms = catch_unwind(AssertUnwindSafe(read)).unwrap_or_else(|_| Err("reading it failed".into()));
        drop(document);
        if !work.cancel.is_set() {
            let _ = bench.publish(work.version, Reading { version, terms: terms.map(Arc::new) });
            bell.0.ping();
        }
    }
}
