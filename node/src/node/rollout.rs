//! Gradual rollout of a new version: connects the state machine of `wheellink_rollout` to the requests, the engine and
//! the connection between the two processes.
//!
//! The holder owns the clients: it passes some calls to the candidate and answers their clients. The candidate decides
//! the passed calls, and announces each attempt to the holder before it sends the attempt's first byte to a host.

mod candidate;
mod holder;
mod operate;

use wheellink_rollout::{
    strictest_policies, Action, AttemptRecord, CallOutcome as Ending, Cause, ClassPolicy, Phase,
    PolicyDifference, Recovery, RetryPolicy, Rollout, Share, Version,
};

use super::*;
use crate::config::rollout::StartOn;
use crate::control::RolloutCommand;
use crate::ipc::fields::{AnswerFields, CallFields, Fields, Site};
use crate::ipc::{self, Frame, PassedCall};
use crate::upgrade::{Process, VersionInfo};

/// Limit of passed calls that are open at the same time: the calls of 17 ms at 30,000 calls a second.
const MOST_PASSED: usize = 512;
/// No call is passed while more bytes than this are queued for the candidate: it is slow, and the holder decides the
/// calls itself.
const BACKLOG: usize = 1 << 20;
/// The candidate's deadline for a call is this much earlier than the holder's.
const PASS_MARGIN: Micros = 10_000;
/// Silence after which the holder gives a candidate up while no plan runs: the candidate may be starting, or an operator
/// may be inspecting it.
const IDLE_SILENCE: Micros = 5_000_000;
/// Time that a process has to exit by itself after its connection has ended; then it is killed.
const LAST_WORDS: Micros = 100_000;
/// Time that a lost process has to exit. One that has not exited by then is treated as possibly still running.
const BURIAL: Micros = 300_000;
/// Interval of the checks whether the lost process has exited.
const BURIAL_LOOK: Micros = 1_000;
/// Bit that marks tickets of passed calls. The engine numbers its own tickets from 1.
const PASSED: u64 = 1 << 63;
/// Limit of a candidate's load orders that wait for a grant. The engine ends each one at its timeout.
const MOST_ASKED: usize = 256;
/// After the holder has denied an order the candidate requests none for this long: the load budget changes only with
/// calls and over seconds.
const DENIED: Micros = 100_000;
/// Limit of attempts that wait until their announcement is written. Each belongs to a passed call.
const MOST_WAITING: usize = MOST_PASSED;

/// The role of this process in a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// No rollout.
    #[default]
    Alone,
    /// It has the clients, and passes calls to the candidate.
    Holder,
    /// It decides the passed calls, and accepts no clients.
    Candidate,
    /// It was a candidate and now accepts clients. The holder still passes the calls of its remaining clients.
    Successor,
}

/// Counters for operators and measurements.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    passed: u64,
    kept: u64,
    given_back: u64,
    anew: u64,
    failed: u64,
    refused: u64,
    granted: u64,
    denied: u64,
}

/// The other process after its connection was lost or closed. It may still have attempts in flight.
struct Burial {
    process: Option<Process>,
    since: Micros,
}

/// The state of a rollout in this process.
pub(super) struct Gradual {
    pub(super) role: Role,
    machine: Rollout,
    ledger: Ledger,
    /// Holder only: the announced attempt in flight of each passed call, by sequence number.
    out: HashMap<u64, u32>,
    /// The version of the protocol on the connection to the other process.
    protocol: u32,
    seq: u64,
    counts: Counts,
    /// The other process's version and classes, the strictest policies of both, and the differences.
    peer: VersionInfo,
    bound: Vec<ClassPolicy>,
    differ: Vec<PolicyDifference>,
    heard: Micros,
    /// Housekeeping ticks since `heard`. Silence has to last in ticks too, so that a jump of the clock is not taken
    /// for silence.
    looks: u32,
    /// Whether the candidate has reported that its host list is up to date.
    caught_up: bool,
    burial: Option<Burial>,
    /// Candidate only: the tickets of passed calls by the holder's sequence numbers.
    calls: HashMap<u64, Ticket>,
    /// Attempts whose announcement is not written yet, each with the byte offset at which it will be.
    waiting: VecDeque<(u64, AttemptId, WorkerId, CallTimes)>,
    asked: HashMap<OrderId, (WorkerId, FunctionId, u32)>,
    ask_again: Micros,
    /// The holder's tallies for the load budget.
    ration: Vec<Tally>,
    /// Phase and percentage that the holder reported last.
    told: (String, f64),
    dismissed: Option<String>,
}

