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

pub mod flaw;
mod sync;

use std::fmt;

use flaw::Flaw;
use sync::{Arc, AtomicBool, Condvar, Mutex, MutexGuard, Ordering};

/// What both ends see, under one lock that is never held while anything is made or dropped.
struct Places<W, M> {
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
    places: Mutex<Places<W, M>>,
    /// Something waits, or the desk is closed.
    news: Condvar,
    flaw: Flaw,
}

impl<W, M> Shared<W, M> {
    /// A lock is poisoned only by a panic that left the places as they were: each change of them is whole.
    fn places(&self) -> MutexGuard<'_, Places<W, M>> {
        self.places.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The end of the loop: puts work, fetches what was made. None of its calls waits for the worker.
pub struct Desk<W, M>(Arc<Shared<W, M>>);

/// The end of the worker: takes work, publishes what it made. There is one, and it takes one work at a time.
pub struct Bench<W, M>(Arc<Shared<W, M>>);

/// Work that was taken.
pub struct Work<W> {
    /// Which version it makes.
    pub version: u64,
    /// What it is made from.
    pub work: W,
    /// To be looked at while it is made.
    pub cancel: Cancel,
}

/// Whether work in hand is still wanted.
#[derive(Clone)]
pub struct Cancel(Arc<AtomicBool>);

impl Cancel {
    /// It is wanted no more: something newer waits, or nobody asks any longer. What is made of it all the same may be
    /// published, and harms nothing.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Why work was not taken; it is given back.
pub enum Turned<W> {
    /// A version as new as this was put before.
    Old(W),
    /// There is no worker any more.
    Gone(W),
}

impl<W> fmt::Debug for Turned<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Old(_) => "a version as new was put before",
            Self::Gone(_) => "the worker is gone",
        })
    }
}

/// Two ends that belong together.
pub fn pair<W, M>() -> (Desk<W, M>, Bench<W, M>) {
    pair_with(Flaw::default())
}

/// Two ends with this flaw, of which there are none but under `cfg(loom)`.
pub fn pair_with<W, M>(flaw: Flaw) -> (Desk<W, M>, Bench<W, M>) {
    let places = Places {
        waiting: None,
        begun: None,
        made: None,
        put: None,
        newest: None,
        closed: false,
        gone: false,
    };
    let shared = Arc::new(Shared { places: Mutex::new(places), news: Condvar::new(), flaw });
    (Desk(shared.clone()), Bench(shared))
}

impl<W, M> Desk<W, M> {
    /// Puts work for a version newer than all before. What waited and was not begun is given back; what is in hand is
    /// told that it is not wanted any more.
    pub fn put(&self, version: u64, work: W) -> Result<Option<(u64, W)>, Turned<W>> {
        let mut places = self.0.places();
        if places.gone {
            return Err(Turned::Gone(work));
        }
        if places.put.is_some_and(|newest| newest >= version) && !self.0.flaw.takes_any_version() {
            return Err(Turned::Old(work));
        }
        places.put = Some(version);
        if let Some((_, unwanted)) = places.begun.as_ref().filter(|_| !self.0.flaw.forgets_to_cancel()) {
            unwanted.store(true, Ordering::Release);
        }
        let superseded = places.waiting.replace((version, work));
        drop(places);
        if !self.0.flaw.puts_in_silence() {
            self.0.news.notify_one();
        }
        Ok(superseded)
    }

    /// The newest that was made since this was last asked, newer than all that it ever gave.
    pub fn latest(&self) -> Option<(u64, M)> {
        let mut places = self.0.places();
        if self.0.flaw.fetches_in_halves() {
            let version = places.newest?;
            drop(places);
            return self.0.places().made.take().map(|(_, made)| (version, made));
        }
        places.made.take()
    }

    /// Versions that wait and that are in hand.
    pub fn under_way(&self) -> (Option<u64>, Option<u64>) {
        let places = self.0.places();
        (places.waiting.as_ref().map(|w| w.0), places.begun.as_ref().map(|b| b.0))
    }

    /// Whether the worker is gone: it ended, or what it made had it panic. What it had in hand is lost.
    pub fn is_gone(&self) -> bool {
        self.0.places().gone
    }

    /// Asks for nothing more: what waits is dropped, what is in hand is told. The worker's next call returns.
    pub fn close(&self) {
        let mut places = self.0.places();
        places.closed = true;
        if let Some((_, unwanted)) = &places.begun {
            unwanted.store(true, Ordering::Release);
        }
        let dropped = places.waiting.take();
        drop(places);
        if !self.0.flaw.closes_in_silence() {
            self.0.news.notify_one();
        }
        drop(dropped);
    }
}

impl<W, M> Drop for Desk<W, M> {
    fn drop(&mut self) {
        self.close();
    }
}

impl<W, M> Bench<W, M> {
    /// Waits for work and takes it; none when the desk is closed. What was taken before counts as done with.
    pub fn take(&mut self) -> Option<Work<W>> {
        let mut places = self.0.places();
        if !self.0.flaw.forgets_what_is_done() {
            places.begun = None;
        }
        loop {
            if places.closed {
                return None;
            }
            if let Some((version, work)) = places.waiting.take() {
                let unwanted = Arc::new(AtomicBool::new(false));
                if self.0.flaw.begins_unseen() {
                    // Between these two the desk finds nothing in hand that it could cancel.
                    drop(places);
                    places = self.0.places();
                }
                places.begun = Some((version, unwanted.clone()));
                return Some(Work { version, work, cancel: Cancel(unwanted) });
            }
            if self.0.flaw.looks_then_waits() {
                drop(places);
                places = self.0.places();
            }
            places = self.0.news.wait(places).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Publishes what was made. What is no newer than what was published before is given back.
    pub fn publish(&self, version: u64, made: M) -> Result<(), M> {
        let mut places = self.0.places();
        if places.newest.is_some_and(|newest| newest >= version) && !self.0.flaw.takes_any_version() {
            return Err(made);
        }
        places.newest = Some(version);
        if places.begun.as_ref().is_some_and(|(begun, _)| *begun == version) {
            places.begun = None;
        }
        if self.0.flaw.clears_what_waits() {
            places.waiting = None;
        }
        let old = places.made.replace((version, made));
        drop(places);
        drop(old);
        Ok(())
    }
}

impl<W, M> Drop for Bench<W, M> {
    fn drop(&mut self) {
        let mut places = self.0.places();
        places.gone = !self.0.flaw.leaves_in_silence();
        places.begun = None;
        let dropped = places.waiting.take();
        drop(places);
        drop(dropped);
    }
}
