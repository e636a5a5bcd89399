//! Tests of the order in which connections are read.

use super::*;

#[test]
fn connections_that_were_postponed_are_read_before_those_with_more_input() {
    let mut queue = ReadQueue::default();
    queue.push_unfinished(1);
    queue.postpone(2);
    queue.push_unfinished(3);
    queue.postpone(1);
    assert!(queue.has_postponed() && queue.contains(1));
    queue.remove(3);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [2, 1], "each once");
    assert!(queue.is_empty() && !queue.contains(1));
}

#[test]
fn a_visit_takes_as_many_frames_as_a_client_may_have_open() {
    let mut visit = Visit::new();
    for _ in 0..32 {
        assert!(visit.allows_frame());
        visit.took_frame();
    }
    assert!(!visit.allows_frame());
    assert_eq!((0..20).filter(|_| visit.read()).count(), 8);
}
