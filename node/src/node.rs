//! The node: one engine, the fronts before it, the hosts and the bus behind it, on one thread. It hands what
//! each of them has learnt to the engine and carries out what the engine commands.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use calloop::LoopHandle;
use wheellink::engine::{AttemptId, Command, NewRequest, Verdict};
use wheellink::{Engine, ListKind, Micros, Outcome, Ticket};
use wheellink_settings::Deployment;

use crate::bus::{self, Bus, Frame, Step};
use crate::clock::Clock;
use crate::config::Config;
use crate::conn::{Conn, ConnId};
use crate::front::platform::frames::{Code, Request};
use crate::front::platform::{self, Origin, Platform};
use crate::hosts::{self, Call, Hosts};
use crate::log::{Log, Reason};

/// A client's time runs from when it wrote the last byte: the answer must have reached it before it ends.
const DUE_MARGIN: Micros = 20_000;
/// Descriptors that are neither clients' nor hosts': standard streams, the loop's own, listener, bus.
const OWN_SOCKETS: usize = 24;
/// Bodies of open requests, all together: beyond that requests are refused.
const BODIES: usize = 48 << 20;
/// After SIGTERM requests keep coming for this long.
const STILL_COMING: Micros = 800_000;
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

pub struct Node {
    handle: LoopHandle<'static, Node>,
    clock: Clock,
    log: Log,
    deployment: Deployment,
    engine: Engine,
    commands: VecDeque<Command>,
    scratch: Vec<Command>,
    pending: HashMap<Ticket, Pending>,
    bodies: usize,
    platform: Platform,
    hosts: Hosts,
    bus: Bus,
    stopping: Option<Micros>,
    kept_house: Micros,
}

impl Node {
    pub fn new(handle: LoopHandle<'static, Node>, config: Config) -> Result<Self, String> {
        let router = config.deployment.router(config.seed).map_err(|e| e.to_string())?;
        let transport = config.deployment.transport.clone();
        let clients = config.sockets / 3;
        let most = config.sockets.saturating_sub(clients + OWN_SOCKETS).max(1);
        let mut node = Self {
            engine: Engine::new(router, transport.order_timeout),
            commands: VecDeque::new(),
            scratch: Vec::new(),
            pending: HashMap::new(),
            bodies: 0,
            platform: Platform::new(handle.clone(), clients.max(1), transport.conn_idle),
            hosts: Hosts::new(handle.clone(), transport, most),
            bus: Bus::new(config.bus, config.offset),
            deployment: config.deployment,
            clock: Clock::default(),
            log: Log::new(),
            stopping: None,
            kept_house: 0,
            handle,
        };
        for (i, event) in config.known.into_iter().enumerate() {
            let kind = if i == 0 { ListKind::Cached } else { event.kind };
            node.list(kind, event.hosts);
        }
        node.settle();
        Ok(node)
    }

    /// Connections are waiting to be accepted.
    pub fn accept(&mut self, listener: &TcpListener) {
        loop {
            let now = self.clock.now();
            match listener.accept() {
                Ok((stream, peer)) => self.platform.accept(now, stream, peer, &mut self.log),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                // A connection that ended while it waited, or no descriptor left: the next turn tries again.
                Err(_) => break,
            }
        }
        self.settle();
    }

