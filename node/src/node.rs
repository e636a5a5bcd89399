//! The hub of the process, on one thread: it passes the events of clients, script hosts, the bus and operators to the
//! engine, and executes the engine's commands.

mod accord;
mod admission;
mod departed;
mod discovery;
mod dispatch;
mod drafts;
mod host_epochs;
mod lifecycle;
mod operators;
mod renumber;
mod request_log;
mod requests;
mod rollout;
mod stall;
mod turns;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use wheellink::engine::{AttemptId, Command, NewRequest, OrderId, Verdict};
use wheellink::{
    Class, Effect, Engine, FunctionId, HandoverState, ListEntry, ListKind, Micros, Outcome, PastAttempt,
    PreferredLocation, Renumbering, Settings, Tally, Ticket, WorkerId,
};
use wheellink_admission::{Owner, RequestInfo};
use wheellink_rollout::{Ledger, Version};
use wheellink_settings::Deployment;
use wheellink_turns::Turn;

use crate::bus::{self, Bus, Frame, Gap};
use crate::clock::steps::StepDetector;
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::conn::{fresh_id, Conn, ConnId};
use crate::control::{self, Control};
use crate::descriptors::{Bounds, Usage};
use crate::dnssd::{Browser, DnsSd};
use crate::faults::{inject, Fault};
use crate::front::invoke::{self, Invoke};
use crate::front::platform::frames::Request;
use crate::front::platform::{self, Platform};
use crate::front::Reply;
use crate::hosts::{self, Call, HostPool, SendLimits, StartTimes};
use crate::http::Response;
use crate::ipc::fields::AnswerFields;
use crate::listener::{self, Listener};
use crate::log::{Log, Reason};
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::startup;
use crate::upgrade::{self, Claim, Message, PeerEvent, ProcessState, Upgrade};
use crate::wake::{Handle, Wake};

use admission::AdmissionControl;
use departed::DepartedIds;
use drafts::DraftState;
use host_epochs::HostEpochs;
use request_log::Attempts;
use rollout::{Role, RolloutState};
use stall::StallDetector;
use turns::TurnRouting;

/// Time kept back from a request's timeout: the client counts from the last byte that it wrote until the answer has
/// reached it.
const DUE_MARGIN_US: Micros = 20_000;
/// Each of these may take one part in this many of the memory limit: bodies of open requests, bytes that clients have
/// not read yet, and incomplete answers of hosts. The program itself needs a few megabytes.
const MEMORY_PARTS: usize = 6;
/// Connections accepted per event of a listener, so that hundreds at once do not delay requests that have arrived.
const MAX_ACCEPTS_PER_WAKE: usize = 32;
/// Time after which a turn of the event loop no longer reads clients as they become ready. With the next limit, it is within the
/// margin of deadlines, so that timers are on time.
const MAX_WAKES_US: Micros = DUE_MARGIN_US / 2;
/// Time that a turn then spends on the clients that were postponed for that.
const MAX_POSTPONED_READS_US: Micros = DUE_MARGIN_US / 2;
/// Time that a turn spends on clients that have sent more than one visit takes.
const MAX_UNFINISHED_READS_US: Micros = 1_000;
/// Pause of a listener after there was no file descriptor for a connection.
const NO_DESCRIPTOR_PAUSE_US: Micros = 100_000;
/// Pause of the client listener while every connection waits for an answer.
const NO_ROOM_PAUSE_US: Micros = 5_000;
/// After SIGTERM, new requests may arrive for this long.
const SHUTDOWN_GRACE_US: Micros = 800_000;
/// After `SHUTDOWN_GRACE_US`, input that has arrived is still read, in this many iterations of the loop one after another
/// at most: clients that keep sending must not keep the process alive. Counted in iterations, because a process that was
/// not scheduled has read nothing in the time that passed.
const MAX_FINAL_ITERATIONS: u32 = 50;
/// Receive buffer for the bus: more than its longest frame.
const BUS_BUFFER_BYTES: usize = 256 << 10;
/// Hosts that operators may take out of service. Bounded, because an id is kept until the host is put back, even if the
/// host leaves the list.
const MAX_MANUAL_OUT: usize = 4096;
/// Interval between checks for idle connections and for connections that are not established in time.
const HOUSEKEEPING_US: Micros = startup::POLL_PERIOD.as_micros() as Micros;

