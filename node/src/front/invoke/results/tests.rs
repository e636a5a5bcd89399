//! Tests of `results` that need its private state.

use super::*;

fn results() -> Results {
    Results::new(ResultLimits { max_results: 3, max_bytes: 10, retention: 100 })
}

fn body(n: usize) -> Response {
    Response::served(vec![0; n])
}

#[test]
fn results_are_limited_in_number_and_expire() {
    let mut r = results();
    let names: Vec<_> = (0..3).map(|_| r.open().unwrap()).collect();
    assert_eq!(r.open(), None);
    r.finish(1000, &names[0], body(1));
    r.tick(1099);
    assert!(r.get(&names[0]).is_some() && r.open().is_none());
    r.tick(1100);
    assert!(r.get(&names[0]).is_none() && r.open().is_some());
    assert!(matches!(r.get(&names[1]), Some(Job::Open(_))), "an open call has no time limit here");
}

#[test]
fn the_oldest_results_are_evicted_first() {
    let mut r = results();
    let names: Vec<_> = (0..3).map(|_| r.open().unwrap()).collect();
    assert_eq!(r.finish(0, &names[0], body(6)), 0);
    assert_eq!(r.finish(1, &names[1], body(6)), 1);
    assert!(r.get(&names[0]).is_none() && r.get(&names[1]).is_some());
    assert_eq!(r.finish(2, &names[2], body(50)), 1);
    assert!(matches!(r.remove(&names[2]), Some(Job::Finished { .. })));
    assert_eq!(r.bytes, 0);
}

#[test]
fn a_cancelled_call_stores_no_result() {
    let mut r = results();
    let name = r.open().unwrap();
    r.remove(&name);
    assert_eq!((r.finish(0, &name, body(1)), r.bytes), (0, 0));
    assert!(r.get(&name).is_none());
}
