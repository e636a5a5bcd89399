//! Checks every interleaving of the two ends: `RUSTFLAGS="--cfg loom" cargo test -p wheellink-handoff --test loom --release`.
#![cfg(loom)]

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

use loom::thread::spawn;
use wheellink_handoff::fault::Fault;
use wheellink_handoff::{channel_with_fault, SubmitError, Submitter, Worker};

/// A job or result that counts the live values, to check that the slots are bounded and nothing leaks.
struct Counted {
    version: u64,
    alive: Arc<AtomicUsize>,
}

impl Counted {
    /// Creates a value when at most `others` others are alive.
    fn new(version: u64, alive: &Arc<AtomicUsize>, others: usize) -> Self {
        assert!(alive.fetch_add(1, SeqCst) <= others, "more values are alive than there are slots");
        Self { version, alive: alive.clone() }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.alive.fetch_sub(1, SeqCst);
    }
}

/// Jobs that may be alive besides a new one: the pending and the running one.
const MAX_JOBS: usize = 2;
/// Results that may be alive besides a new one: the published one, the one being computed and the one the event loop holds.
const MAX_RESULTS: usize = 3;

type Ends = (Submitter<Counted, Counted>, Worker<Counted, Counted>);

/// Runs jobs and publishes results until this version is published or the submitter is closed.
fn run_jobs(worker: &mut Worker<Counted, Counted>, results: &Arc<AtomicUsize>, until: u64) {
    while let Some(job) = worker.next_job() {
        assert_eq!(job.input.version, job.version, "version and content do not match");
        let version = job.version;
        drop(job);
        let _ = worker.publish(version, Counted::new(version, results, MAX_RESULTS));
        if version == until {
            return;
        }
    }
}

/// The newest version the event loop received; each result must match its version and be newer than the one before.
struct Received(u64);

impl Received {
    fn fetch(&mut self, submitter: &Submitter<Counted, Counted>) {
        if let Some((version, result)) = submitter.take_latest() {
            assert_eq!(result.version, version, "version and content do not match");
            assert!(version > self.0, "an older version after a newer one");
            self.0 = version;
        }
    }
}

fn counts() -> (Arc<AtomicUsize>, Arc<AtomicUsize>) {
    (Arc::default(), Arc::default())
}

/// Submits three versions and fetches in between: the last one arrives in the end.
fn increasing_versions(fault: Fault) {
    let (jobs, results) = counts();
    let (submitter, mut worker): Ends = channel_with_fault(fault);
    let worker = spawn({
        let results = results.clone();
        move || run_jobs(&mut worker, &results, 3)
    });
    let mut received = Received(0);
    for version in 1..=3 {
        let _ = submitter.submit(version, Counted::new(version, &jobs, MAX_JOBS));
        received.fetch(&submitter);
    }
    worker.join().expect("the worker");
    received.fetch(&submitter);
    assert_eq!(received.0, 3, "the last version is lost");
    drop(submitter);
    assert_eq!((jobs.load(SeqCst), results.load(SeqCst)), (0, 0), "a value leaked");
}

/// Two threads submit at the same time: the newer version may be submitted first.
fn concurrent_submits(fault: Fault) {
    let (jobs, results) = counts();
    let (submitter, mut worker): Ends = channel_with_fault(fault);
    let submitter = loom::sync::Arc::new(submitter);
    let worker = spawn({
        let results = results.clone();
        move || run_jobs(&mut worker, &results, u64::MAX)
    });
    let other = spawn({
        let (submitter, jobs) = (submitter.clone(), jobs.clone());
        move || drop(submitter.submit(2, Counted::new(2, &jobs, MAX_JOBS + 1)))
    });
    let mut received = Received(0);
    let first = submitter.submit(1, Counted::new(1, &jobs, MAX_JOBS + 1));
    received.fetch(&submitter);
    other.join().expect("the other submitter");
    drop(first);
    received.fetch(&submitter);
    submitter.close();
    worker.join().expect("the worker");
    received.fetch(&submitter);
}

/// The submitter is closed or dropped while the worker waits, takes a job or runs one.
fn closing(fault: Fault) {
    for dropped in [false, true] {
        let (jobs, results) = counts();
        let (submitter, mut worker): Ends = channel_with_fault(fault);
        let worker = spawn({
            let results = results.clone();
            move || run_jobs(&mut worker, &results, u64::MAX)
        });
        let _ = submitter.submit(1, Counted::new(1, &jobs, MAX_JOBS));
        if dropped {
            drop(submitter);
            worker.join().expect("the worker");
        } else {
            submitter.close();
            worker.join().expect("the worker");
            Received(0).fetch(&submitter);
        }
        assert_eq!((jobs.load(SeqCst), results.load(SeqCst)), (0, 0), "a value leaked");
    }
}

/// A running job is cancelled when a newer one is submitted, which is taken next.
fn superseding(fault: Fault) {
    let (jobs, _) = counts();
    let (submitter, mut worker): Ends = channel_with_fault(fault);
    let worker = spawn(move || {
        let first = worker.next_job().expect("a job");
        (worker, first)
    });
    let _ = submitter.submit(1, Counted::new(1, &jobs, MAX_JOBS));
    let second = submitter.submit(2, Counted::new(2, &jobs, MAX_JOBS));
    let superseded = matches!(&second, Ok(Some((1, _))));
    let (mut worker, first) = worker.join().expect("the worker");
    assert_eq!(first.version, if superseded { 2 } else { 1 });
    assert_eq!(first.cancel.is_set(), !superseded, "a superseded job is not cancelled");
    if !superseded {
        assert_eq!(worker.next_job().expect("the newer job").version, 2);
    }
}

