//! What stands before the engine: the platform's frames, and the invoke API for everybody else.

pub mod invoke;
pub mod platform;

use wheellink::Micros;

/// The final answer of a request, in no front's words.
pub enum Reply {
    /// With the body that a script host gave.
    Served(Vec<u8>),
    /// It never ran, or may run again: trying again is harmless, after this time where one is told.
    Refused(Micros),
    /// It may have run.
    Failed,
    /// Its time was up; it may have run.
    TimedOut,
}
