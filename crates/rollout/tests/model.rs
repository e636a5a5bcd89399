//! Model check of the protocol by which holder and candidate share calls, over all interleavings: a holder, a
//! candidate, the two directions of their socket, and hosts. Either process may die at any point, the candidate may
//! be stopped and continued, messages are delayed arbitrarily, and a host may give any result. The ledger is the real
//! one.

use std::collections::VecDeque;

use stateright::{Checker, Model, Property};
use wheellink::{Effect, Outcome};
use wheellink_rollout::{Ledger, Recovery, RetryPolicy};

/// Call 0 is unsafe, call 1 is safe.
const CALLS: usize = 2;
const DEADLINE_US: i64 = 1_000_000;
/// Attempts that each class allows.
const MAX_ATTEMPTS: u32 = 2;

/// A deliberate flaw of the protocol, to verify that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// The candidate sends an attempt before it has announced it.
    SendsUnannounced,
    /// The holder does not read the messages that the candidate sent before it was lost.
    SkipsMessages,
    /// The holder treats a stopped candidate as dead without killing it.
    DoesNotKill,
    /// The holder reads the remaining messages, but does not shut down its reading side.
    LeavesOpen,
}

/// Messages of the candidate to the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Announced(usize, u32),
    Ended(usize, u32, HostResult),
    Answer(usize),
}

/// How an attempt ended at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum HostResult {
    Done,
    Miss,
    Error,
}

impl HostResult {
    fn outcome(self) -> Outcome {
        match self {
            HostResult::Done => Outcome::Done,
            HostResult::Miss => Outcome::Miss,
            HostResult::Error => Outcome::Error,
        }
    }
}

/// The progress of one call in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    NotOwned,
    /// The attempt with this number has to be sent.
    ToSend(u32),
    /// The attempt was announced and has to be sent.
    Announced(u32),
    /// The attempt was sent and has not ended.
    Open(u32),
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ProcessState {
    Runs,
    Stopped,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    holder_lives: bool,
    candidate: ProcessState,
    /// The holder has given up the candidate and accepts no further messages.
    given_up: bool,
    /// The holder has recovered the calls in the ledger.
    recovered: bool,
    ledger: Ledger,
    passed: [bool; CALLS],
    /// Progress of the calls in the holder and in the candidate.
    by_holder: [Progress; CALLS],
    by_candidate: [Progress; CALLS],
    /// From the holder to the candidate.
    calls: VecDeque<usize>,
    /// From the candidate to the holder.
    messages: VecDeque<Message>,
    /// Open attempts of the holder and of the candidate at the hosts, and whether they have run.
    at_host: [[Option<bool>; 2]; CALLS],
    runs: [u8; CALLS],
    answers: [u8; CALLS],
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Pass(usize),
    /// The candidate reads a call from the socket.
    ReadCall,
    Announce(usize),
    Send(usize, usize),
    Run(usize, usize),
    End(usize, usize, HostResult),
    /// The holder reads a message from the socket.
    ReadMessage,
    Kill,
    Stop,
    Continue,
    HolderDies,
    /// The holder shuts down its reading side and kills the candidate.
    GiveUp,
    /// All messages are read: the holder recovers the calls in the ledger.
    Recover,
}

struct Protocol(Flaw);

impl Protocol {
    fn may_begin_attempt(s: &System) -> bool {
        s.candidate == ProcessState::Runs && s.holder_lives
    }
}

impl Model for Protocol {
    type State = System;
    type Action = Event;

    fn init_states(&self) -> Vec<System> {
        vec![System {
            holder_lives: true,
            candidate: ProcessState::Runs,
            given_up: false,
            recovered: false,
            ledger: Ledger::new(8, 100),
            passed: [false; CALLS],
            by_holder: [Progress::NotOwned; CALLS],
            by_candidate: [Progress::NotOwned; CALLS],
            calls: VecDeque::new(),
            messages: VecDeque::new(),
            at_host: [[None; 2]; CALLS],
            runs: [0; CALLS],
            answers: [0; CALLS],
        }]
    }