/// A request that has no answer yet.
struct Pending {
    call: Call,
    origin: Origin,
    /// A host's answer, from its arrival until the engine's verdict.
    answer: Option<(AttemptId, Vec<u8>)>,
    /// The request as the engine got it. Its class is [`renumber::NO_CLASS`] if the configuration does not have it: only the
    /// other version of a rollout knows it, or a reload has removed it.
    new: NewRequest,
    /// The terms of its class when it arrived; `None` if only the other version of a rollout knows the class.
    terms: Option<Class>,
    arrived: Micros,
    attempts: Attempts,
    /// The processes that its attempts were sent to.
    met: HostEpochs,
    /// The version of a rollout that decides the request.
    version: Version,
    /// The owner that the memory of its body is charged to.
    owner: Owner,
    /// The client and tenant that it is counted for, if admission is configured.
    info: Option<RequestInfo>,
    /// Extra fields, if the holder of a rollout passed the request.
    passed: Option<Box<PassedFields>>,
}

/// Extra fields of a call that the holder of a rollout passed to this process, and of its answer.
#[derive(Default)]
struct PassedFields {
    /// Fields that are added to the request line to a host.
    request: String,
    /// Fields of the last successful answer of a host.
    reply: AnswerFields,
}

/// Where the answer to a request goes.
enum Origin {
    Platform(platform::Origin),
    Invoke(invoke::Origin),
    /// The other process of a rollout, with its sequence number of the call.
    Peer(u64),
}

/// A request as parsed by a front, independent of the front's protocol.
struct Incoming {
    id: String,
    class: usize,
    class_name: String,
    /// The terms of its class when it arrived; `None` if only the other version of a rollout knows the class.
    terms: Option<Class>,
    tenant: Option<usize>,
    function: String,
    timeout: Micros,
    lanes: u32,
    repeat: bool,
    /// Expected work; 0 if unknown.
    hint: Micros,
    key: Option<String>,
    body: Vec<u8>,
    /// The turn of a conversation that the request carries: conversation, new blocks and prefix.
    turn: Option<(u64, u16, Vec<u64>)>,
    /// The turn, once it has been placed.
    placed: Option<Turn>,
    /// Locations where the turn is best served.
    preferred: Vec<PreferredLocation>,
}

/// The front for clients and the source of the host list, by the kind of configuration.
enum Mode {
    Platform(Box<Platform>, Box<Bus>),
    Operator { front: Box<Invoke>, hosts: Box<DnsSd>, classes: Vec<(Micros, u32)>, ids: fastrand::Rng },
}

/// What a process with this configuration asks of the process that runs at its address: to take part in a rollout.
/// `None` if it only replaces that process.
pub fn rollout_request(config: &Config) -> Option<upgrade::Candidacy> {
    let setup = config.rollout.as_ref()?;
    let info = upgrade::VersionInfo {
        protocols: crate::ipc::PROTOCOLS.to_vec(),
        version: setup.version(),
        classes: rollout::class_policies(&config.deployment),
    };
    Some(upgrade::Candidacy { info, or_upgrade: setup.old_cannot == config::rollout::IfUnsupported::Upgrade })
}

