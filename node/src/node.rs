//! The node: one engine, the fronts before it, the hosts and the bus behind it, on one thread. It hands what
//! each of them has learnt to the engine and carries out what the engine commands.

use std::cell::Cell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use calloop::LoopHandle;
use wheellink::engine::{AttemptId, Command, NewRequest, Verdict};
use wheellink::{Effect, Engine, Legacy, ListKind, Micros, Outcome, Ticket, WorkerId};

use crate::bus::{self, Bus, Frame, Gap};
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::conn::{Conn, ConnId};
use crate::control::{self, Control};
use crate::dnssd::{Browser, DnsSd};
use crate::door::{self, Door};
use crate::front::invoke::{self, Invoke};
use crate::front::platform::frames::Request;
use crate::front::platform::{self, Platform};
use crate::front::Reply;
use crate::hosts::{self, Call, Hosts};
use crate::http::Response;
use crate::log::{Log, Reason};
use crate::upgrade::{self, Message, News, Place, State, Upgrade};

/// A client's time runs from when it wrote the last byte: the answer must have reached it before it ends.
const DUE_MARGIN: Micros = 20_000;
/// Descriptors that are neither clients' nor hosts': standard streams, the loop's own, listeners, bus,
/// callers at the control address.
const OWN_SOCKETS: usize = 16 + control::MOST;
/// Parts of the memory limit that bodies of open requests, bytes for clients that do not read, and answers
/// that are not whole may take, each of them. The program itself needs a few megabytes.
const MEMORY_SHARE: usize = 6;
/// Connections taken in at one go: hundreds at once must not keep the loop from those that have asked.
const ACCEPT_AT_ONCE: usize = 32;
/// For so long nothing is accepted when there was no descriptor for a connection.
const NO_DESCRIPTOR: Micros = 100_000;
/// ... and when all places are held by clients that are owed an answer.
const NO_ROOM: Micros = 5_000;
/// Whoever starts is ready after this, even if the bus cannot be reached: the configuration's list will do.
const LONGEST_CATCH_UP: Micros = 2_500_000;
/// After SIGTERM requests keep coming for this long.
const STILL_COMING: Micros = 800_000;
/// What the bus may have on its way: the longest frame and more.
const BUS_RING: usize = 256 << 10;
/// Hosts that operators may have taken out: ids are kept for good.
const MOST_BARRED: usize = 4096;
/// Between looks at connections that are idle or do not come up.
const HOUSEKEEPING: Micros = 50_000;

/// An id that no other connection has or had.
pub fn fresh_id() -> ConnId {
    thread_local!(static NEXT: Cell<ConnId> = const { Cell::new(0) });
    NEXT.with(|next| {
        next.set(next.get() + 1);
        next.get()
    })
}

/// A request that is owed an answer.
struct Pending {
    call: Call,
    origin: Origin,
    /// What a host gave for it, between its arrival and the engine's verdict.
    answer: Option<(AttemptId, Vec<u8>)>,
}

/// Who is owed it.
enum Origin {
    Platform(platform::Origin),
    Invoke(invoke::Origin),
}

/// A request in no front's words.
struct Incoming {
    id: String,
    class: usize,
    tenant: Option<usize>,
    function: String,
    timeout: Micros,
    lanes: u32,
    repeat: bool,
    key: Option<String>,
    body: Vec<u8>,
}

/// Who speaks with clients, and who tells of hosts.
enum Side {
    Platform(Box<Platform>, Bus),
    Operator { front: Box<Invoke>, hosts: Box<DnsSd>, classes: Vec<(Micros, u32)>, ids: fastrand::Rng },
}

pub struct Node {
    handle: LoopHandle<'static, Node>,
    clock: Clock,
    log: Log,
    /// The configuration in force; what `side` holds of it is the fronts' and the bus's.
    config: Config,
    engine: Engine,
    commands: VecDeque<Command>,
    scratch: Vec<Command>,
    pending: HashMap<Ticket, Pending>,
    /// Ids of the pending requests, as clients chose them.
    ids: HashSet<Rc<str>>,
    bodies: usize,
    /// Bodies of open requests, all together: beyond that requests are refused.
    most_bodies: usize,
    side: Side,
    hosts: Hosts,
    door: Option<Door>,
    control_door: Option<Door>,
    control: Control,
    upgrade: Upgrade,
    /// The listening socket, until this process takes clients.
    listener: Option<TcpListener>,
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
    begun: Micros,
    stopping: Option<Micros>,
    kept_house: Micros,
}

