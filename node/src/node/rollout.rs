//! Gradual versions, bound to requests, engine and wire. What is decided here is decided by `wheellink_rollout`.
//!
//! The holder passes calls, answers them and owes that; the candidate decides them and tells of each attempt
//! before its first byte leaves.

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

/// Calls that the candidate decides at once: at 30,000 calls a second, those of 17 ms.
const MOST_PASSED: usize = 512;
/// With more bytes on their way to the candidate nothing more is passed: it is slow, and calls stay here.
const BACKLOG: usize = 1 << 20;
/// The candidate answers this much before the holder must.
const PASS_MARGIN: Micros = 10_000;
/// Where no plan says how long a candidate may be silent: it may be starting, or an operator may look at it.
const IDLE_SILENCE: Micros = 5_000_000;
/// A process whose connection has ended by itself is given so long to come to its own end.
const LAST_WORDS: Micros = 100_000;
/// A process that was ended is gone within this; then it is taken to be cut off somewhere.
const BURIAL: Micros = 300_000;
/// How often a process that is being ended is asked about.
const BURIAL_LOOK: Micros = 1_000;
/// Marks tickets of passed calls: the engine counts its own from 1.
const PASSED: u64 = 1 << 63;
/// Orders of a candidate that wait for a grant; the engine ends each after its own time.
const MOST_ASKED: usize = 256;
/// After an order was denied none is asked for so long: the ration moves by calls and seconds.
const DENIED: Micros = 100_000;
/// Attempts that wait for their word to leave. Each belongs to a passed call.
const MOST_WAITING: usize = MOST_PASSED;

/// What this process is to the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// No rollout.
    #[default]
    Alone,
    /// It has the clients, and passes calls.
    Holder,
    /// It decides what is passed, and takes no clients.
    Candidate,
    /// It was a candidate and takes clients; the holder still passes what its clients send.
    Successor,
}

/// What was counted, for operators and measurements.
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

/// The other process has been given up, and may still have attempts out.
struct Burial {
    process: Option<Process>,
    since: Micros,
}

/// See the module's page.
pub(super) struct Gradual {
    pub(super) role: Role,
    machine: Rollout,
    ledger: Ledger,
    /// Of a holder: the attempt that is out of each passed call, as far as it was told.
    out: HashMap<u64, u32>,
    /// The protocol that is spoken.
    protocol: u32,
    seq: u64,
    counts: Counts,
    /// The other side's name and classes, what binds both, and where they differ.
    peer: VersionInfo,
    bound: Vec<ClassPolicy>,
    differ: Vec<PolicyDifference>,
    heard: Micros,
    /// Looks since then: a clock that jumps is no silence.
    looks: u32,
    /// The candidate's host list is as new as can be told.
    caught_up: bool,
    burial: Option<Burial>,
    /// Of a candidate: its calls by the holder's numbers.
    calls: HashMap<u64, Ticket>,
    /// Attempts whose word has not left: by which byte it will have.
    waiting: VecDeque<(u64, AttemptId, WorkerId, CallTimes)>,
    asked: HashMap<OrderId, (WorkerId, FunctionId, u32)>,
    ask_again: Micros,
    /// What the holder counts for the ration of orders.
    ration: Vec<Tally>,
    /// Where the holder says that the rollout is.
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

    /// Bodies of passed calls are a half of all bodies at the most: the other process holds them too.
    pub(super) fn bound(&mut self, bodies: usize) {
        self.ledger.set_max_bytes(bodies / 2);
    }

    /// Whether another process decides, or has decided, some of the calls: nobody else may come meanwhile.
    pub(super) fn is_busy(&self) -> bool {
        self.role != Role::Alone || self.burial.is_some()
    }

    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let burial = self.burial.as_ref().map_or(Micros::MAX, |_| now + BURIAL_LOOK);
        burial.min(self.ledger.next_deadline().unwrap_or(Micros::MAX))
    }

    /// Whether it is wanted no more.
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

/// What a deployment's classes allow, by name.
pub fn classes(deployment: &Deployment) -> Vec<ClassPolicy> {
    let attempts = deployment.settings.max_attempts;
    let named = deployment.classes.iter().zip(&deployment.settings.classes);
    named
        .map(|(name, c)| ClassPolicy { name: name.clone(), policy: RetryPolicy::new(c.effect, attempts) })
        .collect()
}

impl Node {
    /// The settings that bind this process: its own, and where another version is there the stricter side's.
    pub(super) fn binding(&self) -> Settings {
        let d = &self.config.deployment;
        let mut settings = self.agreed_settings().clone();
        for bound in &self.gradual.bound {
            if let Some(i) = d.class(&bound.name) {
                settings.classes[i].effect = bound.policy.effect();
            }
            settings.max_attempts = settings.max_attempts.min(bound.policy.attempts).max(1);
        }
        settings
    }

    /// Works out what binds both versions, and has the engine keep to it.
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

    /// The configuration has changed: the other version is told, and what binds both is worked out anew.
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

    /// Whether only the new version knows this class, and decides calls now.
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

    /// The connection to the other process of a rollout has ended. False where there was none.
    pub(super) fn rollout_peer_left(&mut self, now: Micros, why: &str) -> bool {
        match self.gradual.role {
            Role::Alone => return false,
            Role::Holder => {
                self.log.line(now, format_args!("rollout: the new version is gone: {why}"));
                let process = self.upgrade.take_process();
                self.bury(now, process, Cause::CandidateLost("its connection has ended"));
            }
            Role::Candidate | Role::Successor => self.holder_left(now),
        }
        true
    }

    /// What is due; `often` is true a few times a second.
    pub(super) fn tick_rollout(&mut self, now: Micros, often: bool) {
        for seq in self.gradual.ledger.take_overdue(now) {
            self.upgrade.send_frame(&Frame::Abandoned { seq });
            self.deliver_verdict(now, ticket(seq), Verdict::TimedOut);
        }
        match self.gradual.role {
            Role::Candidate if self.gradual.burial.is_some() => self.succeed_holder(now),
            _ => self.look_at_burial(now),
        }
        if !often {
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

    /// The client of a passed call has ended its side of the connection. False where the call was not passed.
    pub(super) fn passed_half_closed(&mut self, of: Ticket, since: Micros) -> bool {
        let Some(seq) = seq(of) else { return false };
        self.upgrade.send(&Message::HalfClosed { seq, since });
        true
    }

    /// ... which was passed to this process.
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
            // This process may have been held up itself: what waits to be read counts.
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
