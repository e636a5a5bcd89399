//! The node: one engine, the fronts before it, the hosts and the bus behind it, on one thread. It hands what
//! each of them has learnt to the engine and carries out what the engine commands.

mod accord;
mod admission;
mod drafts;
mod held_up;
mod life;
mod news;
mod operators;
mod request_log;
mod requests;
mod rollout;
mod together;
mod turns;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use wheellink::engine::{AttemptId, Command, NewRequest, OrderId, Verdict};
use wheellink::{
    Effect, Engine, FunctionId, HandoverState, ListEntry, ListKind, Micros, Outcome, PastAttempt,
    PreferredLocation, Settings, Tally, Ticket, WorkerId,
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
use crate::descriptors::{Bounds, Held};
use crate::dnssd::{Browser, DnsSd};
use crate::faults::{inject, Fault};
use crate::front::invoke::{self, Invoke};
use crate::front::platform::frames::Request;
use crate::front::platform::{self, Platform};
use crate::front::Reply;
use crate::hosts::{self, Call, CallTimes, Hosts, Starts};
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
use drafts::Drafting;
use held_up::HeldUp;
use request_log::Attempts;
use rollout::{Gradual, Role};
use turns::Turning;

/// A client's time runs from when it wrote the last byte: the answer must have reached it before it ends.
const DUE_MARGIN: Micros = 20_000;
/// Parts of the memory limit that bodies of open requests, bytes for clients that do not read, and answers
/// that are not whole may take, each of them. The program itself needs a few megabytes.
const MEMORY_SHARE: usize = 6;
/// Connections taken in at one go: hundreds at once must not keep the loop from those that have asked.
const ACCEPT_AT_ONCE: usize = 32;
/// For so long nothing is accepted when there was no descriptor for a connection.
const NO_DESCRIPTOR: Micros = 100_000;
/// ... and when all places are held by clients that are owed an answer.
const NO_ROOM: Micros = 5_000;
/// After SIGTERM requests keep coming for this long.
const STILL_COMING: Micros = 800_000;
/// ... and what is there to be read by then is read first, in so many turns of the loop at most: a client that sends
/// without end must not keep the process. Turns and not time, as a process that had no processor has used none.
const LAST_TURNS: u32 = 1_000;
/// What the bus may have on its way: the longest frame and more.
const BUS_RING: usize = 256 << 10;
/// Hosts that operators may have taken out: ids are kept for good.
const MOST_BARRED: usize = 4096;
/// Between looks at connections that are idle or do not come up.
const HOUSEKEEPING: Micros = startup::POLL_PERIOD.as_micros() as Micros;

/// A request that is owed an answer.
struct Pending {
    call: Call,
    origin: Origin,
    /// What a host gave for it, between its arrival and the engine's verdict.
    answer: Option<(AttemptId, Vec<u8>)>,
    /// What the engine was told of it; a class that only the other version of a rollout knows has no index here.
    new: NewRequest,
    arrived: Micros,
    attempts: Attempts,
    /// Which version decides it.
    by: Version,
    /// Whose memory its body takes, and whom it counts for.
    owner: Owner,
    asking: Option<RequestInfo>,
    /// What came with it, where another process passed it.
    passed: Option<Box<FromHolder>>,
}

/// What comes with a call that the holder of a rollout passes, and what goes back with its answer.
#[derive(Default)]
struct FromHolder {
    /// Further fields of its line to a host.
    line: String,
    /// What the host said that answered last.
    said: AnswerFields,
}

/// Who is owed it.
enum Origin {
    Platform(platform::Origin),
    Invoke(invoke::Origin),
    /// The other process of a rollout, by its number of the call.
    Peer(u64),
}

/// A request in no front's words.
struct Incoming {
    id: String,
    class: usize,
    class_name: String,
    tenant: Option<usize>,
    function: String,
    timeout: Micros,
    lanes: u32,
    repeat: bool,
    /// Work expected; 0 where it is not told.
    hint: Micros,
    key: Option<String>,
    body: Vec<u8>,
    /// The turn of a conversation that it carries: its conversation, new blocks and prefix.
    turn: Option<(u64, u16, Vec<u64>)>,
    /// ... once it was placed, and where it is best served.
    placed: Option<Turn>,
    advice: Vec<PreferredLocation>,
}

/// Who speaks with clients, and who tells of hosts.
enum Side {
    Platform(Box<Platform>, Box<Bus>),
    Operator { front: Box<Invoke>, hosts: Box<DnsSd>, classes: Vec<(Micros, u32)>, ids: fastrand::Rng },
}

/// What a process of this configuration wants of one that runs at its address, where that is more than its place.
pub fn wish(config: &Config) -> Option<upgrade::Candidacy> {
    let setup = config.rollout.as_ref()?;
    let info = upgrade::VersionInfo {
        protocols: crate::ipc::PROTOCOLS.to_vec(),
        version: setup.version(),
        classes: rollout::classes(&config.deployment),
    };
    Some(upgrade::Candidacy { info, or_upgrade: setup.old_cannot == config::rollout::IfUnsupported::Upgrade })
}

pub struct Node {
    handle: Handle,
    clock: Clock,
    clock_steps: StepDetector,
    held_up: HeldUp,
    metrics: Metrics,
    log: Log,
    /// The configuration in force; what `side` holds of it is the fronts' and the bus's.
    config: Config,
    engine: Engine,
    commands: VecDeque<Command>,
    scratch: Vec<Command>,
    pending: HashMap<Ticket, Pending>,
    /// Ids of the pending requests, as clients chose them.
    ids: HashSet<Rc<str>>,
    side: Side,
    hosts: Hosts,
    host_starts: Starts,
    peers: Option<Peers>,
    membership: Option<Membership>,
    drafting: Option<Box<Drafting>>,
    turning: Option<Box<Turning>>,
    /// An operator's hosts as they were told last.
    listed: BTreeMap<WorkerId, ListEntry>,
    /// Settings with versions, where they are agreed; and the file's with what is obeyed in their place.
    agreed: Option<accord::Agreed>,
    agreed_settings: Option<Settings>,
    /// Weights of sites as they were last agreed.
    weighed: BTreeMap<String, u32>,
    /// Hosts that operators have taken out here.
    by_hand: BTreeSet<WorkerId>,
    client_listener: Option<Listener>,
    control_listener: Option<Listener>,
    control: Control,
    upgrade: Upgrade,
    gradual: Gradual,
    admission: AdmissionControl,
    /// The listening socket, until this process takes clients.
    bound_socket: Option<TcpListener>,
    /// A new process takes the clients.
    succeeded: bool,
    /// Connections of clients that the peer holds.
    peer_clients: usize,
    /// Up to when the successor was told what counts for the ration.
    tallied: Micros,
    /// Drained by an operator: serves what comes, and asks clients not to.
    standby: bool,
    /// The host list was once as new as could be told: a bus that breaks later does not undo that.
    caught_up: bool,
    /// When it has waited long enough for news of the host list.
    patient_until: Micros,
    stopping: Option<Micros>,
    /// No client had anything to say in the last turn of the loop.
    clients_silent: bool,
    /// Turns since then that the process could have ended in.
    last_turns: u32,
    kept_house: Micros,
}

impl Node {
    /// With its listening socket, and what the process tells that was there before.
    pub fn new(handle: Handle, mut config: Config, place: Claim, began: Instant) -> Result<Self, String> {
        let Claim { listener, predecessor } = place;
        let state = predecessor.as_ref().map(|p| p.state.clone());
        let upgrade = Upgrade::new(&handle, config.listen, predecessor)
            .map_err(|e| format!("no word with the peer: {e}"))?;
        let transport = config.deployment.transport.clone();
        let descriptors = config.descriptors;
        let Bounds { clients, hosts: most } = descriptors.alone(Held::default());
        let share = config.memory_bytes / MEMORY_SHARE;
        let router = config.deployment.router(config.seed).map_err(|e| e.to_string())?;
        let mut known = Vec::new();
        let side = match &mut config.mode {
            config::Mode::Platform { bus, offset, events } => {
                // Only the start needs them.
                known = std::mem::take(events);
                let front = Box::new(Platform::new(handle.clone(), (clients, share), transport.conn_idle));
                Side::Platform(front, Box::new(Bus::new(*bus, *offset)))
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
                Side::Operator {
                    front,
                    hosts,
                    classes: classes.clone(),
                    ids: fastrand::Rng::with_seed(config.seed),
                }
            }
        };
        let base = state.as_ref().and_then(|state| state.clock);
        let clock = base.map_or_else(Clock::default, Clock::from_base);
        let begun = clock.now();
        let patience = startup::CATCH_UP_TIMEOUT.min(startup::MAX_STARTUP.saturating_sub(began.elapsed()));
        let mut node = Self {
            client_listener: None,
            control_listener: None,
            control: Control::new(handle.clone(), descriptors.callers()),
            upgrade,
            gradual: Gradual::new(config.memory_bytes),
            admission: AdmissionControl::new(config.admission.as_ref(), descriptors.limit(), share),
            bound_socket: Some(listener),
            succeeded: false,
            peer_clients: 0,
            tallied: 0,
            standby: false,
            caught_up: false,
            patient_until: begun + patience.as_micros() as Micros,
            engine: Engine::new(router, transport.order_timeout),
            commands: VecDeque::new(),
            scratch: Vec::new(),
            pending: HashMap::new(),
            ids: HashSet::new(),
            side,
            hosts: Hosts::new(handle.clone(), transport, (most, share)),
            host_starts: Starts::default(),
            peers: None,
            membership: None,
            drafting: None,
            turning: None,
            listed: BTreeMap::new(),
            agreed: None,
            agreed_settings: None,
            weighed: BTreeMap::new(),
            by_hand: BTreeSet::new(),
            config,
            clock,
            clock_steps: StepDetector::default(),
            held_up: HeldUp::default(),
            metrics: Metrics::default(),
            log: Log::new(),
            stopping: None,
            clients_silent: false,
            last_turns: 0,
            kept_house: 0,
            handle,
        };
        let asks = node.admission.is_on();
        if let Side::Operator { front, .. } = &mut node.side {
            front.asks = asks;
        }
        node.resize();
        node.attend_turns(begun);
        if let Some(state) = &state {
            node.inherit(state);
        }
        for (i, event) in known.into_iter().enumerate() {
            let kind = if i == 0 { ListKind::Cached } else { event.kind };
            node.list(kind, event.hosts);
        }
        if let Some(state) = &state {
            // Only now, as a whole list begins all beliefs anew.
            let now = node.clock.now();
            let mut legacy = state.engine_state();
            if let Some(holder) = state.rollout.clone() {
                // The ration stays the holder's.
                let ration = std::mem::take(&mut legacy.tallies);
                node.be_candidate(now, holder, ration);
            }
            node.run_engine(|engine, out| engine.inherit(now, legacy, out));
        }
        node.settle();
        Ok(node)
    }

    fn clients(&self) -> usize {
        match &self.side {
            Side::Platform(front, _) => front.held(),
            Side::Operator { front, .. } => front.held(),
        }
    }

    fn host_ready(&mut self, id: ConnId) {
        self.hosts.ready(self.clock.now(), id, &mut self.log);
        self.settle();
    }

    fn next_tick(&self, now: Micros) -> Micros {
        let news = match &self.side {
            Side::Platform(_, bus) => bus.next_tick(),
            Side::Operator { hosts, .. } => hosts.browser.next_tick(),
        };
        let engine = self.engine.next_tick().unwrap_or(Micros::MAX);
        let hosts = self.hosts.next_tick().unwrap_or(Micros::MAX);
        let listeners =
            self.client_listener.iter().chain(&self.control_listener).map(Listener::next_tick).min();
        let listeners = listeners.unwrap_or(Micros::MAX);
        let house = self.kept_house + HOUSEKEEPING;
        let membership = self.membership.as_ref().map_or(Micros::MAX, |f| f.next_tick(now));
        let drafting = self.drafting.as_ref().map_or(Micros::MAX, |d| d.next_tick(now));
        let agreed = self.next_accord(now);
        engine
            .min(hosts)
            .min(news)
            .min(membership)
            .min(drafting)
            .min(self.next_turn(now))
            .min(agreed)
            .min(listeners)
            .min(house)
            .min(self.gradual.next_tick(now))
    }

    /// Whether a client was left with more to read, so that others had their turn.
    fn has_more(&self) -> bool {
        match &self.side {
            Side::Platform(front, _) => front.has_more(),
            Side::Operator { front, .. } => front.has_more(),
        }
    }

    /// The loop has looked at what has come, after it was to wait for this long at the most.
    pub fn looked(&mut self, wait: Duration) {
        let now = self.clock.running();
        if let Some(late) = self.held_up.looked(now, wait) {
            self.metrics.hold_ups.inc();
            self.log.line(now, format_args!("held up for {} ms", late / 1000));
        }
    }

    /// Looks at what the loop found ready. A reload is the caller's, who knows where the configuration lies.
    pub fn woken(&mut self, wake: Wake) {
        self.mind_accord();
        self.clients_silent &= !matches!(wake, Wake::Client(_) | Wake::Clients);
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
            Wake::AccordPrepared => self.prepared(),
            Wake::Stop => self.stop(),
            Wake::Reload => {}
        }
    }

    /// Whether something is due by now, where the time stands until the turn is over: a stop of the process between a
    /// look at what has come and the turn makes nothing due.
    pub fn is_due(&mut self) -> bool {
        let now = self.clock.freeze();
        self.next_tick(now) <= now
    }

    /// Does what is due, if anything is; how long nothing else will be.
    pub fn turn(&mut self, due: bool) -> Duration {
        self.clients_silent = !self.has_more();
        if self.mind_accord() {
            self.settle();
        }
        // One step a turn: what is ready is looked at before the next.
        let more = self.go_on_with_accord();
        let now = self.clock.now();
        if self.has_more() {
            match &mut self.side {
                Side::Platform(front, _) => front.go_on(now, &mut self.log),
                Side::Operator { front, .. } => front.go_on(now, &mut self.log),
            }
            self.settle();
        }
        if due {
            self.run_engine(|engine, out| engine.tick(now, out));
            self.hosts.tick(now, &mut self.log);
            self.tend_members(now);
            self.tend_drafts(now);
            self.propose_drafts(now);
            self.tend_turns();
            let keep_house = self.kept_house + HOUSEKEEPING <= now;
            if keep_house {
                self.kept_house = now;
                self.look_for_clock_step(now);
                self.resize();
                self.control.tick(now, &mut self.log);
                self.tend_admission(now);
                if self.succeeded {
                    self.tell_tally(now);
                }
            }
            self.tick_rollout(now, keep_house);
            let waits = self.gradual.role == Role::Candidate;
            if self.bound_socket.is_some() && !waits && self.is_caught_up(now) {
                if let Err(problem) = self.take_clients() {
                    self.log.line(now, problem);
                }
            }
            self.client_listener
                .iter_mut()
                .chain(&mut self.control_listener)
                .for_each(|listener| listener.tick(now));
            match &mut self.side {
                Side::Platform(front, _) => {
                    if keep_house {
                        front.tick(now, &mut self.log);
                    }
                    self.tend_bus(now);
                }
                Side::Operator { front, hosts, .. } => {
                    if keep_house {
                        front.tick(now, &mut self.log);
                    }
                    let news = hosts.tick(now, &mut self.log);
                    front.ready = hosts.browser.any_up();
                    self.list(ListKind::Delta, news);
                }
            }
            self.settle();
        }
        self.clock.unfreeze();
        if more || self.has_more() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let wait = (self.next_tick(now) - now).clamp(0, HOUSEKEEPING);
        Duration::from_micros(wait as u64)
    }

    fn run_engine<T>(&mut self, f: impl FnOnce(&mut Engine, &mut Vec<Command>) -> T) -> T {
        let mut out = std::mem::take(&mut self.scratch);
        let result = f(&mut self.engine, &mut out);
        self.commands.extend(out.drain(..));
        self.scratch = out;
        result
    }

    /// Carries out and hands on until nothing is left to be done.
    fn settle(&mut self) {
        loop {
            if let Some(command) = self.commands.pop_front() {
                self.carry_out(command);
            } else if let Some(notice) = self.hosts.notices.pop_front() {
                self.host_notice(notice);
            } else if let Some(news) = self.upgrade.events.pop_front() {
                let now = self.clock.now();
                self.hear_peer(now, news);
            } else if let Some((caller, call)) = self.control.commands.pop() {
                let now = self.clock.now();
                let answer = self.operate(now, call);
                self.control.answer(now, caller, answer, &mut self.log);
            } else if !self.hear_front() {
                break;
            }
        }
        if self.hosts.exhausted {
            let now = self.clock.now();
            self.make_room_for_hosts(now);
        }
    }

    fn carry_out(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            // Decided by terms that are not obeyed any more: it is decided anew.
            Command::Send { attempt, host, .. } if self.mind_accord() || inject(Fault::Attempt).is_err() => {
                self.withheld(now, attempt, host)
            }
            // The process was held up since it was decided.
            Command::Send { attempt, host, leave_by, .. } if self.clock.running() > leave_by => {
                self.withheld(now, attempt, host)
            }
            Command::Send { attempt, host, until, leave_by } => {
                self.turn_sent(now, attempt, &host);
                self.log_attempt(now, attempt, &host);
                self.send(now, attempt, host, CallTimes { until, leave_by })
            }
            Command::Cancel { attempt } => {
                if !self.cancel_told(now, attempt) {
                    self.hosts.cancel(now, attempt, &mut self.log)
                }
            }
            Command::Withdraw { attempt } => {
                if !self.cancel_told(now, attempt) {
                    self.hosts.withdraw_attempt(now, attempt, &mut self.log);
                }
            }
            Command::Load { order, host, function, copies } => {
                self.metrics.load_orders.inc();
                self.load(now, order, host, function, copies)
            }
            Command::Unload { host, function } => self.hosts.unload(now, &host, &function, &mut self.log),
            Command::Probe { host } => self.hosts.probe(now, &host, &mut self.log),
            Command::Broadcast { data } => self.peers.iter().for_each(|peers| peers.tell(&data)),
            Command::Answer { ticket, verdict } => self.answer(now, ticket, verdict),
            Command::Log { text } => self.log.line(now, text),
        }
    }
}