impl Node {
    pub fn new(handle: LoopHandle<'static, Node>, mut config: Config, place: Place) -> Result<Self, String> {
        let Place { listener, inheritance } = place;
        let state = inheritance.as_ref().map(|i| i.state.clone());
        let upgrade = Upgrade::new(&handle, config.listen, inheritance)
            .map_err(|e| format!("no word with the peer: {e}"))?;
        let transport = config.deployment.transport.clone();
        let clients = (config.sockets / 3).max(1);
        let share = config.memory / MEMORY_SHARE;
        let most = config.sockets.saturating_sub(clients + OWN_SOCKETS).max(1);
        let router = config.deployment.router(config.seed).map_err(|e| e.to_string())?;
        let mut known = Vec::new();
        let side = match &mut config.side {
            config::Side::Platform { bus, offset, known: events } => {
                // Only the start needs them.
                known = std::mem::take(events);
                let front = Box::new(Platform::new(handle.clone(), (clients, share), transport.conn_idle));
                Side::Platform(front, Bus::new(*bus, *offset))
            }
            config::Side::Operator { resolver, service, bounds, classes } => {
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
        let mut clock = Clock::default();
        let mut node = Self {
            door: None,
            control_door: None,
            control: Control::new(handle.clone()),
            upgrade,
            listener: Some(listener),
            succeeded: false,
            peer_clients: 0,
            tallied: 0,
            standby: false,
            caught_up: false,
            begun: clock.now(),
            engine: Engine::new(router, transport.order_timeout),
            commands: VecDeque::new(),
            scratch: Vec::new(),
            pending: HashMap::new(),
            ids: HashSet::new(),
            bodies: 0,
            most_bodies: share,
            side,
            hosts: Hosts::new(handle.clone(), transport, (most, share)),
            config,
            clock,
            log: Log::new(),
            stopping: None,
            kept_house: 0,
            handle,
        };
        node.resize();
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
            node.run_engine(|engine, out| engine.inherit(now, state.legacy(), out));
        }
        node.settle();
        Ok(node)
    }

    /// Takes over what the process whose place this one takes was told by operators.
    fn inherit(&mut self, state: &State) {
        let now = self.clock.now();
        for id in &state.out {
            self.bar(now, &id.as_str().into(), true);
        }
        self.stand_by(now, state.standby);
        if let (Side::Platform(_, bus), Some(place)) = (&mut self.side, state.bus) {
            bus.read_elsewhere(place);
        }
    }

    /// What this process may hold: all of the limits, or its part of them while two processes run.
    fn resize(&mut self) {
        let (sockets, memory) = (self.config.sockets, self.config.memory);
        let (share, clients) = (memory / MEMORY_SHARE, (sockets / 3).max(1));
        let (share, clients, most) = if self.upgrade.has_peer() {
            let most = sockets.saturating_sub(clients + 2 * OWN_SOCKETS) / 2;
            (share / 2, clients.saturating_sub(self.peer_clients).max(clients / 2), most)
        } else {
            // What hosts do not use is the clients' up to half of all; what these hold beyond their part is then
            // not the hosts'.
            let all = sockets.saturating_sub(OWN_SOCKETS);
            let free = all.saturating_sub(self.hosts.held() + self.hosts.reserve());
            (share, free.min(sockets / 2).max(clients), all.saturating_sub(self.clients().max(clients)))
        };
        self.most_bodies = share;
        self.hosts.bound((most.max(1), share));
        match &mut self.side {
            Side::Platform(front, _) => front.bound((clients, share)),
            Side::Operator { front, .. } => front.bound((clients, share)),
        }
    }

    pub fn guests_ready(&mut self) {
        self.upgrade.accept();
        self.settle();
    }

    pub fn peer_ready(&mut self, id: ConnId) {
        self.upgrade.ready(id);
        self.settle();
    }

    /// What another process of this address says or wants.
    fn hear_peer(&mut self, now: Micros, news: News) {
        match news {
            News::Arrived(id) => {
                let socket = self.door.as_ref().map(Door::share);
                let Some(Ok(socket)) = socket else { return };
                self.log.line(now, "a new process comes to take this one's place");
                let state = self.state();
                self.upgrade.hand_over(id, state, socket);
                self.resize();
            }
            News::Said(Message::Ready) => {
                // Who is queued is taken by the new process, from the same socket.
                self.log.line(now, "the new process takes clients");
                self.succeeded = true;
                self.door.iter_mut().for_each(|door| door.shut(Micros::MAX));
                self.part(now);
            }
            News::Said(Message::Host { id, out }) => {
                let way = if out { "out by hand" } else { "back in" };
                self.log.line(now, format_args!("host {id} is {way}, the other process was told"));
                self.bar(now, &id.as_str().into(), out)
            }
            News::Said(Message::Standby { on }) => self.stand_by(now, on),
            News::Said(Message::Tally { clients, ration }) => {
                self.peer_clients = clients;
                self.resize();
                let legacy = Legacy { tallies: upgrade::heard(&ration), ..Legacy::default() };
                self.run_engine(|engine, out| engine.inherit(now, legacy, out));
            }
            News::Said(Message::Hello { .. } | Message::State(_) | Message::Other) => {}
            News::Left => {
                self.log.line(now, "the other process is gone");
                self.peer_clients = 0;
                self.resize();
                if std::mem::take(&mut self.succeeded) {
                    // The new one has failed: this one serves on.
                    self.door.iter_mut().for_each(Door::reopen);
                    self.part(now);
                    self.shine(now);
                }
            }
        }
    }

    /// Tells the successor what this process holds, and what counts for the ration of both.
    fn tell_tally(&mut self, now: Micros) {
        let ration = upgrade::told(self.engine.tallies(self.tallied));
        self.tallied = now;
        self.upgrade.tell(&Message::Tally { clients: self.clients(), ration });
    }

    fn state(&mut self) -> State {
        self.tallied = self.clock.now();
        let mut state = State {
            out: self.hosts.barred().map(|h| h.0.to_string()).collect(),
            standby: self.standby,
            bus: match &self.side {
                Side::Platform(_, bus) => Some(bus.place()),
                Side::Operator { .. } => None,
            },
            ..State::default()
        };
        state.set_legacy(self.engine.legacy());
        state
    }

    /// Takes clients: at once, or where another process runs when the host list is as new as can be told.
    fn take_clients(&mut self) -> Result<(), String> {
        let now = self.clock.now();
        let Some(listener) = self.listener.take() else { return Ok(()) };
        let door = Door::open(&self.handle, listener, Self::accept);
        self.door = Some(door.map_err(|e| format!("cannot listen on {}: {e}", self.config.listen))?);
        self.upgrade.tell(&Message::Ready);
        self.log.line(now, "taking clients");
        self.shine(now);
        Ok(())
    }

    /// Is found by a new process from now on. Without that, an upgrade is a restart.
    fn shine(&mut self, now: Micros) {
        let address = self.door.as_ref().and_then(Door::address).unwrap_or(self.config.listen);
        if let Err(e) = self.upgrade.shine(address) {
            self.log.line(now, format_args!("new processes will not find this one: {e}"));
        }
    }

    /// Begins to listen, for clients and for operators.
    pub fn open_doors(&mut self) -> Result<(), String> {
        let failed = |address| move |e| format!("cannot listen on {address}: {e}");
        let (clients, control) = (self.config.listen, self.config.control);
        if let Some(address) = control {
            let listener = door::listen(address).map_err(failed(address))?;
            let door = Door::open(&self.handle, listener, Self::accept_callers).map_err(failed(address))?;
            self.control_door = Some(door);
        }
        // With port 0 in the configuration this is how the ports become known.
        if let Some(address) = self.control_door.as_ref().and_then(Door::address) {
            eprintln!("control on {address}");
        }
        let address = self.listener.as_ref().and_then(|l| l.local_addr().ok()).unwrap_or(clients);
        eprintln!("listening on {address}");
        if !self.upgrade.has_peer() {
            self.take_clients()?;
        }
        Ok(())
    }

    /// Connections of clients wait to be accepted.
    pub fn accept(&mut self) {
        for _ in 0..ACCEPT_AT_ONCE {
            let now = self.clock.now();
            self.resize();
            let Some(door) = &mut self.door else { break };
            let room = match &mut self.side {
                Side::Platform(front, _) => front.has_room(now, &mut self.log),
                Side::Operator { front, .. } => front.has_room(now, &mut self.log),
            };
            if !room {
                door.shut(now + NO_ROOM);
                break;
            }
            match (door.next(), &mut self.side) {
                (Ok(None), _) => break,
                (Ok(Some((stream, peer))), Side::Platform(front, _)) => {
                    front.accept(now, stream, peer, &mut self.log)
                }
                (Ok(Some((stream, peer))), Side::Operator { front, .. }) => {
                    front.accept(now, stream, peer, &mut self.log)
                }
                (Err(e), _) => {
                    // The listener stays ready, and trying again at once would keep the loop busy for nothing.
                    door.shut(now + NO_DESCRIPTOR);
                    self.log.line(now, format_args!("no connection can be accepted: {e}"));
                    break;
                }
            }
        }
        self.settle();
    }

    /// Operators call.
    pub fn accept_callers(&mut self) {
        for _ in 0..ACCEPT_AT_ONCE {
            let now = self.clock.now();
            let Some(door) = &mut self.control_door else { break };
            match door.next() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.control.accept(now, stream, peer, &mut self.log),
                Err(e) => {
                    door.shut(now + NO_DESCRIPTOR);
                    self.log.line(now, format_args!("no caller can be accepted: {e}"));
                    break;
                }
            }
        }
        self.settle();
    }

