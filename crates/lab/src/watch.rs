//! Watches how the lab itself is scheduled: what it measured while it stood still says nothing about a program.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{available_parallelism, sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use crate::history::{History, Saw};

/// How long a watching thread sleeps at a time.
const NAP: Duration = Duration::from_millis(5);
/// A nap that is longer than it should be by this is written down.
const LEAST_HELD: Duration = Duration::from_millis(20);

/// Threads that write down when they were not scheduled: as many as there are processors, as one can be withheld alone.
pub struct Watch {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Watches until it is ended.
    pub fn start(history: &Arc<History>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let processors = available_parallelism().map_or(1, usize::from);
        let threads = (0..processors)
            .map(|_| {
                let (over, history) = (over.clone(), history.clone());
                spawn(move || watch(&over, &history))
            })
            .collect();
        Self { over, threads }
    }

    /// Watches no longer.
    pub fn end(self) {
        self.over.store(true, Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn watch(over: &AtomicBool, history: &History) {
    while !over.load(Relaxed) {
        let begun = Instant::now();
        sleep(NAP);
        let held = begun.elapsed().saturating_sub(NAP);
        if held >= LEAST_HELD {
            history.saw(Saw::HeldUp { held_us: held.as_micros() as u64 });
        }
    }
}
