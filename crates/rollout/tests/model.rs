//! The ownership protocol, checked exhaustively: a holder, a candidate, the two directions of their socket, and
//! hosts. Either process may die at any point, the candidate may stop and go on, messages wait as long as they
//! like, and what a host answers is anybody's guess. The ledger in it is the real one.

use std::collections::VecDeque;

use stateright::{Checker, Model, Property};
use wheellink::{Effect, Outcome as End};
use wheellink_rollout::{Ledger, Recovery, RetryPolicy};

/// Call 0 is unsafe, call 1 is safe.
const CALLS: usize = 2;
const DUE: i64 = 1_000_000;
/// Attempts that either class allows.
const ATTEMPTS: u32 = 2;

/// What is wrong on purpose, to see that the check would find it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// The candidate sends before it has told.
    SendsFirst,
    /// The holder does not read what was told before the end.
    DoesNotRead,
    /// A candidate that stopped is taken for dead without being ended.
    DoesNotKill,
    /// The holder reads what is left, but leaves its side open for more.
    LeavesOpen,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Word {
    Told(usize, u32),
    Ended(usize, u32, End2),
    Answer(usize),
}

/// How a host's part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End2 {
    Done,
    Miss,
    Error,
}

impl End2 {
    fn end(self) -> End {
        match self {
            End2::Done => End::Done,
            End2::Miss => End::Miss,
            End2::Error => End::Error,
        }
    }
}

/// A process's side of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Side {
    Nothing,
    /// It is to send attempt number so-and-so.
    Has(u32),
    /// The same, and has told of it.
    HasTold(u32),
    /// It is out.
    Out(u32),
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ProcessState {
    Runs,
    Stopped,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    holder: bool,
    candidate: ProcessState,
    /// The holder has given the candidate up: it reads no more, and has looked at the ledger.
    shut: bool,
    settled: bool,
    ledger: Ledger,
    passed: [bool; CALLS],
    own: [Side; CALLS],
    theirs: [Side; CALLS],
    calls: VecDeque<usize>,
    words: VecDeque<Word>,
    /// At a host: attempts of the holder and of the candidate that have come and not ended, and whether they ran.
    at_host: [[Option<bool>; 2]; CALLS],
    runs: [u8; CALLS],
    answers: [u8; CALLS],
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Pass(usize),
    /// The candidate takes a call from the socket.
    Take,
    Tell(usize),
    Send(usize, usize),
    Runs(usize, usize),
    Ends(usize, usize, End2),
    /// The holder takes a word from the socket.
    Hear,
    Kill,
    Stop,
    GoOn,
    HolderDies,
    /// The holder shuts its reading side and ends the candidate.
    GiveUp,
    /// All that was told is read: the ledger is looked at.
    Settle,
}

struct Protocol(Flaw);

