//! Tests of `probe_delay` that need its private state.

use super::*;

#[test]
fn the_delay_follows_answer_times_and_doubles_with_each_probe() {
    let mut probes = ProbeDelay::default();
    assert_eq!(probes.delay(0), MIN_DELAY_US, "no estimate yet");
    (0..50).for_each(|_| probes.record(20_000));
    assert_eq!(probes.delay(0), MIN_DELAY_US, "short answers keep the minimum");
    (0..50).for_each(|i| probes.record(if i % 3 == 0 { 900_000 } else { 150_000 }));
    assert!(probes.delay(0) > 1_200_000, "long answers raise the delay: {}", probes.delay(0));
    // A call that runs for 10 s causes a few probes, not one every 0.5 s.
    let times = (0..).scan(0, |at, k| Some(*at).inspect(|_| *at += probes.delay(k)));
    assert!(times.skip(1).take_while(|at| *at < 10_000_000).count() <= 4);
    (0..50).for_each(|_| probes.record(60_000_000));
    assert_eq!((probes.delay(0), probes.delay(99)), (MAX_DELAY_US, MAX_DELAY_US << MAX_DOUBLINGS), "bounded");
    probes.record(-1);
}
