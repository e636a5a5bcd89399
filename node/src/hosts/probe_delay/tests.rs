//! Tests of `quiet` that need its private state.

use super::*;

#[test]
fn what_is_usual_is_no_silence_and_asks_grow_rare() {
    let mut quiet = ProbeDelay::default();
    assert_eq!(quiet.patience(0), LEAST, "nothing is known");
    (0..50).for_each(|_| quiet.learn(20_000));
    assert_eq!(quiet.patience(0), LEAST, "short answers are asked after as ever");
    (0..50).for_each(|i| quiet.learn(if i % 3 == 0 { 900_000 } else { 150_000 }));
    assert!(quiet.patience(0) > 1_200_000, "long ones are usual: {}", quiet.patience(0));
    // One call that runs for 10 s is asked after a few times, not every half second.
    let asks = (0..).scan(0, |at, k| Some(*at).inspect(|_| *at += quiet.patience(k)));
    assert!(asks.skip(1).take_while(|at| *at < 10_000_000).count() <= 4);
    (0..50).for_each(|_| quiet.learn(60_000_000));
    assert_eq!((quiet.patience(0), quiet.patience(99)), (MOST, MOST << DOUBLINGS), "bounded");
    quiet.learn(-1);
}