    pub fn caller_ready(&mut self, id: ConnId) {
        self.control.ready(self.clock.now(), id, &mut self.log);
        self.settle();
    }

    /// Does what an operator asks for, and says whether that could be done.
    fn operate(&mut self, now: Micros, call: control::Call) -> Response {
        match call {
            control::Call::Status => self.status(now),
            control::Call::Host { id, out } => {
                let host: WorkerId = id.as_str().into();
                if !self.hosts.knows(&host) {
                    return Response::problem(404, "no script host has this id");
                }
                if self.hosts.is_barred(&host) != out {
                    if self.hosts.barred().count() >= MOST_BARRED && out {
                        return Response::problem(409, "too many hosts are out by hand");
                    }
                    self.log.line(
                        now,
                        format_args!("host {id} is {}", if out { "out by hand" } else { "back in" }),
                    );
                    self.bar(now, &host, out);
                    self.upgrade.tell(&Message::Host { id: id.clone(), out });
                }
                Response::json(200, serde_json::json!({"host": id, "out": out}))
            }
            control::Call::Standby(on) => {
                if self.stopping.is_some() && !on {
                    return Response::problem(409, "the program has been told to end");
                }
                self.stand_by(now, on);
                self.upgrade.tell(&Message::Standby { on });
                Response::json(200, serde_json::json!({"standby": on}))
            }
        }
    }

