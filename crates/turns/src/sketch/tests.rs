//! Tests of `sketch` that need its private state.

use super::*;

#[test]
fn frequent_keys_are_distinguished_from_unique_ones() {
    let (mut sketch, mut rng) = (Sketch::new(), fastrand::Rng::with_seed(7));
    let mut twice = 0;
    for i in 0..100_000 {
        twice += u32::from(sketch.count(rng.u64(..)) > 1);
        if i % 100 == 0 {
            sketch.count(42);
        }
    }
    assert!(sketch.count(42) > 20);
    assert!(twice < 3_000, "{twice} of 100,000 that came once were held for more");
    assert_eq!(sketch.counts.len(), ROWS * WIDTH);
}

#[test]
fn conversations_are_counted_once_each_and_expire() {
    let mut talks = ConversationCounter::new(Duration::ZERO);
    for i in 0..2_000u64 {
        talks.count(Duration::from_millis(i), (i % 300).wrapping_mul(0xD6E8_FEB8_6659_FD93));
    }
    let about = talks.estimate_recent(Duration::from_secs(2));
    assert!((270.0..330.0).contains(&about), "{about} of 300");
    talks.count(Duration::from_secs(15), 1);
    assert_eq!(talks.estimate_recent(Duration::from_secs(15)), about);
    talks.count(Duration::from_secs(60), 1);
    assert!(talks.estimate_recent(Duration::from_secs(60)) < 2.0);
}
