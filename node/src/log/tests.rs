//! Tests of `log` that need its private state.

use super::*;

/// Many ended connections must not displace other lines: with one common limit, the line that a host rests was left out
/// while connections were reset.
#[test]
fn lines_of_ended_connections_displace_no_other_line() {
    let mut log = Log::new();
    let taken = (0..1000).filter(|_| log.connections.take(1_000_000).is_some()).count();
    assert_eq!((taken, log.others.take(1_000_000)), (BURST_LINES as usize, Some(0)));
    assert_eq!(log.connections.take(2_000_000), Some(1000 - BURST_LINES as u64));
}