    /// Whether this process takes clients, and what an operator may want to know besides.
    fn status(&mut self, now: Micros) -> Response {
        let caught_up = self.is_caught_up(now);
        let ready = self.door.is_some() && caught_up && !self.standby && self.stopping.is_none();
        let clients = self.clients();
        let out: Vec<&str> = self.hosts.barred().map(|h| &*h.0).collect();
        let told = serde_json::json!({"ready": ready, "standby": self.standby, "stopping": self.stopping.is_some(),
            "caught_up": caught_up, "out": out, "requests": self.engine.open(), "clients": clients});
        Response::json(if ready { 200 } else { 503 }, told)
    }

    fn clients(&self) -> usize {
        match &self.side {
            Side::Platform(front, _) => front.held(),
            Side::Operator { front, .. } => front.held(),
        }
    }

    /// Whether the host list is as new as can be told.
    fn is_caught_up(&mut self, now: Micros) -> bool {
        match &self.side {
            Side::Platform(_, bus) => {
                self.caught_up |= bus.is_caught_up(now) || now - self.begun >= LONGEST_CATCH_UP;
                self.caught_up
            }
            Side::Operator { hosts, .. } => hosts.browser.any_up(),
        }
    }

    /// Takes a host out by hand, or back in. The pool is told first when it is to be used again, as the engine
    /// may send at once, and after the engine else, so that what is withdrawn goes elsewhere.
    fn bar(&mut self, now: Micros, host: &WorkerId, out: bool) {
        if !out {
            self.hosts.bar(now, host, out, &mut self.log);
        }
        self.run_engine(|engine, commands| engine.bar(now, host.clone(), out, commands));
        if out {
            self.hosts.bar(now, host, out, &mut self.log);
        }
    }

    /// Sends clients away, or takes them again.
    fn stand_by(&mut self, now: Micros, on: bool) {
        if std::mem::replace(&mut self.standby, on) != on {
            self.log.line(now, if on { "drained by an operator" } else { "taking clients again" });
            self.part(now);
        }
    }

    /// Clients are asked to open nothing new, or no longer so.
    fn part(&mut self, now: Micros) {
        let ready = !self.standby && self.stopping.is_none();
        let parts = !ready || self.succeeded;
        match &mut self.side {
            Side::Platform(front, _) => {
                front.ready = ready;
                front.part(now, parts, &mut self.log)
            }
            Side::Operator { front, .. } => front.part(now, parts),
        }
    }

