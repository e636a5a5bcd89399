//! Script hosts: the lines that are spoken with them, and the pool of connections to them.

mod idling;
pub mod lines;
mod pool;
mod quiet;
mod starts;

pub use pool::{Call, CallTimes, Hosts, Notice};
pub use starts::Starts;
