//! The longest wait until a process says that it is ready.

#[path = "../src/startup.rs"]
#[allow(dead_code)]
mod startup;

use std::time::Duration;

/// Where the day ends sooner, an activator must be ready within this.
const OWED: Duration = Duration::from_secs(6);

#[test]
fn all_waits_of_a_start_together_are_shorter_than_what_is_owed() {
    let claimed = startup::BUSY_TIMEOUT + startup::RETRY_PERIOD + startup::TAKEOVER_TIMEOUT;
    assert!(
        claimed + startup::POLL_PERIOD < OWED,
        "alone, clients are taken as soon as the address is claimed"
    );
    assert!(startup::max_time_to_ready() < OWED);
    assert!(startup::max_time_to_ready() >= claimed && startup::max_time_to_ready() >= startup::MAX_STARTUP);
    assert!(
        startup::TAKEOVER_TIMEOUT + startup::CATCH_UP_TIMEOUT < startup::MAX_STARTUP,
        "one slow greeting leaves the whole time"
    );
}