    pub fn client_ready(&mut self, id: ConnId) {
        let now = self.clock.now();
        match &mut self.side {
            Side::Platform(front, _) => front.ready(now, id, &mut self.log),
            Side::Operator { front, .. } => front.ready(now, id, &mut self.log),
        }
        self.settle();
    }

    pub fn host_ready(&mut self, id: ConnId) {
        self.hosts.ready(self.clock.now(), id, &mut self.log);
        self.settle();
    }

    pub fn bus_ready(&mut self, _: ConnId) {
        let now = self.clock.now();
        if let Err(reason) = self.read_bus(now) {
            self.end_bus(now, reason);
        }
        self.settle();
    }

    pub fn dns_ready(&mut self) {
        let now = self.clock.now();
        if let Side::Operator { hosts, .. } = &mut self.side {
            let news = hosts.ready(now, &mut self.log);
            self.list(ListKind::Delta, news);
            self.settle();
        }
    }

    pub fn dns_tcp_ready(&mut self, id: ConnId) {
        let now = self.clock.now();
        if let Side::Operator { hosts, .. } = &mut self.side {
            let news = hosts.tcp_ready(now, id, &mut self.log);
            self.list(ListKind::Delta, news);
            self.settle();
        }
    }

    /// SIGTERM: ask clients to open nothing new, answer what still comes, end when nothing is open.
    pub fn stop(&mut self) {
        if self.stopping.is_none() {
            let now = self.clock.now();
            self.log.line(now, format_args!("told to stop with {} requests open", self.engine.open()));
            self.stopping = Some(now);
            self.part(now);
            self.settle();
        }
    }

    /// SIGHUP: the file has been replaced. It is checked as a whole, and then taken up but for the addresses
    /// where this process listens; requests, hosts and connections live on. A file that makes no sense is told
    /// of, and all stays as it is.
    pub fn reload(&mut self, config: Result<Config, String>) {
        let now = self.clock.now();
        let taken = config.and_then(|config| {
            self.config.may_be_followed_by(&config)?;
            self.take_up(now, config)
        });
        match taken {
            Ok(what) => self.log.line(now, format_args!("configuration read again: {what}")),
            Err(problem) => self.log.line(now, format_args!("the old configuration is kept: {problem}")),
        }
        self.settle();
    }

    /// Takes a checked configuration up. What can fail comes first.
    fn take_up(&mut self, now: Micros, config: Config) -> Result<String, String> {
        let d = &config.deployment;
        let idle = d.transport.conn_idle;
        let (source, moved) = match (&mut self.side, &config.side) {
            (Side::Platform(front, bus), config::Side::Platform { bus: address, .. }) => {
                front.conn_idle = idle;
                (format!("bus {address}"), (bus.address != *address).then_some(*address))
            }
            (
                Side::Operator { front, hosts, classes, .. },
                config::Side::Operator { resolver, bounds, .. },
            ) => {
                let failed = |e| format!("no socket for queries to {resolver}: {e}");
                hosts.moved(*resolver).map_err(failed)?;
                front.retune(idle, *bounds, (d.classes.clone(), d.tenants.clone()));
                if let config::Side::Operator { classes: new, .. } = &config.side {
                    classes.clone_from(new);
                }
                (format!("resolver {resolver}"), None)
            }
            _ => return Err("it is of another kind".into()),
        };
        if let Some(address) = moved {
            self.end_bus(now, Reason::Moved);
            if let Side::Platform(_, bus) = &mut self.side {
                bus.moved(address);
            }
        }
        let what = format!("{source}, {} classes, {} attempts", d.classes.len(), d.settings.max_attempts);
        let (settings, transport) = (d.settings.clone(), d.transport.clone());
        let patience = transport.order_timeout;
        self.hosts.retune(transport);
        self.run_engine(|engine, out| engine.settings(now, settings, patience, out));
        if (config.listen, config.control) != (self.config.listen, self.config.control) {
            self.log.line(now, "addresses to listen on change with the next start only");
        }
        self.config = config;
        self.resize();
        Ok(what)
    }

    /// Whether it has been told to stop and owes nothing any more.
    pub fn is_done(&mut self) -> bool {
        let now = self.clock.now();
        let quiet = match &self.side {
            Side::Platform(front, _) => front.is_quiet(),
            Side::Operator { front, .. } => front.is_quiet(),
        };
        self.stopping.is_some_and(|since| now - since >= STILL_COMING) && self.pending.is_empty() && quiet
    }

