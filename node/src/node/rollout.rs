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
const MAX_PASSED_CALLS: usize = 512;
/// No call is passed while more bytes than this are queued for the candidate: it is slow, and the holder decides the
/// calls itself.
const MAX_BACKLOG_BYTES: usize = 1 << 20;
/// The candidate's deadline for a call is this much earlier than the holder's.
const PASS_MARGIN_US: Micros = 10_000;
/// Silence after which the holder gives a candidate up while no plan runs: the candidate may be starting, or an operator
/// may be inspecting it.
const MAX_IDLE_SILENCE_US: Micros = 5_000_000;
/// Time that a process has to exit by itself after its connection has ended; then it is killed.
const EXIT_GRACE_US: Micros = 100_000;
/// Time that a lost process has to exit. One that has not exited by then is treated as possibly still running.
const EXIT_TIMEOUT_US: Micros = 300_000;
/// Interval of the checks whether the lost process has exited.
const EXIT_POLL_US: Micros = 1_000;
/// Bit that marks tickets of passed calls. The engine numbers its own tickets from 1.
const PASSED_BIT: u64 = 1 << 63;
/// Limit of a candidate's load orders that wait for a grant. The engine ends each one at its timeout.
const MAX_GRANT_REQUESTS: usize = 256;
/// After the holder has denied an order the candidate requests none for this long: the load budget changes only with
/// calls and over seconds.
const DENIAL_HOLDOFF_US: Micros = 100_000;
/// Limit of attempts that wait until their announcement is written. Each belongs to a passed call.
const MAX_UNSENT_ATTEMPTS: usize = MAX_PASSED_CALLS;

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
    returned: u64,
    rerun: u64,
    failed: u64,
    refused: u64,
    granted: u64,
    denied: u64,
}

/// The other process after its connection was lost or closed. It may still have attempts in flight.
struct LostPeer {
    process: Option<Process>,
    since: Micros,
}

/// The state of a rollout in this process.
pub(super) struct RolloutState {
    pub(super) role: Role,
    machine: Rollout,
    ledger: Ledger,
    /// Holder only: the announced attempt in flight of each passed call, by sequence number.
    in_flight: HashMap<u64, u32>,
    /// The version of the protocol on the connection to the other process.
    protocol: u32,
    last_seq: u64,
    counts: Counts,
    /// The other process's version and classes, the strictest policies of both, and the differences.
    peer: VersionInfo,
    policies: Vec<ClassPolicy>,
    differences: Vec<PolicyDifference>,
    last_heard: Micros,
    /// Housekeeping ticks since `heard`. Silence has to last in ticks too, so that a jump of the clock is not taken
    /// for silence.
    silent_ticks: u32,
    /// Whether the candidate has reported that its host list is up to date.
    caught_up: bool,
    lost_peer: Option<LostPeer>,
    /// Candidate only: the tickets of passed calls by the holder's sequence numbers.
    calls: HashMap<u64, Ticket>,
    /// Attempts whose announcement is not written yet, each with the byte offset at which it will be.
    unsent: VecDeque<(u64, AttemptId, WorkerId, SendLimits)>,
    grant_requests: HashMap<OrderId, (WorkerId, FunctionId, u32)>,
    request_after: Micros,
    /// The holder's tallies for the load budget.
    tallies: Vec<Tally>,
    /// Phase and percentage that the holder reported last.
    holder_status: (String, f64),
    dismissed: Option<String>,
}

impl RolloutState {
    pub(super) fn new(memory: usize) -> Self {
        Self {
            role: Role::Alone,
            machine: Rollout::default(),
            ledger: Ledger::new(MAX_PASSED_CALLS, memory / MEMORY_PARTS / 2),
            in_flight: HashMap::new(),
            protocol: 0,
            last_seq: 0,
            counts: Counts::default(),
            peer: VersionInfo::default(),
            policies: Vec::new(),
            differences: Vec::new(),
            last_heard: 0,
            silent_ticks: 0,
            caught_up: false,
            lost_peer: None,
            calls: HashMap::new(),
            unsent: VecDeque::new(),
            grant_requests: HashMap::new(),
            request_after: 0,
            tallies: Vec::new(),
            holder_status: (Phase::Idle.as_str().into(), 0.0),
            dismissed: None,
        }
    }

    /// Limits the bodies of passed calls to half of the memory for bodies: the other process holds a copy of each.
    pub(super) fn limit_body_bytes(&mut self, bodies: usize) {
        self.ledger.set_max_bytes(bodies / 2);
    }