    fn actions(&self, s: &System, out: &mut Vec<Event>) {
        let runs = s.candidate == ProcessState::Runs;
        for call in 0..CALLS {
            if s.holder_lives && !s.given_up && !s.passed[call] {
                out.push(Event::Pass(call));
            }
            // A candidate that has lost its holder begins no further attempts.
            if Self::may_begin_attempt(s) && matches!(s.by_candidate[call], Progress::ToSend(_)) {
                out.push(Event::Announce(call));
                if self.0 == Flaw::SendsUnannounced {
                    out.push(Event::Send(call, 1));
                }
            }
            if runs && matches!(s.by_candidate[call], Progress::Announced(_)) {
                out.push(Event::Send(call, 1));
            }
            if s.holder_lives && matches!(s.by_holder[call], Progress::ToSend(_)) {
                out.push(Event::Send(call, 0));
            }
            for process in 0..2 {
                match s.at_host[call][process] {
                    Some(false) => {
                        out.push(Event::Run(call, process));
                        out.push(Event::End(call, process, HostResult::Miss));
                    }
                    Some(true) => {
                        out.push(Event::End(call, process, HostResult::Done));
                        out.push(Event::End(call, process, HostResult::Error));
                    }
                    None => {}
                }
            }
        }
        if runs && !s.calls.is_empty() {
            out.push(Event::ReadCall);
        }
        if s.holder_lives && !s.recovered && !s.messages.is_empty() {
            out.push(Event::ReadMessage);
        }
        match s.candidate {
            ProcessState::Runs => out.extend([Event::Kill, Event::Stop]),
            ProcessState::Stopped => out.extend([Event::Kill, Event::Continue]),
            ProcessState::Dead => {}
        }
        if s.holder_lives {
            out.push(Event::HolderDies);
            if !s.given_up && s.candidate != ProcessState::Runs {
                out.push(Event::GiveUp);
            }
            let all_read = s.messages.is_empty() || self.0 == Flaw::SkipsMessages;
            if s.given_up && !s.recovered && all_read {
                out.push(Event::Recover);
            }
        }
    }

