//! Tests of `turns` that need its private state.

use super::*;

/// The engine's tickets and the numbers of passed calls both start at 1, so tokens without the highest bit would collide.
#[test]
fn tokens_of_passed_calls_differ_from_tokens_of_own_calls() {
    let of = |ticket: u64, number: u32| token(AttemptId { ticket: Ticket(ticket), number });
    let tokens = [of(7, 0), of(7, 1), of(8, 0), of(1 << 63 | 7, 0), of(1 << 63 | 7, 1), of(1 << 63 | 8, 0)];
    assert_eq!(tokens.iter().map(|t| t.0).collect::<HashSet<_>>().len(), tokens.len());
}
