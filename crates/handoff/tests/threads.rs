//! The two ends on threads of the system. What may come between them is played by `loom.rs`.

use std::thread::spawn;

use wheellink_handoff::{pair, Turned};

#[test]
fn of_many_versions_the_last_comes_and_none_goes_back() {
    let (desk, mut bench) = pair::<u64, u64>();
    const LAST: u64 = 200_000;
    let worker = spawn(move || {
        let mut made = 0;
        while let Some(work) = bench.take() {
            assert_eq!(work.work, work.version);
            made += u32::from(bench.publish(work.version, work.work).is_ok());
        }
        made
    });
    let (mut seen, mut superseded) = (0, 0);
    for version in 1..=LAST {
        superseded += u32::from(desk.put(version, version).expect("a worker").is_some());
        if let Some((version, made)) = desk.latest() {
            assert!(version > seen && made == version);
            seen = version;
        }
    }
    while seen < LAST {
        desk.latest().into_iter().for_each(|(version, _)| seen = version);
        std::thread::yield_now();
    }
    drop(desk);
    let made = worker.join().expect("the worker");
    assert_eq!(u64::from(made + superseded), LAST, "each was made or superseded");
}

#[test]
fn a_worker_that_panics_is_told_of_and_what_waits_comes_back_no_more() {
    let (desk, mut bench) = pair::<&str, ()>();
    desk.put(1, "bad").expect("a worker");
    let worker = spawn(move || {
        let work = bench.take().expect("work");
        // Not by `panic!`: its message would look like a test that failed.
        std::panic::resume_unwind(Box::new(work.work));
    });
    assert!(worker.join().is_err());
    assert!(desk.is_gone());
    assert!(matches!(desk.put(2, "good"), Err(Turned::Gone("good"))));
    assert_eq!(desk.under_way(), (None, None));
}

#[test]
fn a_version_that_is_no_newer_is_given_back() {
    let (desk, mut bench) = pair::<&str, &str>();
    desk.put(5, "five").expect("a worker");
    assert!(matches!(desk.put(5, "again"), Err(Turned::Old("again"))));
    assert_eq!(desk.under_way(), (Some(5), None));
    assert!(desk.put(6, "six").expect("a worker").is_some_and(|old| old == (5, "five")));
    let work = bench.take().expect("work");
    assert_eq!((work.version, work.work, desk.under_way()), (6, "six", (None, Some(6))));
    assert!(bench.publish(6, "made").is_ok() && bench.publish(6, "twice").is_err());
    assert_eq!((desk.latest(), desk.latest()), (Some((6, "made")), None));
}