    pub fn shut_down(&mut self) {
        let now = self.clock.now();
        match &mut self.side {
            Side::Platform(front, _) => front.shut_down(now, &mut self.log),
            Side::Operator { front, hosts, .. } => {
                front.shut_down(now, &mut self.log);
                hosts.close(now, &mut self.log);
            }
        }
        self.upgrade.shut_down();
        self.control.shut_down(now, &mut self.log);
        self.hosts.shut_down(now, &mut self.log);
        self.end_bus(now, Reason::Shutdown);
    }

    fn next_tick(&self) -> Micros {
        let news = match &self.side {
            Side::Platform(_, bus) => bus.next_tick(),
            Side::Operator { hosts, .. } => hosts.browser.next_tick(),
        };
        let engine = self.engine.next_tick().unwrap_or(Micros::MAX);
        let hosts = self.hosts.next_tick().unwrap_or(Micros::MAX);
        let doors = self.door.iter().chain(&self.control_door).map(Door::next_tick).min();
        let doors = doors.unwrap_or(Micros::MAX);
        engine.min(hosts).min(news).min(doors).min(self.kept_house + HOUSEKEEPING)
    }

    /// Whether a client was left with more to read, so that others had their turn.
    fn has_more(&self) -> bool {
        match &self.side {
            Side::Platform(front, _) => front.has_more(),
            Side::Operator { front, .. } => front.has_more(),
        }
    }

