//! Admission control of clients: connects the decisions of `wheellink_admission` to fronts, descriptors and memory.
//! Without `[admission]` in the configuration, every client is admitted while there is room.

use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};

use wheellink_admission::{
    Admission, ClientStatus, LearnedState, Ledger, Owner, Prefix, Reason as Cause, RequestInfo, Rules,
    TakeOutcome,
};

use super::renumber::NO_CLASS;
use super::*;
use crate::conn::is_exhaustion;
use crate::control::AdmissionCommand;
use crate::front::{AcceptedClient, Rejection};

/// Queued connections that are accepted and closed at once when there is no descriptor for them.
const MAX_NEWCOMERS_CLOSED: usize = 256;
/// Prefixes in a list that operators are shown.
const MAX_PREFIXES_SHOWN: usize = 50;

/// The client of a connection, as admission counts it.
#[derive(Clone, Copy, Debug)]
struct Client {
    from: IpAddr,
    known: bool,
    /// The connection counts for its address. A trusted proxy's connection counts for no address until the proxy has
    /// named the client.
    counted: bool,
}

/// The state of admission control: the policy, the units that each owner holds, and the connected clients.
pub(super) struct AdmissionControl {
    /// `None` without `[admission]`.
    policy: Option<Admission>,
    /// File descriptors; used only with a policy.
    fds: Ledger,
    /// Bytes of bodies of open requests; used also without a policy.
    memory: Ledger,
    clients: HashMap<ConnId, Client>,
    /// The number of known clients in `clients`.
    known: usize,
    /// A spare descriptor. It is released for a moment to accept and close new connections when the system has no
    /// other.
    spare: Option<File>,
    /// New connections that were closed because there was no descriptor for them.
    closed: u64,
    /// Times that the system had no free descriptor.
    exhausted: u64,
}

fn spare() -> Option<File> {
    File::open("/dev/null").ok()
}

impl AdmissionControl {
    pub(super) fn new(rules: Option<&Rules>, sockets: usize, bodies: usize) -> Self {
        let policy = rules.cloned().map(Admission::new);
        let none = [0; 5];
        let fds = Ledger::new(sockets, none).expect("no reserve is within any limit");
        let memory = Ledger::new(bodies, none).expect("no reserve is within any limit");
        let spare = policy.is_some().then(spare).flatten();
        Self { policy, fds, memory, clients: HashMap::new(), known: 0, spare, closed: 0, exhausted: 0 }
    }

    pub(super) fn is_on(&self) -> bool {
        self.policy.is_some()
    }

    /// The learned state, for a process that replaces this one.
    pub(super) fn state(&self, now: Micros) -> Option<LearnedState> {
        self.policy.as_ref().map(|policy| policy.learned_state(now))
    }

    pub(super) fn inherit(&mut self, now: Micros, learnt: LearnedState) {
        if let Some(policy) = &mut self.policy {
            policy.restore(now, learnt);
        }
    }

    /// Replaces the rules. Counts and learned state are kept.
    pub(super) fn retune(&mut self, rules: Option<&Rules>) {
        match (&mut self.policy, rules) {
            (Some(policy), Some(rules)) => policy.set_rules(rules.clone()),
            (slot, rules) => *slot = rules.cloned().map(Admission::new),
        }
        match &self.policy {
            Some(_) if self.spare.is_none() => self.spare = spare(),
            Some(_) => {}
            None => self.spare = None,
        }
    }

    /// Applies new indexes of classes and tenants.
    pub(super) fn renumber(&mut self, renumbering: &Renumbering) {
        self.policy.iter_mut().for_each(|policy| policy.renumber(renumbering));
    }

    /// Sets the memory limit for bodies. A part of it is reserved for known clients.
    pub(super) fn set_memory_limit(&mut self, bodies: usize) {
        let part = self.policy.as_ref().map_or(0.0, |policy| policy.rules().reserve);
        let kept = (bodies as f64 * part) as usize;
        let _ = self.memory.set_limits(bodies, [0, kept, 0, 0, 0]);
    }