    /// Whether another process takes part in a rollout, or a lost one may still be running. No third process may connect
    /// meanwhile.
    pub(super) fn is_busy(&self) -> bool {
        self.role != Role::Alone || self.lost_peer.is_some()
    }

    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let lost = self.lost_peer.as_ref().map_or(Micros::MAX, |_| now + EXIT_POLL_US);
        lost.min(self.ledger.next_deadline().unwrap_or(Micros::MAX))
    }

    /// Whether the holder has dismissed this process.
    pub(super) fn is_dismissed(&self) -> bool {
        self.dismissed.is_some()
    }
}

fn ticket_of(seq: u64) -> Ticket {
    Ticket(PASSED_BIT | seq)
}

fn seq_of(ticket: Ticket) -> Option<u64> {
    (ticket.0 & PASSED_BIT != 0).then_some(ticket.0 & !PASSED_BIT)
}

/// The retry policies of a deployment's classes.
pub fn class_policies(deployment: &Deployment) -> Vec<ClassPolicy> {
    let attempts = deployment.settings.max_attempts;
    let named = deployment.classes.iter().zip(&deployment.settings.classes);
    named
        .map(|(name, c)| ClassPolicy { name: name.clone(), policy: RetryPolicy::new(c.effect, attempts) })
        .collect()
}

impl Node {
    /// The settings that this process follows: its own, and during a rollout the stricter of both versions'.
    pub(super) fn effective_settings(&self) -> Settings {
        let d = &self.config.deployment;
        let mut settings = self.agreed_settings().clone();
        for class in &self.rollout.policies {
            if let Some(i) = d.class(&class.name) {
                settings.classes[i].effect = class.policy.effect();
            }
            settings.max_attempts = settings.max_attempts.min(class.policy.attempts).max(1);
        }
        settings
    }

    /// Computes the strictest policies of both versions and applies them to the engine.
    pub(super) fn apply_policies(&mut self, now: Micros) {
        let (own, theirs) =
            (class_policies(&self.config.deployment), std::mem::take(&mut self.rollout.peer.classes));
        let (policies, differences) = match self.rollout.role {
            Role::Alone => (Vec::new(), Vec::new()),
            Role::Holder => strictest_policies(&own, &theirs),
            Role::Candidate | Role::Successor => strictest_policies(&theirs, &own),
        };
        self.rollout.peer.classes = theirs;
        for d in differences.iter().filter(|d| !self.rollout.differences.contains(d)) {
            self.log.line(now, format_args!("rollout: {d}"));
        }
        self.rollout.differences = differences;
        if policies != self.rollout.policies {
            self.rollout.policies = policies;
            let (settings, timeout) =
                (self.effective_settings(), self.config.deployment.transport.order_timeout);
            self.run_engine(|engine, out| engine.update_settings(now, settings, timeout, out));
        }
    }

    /// After a change of configuration: sends the classes to the other version and computes the strictest policies again.
    pub(super) fn policies_changed(&mut self, now: Micros) {
        if self.rollout.role != Role::Alone {
            let classes = class_policies(&self.config.deployment);
            self.upgrade.send_frame(&Frame::Classes(classes));
            self.apply_policies(now);
        }
    }

    pub(super) fn class_policy(&self, class: &str) -> Option<RetryPolicy> {
        self.rollout.policies.iter().find(|c| c.name == class).map(|c| c.policy)
    }

    /// Whether only the new version knows this class, and calls are passed to it now.
    pub(super) fn only_peer_decides(&self, class: &str) -> bool {
        let r = &self.rollout;
        let open = r.role == Role::Holder && r.machine.passes_calls() && r.machine.share() > Share::NONE;
        open && self.config.deployment.class(class).is_none()
            && r.peer.classes.iter().any(|c| c.name == class)
    }
}

impl Node {
    pub(super) fn handle_frame(&mut self, now: Micros, frame: Frame) {
        (self.rollout.last_heard, self.rollout.silent_ticks) = (now, 0);
        let result = match self.rollout.role {
            Role::Holder => self.handle_candidate_frame(now, frame),
            Role::Candidate | Role::Successor => self.handle_holder_frame(now, frame),
            Role::Alone => return,
        };
        if let Err(fault) = result {
            self.log.line(now, format_args!("rollout: the other process broke the protocol: {fault}"));
            match self.rollout.role {
                Role::Holder => self.give_up(now, "it broke the protocol"),
                _ => self.upgrade.drop_peer("it broke the protocol"),
            }
        }
    }

