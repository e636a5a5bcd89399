//! Tests of `log` that need its private state.

use super::*;

/// Found on a day of resets: the module's word of a resting host was left out among ended connections.
#[test]
fn ended_connections_drown_no_other_line() {
    let mut log = Log::new();
    let taken = (0..1000).filter(|_| log.connections.take(1_000_000).is_some()).count();
    assert_eq!((taken, log.others.take(1_000_000)), (BURST_LINES as usize, Some(0)));
    assert_eq!(log.connections.take(2_000_000), Some(1000 - BURST_LINES as u64));
}
