//! Timeouts between the start of a process and the moment when it reports that it is ready. All processes that it depends
//! on may fail to answer; the sum of the timeouts is limited here, in one place.

use std::time::Duration;

/// Time limit for the whole answer of a running process to `hello`. It allows for a loaded machine, on which the event
/// loop of that process may be late.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long an address may be in use by a process that is ending.
pub const BUSY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two attempts to claim an address that is in use.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// With another process running, clients are accepted after this time even if the bus cannot be reached. The host list of
/// the configuration is used then.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(2500);
/// Latest time after the process start at which [`CATCH_UP_TIMEOUT`] ends, however long the process waited for its address.
pub const MAX_STARTUP: Duration = Duration::from_millis(5000);
/// Time between two checks for due work.
pub const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A restarted process must be ready within this time if the run ends less than ten seconds later.
const READY_LIMIT: Duration = Duration::from_secs(6);

/// The longest time until a process reports that it is ready, without the work itself: it claims its address in the last
/// attempt, the running process does not answer, and the bus sends nothing.
pub const fn max_time_to_ready() -> Duration {
    let claimed = BUSY_TIMEOUT.as_millis() + RETRY_DELAY.as_millis() + TAKEOVER_TIMEOUT.as_millis();
    let caught_up = if claimed > MAX_STARTUP.as_millis() { claimed } else { MAX_STARTUP.as_millis() };
    Duration::from_millis((caught_up + POLL_PERIOD.as_millis()) as u64)
}

const _: () = assert!(max_time_to_ready().as_millis() < READY_LIMIT.as_millis());
