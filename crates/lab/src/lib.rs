//! Several processes of the program, stand-ins for what is around them, and the faults between them.
//!
//! It owns stand-ins (script hosts, resolver, bus, clients), a handle on processes that it started itself, and relays
//! that lose, delay and cut what goes between them. It promises to signal nothing but its own children and to end all of
//! them, and that the same seed makes the same choices. It knows nothing of how the program decides: it sees what
//! anybody outside sees, which is answers, calls at hosts, the control address and the log.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bus;
pub mod check;
pub mod flood;
mod held_up;
pub mod history;
pub mod host;
pub mod http;
pub mod list;
pub mod load;
pub mod page;
pub mod program;
pub mod relay;
pub mod resolver;
mod rig;
pub mod run;
pub mod scenario;
pub mod site;
pub mod slow;
pub mod tamper;
pub mod wall_clock;
pub mod watch;

use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than anything here takes; what waits for it has failed.
pub const LONG: Duration = Duration::from_secs(10);

/// So many milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Looks again and again until it holds.
///
/// # Panics
/// When it does not within [`LONG`].
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "waited in vain: {what}");
        sleep(ms(2));
    }
}
