//! Synchronization primitives: those of the standard library, or those of loom under `cfg(loom)`.

#[cfg(not(loom))]
pub(crate) use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc, Condvar, Mutex, MutexGuard,
};

#[cfg(loom)]
pub(crate) use loom::sync::{
    atomic::{AtomicBool, Ordering},
    Arc, Condvar, Mutex, MutexGuard,
};
