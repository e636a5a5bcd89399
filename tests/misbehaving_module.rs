//! The guarantees of the engine with a module that requests attempts that must not begin.

mod common;

use common::*;
use rstest::rstest;
use wheellink::engine::{AttemptId, Command, Module, NewRequest};
use wheellink::*;

const HOST: &str = "w0";

/// Attempts that the module requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// One attempt for each request that arrives.
    Ordinary,
    /// Two attempts for each request that arrives.
    TwoAtOnce,
    /// A further attempt when the client has left.
    AfterClientLeft,
    /// A further attempt at [`Event::NoFurtherAttempt`].
    AfterHalfClose,
    /// The attempt is cancelled, for a retry, at [`Event::NoFurtherAttempt`].
    CancelAfterHalfClose,
    /// A further attempt whenever an attempt has ended.
    AfterEveryEnd,
    /// A final answer, and then an attempt.
    AfterAnswer,
}

/// A module that requests these attempts.
struct MisbehavingModule {
    mode: Mode,
    /// Reported ends of attempts: number, outcome, and whether the request was finished.
    ended: Vec<(u32, Outcome, bool)>,
}

impl Module for MisbehavingModule {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        let send = |request: &RequestId| Action::Send {
            request: request.clone(),
            worker: HOST.into(),
            timeout: None,
            leave_by: None,
        };
        match (&event, self.mode) {
            (Event::Arrival { request, .. }, Mode::TwoAtOnce) => out.extend([send(request), send(request)]),
            (Event::Arrival { request, .. }, Mode::AfterAnswer) => {
                out.extend([Action::Fail { request: request.clone() }, send(request)]);
            }
            (Event::Arrival { request, .. }, _) => out.push(send(request)),
            (Event::ClientLeft { request }, Mode::AfterClientLeft) => out.push(send(request)),
            (Event::NoFurtherAttempt { request }, Mode::AfterHalfClose) => out.push(send(request)),
            (Event::NoFurtherAttempt { request }, Mode::CancelAfterHalfClose) => {
                out.push(Action::Cancel { request: request.clone(), attempt: 0 });
            }
            (Event::Answer { request, attempt, outcome, finished, .. }, mode) => {
                self.ended.push((*attempt, *outcome, *finished));
                if mode == Mode::AfterEveryEnd && *outcome != Outcome::NotSent {
                    out.push(send(request));
                }
            }
            _ => {}
        }
    }
}

/// Test rig: an engine, its clock and the commands that it has issued.
struct Rig {
    engine: Engine<MisbehavingModule>,
    now: Micros,
    out: Vec<Command>,
}

impl Rig {
    fn new(mode: Mode) -> Self {
        let engine = Engine::new(MisbehavingModule { mode, ended: Vec::new() }, S);
        Self { engine, now: 100 * S, out: Vec::new() }
    }

    fn request(&mut self) -> Ticket {
        let new = NewRequest {
            class: UNSAFE,
            tenant: None,
            function: "f".into(),
            due: self.now + S,
            lanes: 1,
            repeat: false,
            hint: 0,
            half_closed: None,
        };
        self.engine.request(self.now, new, &mut self.out)
    }

    fn end(&mut self, ticket: Ticket, number: u32, outcome: Outcome) {
        let attempt = AttemptId { ticket, number };
        self.engine.attempt_ended(self.now, attempt, outcome.into(), &mut self.out);
    }

    fn sends(&self) -> Vec<u32> {
        let send = |c: &Command| match c {
            Command::Send { attempt, .. } => Some(attempt.number),
            _ => None,
        };
        self.out.iter().filter_map(send).collect()
    }

    fn answers(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::Answer { .. })).count()
    }
}

