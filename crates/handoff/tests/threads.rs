//! The two ends on threads of the system. What may come between them is played by `loom.rs`.

use std::thread::spawn;

use wheellink_handoff::{channel, SubmitError};

#[test]
fn of_many_versions_the_last_comes_and_none_goes_back() {
    let (submitter, mut worker) = channel::<u64, u64>();
    const LAST: u64 = 200_000;
    let worker = spawn(move || {
        let mut made = 0;
        while let Some(work) = worker.next_job() {
            assert_eq!(work.input, work.version);
            made += u32::from(worker.publish(work.version, work.input).is_ok());
        }
        made
    });
    let (mut seen, mut superseded) = (0, 0);
    for version in 1..=LAST {
        superseded += u32::from(submitter.submit(version, version).expect("a worker").is_some());
        if let Some((version, made)) = submitter.take_latest() {
            assert!(version > seen && made == version);
            seen = version;
        }
    }
    while seen < LAST {
        submitter.take_latest().into_iter().for_each(|(version, _)| seen = version);
        std::thread::yield_now();
    }
    drop(submitter);
    let made = worker.join().expect("the worker");
    assert_eq!(u64::from(made + superseded), LAST, "each was made or superseded");
}

#[test]
fn a_worker_that_panics_is_told_of_and_what_waits_comes_back_no_more() {
    let (submitter, mut worker) = channel::<&str, ()>();
    submitter.submit(1, "bad").expect("a worker");
    let worker = spawn(move || {
        let work = worker.next_job().expect("work");
        // Not by `panic!`: its message would look like a test that failed.
        std::panic::resume_unwind(Box::new(work.input));
    });
    assert!(worker.join().is_err());
    assert!(submitter.is_worker_gone());
    assert!(matches!(submitter.submit(2, "good"), Err(SubmitError::WorkerGone("good"))));
    assert_eq!(submitter.versions_in_progress(), (None, None));
}

#[test]
fn a_version_that_is_no_newer_is_given_back() {
    let (submitter, mut worker) = channel::<&str, &str>();
    submitter.submit(5, "five").expect("a worker");
    assert!(matches!(submitter.submit(5, "again"), Err(SubmitError::Stale("again"))));
    assert_eq!(submitter.versions_in_progress(), (Some(5), None));
    assert!(submitter.submit(6, "six").expect("a worker").is_some_and(|old| old == (5, "five")));
    let work = worker.next_job().expect("work");
    assert_eq!((work.version, work.input, submitter.versions_in_progress()), (6, "six", (None, Some(6))));
    assert!(worker.publish(6, "made").is_ok() && worker.publish(6, "twice").is_err());
    assert_eq!((submitter.take_latest(), submitter.take_latest()), (Some((6, "made")), None));
}