impl Gradual {
    pub(super) fn new(memory: usize) -> Self {
        Self {
            role: Role::Alone,
            machine: Rollout::default(),
            ledger: Ledger::new(MOST_PASSED, memory / MEMORY_PARTS / 2),
            out: HashMap::new(),
            protocol: 0,
            seq: 0,
            counts: Counts::default(),
            peer: VersionInfo::default(),
            bound: Vec::new(),
            differ: Vec::new(),
            heard: 0,
            looks: 0,
            caught_up: false,
            burial: None,
            calls: HashMap::new(),
            waiting: VecDeque::new(),
            asked: HashMap::new(),
            ask_again: 0,
            ration: Vec::new(),
            told: (Phase::Idle.as_str().into(), 0.0),
            dismissed: None,
        }
    }

    /// Limits the bodies of passed calls to half of the memory for bodies: the other process holds a copy of each.
    pub(super) fn bound(&mut self, bodies: usize) {
        self.ledger.set_max_bytes(bodies / 2);
    }

    /// Whether another process takes part in a rollout, or a lost one may still be running. No third process may connect
    /// meanwhile.
    pub(super) fn is_busy(&self) -> bool {
        self.role != Role::Alone || self.burial.is_some()
    }

    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let burial = self.burial.as_ref().map_or(Micros::MAX, |_| now + BURIAL_LOOK);
        burial.min(self.ledger.next_deadline().unwrap_or(Micros::MAX))
    }

    /// Whether the holder has dismissed this process.
    pub(super) fn is_dismissed(&self) -> bool {
        self.dismissed.is_some()
    }
}

fn ticket(seq: u64) -> Ticket {
    Ticket(PASSED | seq)
}

fn seq(ticket: Ticket) -> Option<u64> {
    (ticket.0 & PASSED != 0).then_some(ticket.0 & !PASSED)
}

/// The retry policies of a deployment's classes.
pub fn classes(deployment: &Deployment) -> Vec<ClassPolicy> {
    let attempts = deployment.settings.max_attempts;
    let named = deployment.classes.iter().zip(&deployment.settings.classes);
    named
        .map(|(name, c)| ClassPolicy { name: name.clone(), policy: RetryPolicy::new(c.effect, attempts) })
        .collect()
}

impl Node {
    /// The settings that this process follows: its own, and during a rollout the stricter of both versions'.
    pub(super) fn binding(&self) -> Settings {
        let d = &self.config.deployment;
        let mut settings = self.agreed().clone();
        for bound in &self.gradual.bound {
            if let Some(i) = d.class(&bound.name) {
                settings.classes[i].effect = bound.policy.effect();
            }
            settings.max_attempts = settings.max_attempts.min(bound.policy.attempts).max(1);
        }
        settings
    }

    /// Computes the strictest policies of both versions and applies them to the engine.
    pub(super) fn bind(&mut self, now: Micros) {
        let (own, theirs) =
            (classes(&self.config.deployment), std::mem::take(&mut self.gradual.peer.classes));
        let (bound, differ) = match self.gradual.role {
            Role::Alone => (Vec::new(), Vec::new()),
            Role::Holder => strictest_policies(&own, &theirs),
            Role::Candidate | Role::Successor => strictest_policies(&theirs, &own),
        };
        self.gradual.peer.classes = theirs;
        for d in differ.iter().filter(|d| !self.gradual.differ.contains(d)) {
            self.log.line(now, format_args!("rollout: {d}"));
        }
        self.gradual.differ = differ;
        if bound != self.gradual.bound {
            self.gradual.bound = bound;
            let (settings, patience) = (self.binding(), self.config.deployment.transport.order_timeout);
            self.run_engine(|engine, out| engine.update_settings(now, settings, patience, out));
        }
    }

    /// After a change of configuration: sends the classes to the other version and computes the strictest policies again.
    pub(super) fn rebind(&mut self, now: Micros) {
        if self.gradual.role != Role::Alone {
            let classes = classes(&self.config.deployment);
            self.upgrade.send_frame(&Frame::Classes(classes));
            self.bind(now);
        }
    }

    pub(super) fn terms(&self, class: &str) -> Option<RetryPolicy> {
        self.gradual.bound.iter().find(|c| c.name == class).map(|c| c.policy)
    }

    /// Whether only the new version knows this class, and calls are passed to it now.
    pub(super) fn is_theirs(&self, class: &str) -> bool {
        let g = &self.gradual;
        let open = g.role == Role::Holder && g.machine.passes_calls() && g.machine.share() > Share::NONE;
        open && self.config.deployment.class(class).is_none()
            && g.peer.classes.iter().any(|c| c.name == class)
    }
}