    /// Takes memory for a body. Returns false if none is available to the owner.
    pub(super) fn take_memory(&mut self, owner: Owner, bytes: usize) -> bool {
        matches!(self.memory.take(owner, bytes), TakeOutcome::Granted | TakeOutcome::Borrowed)
    }

    pub(super) fn release_memory(&mut self, owner: Owner, bytes: usize) {
        self.memory.release(owner, bytes);
    }

    /// Updates the descriptor limit and the descriptors that each owner holds. Returns how many clients and hosts may
    /// hold.
    fn set_descriptor_limits(
        &mut self,
        now: Micros,
        (limit, own, most_callers): (usize, usize, usize),
        (members, hosts, callers): (usize, usize, usize),
    ) -> Option<Bounds> {
        let policy = self.policy.as_ref()?;
        let kept = (limit as f64 / 3.0 * policy.rules().reserve) as usize;
        // At least one per host, and two if there is room, so that an admitted call can always reach a host.
        let rest = limit.saturating_sub(own + most_callers + kept);
        let reserve = [(2 * members).clamp(4, rest.max(4) / 2 + 2), kept, 0, most_callers, own];
        let _ = self.fds.set_limits(limit.max(reserve.iter().sum()), reserve);
        self.fds.tick(now);
        let known = self.known;
        let held = [hosts, known, self.clients.len() - known, callers, own];
        for (owner, held) in Owner::ALL.into_iter().zip(held) {
            self.fds.set_held(owner, held);
        }
        let free = [Owner::Known, Owner::Others].map(|o| self.fds.available(o));
        let clients = self.clients.len() + free[0].max(free[1]);
        Some(Bounds { clients, hosts: (hosts + self.fds.available(Owner::Hosts)).max(1) })
    }

    fn owner(&self, conn: Option<ConnId>) -> Owner {
        match conn.and_then(|id| self.clients.get(&id)) {
            Some(client) if client.known => Owner::Known,
            _ => Owner::Others,
        }
    }

    fn forget(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.remove(&conn) else { return };
        self.known -= usize::from(client.known);
        self.fds.release(if client.known { Owner::Known } else { Owner::Others }, 1);
        if let Some(policy) = self.policy.as_mut().filter(|_| client.counted) {
            policy.connection_closed(now, client.from);
        }
    }

    fn enter(&mut self, conn: ConnId, client: Client) {
        self.known += usize::from(client.known);
        self.clients.insert(conn, client);
    }
}

impl Node {
    /// The descriptors that clients and hosts may hold: these bounds, or those of admission if it is configured.
    pub(super) fn descriptor_bounds(&mut self, now: Micros, bounds: Bounds) -> Bounds {
        let descriptors = self.config.descriptors;
        let limit = descriptors.limit();
        let limit = if self.upgrade.has_peer() { limit / 2 } else { limit };
        let callers = descriptors.operators();
        let part = (limit, descriptors.reserved() - callers, callers);
        let held = (self.hosts.reserve(), self.hosts.conns(), self.control.conn_count());
        self.admission.set_descriptor_limits(now, part, held).unwrap_or(bounds)
    }

    /// Closes connections of clients beyond their bound that have no request open, because hosts need the descriptors.
    pub(super) fn close_excess_clients(&mut self, now: Micros, bound: usize) {
        while self.clients() > bound && self.evict_client(now, false) {}
    }

    /// Closes a client connection that has no request open, even a recent one if `urgent`. Returns whether there was
    /// one.
    fn evict_client(&mut self, now: Micros, urgent: bool) -> bool {
        match &mut self.mode {
            Mode::Platform(front, _) => front.make_room(now, urgent, &mut self.log),
            Mode::Operator { front, .. } => front.make_room(now, urgent, &mut self.log),
        }
    }

    /// Handles the start of a connection to the bus. If it failed because the system has no descriptor, a client's
    /// connection is closed to make room, and the bus is retried soon.
    pub(super) fn bus_connecting(&mut self, now: Micros, conn: io::Result<Conn>) {
        let Mode::Platform(_, bus) = &mut self.mode else { return };
        let problem = conn.as_ref().err().map(|e| (is_exhaustion(e), e.to_string()));
        bus.connect_started(now, conn.ok());
        let Some((exhausted, problem)) = problem else { return };
        let evicted = exhausted && self.evict_client(now, true);
        let evicted = if evicted { "; closed a client's connection to make room" } else { "" };
        self.log.line(now, format_args!("cannot connect to the bus: {problem}{evicted}"));
        self.forget_closed(now);
    }