    /// What is due by now; how long nothing else will be.
    pub fn turn(&mut self) -> Duration {
        let now = self.clock.now();
        if self.has_more() {
            match &mut self.side {
                Side::Platform(front, _) => front.go_on(now, &mut self.log),
                Side::Operator { front, .. } => front.go_on(now, &mut self.log),
            }
            self.settle();
        }
        if self.next_tick() <= now {
            self.run_engine(|engine, out| engine.tick(now, out));
            self.hosts.tick(now, &mut self.log);
            let keep_house = self.kept_house + HOUSEKEEPING <= now;
            if keep_house {
                self.kept_house = now;
                self.resize();
                self.control.tick(now, &mut self.log);
                if self.succeeded {
                    self.tell_tally(now);
                }
            }
            if self.listener.is_some() && self.is_caught_up(now) {
                if let Err(problem) = self.take_clients() {
                    self.log.line(now, problem);
                }
            }
            self.door.iter_mut().chain(&mut self.control_door).for_each(|door| door.tick(now));
            match &mut self.side {
                Side::Platform(front, bus) => {
                    if keep_house {
                        front.tick(now, &mut self.log);
                    }
                    if bus.wants_connection(now) {
                        let id = fresh_id();
                        let bounds = (BUS_RING, 64);
                        let conn =
                            Conn::connect(&self.handle, id, bus.address, bounds, |n, i| n.bus_ready(i));
                        bus.begun(now, conn.ok());
                    } else if bus.is_silent(now) {
                        self.end_bus(now, Reason::Silent);
                    }
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
        if self.has_more() {
            return Duration::ZERO;
        }
        let wait = (self.next_tick() - self.clock.now()).clamp(0, HOUSEKEEPING);
        Duration::from_micros(wait as u64)
    }

    fn read_bus(&mut self, now: Micros) -> Result<(), Reason> {
        loop {
            let Side::Platform(_, bus) = &mut self.side else { return Ok(()) };
            bus.greet(now)?;
            let Some(conn) = bus.conn.as_mut().filter(|_| bus.standing) else { return Ok(()) };
            conn.flush()?;
            let before = conn.inbox.len();
            let filled = conn.fill();
            if conn.inbox.len() > before {
                bus.moved_on(now);
            }
            while self.take_bus_frame(now)? {}
            let more = filled?;
            let Side::Platform(_, bus) = &self.side else { return Ok(()) };
            if bus.conn.as_ref().is_some_and(|c| c.eof) {
                return Err(Reason::PeerClosed);
            }
            if !more {
                return Ok(());
            }
        }
    }

    /// Takes one frame; false when none is whole.
    fn take_bus_frame(&mut self, now: Micros) -> Result<bool, Reason> {
        let Side::Platform(_, bus) = &mut self.side else { return Ok(false) };
        let Some(conn) = &mut bus.conn else { return Ok(false) };
        let frame = match bus::next_frame(&mut conn.inbox, &self.config.deployment.zones) {
            Ok(None) => return Ok(false),
            Ok(Some(frame)) => frame,
            Err(problem) => {
                self.log.line(now, format_args!("the bus sent {problem}"));
                return Err(Reason::Protocol);
            }
        };
        bus.heard(now);
        let Frame::Event(event) = frame else {
            bus.told_all();
            return Ok(true);
        };
        let number = event.number;
        match bus.take(event) {
            Ok(None) => {}
            Ok(Some((kind, hosts))) => self.list(kind, hosts),
            Err(Gap) => {
                self.log.line(now, format_args!("the bus left a gap before {number}"));
                return Err(Reason::Protocol);
            }
        }
        Ok(true)
    }

    fn end_bus(&mut self, now: Micros, reason: Reason) {
        let Side::Platform(_, bus) = &mut self.side else { return };
        if let Some(conn) = bus.ended(now) {
            self.log.ended(now, "bus", reason, "");
            conn.close(&self.handle);
        }
    }

    /// News of the host list. The pool is told first: the engine may send at once.
    fn list(&mut self, kind: ListKind, hosts: Vec<bus::Host>) {
        if kind == ListKind::Delta && hosts.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.hosts.list(now, kind, &hosts, &mut self.log);
        let entries = hosts.into_iter().map(|h| h.entry).collect();
        self.run_engine(|engine, out| engine.hosts(now, kind, entries, out));
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
            } else if !self.upgrade.news.is_empty() {
                let now = self.clock.now();
                let news = self.upgrade.news.remove(0);
                self.hear_peer(now, news);
            } else if let Some((caller, call)) = self.control.calls.pop() {
                let now = self.clock.now();
                let answer = self.operate(now, call);
                self.control.answer(now, caller, answer, &mut self.log);
            } else if !self.hear_front() {
                return;
            }
        }
    }

    /// Hands on what the front has learnt; false if that is nothing.
    fn hear_front(&mut self) -> bool {
        match &mut self.side {
            Side::Platform(front, _) => {
                let notices = std::mem::take(&mut front.notices);
                let any = !notices.is_empty();
                for notice in notices {
                    match notice {
                        platform::Notice::Request { origin, request } => {
                            self.platform_request(origin, *request)
                        }
                        platform::Notice::Left { ticket } => self.client_left(ticket),
                    }
                }
                any
            }
            Side::Operator { front, .. } => {
                let notices = std::mem::take(&mut front.notices);
                let any = !notices.is_empty();
                for notice in notices {
                    match notice {
                        invoke::Notice::Call { origin, call } => self.invoke_call(origin, *call),
                        invoke::Notice::Left { ticket } => self.client_left(ticket),
                    }
                }
                any
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Send { attempt, host, until } => match self.pending.get(&attempt.ticket) {
                Some(pending) => self.hosts.send(now, attempt, &host, &pending.call, until, &mut self.log),
                None => self.run_engine(|e, out| e.attempt_ended(now, attempt, Outcome::NotSent.into(), out)),
            },
            Command::Cancel { attempt } => self.hosts.cancel(now, attempt, &mut self.log),
            Command::Load { order, host, function, copies } => {
                self.hosts.load(now, order, &host, (&function, copies), &mut self.log)
            }
            Command::Unload { host, function } => self.hosts.unload(now, &host, &function, &mut self.log),
            Command::Probe { host } => self.hosts.probe(now, &host, &mut self.log),
            Command::Answer { ticket, verdict } => self.answer(now, ticket, verdict),
            Command::Log { text } => self.log.line(now, text),
        }
    }

    fn host_notice(&mut self, notice: hosts::Notice) {
        let now = self.clock.now();
        match notice {
            hosts::Notice::Attempt { attempt, end, body } => {
                if let Some(pending) = self.pending.get_mut(&attempt.ticket) {
                    pending.answer = (end.outcome == Outcome::Done).then_some((attempt, body));
                }
                self.run_engine(|engine, out| engine.attempt_ended(now, attempt, end, out));
            }
            hosts::Notice::Order { order, outcome, copies } => {
                self.run_engine(|engine, out| engine.order_ended(now, order, outcome, copies, out));
            }
        }
    }

    fn platform_request(&mut self, origin: platform::Origin, request: Request) {
        let now = self.clock.now();
        let Side::Platform(front, _) = &mut self.side else { return };
        // Taken back in the same breath: nothing need hear of it.
        if !front.waits(origin) {
            return;
        }
        let class = self.config.deployment.class(&request.class);
        let tenant = request.tenant.as_deref().and_then(|t| self.config.deployment.tenant(t));
        let shared = !self.config.deployment.tenants.is_empty();
        let wrong = match class {
            None => Some("a class that is not known"),
            _ if shared && tenant.is_none() => Some("a tenant that is not known"),
            // Hosts tell answers apart by it.
            _ if self.ids.contains(request.id.as_str()) => Some("the id of a request that is open"),
            _ => None,
        };
        let (Some(class), None) = (class, wrong) else {
            return front.error(now, origin, wrong.unwrap_or_default(), &mut self.log);
        };
        let incoming = Incoming {
            id: request.id,
            class,
            tenant,
            function: request.function,
            // No client waits longer than its class says; what is open for a day would pile up.
            timeout: (request.timeout * 1000).min(2 * self.config.deployment.settings.classes[class].give_up),
            lanes: request.lanes,
            repeat: request.repeat,
            key: request.key,
            body: request.body,
        };
        self.request(now, Origin::Platform(origin), incoming);
    }

    fn invoke_call(&mut self, origin: invoke::Origin, call: invoke::Call) {
        let now = self.clock.now();
        let Side::Operator { classes, ids, .. } = &mut self.side else { return };
        let Some(settings) = self.config.deployment.settings.classes.get(call.class) else { return };
        let (deferred, lanes) = classes[call.class];
        let usual = match origin {
            invoke::Origin::Waiting(_) => settings.give_up,
            invoke::Origin::Deferred(_) => deferred,
        };
        let id = format!("{:016x}", ids.u64(..));
        // Without a key of the client's, hosts can still drop the repeats of this activator.
        let keyed = matches!(settings.effect, Effect::Keyed { .. });
        let incoming = Incoming {
            class: call.class,
            tenant: call.tenant,
            function: call.function,
            timeout: call.timeout.unwrap_or(usual).min(settings.give_up.max(deferred)),
            lanes: call.lanes.unwrap_or(lanes),
            repeat: call.repeat,
            key: call.key.or_else(|| keyed.then(|| id.clone())),
            body: call.body,
            id,
        };
        self.request(now, Origin::Invoke(origin), incoming);
    }

    fn request(&mut self, now: Micros, origin: Origin, incoming: Incoming) {
        let size = incoming.body.len();
        if self.bodies + size > self.most_bodies {
            return self.reply(now, &origin, Reply::Refused(self.config.deployment.settings.max_retry_after));
        }
        let new = NewRequest {
            class: incoming.class,
            tenant: incoming.tenant,
            function: incoming.function.as_str().into(),
            due: now + (incoming.timeout - DUE_MARGIN).max(0),
            lanes: incoming.lanes,
            repeat: incoming.repeat,
        };
        self.bodies += size;
        let call = Call {
            id: incoming.id.into(),
            class: self.config.deployment.classes[incoming.class].clone(),
            function: new.function.clone(),
            key: incoming.key,
            body: Rc::from(incoming.body),
        };
        let ticket = self.run_engine(|engine, out| engine.request(now, new, out));
        let waits = match (&mut self.side, &origin) {
            (Side::Platform(front, _), Origin::Platform(origin)) => front.taken(*origin, ticket),
            (Side::Operator { front, .. }, Origin::Invoke(origin)) => front.taken(origin, ticket),
            _ => false,
        };
        self.ids.insert(call.id.clone());
        self.pending.insert(ticket, Pending { call, origin, answer: None });
        if !waits {
            self.client_left(ticket);
        }
    }

    fn client_left(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        if let Some(pending) = self.pending.remove(&ticket) {
            self.bodies -= pending.call.body.len();
            self.ids.remove(&pending.call.id);
        }
        self.run_engine(|engine, out| engine.client_left(now, ticket, out));
    }

    fn answer(&mut self, now: Micros, ticket: Ticket, verdict: Verdict) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        self.bodies -= pending.call.body.len();
        self.ids.remove(&pending.call.id);
        let reply = match (verdict, pending.answer) {
            (Verdict::Served(by), Some((attempt, body))) if by == attempt => Reply::Served(body),
            (Verdict::Refused { retry_after }, _) => Reply::Refused(retry_after),
            (Verdict::TimedOut, _) => Reply::TimedOut,
            _ => Reply::Failed,
        };
        self.reply(now, &pending.origin, reply);
    }

    fn reply(&mut self, now: Micros, origin: &Origin, reply: Reply) {
        match (&mut self.side, origin) {
            (Side::Platform(front, _), Origin::Platform(origin)) => {
                front.reply(now, *origin, reply, &mut self.log)
            }
            (Side::Operator { front, .. }, Origin::Invoke(origin)) => {
                front.reply(now, origin, reply, &mut self.log)
            }
            _ => {}
        }
    }
}