    pub fn client_ready(&mut self, id: ConnId) {
        self.platform.ready(self.clock.now(), id, &mut self.log);
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

    /// SIGTERM: ask clients to open nothing new, answer what still comes, end when nothing is open.
    pub fn stop(&mut self) {
        if self.stopping.is_none() {
            let now = self.clock.now();
            self.log.line(now, format_args!("told to stop with {} requests open", self.engine.open()));
            self.stopping = Some(now);
            self.platform.stop(now, &mut self.log);
            self.settle();
        }
    }

    /// Whether it has been told to stop and owes nothing any more.
    pub fn is_done(&mut self) -> bool {
        let now = self.clock.now();
        self.stopping.is_some_and(|since| now - since >= STILL_COMING)
            && self.pending.is_empty()
            && self.platform.is_quiet()
    }

    pub fn shut_down(&mut self) {
        let now = self.clock.now();
        self.platform.shut_down(now, &mut self.log);
        self.hosts.shut_down(now, &mut self.log);
        self.end_bus(now, Reason::Shutdown);
    }

    /// What is due by now; how long nothing else will be.
    pub fn turn(&mut self) -> Duration {
        let now = self.clock.now();
        let next = |node: &Self| {
            let engine = node.engine.next_tick().unwrap_or(Micros::MAX);
            let hosts = node.hosts.next_tick().unwrap_or(Micros::MAX);
            engine.min(hosts).min(node.bus.next_tick()).min(node.kept_house + HOUSEKEEPING)
        };
        if next(self) <= now {
            self.run_engine(|engine, out| engine.tick(now, out));
            self.hosts.tick(now, &mut self.log);
            if self.kept_house + HOUSEKEEPING <= now {
                self.kept_house = now;
                self.platform.tick(now, &mut self.log);
            }
            if self.bus.is_silent(now) {
                self.end_bus(now, Bus::SILENCE);
            }
            if self.bus.wants_connection(now) {
                let id = fresh_id();
                let conn =
                    Conn::connect(&self.handle, id, self.bus.address, (256 << 10, 64), |n, i| n.bus_ready(i));
                self.bus.begun(now, conn.ok());
            }
            self.settle();
        }
        let wait = (next(self) - self.clock.now()).clamp(0, HOUSEKEEPING);
        Duration::from_micros(wait as u64)
    }

    fn read_bus(&mut self, now: Micros) -> Result<(), Reason> {
        loop {
            let Some(conn) = &mut self.bus.conn else { return Ok(()) };
            if !self.bus.standing {
                match conn.connected() {
                    Ok(true) => {
                        let greeting = self.bus.greeting();
                        let Some(conn) = &mut self.bus.conn else { return Ok(()) };
                        conn.outbox.push(&greeting);
                    }
                    Ok(false) => return Ok(()),
                    Err(_) => return Err(Reason::ConnectRefused),
                }
            }
            let Some(conn) = &mut self.bus.conn else { return Ok(()) };
            conn.flush()?;
            let filled = conn.fill();
            loop {
                let Some(conn) = &mut self.bus.conn else { return Ok(()) };
                match bus::next_frame(&mut conn.inbox, &self.deployment.zones) {
                    Ok(None) => break,
                    Ok(Some(frame)) => {
                        self.bus.heard(now);
                        let Frame::Event(event) = frame else { continue };
                        match self.bus.step(event.number, event.kind) {
                            Step::Apply => self.list(event.kind, event.hosts),
                            Step::Skip => {}
                            Step::Gap => {
                                self.log
                                    .line(now, format_args!("the bus left a gap before {}", event.number));
                                return Err(Reason::Protocol);
                            }
                        }
                    }
                    Err(problem) => {
                        self.log.line(now, format_args!("the bus sent {problem}"));
                        return Err(Reason::Protocol);
                    }
                }
            }
            let more = filled?;
            if self.bus.conn.as_ref().is_some_and(|c| c.eof) {
                return Err(Reason::PeerClosed);
            }
            if !more {
                return Ok(());
            }
        }
    }

    fn end_bus(&mut self, now: Micros, reason: Reason) {
        if let Some(conn) = self.bus.ended(now) {
            self.log.ended(now, "bus", reason, "");
            conn.close(&self.handle);
        }
    }

    /// News of the host list. The pool is told first: the engine may send at once.
    fn list(&mut self, kind: ListKind, hosts: Vec<bus::Host>) {
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
            } else if !self.platform.notices.is_empty() {
                for notice in std::mem::take(&mut self.platform.notices) {
                    self.front_notice(notice);
                }
            } else {
                return;
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

    fn front_notice(&mut self, notice: platform::Notice) {
        match notice {
            platform::Notice::Request { origin, request } => self.request(origin, *request),
            platform::Notice::Left { ticket } => self.client_left(ticket),
        }
    }

    fn client_left(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        if let Some(pending) = self.pending.remove(&ticket) {
            self.bodies -= pending.call.body.len();
        }
        self.run_engine(|engine, out| engine.client_left(now, ticket, out));
    }

    fn request(&mut self, origin: Origin, request: Request) {
        let now = self.clock.now();
        let Some(class) = self.deployment.class(&request.class) else {
            return self.platform.error(now, origin, "a class that is not known", &mut self.log);
        };
        if self.bodies + request.body.len() > BODIES {
            return self.platform.answer(now, origin, Code::Refused, &[], b"too much is open", &mut self.log);
        }
        let new = NewRequest {
            class,
            tenant: request.tenant.as_deref().and_then(|t| self.deployment.tenant(t)),
            function: request.function.as_str().into(),
            due: now + (request.timeout * 1000 - DUE_MARGIN).max(0),
            lanes: request.lanes,
            repeat: request.repeat,
        };
        self.bodies += request.body.len();
        let call = Call {
            id: request.id.into(),
            class: request.class,
            function: new.function.clone(),
            key: request.key,
            body: Rc::from(request.body),
        };
        let ticket = self.run_engine(|engine, out| engine.request(now, new, out));
        self.pending.insert(ticket, Pending { call, origin, answer: None });
        if !self.platform.taken(origin, ticket) {
            self.client_left(ticket);
        }
    }

    fn answer(&mut self, now: Micros, ticket: Ticket, verdict: Verdict) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        self.bodies -= pending.call.body.len();
        let (origin, log) = (pending.origin, &mut self.log);
        match (verdict, pending.answer) {
            (Verdict::Served(by), Some((attempt, body))) if by == attempt => {
                self.platform.answer(now, origin, Code::Served, &[], &body, log)
            }
            (Verdict::Refused { retry_after }, _) => {
                let wait = (retry_after / 1000).to_string();
                let fields = [("holdoff", wait.as_str())];
                let fields = if retry_after > 0 { &fields[..] } else { &[] };
                self.platform.answer(now, origin, Code::Refused, fields, &[], log)
            }
            _ => self.platform.answer(now, origin, Code::Failed, &[], &[], log),
        }
    }
}