#[test]
fn no_second_attempt_begins_while_one_is_in_progress() {
    let mut rig = Rig::new(Mode::TwoAtOnce);
    let ticket = rig.request();
    assert_eq!(rig.sends(), [0]);
    assert_eq!(rig.engine.module().ended, [(1, Outcome::NotSent, false)], "the second was never sent");
    rig.end(ticket, 0, Outcome::Done);
    assert_eq!((rig.answers(), rig.engine.open()), (1, 0));
}

#[test]
fn no_attempt_begins_after_the_answer() {
    let mut rig = Rig::new(Mode::AfterAnswer);
    rig.request();
    assert_eq!((rig.sends().len(), rig.answers(), rig.engine.open()), (0, 1, 0));
}

#[rstest]
#[case::in_progress(None)]
#[case::ended_before(Some(Outcome::Full))]
fn no_attempt_begins_after_the_client_left(#[case] end: Option<Outcome>) {
    let mut rig = Rig::new(Mode::AfterClientLeft);
    let ticket = rig.request();
    end.into_iter().for_each(|end| rig.end(ticket, 0, end));
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    if end.is_none() {
        rig.end(ticket, 0, Outcome::Cancelled);
    }
    assert_eq!((rig.sends(), rig.answers(), rig.engine.open()), (vec![0], 0, 0));
    let ends = &rig.engine.module().ended;
    assert!(ends.contains(&(1, Outcome::NotSent, true)), "the module gets no report: {ends:?}");
}

#[test]
fn no_attempt_begins_after_the_grace_of_a_half_close() {
    let mut rig = Rig::new(Mode::AfterHalfClose);
    let ticket = rig.request();
    rig.end(ticket, 0, Outcome::Full);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.now += 60 * MS;
    rig.engine.tick(rig.now, &mut rig.out);
    assert_eq!(rig.sends(), [0]);
    assert!(rig.engine.module().ended.contains(&(1, Outcome::NotSent, false)));
}

/// After the grace of a half-close, the attempt in progress is the last one. If the module could cancel it for a retry,
/// the request would be lost.
#[test]
fn an_attempt_that_cannot_be_retried_is_not_cancelled() {
    let mut rig = Rig::new(Mode::CancelAfterHalfClose);
    let ticket = rig.request();
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.now += 60 * MS;
    rig.engine.tick(rig.now, &mut rig.out);
    assert!(!rig.out.iter().any(|c| matches!(c, Command::Cancel { .. })), "{:?}", rig.out);
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    let cancels = rig.out.iter().filter(|c| matches!(c, Command::Cancel { .. })).count();
    assert_eq!(cancels, 1, "not cancelled, though the client has left");
}

/// The event loop may be late, and report the end of an attempt before it runs its timers.
#[test]
fn no_attempt_begins_after_the_due_time() {
    let mut rig = Rig::new(Mode::AfterEveryEnd);
    let ticket = rig.request();
    rig.end(ticket, 0, Outcome::Full);
    assert_eq!(rig.sends(), [0, 1], "no retry before the due time");
    rig.now += 2 * S;
    rig.end(ticket, 1, Outcome::Full);
    assert_eq!((rig.sends(), rig.answers(), rig.engine.open()), (vec![0, 1], 1, 0));
}

/// Ended requests leave timers behind that are due much later. These must not accumulate until then.
#[test]
fn timers_of_ended_requests_do_not_accumulate() {
    let mut rig = Rig::new(Mode::Ordinary);
    let mut max = 0;
    for _ in 0..20_000 {
        let ticket = rig.request();
        rig.end(ticket, 0, Outcome::Done);
        rig.out.clear();
        max = max.max(rig.engine.timers());
    }
    assert!(max <= 256, "{max} timers");
    assert_eq!(rig.engine.open(), 0);
    // Timers of open requests remain, however often the others are pruned.
    let open: Vec<Ticket> = (0..1_000).map(|_| rig.request()).collect();
    rig.now += 2 * S;
    rig.engine.tick(rig.now, &mut rig.out);
    assert_eq!(rig.answers(), open.len(), "not all are answered at their due time");
}