    /// Admits an accepted connection, or closes it unread.
    pub(super) fn admit_connection(&mut self, now: Micros, stream: std::net::TcpStream, peer: SocketAddr) {
        let from = peer.ip();
        if self.is_address_blocked(from) {
            return;
        }
        let Some(policy) = &mut self.admission.policy else {
            self.open_client(now, AcceptedClient { stream, peer, known: false, proxied: false });
            return;
        };
        // A trusted proxy names the client first. Until then the connection is treated as a known client's.
        let proxied = policy.is_trusted_proxy(from);
        let known = proxied || matches!(policy.client_status(now, from), ClientStatus::Known);
        if !proxied && policy.connect(now, from).is_err() {
            return;
        }
        if !self.find_descriptor(now, known) {
            self.admission.closed += 1;
            if let (Some(policy), false) = (&mut self.admission.policy, proxied) {
                policy.connection_closed(now, from);
            }
            return;
        }
        match self.open_client(now, AcceptedClient { stream, peer, known, proxied }) {
            // A proxied connection counts only for its client, once the proxy has named it.
            Some(id) => self.admission.enter(id, Client { from, known, counted: !proxied }),
            None => {
                self.admission.fds.release(if known { Owner::Known } else { Owner::Others }, 1);
                if let (Some(policy), false) = (&mut self.admission.policy, proxied) {
                    policy.connection_closed(now, from);
                }
            }
        }
    }

    fn open_client(&mut self, now: Micros, client: AcceptedClient) -> Option<ConnId> {
        match &mut self.mode {
            Mode::Platform(front, _) => front.accept(now, client, &mut self.log),
            Mode::Operator { front, .. } => front.accept(now, client, &mut self.log),
        }
    }

    /// Takes a descriptor for a client, if necessary by closing another client's connection: descriptors that others
    /// have borrowed from the reserve of known clients are returned at once, unless a request is open on them.
    fn find_descriptor(&mut self, now: Micros, known: bool) -> bool {
        let owner = if known { Owner::Known } else { Owner::Others };
        for _ in 0..2 {
            if matches!(self.admission.fds.take(owner, 1), TakeOutcome::Granted | TakeOutcome::Borrowed) {
                return true;
            }
            let evicted = match &mut self.mode {
                Mode::Platform(front, _) => front.make_room(now, known, &mut self.log),
                Mode::Operator { front, .. } => front.make_room(now, known, &mut self.log),
            };
            if !evicted {
                return false;
            }
            self.forget_closed(now);
        }
        false
    }

    /// Handles the front's notices of closed connections ahead of its other notices.
    fn forget_closed(&mut self, now: Micros) {
        let mut gone = Vec::new();
        match &mut self.mode {
            Mode::Platform(front, _) => front.notices.retain(|notice| match notice {
                platform::Notice::Closed { conn } => {
                    gone.push(*conn);
                    false
                }
                _ => true,
            }),
            Mode::Operator { front, .. } => front.notices.retain(|notice| match notice {
                invoke::Notice::Closed { conn } => {
                    gone.push(*conn);
                    false
                }
                _ => true,
            }),
        }
        gone.into_iter().for_each(|conn| self.admission.forget(now, conn));
    }

    pub(super) fn client_gone(&mut self, conn: ConnId) {
        let now = self.clock.now();
        self.admission.forget(now, conn);
    }