/// The hub. The event loop in `main` calls it after each poll and in each iteration.
pub struct Node {
    handle: Handle,
    clock: Clock,
    clock_steps: StepDetector,
    stalls: StallDetector,
    metrics: Metrics,
    log: Log,
    /// The configuration in force. The fronts and the bus in `mode` keep copies of their parts.
    config: Config,
    engine: Engine,
    commands: VecDeque<Command>,
    /// A reused buffer for the engine's commands.
    scratch: Vec<Command>,
    pending: HashMap<Ticket, Pending>,
    /// Ids of the pending requests, by which duplicates are rejected.
    ids: HashSet<Rc<str>>,
    /// Ids of requests that may have run and are not pending any more.
    departed: DepartedIds,
    mode: Mode,
    hosts: HostPool,
    host_starts: StartTimes,
    peers: Option<Peers>,
    membership: Option<Membership>,
    drafts: Option<Box<DraftState>>,
    turn_routing: Option<Box<TurnRouting>>,
    /// The latest entry of each host that was found by DNS-SD.
    dns_hosts: BTreeMap<WorkerId, ListEntry>,
    /// The settings that the activators agree on, if that is set up.
    agreed: Option<accord::AgreedSettings>,
    /// The settings of the file with the agreed ones in their place.
    agreed_settings: Option<Settings>,
    /// The weights of sites that were agreed last.
    site_weights: BTreeMap<String, u32>,
    /// Hosts that operators have taken out of service.
    manual_out: BTreeSet<WorkerId>,
    client_listener: Option<Listener>,
    control_listener: Option<Listener>,
    control: Control,
    upgrade: Upgrade,
    rollout: RolloutState,
    admission: AdmissionControl,
    /// The listening socket, until this process accepts clients.
    bound_socket: Option<TcpListener>,
    /// A new process accepts the clients instead of this one.
    superseded: bool,
    /// Client connections of the other process at this address.
    peer_clients: usize,
    /// The time up to which tallies of the load budget were sent to the other process.
    tallied_until: Micros,
    /// Drained by an operator: requests are served, and clients are asked to send none.
    standby: bool,
    /// The host list was once up to date. A later failure of the bus does not reset this.
    caught_up: bool,
    /// The process stops waiting for an up-to-date host list at this time.
    catch_up_deadline: Micros,
    /// When SIGTERM was received.
    stopping: Option<Micros>,
    /// When the event loop last polled, by [`Clock::running`].
    polled_at: Micros,
    /// No client had sent anything in the last iteration of the loop.
    clients_idle: bool,
    /// Iterations one after another in which clients had input, once `SHUTDOWN_GRACE_US` after SIGTERM has passed.
    final_iterations: u32,
    last_housekeeping: Micros,
}

