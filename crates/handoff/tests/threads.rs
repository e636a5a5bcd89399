//! Both ends on operating system threads. `loom.rs` checks their interleavings.

use std::thread::spawn;

use wheellink_handoff::{channel, SubmitError};

#[test]
fn the_last_version_arrives_and_versions_only_increase() {
    let (submitter, mut worker) = channel::<u64, u64>();
    const LAST_VERSION: u64 = 200_000;
    let worker = spawn(move || {
        let mut published = 0;
        while let Some(job) = worker.next_job() {
            assert_eq!(job.input, job.version);
            published += u32::from(worker.publish(job.version, job.input).is_ok());
        }
        published
    });
    let (mut received, mut superseded) = (0, 0);
    for version in 1..=LAST_VERSION {
        superseded += u32::from(submitter.submit(version, version).expect("a worker").is_some());
        if let Some((version, published)) = submitter.take_latest() {
            assert!(version > received && published == version);
            received = version;
        }
    }
    while received < LAST_VERSION {
        submitter.take_latest().into_iter().for_each(|(version, _)| received = version);
        std::thread::yield_now();
    }
    drop(submitter);
    let published = worker.join().expect("the worker");
    assert_eq!(u64::from(published + superseded), LAST_VERSION, "each job was run or replaced");
}

#[test]
fn a_panic_of_the_worker_is_reported_and_later_jobs_are_refused() {
    let (submitter, mut worker) = channel::<&str, ()>();
    submitter.submit(1, "bad").expect("a worker");
    let worker = spawn(move || {
        let job = worker.next_job().expect("work");
        // Without `panic!`, whose message would look like a failed test.
        std::panic::resume_unwind(Box::new(job.input));
    });
    assert!(worker.join().is_err());
    assert!(submitter.is_worker_gone());
    assert!(matches!(submitter.submit(2, "good"), Err(SubmitError::WorkerGone("good"))));
    assert_eq!(submitter.versions_in_progress(), (None, None));
}

#[test]
fn a_version_that_is_not_newer_is_refused_and_a_pending_job_is_replaced() {
    let (submitter, mut worker) = channel::<&str, &str>();
    submitter.submit(5, "five").expect("a worker");
    assert!(matches!(submitter.submit(5, "again"), Err(SubmitError::Stale("again"))));
    assert_eq!(submitter.versions_in_progress(), (Some(5), None));
    assert!(submitter.submit(6, "six").expect("a worker").is_some_and(|old| old == (5, "five")));
    let job = worker.next_job().expect("work");
    assert_eq!((job.version, job.input, submitter.versions_in_progress()), (6, "six", (None, Some(6))));
    assert!(worker.publish(6, "made").is_ok() && worker.publish(6, "twice").is_err());
    assert_eq!((submitter.take_latest(), submitter.take_latest()), (Some((6, "made")), None));
}
