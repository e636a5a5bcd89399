//! The timeouts of a start, until a process reports that it is ready.

#[path = "../src/startup.rs"]
#[allow(dead_code)]
mod startup;

use std::time::Duration;

use startup::{max_time_to_ready, BUSY_TIMEOUT, MAX_STARTUP, TAKEOVER_TIMEOUT};

/// An activator must be ready within this time if the run ends sooner than usual.
const READY_LIMIT: Duration = Duration::from_secs(6);

#[test]
fn all_timeouts_of_a_start_together_stay_below_the_limit() {
    let claimed = BUSY_TIMEOUT + startup::RETRY_DELAY + TAKEOVER_TIMEOUT;
    assert!(
        claimed + startup::POLL_PERIOD < READY_LIMIT,
        "alone, clients are accepted as soon as the address is claimed"
    );
    assert!(max_time_to_ready() < READY_LIMIT);
    assert!(max_time_to_ready() >= claimed && max_time_to_ready() >= MAX_STARTUP);
    let slow = TAKEOVER_TIMEOUT + startup::CATCH_UP_TIMEOUT;
    assert!(slow < MAX_STARTUP, "one slow takeover leaves the whole catch-up time");
}