impl Node {
    /// Creates the hub of a process that started at `began`, with the listening socket and the state that a previous
    /// process at this address hands over.
    pub fn new(handle: Handle, mut config: Config, place: Claim, began: Instant) -> Result<Self, String> {
        let Claim { listener, predecessor } = place;
        let state = predecessor.as_ref().map(|p| p.state.clone());
        let upgrade = Upgrade::new(&handle, config.listen, predecessor)
            .map_err(|e| format!("cannot communicate with the other process at this address: {e}"))?;
        let transport = config.deployment.transport.clone();
        let descriptors = config.descriptors;
        let Bounds { clients, hosts: most } = descriptors.bounds(Usage::default());
        let share = config.memory_bytes / MEMORY_PARTS;
        let router = config.deployment.router(config.seed).map_err(|e| e.to_string())?;
        let mut known = Vec::new();
        let mode = match &mut config.mode {
            config::Mode::Platform { bus, offset, events } => {
                // The events of the configuration are used only at the start.
                known = std::mem::take(events);
                let front = Box::new(Platform::new(handle.clone(), (clients, share), transport.conn_idle));
                Mode::Platform(front, Box::new(Bus::new(*bus, *offset)))
            }
            config::Mode::Operator { resolver, service, bounds, classes } => {
                let d = &config.deployment;
                let names = (d.classes.clone(), d.tenants.clone());
                let front = Box::new(Invoke::new(
                    handle.clone(),
                    (clients, share),
                    transport.conn_idle,
                    *bounds,
                    names,
                ));
                let browser = Browser::new(service.clone(), d.zones.clone(), config.seed);
                let hosts = DnsSd::new(&handle, *resolver, browser);
                let hosts = Box::new(hosts.map_err(|e| format!("no socket for queries to {resolver}: {e}"))?);
                Mode::Operator {
                    front,
                    hosts,
                    classes: classes.clone(),
                    ids: fastrand::Rng::with_seed(config.seed),
                }
            }
        };
        let base = state.as_ref().and_then(|state| state.clock);
        let clock = base.map_or_else(Clock::default, Clock::from_base);
        let started = clock.now();
        let max_wait = startup::CATCH_UP_TIMEOUT.min(startup::MAX_STARTUP.saturating_sub(began.elapsed()));
        let mut node = Self {
            client_listener: None,
            control_listener: None,
            control: Control::new(handle.clone(), descriptors.operators()),
            upgrade,
            rollout: RolloutState::new(config.memory_bytes),
            admission: AdmissionControl::new(config.admission.as_ref(), descriptors.limit(), share),
            bound_socket: Some(listener),
            superseded: false,
            peer_clients: 0,
            tallied_until: 0,
            standby: false,
            caught_up: false,
            catch_up_deadline: started + max_wait.as_micros() as Micros,
            engine: Engine::new(router, transport.order_timeout),
            commands: VecDeque::new(),
            scratch: Vec::new(),
            pending: HashMap::new(),
            ids: HashSet::new(),
            departed: DepartedIds::default(),
            mode,
            hosts: HostPool::new(handle.clone(), transport, (most, share)),
            host_starts: StartTimes::default(),
            peers: None,
            membership: None,
            drafts: None,
            turn_routing: None,
            dns_hosts: BTreeMap::new(),
            agreed: None,
            agreed_settings: None,
            site_weights: BTreeMap::new(),
            manual_out: BTreeSet::new(),
            config,
            clock,
            clock_steps: StepDetector::default(),
            stalls: StallDetector::default(),
            metrics: Metrics::default(),
            log: Log::new(),
            stopping: None,
            polled_at: started,
            clients_idle: false,
            final_iterations: 0,
            last_housekeeping: 0,
            handle,
        };
        let admission = node.admission.is_on();
        if let Mode::Operator { front, .. } = &mut node.mode {
            front.checks_bodies = admission;
        }
        node.update_limits();
        node.configure_turns(started);
        if let Some(state) = &state {
            node.inherit(state);
        }
        for (i, event) in known.into_iter().enumerate() {
            let kind = if i == 0 { ListKind::Cached } else { event.kind };
            node.update_hosts(kind, event.hosts);
        }
        if let Some(state) = &state {
            // After the host list, because a full list resets the engine's estimates of hosts.
            let now = node.clock.now();
            let mut handover = state.engine_state();
            if let Some(holder) = state.rollout.clone() {
                // The holder keeps the load budget.
                let tallies = std::mem::take(&mut handover.tallies);
                node.join_rollout(now, holder, tallies);
            }
            node.run_engine(|engine, out| engine.inherit(now, handover, out));
        }
        node.process_events();
        Ok(node)
    }

    fn clients(&self) -> usize {
        match &self.mode {
            Mode::Platform(front, _) => front.connections(),
            Mode::Operator { front, .. } => front.connections(),
        }
    }

    fn host_ready(&mut self, id: ConnId) {
        self.hosts.ready(self.clock.now(), id, &mut self.log);
        self.process_events();
    }

    fn next_tick(&self, now: Micros) -> Micros {
        let discovery = match &self.mode {
            Mode::Platform(_, bus) => bus.next_tick(),
            Mode::Operator { hosts, .. } => hosts.browser.next_tick(),
        };
        let engine = self.engine.next_tick().unwrap_or(Micros::MAX);
        let hosts = self.hosts.next_tick().unwrap_or(Micros::MAX);
        let listeners =
            self.client_listener.iter().chain(&self.control_listener).map(Listener::next_tick).min();
        let listeners = listeners.unwrap_or(Micros::MAX);
        let housekeeping = self.last_housekeeping + HOUSEKEEPING_US;
        let membership = self.membership.as_ref().map_or(Micros::MAX, |f| f.next_tick(now));
        let drafts = self.drafts.as_ref().map_or(Micros::MAX, |d| d.next_tick(now));
        let agreed = self.next_accord_timer(now);
        engine
            .min(hosts)
            .min(discovery)
            .min(membership)
            .min(drafts)
            .min(self.next_turn_timer(now))
            .min(agreed)
            .min(listeners)
            .min(housekeeping)
            .min(self.rollout.next_tick(now))
    }

