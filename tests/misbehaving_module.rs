//! The engine's promises round a module that wants what may not be: each event of its script makes it ask for an
//! attempt that must not begin.

mod common;

use common::*;
use rstest::rstest;
use wheellink::engine::{AttemptId, Command, Module, NewRequest};
use wheellink::*;

const HOST: &str = "w0";

/// What this module is told of, for which it wants an attempt sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wants {
    /// One for each request that comes.
    Ordinary,
    /// Two for each request that comes.
    TwoAtOnce,
    /// One more when the client has left.
    AfterLeaving,
    /// One more when it was told that no further one may begin.
    AfterHalfClose,
    /// An attempt called off, to ask anew, when it was told that no further one may begin.
    CalledOffAfterHalfClose,
    /// One more when an attempt has ended, whatever the outcome.
    AfterEveryEnd,
    /// An answer first, and then an attempt.
    AfterItsAnswer,
}

struct Unruly {
    wants: Wants,
    /// Attempts that were told to have ended, and how.
    ended: Vec<(u32, Outcome, bool)>,
}

impl Module for Unruly {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        let send = |request: &RequestId| Action::Send {
            request: request.clone(),
            worker: HOST.into(),
            timeout: None,
            leave_by: None,
        };
        match (&event, self.wants) {
            (Event::Arrival { request, .. }, Wants::TwoAtOnce) => out.extend([send(request), send(request)]),
            (Event::Arrival { request, .. }, Wants::AfterItsAnswer) => {
                out.extend([Action::Fail { request: request.clone() }, send(request)]);
            }
            (Event::Arrival { request, .. }, _) => out.push(send(request)),
            (Event::ClientLeft { request }, Wants::AfterLeaving) => out.push(send(request)),
            (Event::NoFurtherAttempt { request }, Wants::AfterHalfClose) => out.push(send(request)),
            (Event::NoFurtherAttempt { request }, Wants::CalledOffAfterHalfClose) => {
                out.push(Action::Cancel { request: request.clone(), attempt: 0 });
            }
            (Event::Answer { request, attempt, outcome, finished, .. }, wants) => {
                self.ended.push((*attempt, *outcome, *finished));
                if wants == Wants::AfterEveryEnd && *outcome != Outcome::NotSent {
                    out.push(send(request));
                }
            }
            _ => {}
        }
    }
}

struct Rig {
    engine: Engine<Unruly>,
    now: Micros,
    out: Vec<Command>,
}

impl Rig {
    fn new(wants: Wants) -> Self {
        let engine = Engine::new(Unruly { wants, ended: Vec::new() }, S);
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
fn no_second_attempt_begins_beside_one_that_is_out() {
    let mut rig = Rig::new(Wants::TwoAtOnce);
    let ticket = rig.request();
    assert_eq!(rig.sends(), [0]);
    assert_eq!(rig.engine.module().ended, [(1, Outcome::NotSent, false)], "the second was never sent");
    rig.end(ticket, 0, Outcome::Done);
    assert_eq!((rig.answers(), rig.engine.open()), (1, 0));
}

#[test]
fn no_attempt_begins_after_the_answer() {
    let mut rig = Rig::new(Wants::AfterItsAnswer);
    rig.request();
    assert_eq!((rig.sends().len(), rig.answers(), rig.engine.open()), (0, 1, 0));
}

#[rstest]
#[case::out(None)]
#[case::ended_before(Some(Outcome::Full))]
fn no_attempt_begins_after_the_client_left(#[case] end: Option<Outcome>) {
    let mut rig = Rig::new(Wants::AfterLeaving);
    let ticket = rig.request();
    end.into_iter().for_each(|end| rig.end(ticket, 0, end));
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    if end.is_none() {
        rig.end(ticket, 0, Outcome::Cancelled);
    }
    assert_eq!((rig.sends(), rig.answers(), rig.engine.open()), (vec![0], 0, 0));
    let ends = &rig.engine.module().ended;
    assert!(ends.contains(&(1, Outcome::NotSent, true)), "the module is told: {ends:?}");
}

#[test]
fn no_attempt_begins_after_the_grace_of_a_half_close() {
    let mut rig = Rig::new(Wants::AfterHalfClose);
    let ticket = rig.request();
    rig.end(ticket, 0, Outcome::Full);
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.now += 60 * MS;
    rig.engine.tick(rig.now, &mut rig.out);
    assert_eq!(rig.sends(), [0]);
    assert!(rig.engine.module().ended.contains(&(1, Outcome::NotSent, false)));
}

/// What is out then is the last: called off to be asked anew it would be lost.
#[test]
fn an_attempt_that_cannot_be_followed_is_not_called_off() {
    let mut rig = Rig::new(Wants::CalledOffAfterHalfClose);
    let ticket = rig.request();
    rig.engine.client_half_closed(rig.now, ticket, rig.now, &mut rig.out);
    rig.now += 60 * MS;
    rig.engine.tick(rig.now, &mut rig.out);
    assert!(!rig.out.iter().any(|c| matches!(c, Command::Cancel { .. })), "{:?}", rig.out);
    rig.engine.client_left(rig.now, ticket, &mut rig.out);
    let cancels = rig.out.iter().filter(|c| matches!(c, Command::Cancel { .. })).count();
    assert_eq!(cancels, 1, "a client that leaves has it given up all the same");
}

/// The loop may be late, and hear of the end of an attempt before it looks at its timers.
#[test]
fn no_attempt_begins_when_the_time_is_up() {
    let mut rig = Rig::new(Wants::AfterEveryEnd);
    let ticket = rig.request();
    rig.end(ticket, 0, Outcome::Full);
    assert_eq!(rig.sends(), [0, 1], "within its time it may");
    rig.now += 2 * S;
    rig.end(ticket, 1, Outcome::Full);
    assert_eq!((rig.sends(), rig.answers(), rig.engine.open()), (vec![0, 1], 1, 0));
}

/// What has ended leaves timers behind, some of them far from their time: they may not pile up until then.
#[test]
fn timers_of_requests_that_have_ended_do_not_pile_up() {
    let mut rig = Rig::new(Wants::Ordinary);
    let mut most = 0;
    for _ in 0..20_000 {
        let ticket = rig.request();
        rig.end(ticket, 0, Outcome::Done);
        rig.out.clear();
        most = most.max(rig.engine.timers());
    }
    assert!(most <= 256, "{most} timers");
    assert_eq!(rig.engine.open(), 0);
    // Those of what is open are kept, however often the others were looked for.
    let open: Vec<Ticket> = (0..1_000).map(|_| rig.request()).collect();
    rig.now += 2 * S;
    rig.engine.tick(rig.now, &mut rig.out);
    assert_eq!(rig.answers(), open.len(), "each is answered when its time is up");
}