    fn next_state(&self, last: &System, event: Event) -> Option<System> {
        let mut s = last.clone();
        match event {
            Event::Pass(call) => {
                let effect = if call == 0 { Effect::Unsafe } else { Effect::Safe };
                s.ledger.pass(call as u64, &RetryPolicy::new(effect, MAX_ATTEMPTS), DEADLINE_US, 1).ok()?;
                s.passed[call] = true;
                s.calls.push_back(call);
            }
            Event::ReadCall => {
                let call = s.calls.pop_front()?;
                s.by_candidate[call] = Progress::ToSend(0);
            }
            Event::Announce(call) => {
                let Progress::ToSend(n) = s.by_candidate[call] else { return None };
                if s.given_up && self.0 != Flaw::LeavesOpen {
                    // The write fails, because the holder has shut down its reading side.
                    s.by_candidate[call] = Progress::Done;
                } else {
                    s.messages.push_back(Message::Announced(call, n));
                    s.by_candidate[call] = Progress::Announced(n);
                }
            }
            Event::Send(call, process) => {
                let progress = if process == 0 { &mut s.by_holder[call] } else { &mut s.by_candidate[call] };
                let (Progress::ToSend(n) | Progress::Announced(n)) = *progress else { return None };
                *progress = Progress::Open(n);
                s.at_host[call][process] = Some(false);
            }
            Event::Run(call, process) => {
                s.at_host[call][process] = Some(true);
                s.runs[call] += 1;
            }
            Event::End(call, process, end) => {
                let progress = if process == 0 { s.by_holder[call] } else { s.by_candidate[call] };
                let Progress::Open(n) = progress else { return None };
                // A process that is stopped or dead does not read the result.
                if process == 1 && s.candidate != ProcessState::Runs || process == 0 && !s.holder_lives {
                    return None;
                }
                s.at_host[call][process] = None;
                let retry = n + 1 < MAX_ATTEMPTS
                    && (end == HostResult::Miss || end == HostResult::Error && call == 1);
                let next = if retry { Progress::ToSend(n + 1) } else { Progress::Done };
                if process == 0 {
                    s.by_holder[call] = next;
                    s.answers[call] += u8::from(!retry);
                } else {
                    s.by_candidate[call] = next;
                    if !s.given_up {
                        s.messages.push_back(Message::Ended(call, n, end));
                        if !retry {
                            s.messages.push_back(Message::Answer(call));
                        }
                    }
                }
            }
            Event::ReadMessage => match s.messages.pop_front()? {
                Message::Announced(call, n) => {
                    drop(s.ledger.attempt_announced(call as u64, n, &"h".into(), 0))
                }
                Message::Ended(call, n, end) => drop(s.ledger.attempt_ended(call as u64, n, end.outcome())),
                Message::Answer(call) => {
                    if s.ledger.answered(call as u64, false) == Ok(true) {
                        s.answers[call] += 1;
                    }
                }
            },
            Event::Kill => {
                s.candidate = ProcessState::Dead;
                // Its connections are reset: the hosts abandon the attempts that were open on them.
                s.at_host.iter_mut().for_each(|h| h[1] = None);
                s.by_candidate = [Progress::Done; CALLS];
                s.calls.clear();
            }
            Event::Stop => s.candidate = ProcessState::Stopped,
            Event::Continue => s.candidate = ProcessState::Runs,
            Event::HolderDies => {
                s.holder_lives = false;
                s.at_host.iter_mut().for_each(|h| h[0] = None);
                s.by_holder = [Progress::Done; CALLS];
                s.messages.clear();
            }
            Event::GiveUp => {
                s.given_up = true;
                if s.candidate == ProcessState::Stopped
                    && !matches!(self.0, Flaw::DoesNotKill | Flaw::LeavesOpen)
                {
                    return self.next_state(&s, Event::Kill);
                }
            }
            Event::Recover => {
                s.recovered = true;
                for (seq, recovery) in s.ledger.candidate_lost(0, true) {
                    let call = seq as usize;
                    match recovery {
                        Recovery::Rerun(past) => s.by_holder[call] = Progress::ToSend(past.len() as u32),
                        Recovery::Refuse | Recovery::Fail => s.answers[call] += 1,
                    }
                }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an unsafe call runs at most once", |_, s: &System| s.runs[0] <= 1),
            Property::always("at most one attempt of a call is open", |_, s: &System| {
                s.at_host.iter().all(|h| !(h[0].is_some() && h[1].is_some()))
            }),
            Property::always("no call is answered twice", |_, s: &System| s.answers.iter().all(|a| *a <= 1)),
            Property::eventually("every call is answered while its holder lives", |_, s: &System| {
                !s.holder_lives || s.answers == [1; CALLS]
            }),
            Property::sometimes("a call is rerun", |_, s: &System| s.recovered && s.runs[1] == 2),
        ]
    }
}

#[test]
fn the_protocol_keeps_its_properties_in_every_interleaving() {
    let checker = Protocol(Flaw::None).checker().threads(2).spawn_bfs().join();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

/// Verifies the check itself: it has to find each deliberate flaw.
#[test]
fn every_deliberate_flaw_is_found() {
    for flaw in [Flaw::SendsUnannounced, Flaw::SkipsMessages, Flaw::DoesNotKill, Flaw::LeavesOpen] {
        let checker = Protocol(flaw).checker().threads(2).spawn_bfs().join();
        let broken = |name| checker.discovery(name).is_some();
        assert!(
            broken("an unsafe call runs at most once") || broken("at most one attempt of a call is open"),
            "{flaw:?} was not found"
        );
    }
}