    /// Handles the end of the connection to the other process. Returns false without a rollout.
    pub(super) fn rollout_peer_lost(&mut self, now: Micros, reason: &str) -> bool {
        match self.rollout.role {
            Role::Alone => return false,
            Role::Holder => {
                self.log.line(now, format_args!("rollout: connection to the new version lost: {reason}"));
                let process = self.upgrade.take_process();
                self.candidate_lost(now, process, Cause::CandidateLost("its connection has ended"));
            }
            Role::Candidate | Role::Successor => self.holder_lost(now),
        }
        true
    }

    /// Handles timeouts; `housekeeping` is true a few times a second.
    pub(super) fn tick_rollout(&mut self, now: Micros, housekeeping: bool) {
        for seq in self.rollout.ledger.take_overdue(now) {
            self.upgrade.send_frame(&Frame::Abandoned { seq });
            self.deliver_verdict(now, ticket_of(seq), Verdict::TimedOut);
        }
        match self.rollout.role {
            Role::Candidate if self.rollout.lost_peer.is_some() => self.succeed_holder(now),
            _ => self.check_lost_peer(now),
        }
        if !housekeeping {
            return;
        }
        self.send_announced(now);
        match self.rollout.role {
            Role::Alone => {}
            Role::Holder => self.check_candidate(now),
            Role::Candidate | Role::Successor => {
                let caught_up = self.is_caught_up(now);
                self.upgrade.send_frame(&Frame::CandidateAlive { caught_up });
                if self.rollout.role == Role::Candidate {
                    self.send_tallies(now);
                }
            }
        }
        for change in self.rollout.machine.take_transitions() {
            let name = self.rollout.machine.plan().map_or("", |(plan, _)| &plan.name);
            let (from, to) = (change.from.as_str(), change.to.as_str());
            let percent = change.share.percent();
            self.log
                .line(now, format_args!("rollout {name}: {from} to {to} at {percent}%: {}", change.cause));
        }
    }

    pub(super) fn send_tallies(&mut self, now: Micros) {
        let tallies = upgrade::to_rows(self.engine.tallies(self.tallied_until));
        self.tallied_until = now;
        if !tallies.is_empty() {
            self.upgrade.send_frame(&Frame::Tallies(tallies));
        }
    }

    /// Forwards to the candidate that the client of a passed call has closed its sending side. Returns false if the call
    /// was not passed.
    pub(super) fn forward_half_close(&mut self, of: Ticket, since: Micros) -> bool {
        let Some(seq) = seq_of(of) else { return false };
        self.upgrade.send(&Message::HalfClosed { seq, since });
        true
    }

    /// Tells the engine that the client of a call passed to this process has closed its sending side.
    pub(super) fn peer_client_half_closed(&mut self, now: Micros, seq: u64, since: Micros) {
        if let Some(ticket) = self.rollout.calls.get(&seq).copied() {
            self.run_engine(|engine, out| engine.client_half_closed(now, ticket, since, out));
        }
    }

    fn check_candidate(&mut self, now: Micros) {
        let (phase, percent) = (self.rollout.machine.phase(), self.rollout.machine.share().percent());
        self.upgrade.send_frame(&Frame::HolderAlive { phase: phase.as_str().into(), percent });
        let due = if phase == Phase::Complete { 0.0 } else { percent / 100.0 };
        self.engine.set_peer_share(due);
        if !self.superseded {
            self.send_tallies(now);
        }
        let running = matches!(phase, Phase::Stepping | Phase::Held | Phase::RollingBack | Phase::Complete);
        let max_silence = if running { self.rollout.machine.max_silence() } else { MAX_IDLE_SILENCE_US };
        self.rollout.silent_ticks += 1;
        let ticked = Micros::from(self.rollout.silent_ticks) * HOUSEKEEPING_US * 2 >= max_silence;
        if now - self.rollout.last_heard >= max_silence && ticked {
            // This process may have been stalled itself: frames that are not read yet count as signs of life.
            let before = self.upgrade.events.len();
            self.upgrade.poll_peer();
            if self.upgrade.events.len() == before {
                return self.give_up(now, "it says nothing");
            }
        }
        let open = self.rollout.ledger.len();
        if self.rollout.machine.tick(now, open) == Some(Action::Complete) {
            self.hand_over_clients(now);
        }
    }
}