/// A job abandoned without a result no longer counts as running.
fn abandoning(fault: Fault) {
    let (jobs, _) = counts();
    let (submitter, mut worker): Ends = channel_with_fault(fault);
    let submitter = loom::sync::Arc::new(submitter);
    let worker = spawn({
        let submitter = submitter.clone();
        move || {
            while let Some(job) = worker.next_job() {
                assert_eq!(submitter.versions_in_progress().1, Some(job.version), "taken and not running");
            }
            assert_eq!(submitter.versions_in_progress(), (None, None), "abandoned and still running");
        }
    });
    let _ = submitter.submit(1, Counted::new(1, &jobs, MAX_JOBS));
    submitter.close();
    worker.join().expect("the worker");
}

/// The worker panics on its first job: the submitter learns of it and nothing hangs.
fn panicking(fault: Fault) {
    let (jobs, _) = counts();
    let (submitter, mut worker): Ends = channel_with_fault(fault);
    let worker = spawn(move || {
        let panics = catch_unwind(AssertUnwindSafe(move || {
            let _work = worker.next_job();
            std::panic::resume_unwind(Box::new("planted"));
        }));
        assert!(panics.is_err());
    });
    let first = submitter.submit(1, Counted::new(1, &jobs, MAX_JOBS));
    assert!(first.is_ok(), "the first job is accepted");
    let second = submitter.submit(2, Counted::new(2, &jobs, MAX_JOBS));
    let refused = matches!(second, Err(SubmitError::WorkerGone(_)));
    assert!(!refused || submitter.is_worker_gone());
    worker.join().expect("the worker");
    assert!(submitter.is_worker_gone(), "the exit of the worker is not reported");
    assert!(matches!(submitter.submit(3, Counted::new(3, &jobs, MAX_JOBS)), Err(SubmitError::WorkerGone(_))));
    drop((first, second));
    drop(submitter);
    assert_eq!(jobs.load(SeqCst), 0, "a value leaked");
}

/// Models with their names in the printed measurements.
const MODELS: [(&str, fn(Fault)); 6] = [
    ("rising", increasing_versions),
    ("crossing", concurrent_submits),
    ("ending", closing),
    ("superseding", superseding),
    ("giving up", abandoning),
    ("panicking", panicking),
];

/// Checks all interleavings of a model, with no bound on preemptions, and returns their number.
fn check_model(name: &str, model: fn(Fault), fault: Fault) -> usize {
    let checked = Arc::new(AtomicUsize::new(0));
    let count = checked.clone();
    println!("checking {name}");
    let builder = loom::model::Builder::new();
    assert!(builder.preemption_bound.is_none(), "the number of preemptions is bounded");
    builder.check(move || {
        count.fetch_add(1, SeqCst);
        model(fault);
    });
    let checked = checked.load(SeqCst);
    println!("measure handoff.interleavings_of_{} {checked} plays", name.replace(' ', "_"));
    checked
}

#[test]
fn every_interleaving_keeps_the_guarantees() {
    for (name, model) in MODELS {
        assert!(check_model(name, model, Fault::None) > 1, "{name}: only one interleaving");
    }
}

const FAULT_INDEX_VAR: &str = "WHEELLINK_PLANTED";

/// The model that detects a fault, and the message it fails with.
fn detected_by(fault: Fault) -> (fn(Fault), &'static str) {
    match fault {
        Fault::None => (increasing_versions, "nothing"),
        Fault::AcceptStale => (concurrent_submits, "an older version after a newer one"),
        Fault::SplitFetch => (increasing_versions, "version and content do not match"),
        // A thread waits for a wake-up or a result that never comes.
        Fault::NoWakeOnSubmit | Fault::UnlockBeforeWait | Fault::PublishDropsPending => {
            (increasing_versions, "deadlock")
        }
        Fault::NoWakeOnClose => (closing, "deadlock"),
        Fault::RunningSetLate | Fault::NoCancel => (superseding, "a superseded job is not cancelled"),
        Fault::WorkerExitUnreported => (panicking, "the exit of the worker is not reported"),
        Fault::RunningNeverCleared => (abandoning, "abandoned and still running"),
    }
}

/// Runs a model with an injected fault, in its own process, which a detected fault may abort at any point.
#[test]
#[ignore = "run in a child process by the next test"]
fn injected_fault() {
    let index: usize = std::env::var(FAULT_INDEX_VAR).expect("a fault").parse().expect("a number");
    check_model("injected fault", detected_by(Fault::ALL[index]).0, Fault::ALL[index]);
    println!("not detected");
}

#[test]
fn each_injected_fault_is_detected_with_its_message() {
    let this = std::env::current_exe().expect("this program");
    for (index, fault) in Fault::ALL.iter().enumerate() {
        let mut child = Command::new(&this);
        child.args(["--exact", "injected_fault", "--ignored", "--nocapture"]);
        let out = child
            .env(FAULT_INDEX_VAR, index.to_string())
            .env("RUST_BACKTRACE", "0")
            .output()
            .expect("it starts");
        let output =
            [out.stdout, out.stderr].map(|output| String::from_utf8_lossy(&output).into_owned()).concat();
        assert!(!out.status.success() && !output.contains("not detected"), "{fault:?} is not detected");
        assert!(output.contains(detected_by(*fault).1), "{fault:?} fails with another message: {output}");
    }
    assert!(Fault::ALL.len() >= 4);
}