impl Node {
    pub(super) fn hear_word(&mut self, now: Micros, word: Frame) {
        (self.gradual.heard, self.gradual.looks) = (now, 0);
        let heard = match self.gradual.role {
            Role::Holder => self.holder_hears(now, word),
            Role::Candidate | Role::Successor => self.candidate_hears(now, word),
            Role::Alone => return,
        };
        if let Err(fault) = heard {
            self.log.line(now, format_args!("rollout: the other process broke the protocol: {fault}"));
            match self.gradual.role {
                Role::Holder => self.give_up(now, "it broke the protocol"),
                _ => self.upgrade.drop_peer("it broke the protocol"),
            }
        }
    }

    /// Handles the end of the connection to the other process. Returns false without a rollout.
    pub(super) fn rollout_peer_left(&mut self, now: Micros, why: &str) -> bool {
        match self.gradual.role {
            Role::Alone => return false,
            Role::Holder => {
                self.log.line(now, format_args!("rollout: connection to the new version lost: {why}"));
                let process = self.upgrade.take_process();
                self.bury(now, process, Cause::CandidateLost("its connection has ended"));
            }
            Role::Candidate | Role::Successor => self.holder_left(now),
        }
        true
    }

    /// Handles timeouts; `housekeeping` is true a few times a second.
    pub(super) fn tick_rollout(&mut self, now: Micros, housekeeping: bool) {
        for seq in self.gradual.ledger.take_overdue(now) {
            self.upgrade.send_frame(&Frame::Abandoned { seq });
            self.deliver_verdict(now, ticket(seq), Verdict::TimedOut);
        }
        match self.gradual.role {
            Role::Candidate if self.gradual.burial.is_some() => self.succeed_holder(now),
            _ => self.look_at_burial(now),
        }
        if !housekeeping {
            return;
        }
        self.send_told(now);
        match self.gradual.role {
            Role::Alone => {}
            Role::Holder => self.tend_candidate(now),
            Role::Candidate | Role::Successor => {
                let caught_up = self.is_caught_up(now);
                self.upgrade.send_frame(&Frame::CandidateAlive { caught_up });
                if self.gradual.role == Role::Candidate {
                    self.tell_ration(now);
                }
            }
        }
        for change in self.gradual.machine.take_transitions() {
            let name = self.gradual.machine.plan().map_or("", |(plan, _)| &plan.name);
            let (from, to) = (change.from.as_str(), change.to.as_str());
            let percent = change.share.percent();
            self.log
                .line(now, format_args!("rollout {name}: {from} to {to} at {percent}%: {}", change.cause));
        }
    }

    pub(super) fn tell_ration(&mut self, now: Micros) {
        let ration = upgrade::to_rows(self.engine.tallies(self.tallied_until));
        self.tallied_until = now;
        if !ration.is_empty() {
            self.upgrade.send_frame(&Frame::Tallies(ration));
        }
    }

    /// Forwards to the candidate that the client of a passed call has closed its sending side. Returns false if the call
    /// was not passed.
    pub(super) fn passed_half_closed(&mut self, of: Ticket, since: Micros) -> bool {
        let Some(seq) = seq(of) else { return false };
        self.upgrade.send(&Message::HalfClosed { seq, since });
        true
    }

    /// Tells the engine that the client of a call passed to this process has closed its sending side.
    pub(super) fn client_of_holder_half_closed(&mut self, now: Micros, seq: u64, since: Micros) {
        if let Some(ticket) = self.gradual.calls.get(&seq).copied() {
            self.run_engine(|engine, out| engine.client_half_closed(now, ticket, since, out));
        }
    }

    fn tend_candidate(&mut self, now: Micros) {
        let (life, percent) = (self.gradual.machine.phase(), self.gradual.machine.share().percent());
        self.upgrade.send_frame(&Frame::HolderAlive { phase: life.as_str().into(), percent });
        let due = if life == Phase::Complete { 0.0 } else { percent / 100.0 };
        self.engine.set_peer_share(due);
        if !self.superseded {
            self.tell_ration(now);
        }
        let running = matches!(life, Phase::Stepping | Phase::Held | Phase::RollingBack | Phase::Complete);
        let patience = if running { self.gradual.machine.max_silence() } else { IDLE_SILENCE };
        self.gradual.looks += 1;
        let looked = Micros::from(self.gradual.looks) * HOUSEKEEPING_US * 2 >= patience;
        if now - self.gradual.heard >= patience && looked {
            // This process may have been stalled itself: frames that are not read yet count as signs of life.
            let before = self.upgrade.events.len();
            self.upgrade.poll_peer();
            if self.upgrade.events.len() == before {
                return self.give_up(now, "it says nothing");
            }
        }
        let open = self.gradual.ledger.len();
        if self.gradual.machine.tick(now, open) == Some(Action::Complete) {
            self.hand_clients_over(now);
        }
    }
}