impl Protocol {
    fn may_take(s: &State) -> bool {
        s.candidate == ProcessState::Runs && s.holder
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            holder: true,
            candidate: ProcessState::Runs,
            shut: false,
            settled: false,
            ledger: Ledger::new(8, 100),
            passed: [false; CALLS],
            own: [Side::Nothing; CALLS],
            theirs: [Side::Nothing; CALLS],
            calls: VecDeque::new(),
            words: VecDeque::new(),
            at_host: [[None; 2]; CALLS],
            runs: [0; CALLS],
            answers: [0; CALLS],
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        let runs = s.candidate == ProcessState::Runs;
        for call in 0..CALLS {
            if s.holder && !s.shut && !s.passed[call] {
                out.push(Step::Pass(call));
            }
            // Without its holder the candidate begins nothing for it.
            if Self::may_take(s) && matches!(s.theirs[call], Side::Has(_)) {
                out.push(Step::Tell(call));
                if self.0 == Flaw::SendsFirst {
                    out.push(Step::Send(call, 1));
                }
            }
            if runs && matches!(s.theirs[call], Side::HasTold(_)) {
                out.push(Step::Send(call, 1));
            }
            if s.holder && matches!(s.own[call], Side::Has(_)) {
                out.push(Step::Send(call, 0));
            }
            for who in 0..2 {
                match s.at_host[call][who] {
                    Some(false) => {
                        out.push(Step::Runs(call, who));
                        out.push(Step::Ends(call, who, End2::Miss));
                    }
                    Some(true) => {
                        out.push(Step::Ends(call, who, End2::Done));
                        out.push(Step::Ends(call, who, End2::Error));
                    }
                    None => {}
                }
            }
        }
        if runs && !s.calls.is_empty() {
            out.push(Step::Take);
        }
        if s.holder && !s.settled && !s.words.is_empty() {
            out.push(Step::Hear);
        }
        match s.candidate {
            ProcessState::Runs => out.extend([Step::Kill, Step::Stop]),
            ProcessState::Stopped => out.extend([Step::Kill, Step::GoOn]),
            ProcessState::Dead => {}
        }
        if s.holder {
            out.push(Step::HolderDies);
            if !s.shut && s.candidate != ProcessState::Runs {
                out.push(Step::GiveUp);
            }
            let read = s.words.is_empty() || self.0 == Flaw::DoesNotRead;
            if s.shut && !s.settled && read {
                out.push(Step::Settle);
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Pass(call) => {
                let effect = if call == 0 { Effect::Unsafe } else { Effect::Safe };
                s.ledger.pass(call as u64, &RetryPolicy::new(effect, ATTEMPTS), DUE, 1).ok()?;
                s.passed[call] = true;
                s.calls.push_back(call);
            }
            Step::Take => {
                let call = s.calls.pop_front()?;
                s.theirs[call] = Side::Has(0);
            }
            Step::Tell(call) => {
                let Side::Has(n) = s.theirs[call] else { return None };
                if s.shut && self.0 != Flaw::LeavesOpen {
                    // The write fails: the holder does not want it any more.
                    s.theirs[call] = Side::Over;
                } else {
                    s.words.push_back(Word::Told(call, n));
                    s.theirs[call] = Side::HasTold(n);
                }
            }
            Step::Send(call, who) => {
                let side = if who == 0 { &mut s.own[call] } else { &mut s.theirs[call] };
                let (Side::Has(n) | Side::HasTold(n)) = *side else { return None };
                *side = Side::Out(n);
                s.at_host[call][who] = Some(false);
            }
            Step::Runs(call, who) => {
                s.at_host[call][who] = Some(true);
                s.runs[call] += 1;
            }
            Step::Ends(call, who, end) => {
                let side = if who == 0 { s.own[call] } else { s.theirs[call] };
                let Side::Out(n) = side else { return None };
                // A process that stopped does not read its answer.
                if who == 1 && s.candidate != ProcessState::Runs || who == 0 && !s.holder {
                    return None;
                }
                s.at_host[call][who] = None;
                let again = n + 1 < ATTEMPTS && (end == End2::Miss || end == End2::Error && call == 1);
                let next = if again { Side::Has(n + 1) } else { Side::Over };
                if who == 0 {
                    s.own[call] = next;
                    s.answers[call] += u8::from(!again);
                } else {
                    s.theirs[call] = next;
                    if !s.shut {
                        s.words.push_back(Word::Ended(call, n, end));
                        if !again {
                            s.words.push_back(Word::Answer(call));
                        }
                    }
                }
            }
            Step::Hear => match s.words.pop_front()? {
                Word::Told(call, n) => drop(s.ledger.attempt_announced(call as u64, n, &"h".into(), 0)),
                Word::Ended(call, n, end) => drop(s.ledger.attempt_ended(call as u64, n, end.end())),
                Word::Answer(call) => {
                    if s.ledger.answered(call as u64, false) == Ok(true) {
                        s.answers[call] += 1;
                    }
                }
            },
            Step::Kill => {
                s.candidate = ProcessState::Dead;
                // Its connections are reset with it: hosts give up what was open on them.
                s.at_host.iter_mut().for_each(|h| h[1] = None);
                s.theirs = [Side::Over; CALLS];
                s.calls.clear();
            }
            Step::Stop => s.candidate = ProcessState::Stopped,
            Step::GoOn => s.candidate = ProcessState::Runs,
            Step::HolderDies => {
                s.holder = false;
                s.at_host.iter_mut().for_each(|h| h[0] = None);
                s.own = [Side::Over; CALLS];
                s.words.clear();
            }
            Step::GiveUp => {
                s.shut = true;
                if s.candidate == ProcessState::Stopped
                    && !matches!(self.0, Flaw::DoesNotKill | Flaw::LeavesOpen)
                {
                    return self.next_state(&s, Step::Kill);
                }
            }
            Step::Settle => {
                s.settled = true;
                for (seq, fate) in s.ledger.candidate_lost(0, true) {
                    let call = seq as usize;
                    match fate {
                        Recovery::Rerun(past) => s.own[call] = Side::Has(past.len() as u32),
                        Recovery::Refuse | Recovery::Fail => s.answers[call] += 1,
                    }
                }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an unsafe call runs once at the most", |_, s: &State| s.runs[0] <= 1),
            Property::always("one attempt of a call is out at the most", |_, s: &State| {
                s.at_host.iter().all(|h| !(h[0].is_some() && h[1].is_some()))
            }),
            Property::always("no call is answered twice", |_, s: &State| s.answers.iter().all(|a| *a <= 1)),
            Property::eventually("every call is answered while its holder lives", |_, s: &State| {
                !s.holder || s.answers == [1; CALLS]
            }),
            Property::sometimes("a call is run anew", |_, s: &State| s.settled && s.runs[1] == 2),
        ]
    }
}

#[test]
fn the_protocol_keeps_its_promises_in_every_order() {
    let checker = Protocol(Flaw::None).checker().threads(2).spawn_bfs().join();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

/// A check that finds nothing proves little: each flaw put in on purpose must be found.
#[test]
fn every_deliberate_flaw_is_found() {
    for flaw in [Flaw::SendsFirst, Flaw::DoesNotRead, Flaw::DoesNotKill, Flaw::LeavesOpen] {
        let checker = Protocol(flaw).checker().threads(2).spawn_bfs().join();
        let broken = |name| checker.discovery(name).is_some();
        assert!(
            broken("an unsafe call runs once at the most")
                || broken("one attempt of a call is out at the most"),
            "{flaw:?} was not found"
        );
    }
}
