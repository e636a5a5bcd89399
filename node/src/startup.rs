//! The waits between a process's start and the moment when it says that it is ready. Whatever stands around it may be
//! silent; the sum of the waits is bounded here, in one place.

use std::time::Duration;

/// Another process of the address answers within this, its whole answer, or is taken for nobody; under load its loop
/// may be late.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// For so long an address may still be taken by a process that leaves it.
pub const BUSY_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a taken address is looked at.
pub const RETRY_PERIOD: Duration = Duration::from_millis(100);
/// Beside another process: clients are taken after this, even if the bus cannot be reached. The configuration's list
/// will do.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(2500);
/// ... and at the latest so long after the process began, however long it waited for its address.
pub const MAX_STARTUP: Duration = Duration::from_millis(5000);
/// What is due is looked at as often as this.
pub const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Within this a restarted process must be ready, where the day ends sooner than ten seconds later.
const READY_LIMIT: Duration = Duration::from_secs(6);

/// The max_time_to_ready that any process takes until it says that it is ready, but for the work itself: one that waits for its
/// address until the last moment, is told nothing by whoever is there, and has a bus that says nothing.
pub const fn max_time_to_ready() -> Duration {
    let claimed = BUSY_TIMEOUT.as_millis() + RETRY_PERIOD.as_millis() + TAKEOVER_TIMEOUT.as_millis();
    let caught_up = if claimed > MAX_STARTUP.as_millis() { claimed } else { MAX_STARTUP.as_millis() };
    Duration::from_millis((caught_up + POLL_PERIOD.as_millis()) as u64)
}

const _: () = assert!(max_time_to_ready().as_millis() < READY_LIMIT.as_millis());
