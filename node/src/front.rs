//! What stands before the engine: the platform's frames.

pub mod platform;