    /// Accepts connections with admission configured: all are accepted, and those that are not admitted are closed.
    pub(super) fn accept_with_admission(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_WAKE {
            let now = self.clock.now();
            self.update_limits();
            let Some(listener) = self.client_listener.as_mut().filter(|l| !l.is_paused()) else {
                break;
            };
            match listener.accept() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.admit_connection(now, stream, peer),
                Err(e) if is_exhaustion(&e) => {
                    self.close_newcomers(now, &e);
                    break;
                }
                Err(e) => {
                    listener.pause(now + NO_DESCRIPTOR_PAUSE_US);
                    self.log.line(now, format_args!("no connection can be accepted: {e}"));
                    break;
                }
            }
        }
    }

    /// Handles the case that the system has no descriptor although the ledger has: the spare descriptor is released to
    /// accept and close the queued connections, so that their clients notice at once. Nothing new is admitted until
    /// descriptors are free.
    fn close_newcomers(&mut self, now: Micros, why: &io::Error) {
        self.admission.fds.set_exhausted(now);
        self.admission.exhausted += 1;
        let Some(listener) = &mut self.client_listener else { return };
        drop(self.admission.spare.take());
        let mut closed = 0;
        while closed < MAX_NEWCOMERS_CLOSED {
            match listener.accept() {
                Ok(Some(_)) => closed += 1,
                _ => break,
            }
        }
        self.admission.spare = spare();
        self.admission.closed += closed as u64;
        self.log.line(now, format_args!("out of descriptors ({why}): {closed} new connections closed"));
        // Without the spare descriptor nothing can be accepted: a pause keeps the loop from spinning.
        if closed == 0 || self.admission.spare.is_none() {
            listener.pause(now + NO_DESCRIPTOR_PAUSE_US);
        }
        self.update_limits();
    }

    /// Handles a trusted proxy's message that names the client of its connection.
    pub(super) fn handle_proxied(&mut self, now: Micros, conn: ConnId, client: Option<SocketAddr>) {
        // The connection may have closed since.
        if !self.admission.clients.contains_key(&conn) {
            return;
        }
        let mut known = Some(true);
        if let (Some(policy), Some(client)) = (&mut self.admission.policy, client) {
            known = policy.connect(now, client.ip()).ok().map(|s| s == ClientStatus::Known);
        }
        if let (Some(known), Some(client)) = (known, client) {
            let new = Client { from: client.ip(), known, counted: true };
            let adm = &mut self.admission;
            if adm.clients.insert(conn, new).is_some_and(|old| old.known && !known) {
                // The proxy's connection was counted as a known client's.
                adm.known -= 1;
                adm.fds.transfer(Owner::Known, Owner::Others, 1);
            }
        }
        match &mut self.mode {
            Mode::Platform(front, _) => front.admit(now, conn, client, known, &mut self.log),
            Mode::Operator { front, .. } => front.admit(now, conn, client, known, &mut self.log),
        }
    }

    /// Closes a client connection that has no request open if the system had no descriptor for a connection to a host,
    /// because admitted calls come first.
    pub(super) fn make_room_for_hosts(&mut self, now: Micros) {
        if !std::mem::take(&mut self.hosts.exhausted) {
            return;
        }
        self.admission.exhausted += 1;
        self.admission.fds.set_exhausted(now);
        let evicted = self.evict_client(now, true);
        let evicted = if evicted { "a client made room" } else { "no client could make room" };
        self.log.line(now, format_args!("out of descriptors for a host: {evicted}"));
        self.forget_closed(now);
    }

    /// Updates whether a client is known, at its request. If that has changed, its descriptor is charged to the other
    /// owner.
    fn refresh_known(&mut self, now: Micros, conn: ConnId) {
        let adm = &mut self.admission;
        let (Some(policy), Some(client)) = (&adm.policy, adm.clients.get_mut(&conn)) else { return };
        let known = policy.client_status(now, client.from) == ClientStatus::Known;
        if known == client.known {
            return;
        }
        client.known = known;
        match known {
            true => {
                adm.known += 1;
                adm.fds.transfer(Owner::Others, Owner::Known, 1);
            }
            false => {
                adm.known -= 1;
                adm.fds.transfer(Owner::Known, Owner::Others, 1);
            }
        }
        match &mut self.mode {
            Mode::Platform(front, _) => front.set_known(conn, known),
            Mode::Operator { front, .. } => front.set_known(conn, known),
        }
    }

    fn request_info(
        &self,
        conn: Option<ConnId>,
        class: usize,
        tenant: Option<usize>,
        size: usize,
    ) -> Option<RequestInfo> {
        self.admission.policy.as_ref()?;
        let client = self.admission.clients.get(&conn?)?;
        let settings = &self.config.deployment.settings;
        let max_worth = settings.classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let worth = settings.classes.get(class).map_or(1.0, |c| c.worth / max_worth);
        let total: f64 = settings.tenants.iter().map(|t| t.quota).sum();
        let quota = tenant.and_then(|t| settings.tenants.get(t)).map_or(1.0, |t| t.quota);
        let share = if total > 0.0 { quota / total } else { 1.0 };
        Some(RequestInfo { from: client.from, tenant, share, worth, size: size as u64 })
    }

    fn rejection(&self, (why, wait): (Cause, Micros)) -> Rejection {
        let rate = self.admission.policy.as_ref().and_then(|p| p.rules().address.request_rate);
        let rate = rate.filter(|_| why == Cause::RequestRate).map(|r| (r.per_second as u32, r.burst as u32));
        let client_fault = why.is_client_fault() || why == Cause::Tenant;
        Rejection { reason: why.as_str(), client_fault, retry_after: wait, rate }
    }

    /// Admits a request, or returns the reply to send. What it returns for an admitted request must be passed to
    /// `release` at the end of the request.
    pub(super) fn admit_request(
        &mut self,
        now: Micros,
        conn: Option<ConnId>,
        (class, tenant, size): (usize, Option<usize>, usize),
    ) -> Result<(Owner, Option<RequestInfo>), Reply> {
        if let Some(conn) = conn {
            self.refresh_known(now, conn);
        }
        let info = self.request_info(conn, class, tenant, size);
        if let (Some(policy), Some(info)) = (&mut self.admission.policy, &info) {
            if let Err(refused) = policy.admit_request(now, info) {
                return Err(Reply::TurnedAway(self.rejection(refused)));
            }
        }
        let owner = self.admission.owner(conn);
        if !self.admission.take_memory(owner, size) {
            if let (Some(policy), Some(info)) = (&mut self.admission.policy, &info) {
                policy.request_done(now, info, class, None);
            }
            return Err(Reply::Refused(self.config.deployment.settings.max_retry_after));
        }
        Ok((owner, info))
    }

    /// Returns the memory and counts of an admitted request that has ended.
    pub(super) fn release(&mut self, now: Micros, pending: &Pending, served: bool) {
        self.admission.release_memory(pending.owner, pending.call.body.len());
        if let (Some(policy), Some(info)) = (&mut self.admission.policy, &pending.info) {
            // Times of classes that the configuration does not have must not count as those of one class.
            let took = (served && pending.new.class != NO_CLASS).then(|| now - pending.arrived);
            policy.request_done(now, info, pending.new.class, took);
        }
    }

    /// Decides whether a long body is read after the head of a call has arrived: it is not read if the call would be
    /// refused.
    pub(super) fn check_body(&mut self, now: Micros, conn: ConnId, tenant: Option<usize>, size: usize) {
        let info = self.request_info(Some(conn), usize::MAX, tenant, size);
        let refused = match (&self.admission.policy, &info) {
            (Some(policy), Some(info)) => policy.check_request(now, info),
            _ => None,
        };
        let away = refused.map(|refused| self.rejection(refused));
        if let (Some((why, _)), Some(info), Some(policy)) = (refused, info, &mut self.admission.policy) {
            policy.count_refusal(now, info.from, why);
        }
        if let Mode::Operator { front, .. } = &mut self.mode {
            front.decide_body(now, conn, away, &mut self.log);
        }
    }

    /// Logs a summary of refused clients, at most once per second.
    pub(super) fn log_refusals(&mut self, now: Micros) {
        let Some(window) = self.admission.policy.as_mut().and_then(|p| p.take_refusal_summary(now)) else {
            return;
        };
        let top: Vec<String> =
            window.top.iter().map(|(prefix, why, n)| format!("{prefix} {} {n}", why.as_str())).collect();
        let others = if window.others > 0 { format!(", others {}", window.others) } else { String::new() };
        self.log.line(now, format_args!("admission refused: {}{others}", top.join(", ")));
    }

    pub(super) fn operate_admission(&mut self, now: Micros, call: AdmissionCommand) -> Response {
        if self.admission.policy.is_none() {
            return Response::problem(404, "admission is not set up: the configuration has no [admission]");
        }
        match call {
            AdmissionCommand::Show => Response::json(200, self.show_admission(now)),
            call => {
                let text = serde_json::to_value(&call).unwrap_or_default();
                if !self.set_prefix(now, &call) {
                    return Response::problem(409, "as many prefixes are set by hand as may be");
                }
                self.upgrade.send(&Message::Admission(call));
                Response::json(200, text)
            }
        }
    }

    /// Blocks or unblocks a prefix, or sets whether it is known, by an operator's call here or at the other process.
    /// Returns false if the manual lists are full.
    pub(super) fn set_prefix(&mut self, now: Micros, call: &AdmissionCommand) -> bool {
        let Some(policy) = &mut self.admission.policy else { return true };
        let (what, prefix, done) = match call {
            AdmissionCommand::Block(prefix) => ("blocked", prefix, policy.block(*prefix)),
            AdmissionCommand::Unblock(prefix) => {
                policy.unblock(now, *prefix);
                ("no longer blocked", prefix, true)
            }
            AdmissionCommand::Know { prefix, known } => {
                (if *known { "known" } else { "no longer known" }, prefix, policy.set_known(*prefix, *known))
            }
            AdmissionCommand::Show => return true,
        };
        if done {
            self.log.line(now, format_args!("admission: {prefix} is {what} by hand"));
        }
        if let (AdmissionCommand::Block(prefix), true) = (call, done) {
            // Connections are closed once their open requests are answered.
            let clients = self.admission.clients.iter().filter(|(_, c)| prefix.contains(c.from));
            let mut ids: Vec<_> = clients.map(|(id, _)| *id).collect();
            ids.sort();
            for id in ids {
                match &mut self.mode {
                    Mode::Platform(front, _) => front.close_after_answers(now, id, &mut self.log),
                    Mode::Operator { front, .. } => front.close_after_answers(now, id, &mut self.log),
                }
            }
        }
        done
    }

    fn show_admission(&self, now: Micros) -> serde_json::Value {
        let Some(policy) = &self.admission.policy else { return serde_json::Value::Null };
        let adm = &self.admission;
        let ledger = |l: &Ledger| {
            let rows = Owner::ALL.map(|o| {
                (o.as_str().to_string(), serde_json::json!({"held": l.held(o), "reserved": l.reserve(o)}))
            });
            let owners: serde_json::Map<_, _> = rows.into_iter().collect();
            serde_json::json!({"limit": l.limit(), "held": l.total_held(), "owners": owners})
        };
        let (near, wide) = policy.tables();
        let top = |table: &wheellink_admission::AddressTable| {
            let rows = table.heaviest(now, MAX_PREFIXES_SHOWN).into_iter().map(|(prefix, weight, error, e)| {
                let closed = ((e.closed_until - now) / 1000).max(0);
                serde_json::json!({"prefix": prefix, "weight": weight.round(), "not_its_own": error.round(),
                    "connections": e.connections, "open": e.open, "bytes": e.bytes, "refused": e.refused,
                    "closed_for_ms": closed, "served": e.served.round()})
            });
            rows.collect::<Vec<_>>()
        };
        let penalties = near.iter().filter(|(_, e)| e.closed_until > now).count();
        let (blocked, known) = policy.manual_prefixes();
        let list = |prefixes: Vec<&Prefix>| {
            prefixes.into_iter().take(MAX_PREFIXES_SHOWN).map(ToString::to_string).collect::<Vec<_>>()
        };
        let adaptive =
            policy.adaptive().map(|(limit, under)| serde_json::json!({"limit": limit, "under_way": under}));
        serde_json::json!({"descriptors": ledger(&adm.fds), "memory": ledger(&adm.memory),
            "clients": {"known": adm.known, "others": adm.clients.len() - adm.known},
            "refused": policy.total_refusals, "closed_for_want_of_descriptors": adm.closed, "system_exhausted": adm.exhausted,
            "addresses": near.len(), "pushed_out": near.evicted, "penalties": penalties,
            "blocked": list(blocked.collect()), "known": list(known.collect()), "adaptive": adaptive,
            "top": top(near), "top_neighbourhoods": top(wide)})
    }
}