    /// Whether input of a client was left unread so that other clients were not delayed.
    fn has_more(&self) -> bool {
        match &self.mode {
            Mode::Platform(front, _) => front.has_pending_reads(),
            Mode::Operator { front, .. } => front.has_pending_reads(),
        }
    }

    /// Must be called after each poll of the event loop, with the timeout of the poll: detects stalls of the process.
    pub fn polled(&mut self, wait: Duration) {
        let now = self.clock.running();
        self.polled_at = now;
        if let Some(stall) = self.stalls.polled(now, wait) {
            self.metrics.hold_ups.inc();
            self.log.line(now, format_args!("held up for {} ms", stall / 1000));
        }
    }

    /// Handles an event of the loop. The caller handles `Wake::Reload`, because it knows the path of the configuration.
    pub fn handle_wake(&mut self, wake: Wake) {
        self.tick_accord();
        self.clients_idle &= !matches!(wake, Wake::Client(_) | Wake::Clients);
        match wake {
            Wake::Client(id) => self.client_ready(id),
            Wake::Host(id) => self.host_ready(id),
            Wake::Caller(id) => self.caller_ready(id),
            Wake::Peer(id) => self.peer_ready(id),
            Wake::Bus => self.bus_ready(),
            Wake::Resolver => self.dns_ready(),
            Wake::ResolverConn(id) => self.dns_tcp_ready(id),
            Wake::Clients => self.accept(),
            Wake::Callers => self.accept_callers(),
            Wake::PeerArrival => self.guests_ready(),
            Wake::Peers => self.peers_ready(),
            Wake::Members => self.members_ready(),
            Wake::AccordPrepared => self.accord_prepared(),
            Wake::Stop => self.stop(),
            Wake::Reload => {}
        }
    }

    /// Whether a timer is due. Holds the clock until the end of the iteration: if the process is stopped between a poll
    /// and the iteration, no further timer becomes due before the input that arrived meanwhile is read.
    pub fn is_due(&mut self) -> bool {
        let now = self.clock.freeze();
        self.next_tick(now) <= now
    }

    /// One iteration of the loop: runs the timers if any is due. Returns the time until the next one is.
    pub fn run_iteration(&mut self, due: bool) -> Duration {
        self.clients_idle = !self.has_more();
        if self.tick_accord() {
            self.process_events();
        }
        // One step per iteration, so that events are handled between two steps.
        let more = self.run_accord_step();
        let now = self.clock.now();
        if self.hosts.has_pending_reads() {
            self.hosts.resume_reads(now, &mut self.log);
            self.process_events();
        }
        self.resume_reads(now);
        if due {
            self.run_engine(|engine, out| engine.tick(now, out));
            self.hosts.tick(now, &mut self.log);
            self.tick_members(now);
            self.tick_drafts(now);
            self.propose_drafts(now);
            self.tick_turns();
            let housekeeping = self.last_housekeeping + HOUSEKEEPING_US <= now;
            if housekeeping {
                self.last_housekeeping = now;
                self.check_clock_step(now);
                self.update_limits();
                self.control.tick(now, &mut self.log);
                self.log_refusals(now);
                if self.superseded {
                    self.send_tally(now);
                }
            }
            self.tick_rollout(now, housekeeping);
            let is_candidate = self.rollout.role == Role::Candidate;
            if self.bound_socket.is_some() && !is_candidate && self.is_caught_up(now) {
                if let Err(problem) = self.start_accepting() {
                    self.log.line(now, problem);
                }
            }
            self.client_listener
                .iter_mut()
                .chain(&mut self.control_listener)
                .for_each(|listener| listener.tick(now));
            match &mut self.mode {
                Mode::Platform(front, _) => {
                    if housekeeping {
                        front.tick(now, &mut self.log);
                    }
                    self.tick_bus(now);
                }
                Mode::Operator { front, hosts, .. } => {
                    if housekeeping {
                        front.tick(now, &mut self.log);
                    }
                    let changes = hosts.tick(now, &mut self.log);
                    front.ready = hosts.browser.any_up();
                    self.update_hosts(ListKind::Delta, changes);
                }
            }
            self.process_events();
        }
        self.clock.unfreeze();
        if more || self.has_more() || self.hosts.has_pending_reads() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let wait = (self.next_tick(now) - now).clamp(0, HOUSEKEEPING_US);
        Duration::from_micros(wait as u64)
    }

    fn run_engine<T>(&mut self, f: impl FnOnce(&mut Engine, &mut Vec<Command>) -> T) -> T {
        let mut out = std::mem::take(&mut self.scratch);
        let result = f(&mut self.engine, &mut out);
        self.commands.extend(out.drain(..));
        self.scratch = out;
        result
    }

    /// Executes commands and handles events until none is queued.
    fn process_events(&mut self) {
        loop {
            if let Some(command) = self.commands.pop_front() {
                self.execute(command);
            } else if let Some(notice) = self.hosts.events.pop_front() {
                self.handle_host_notice(notice);
            } else if let Some(event) = self.upgrade.events.pop_front() {
                let now = self.clock.now();
                self.handle_peer_event(now, event);
            } else if let Some((caller, call)) = self.control.commands.pop() {
                let now = self.clock.now();
                let answer = self.operate(now, call);
                self.control.answer(now, caller, answer, &mut self.log);
            } else if !self.handle_front_notices() {
                break;
            }
        }
        if self.hosts.exhausted {
            let now = self.clock.now();
            self.make_room_for_hosts(now);
        }
    }

    fn execute(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            // The agreed settings by which the attempt was decided are no longer in force: the engine decides again.
            Command::Send { attempt, host, .. } if self.tick_accord() || inject(Fault::Attempt).is_err() => {
                self.announce_unsent(now, attempt, host)
            }
            // The process has stalled since the attempt was decided.
            Command::Send { attempt, host, leave_by, .. } if self.clock.running() > leave_by => {
                self.announce_unsent(now, attempt, host)
            }
            Command::Send { attempt, host, .. } if self.would_meet_another_process(attempt, &host) => {
                self.log_withheld_repeat(now, attempt, &host);
                self.announce_unsent(now, attempt, host)
            }
            Command::Send { attempt, host, until, leave_by } => {
                self.turn_attempt_sent(now, attempt, &host);
                self.log_attempt(now, attempt, &host);
                let process = self.bound_process(attempt, &host);
                self.send_attempt(now, attempt, host, SendLimits { until, leave_by, process })
            }
            Command::Cancel { attempt } => {
                if !self.cancel_unsent(now, attempt) {
                    self.hosts.cancel(now, attempt, &mut self.log)
                }
            }
            Command::Withdraw { attempt } => {
                if !self.cancel_unsent(now, attempt) {
                    self.hosts.withdraw_attempt(now, attempt, &mut self.log);
                }
            }
            Command::Load { order, host, function, copies } => {
                self.metrics.load_orders.inc();
                self.load_function(now, order, host, function, copies)
            }
            Command::Unload { host, function } => self.hosts.unload(now, &host, &function, &mut self.log),
            Command::Probe { host } => self.hosts.probe(now, &host, &mut self.log),
            Command::Broadcast { data } => self.peers.iter().for_each(|peers| peers.broadcast(&data)),
            Command::Answer { ticket, verdict } => self.deliver_verdict(now, ticket, verdict),
            Command::Log { text } => self.log.line(now, text),
        }
    }
}
