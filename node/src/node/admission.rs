//! Who is let in, bound to fronts and descriptors. What is decided here is decided by `wheellink_admission`; without
//! `[admission]` everybody is, as far as there is room.

use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};

use wheellink_admission::{
    Admission, ClientStatus, LearnedState as Learnt, Ledger, Owner, Prefix, Reason as Why, RequestInfo,
    Rules, TakeOutcome,
};

use super::*;
use crate::conn::is_exhaustion;
use crate::control::AdmissionCommand;
use crate::front::{Away, Guest};

/// Newcomers that are closed at one go where there is no descriptor for them.
const CLOSED_AT_ONCE: usize = 256;
/// Prefixes that an operator is shown.
const MOST_SHOWN: usize = 50;

/// Who a connection is, as far as it counts.
#[derive(Clone, Copy, Debug)]
struct Client {
    from: IpAddr,
    known: bool,
    /// Its address counts it; a proxy's that has not spoken counts for nobody.
    counted: bool,
}

/// See the module's page.
pub(super) struct AdmissionControl {
    gate: Option<Admission>,
    /// Descriptors, where there is a gate.
    ledger: Ledger,
    /// Bytes of bodies of open requests, always.
    memory: Ledger,
    clients: HashMap<ConnId, Client>,
    known: usize,
    /// Given up for a moment to take newcomers in and close them, where the system has no other.
    spare: Option<File>,
    /// Newcomers that were closed for want of a descriptor, and times that the system had none.
    closed: u64,
    starved: u64,
}

fn spare() -> Option<File> {
    File::open("/dev/null").ok()
}

impl AdmissionControl {
    pub(super) fn new(rules: Option<&Rules>, sockets: usize, bodies: usize) -> Self {
        let gate = rules.cloned().map(Admission::new);
        let none = [0; 5];
        let ledger = Ledger::new(sockets, none).expect("no reserve is within any limit");
        let memory = Ledger::new(bodies, none).expect("no reserve is within any limit");
        let spare = gate.is_some().then(spare).flatten();
        Self { gate, ledger, memory, clients: HashMap::new(), known: 0, spare, closed: 0, starved: 0 }
    }

    pub(super) fn is_on(&self) -> bool {
        self.gate.is_some()
    }

    /// What a process needs that takes this one's place.
    pub(super) fn state(&self, now: Micros) -> Option<Learnt> {
        self.gate.as_ref().map(|gate| gate.learned_state(now))
    }

    pub(super) fn inherit(&mut self, now: Micros, learnt: Learnt) {
        if let Some(gate) = &mut self.gate {
            gate.restore(now, learnt);
        }
    }

    /// Other rules; what is held and learnt stays.
    pub(super) fn retune(&mut self, rules: Option<&Rules>) {
        match (&mut self.gate, rules) {
            (Some(gate), Some(rules)) => gate.set_rules(rules.clone()),
            (slot, rules) => *slot = rules.cloned().map(Admission::new),
        }
        match &self.gate {
            Some(_) if self.spare.is_none() => self.spare = spare(),
            Some(_) => {}
            None => self.spare = None,
        }
    }

    /// Memory for bodies from now on: a part of it is kept for known clients.
    pub(super) fn bound_memory(&mut self, bodies: usize) {
        let part = self.gate.as_ref().map_or(0.0, |gate| gate.rules().reserve);
        let kept = (bodies as f64 * part) as usize;
        let _ = self.memory.set_limits(bodies, [0, kept, 0, 0, 0]);
    }

    /// Takes memory for a body.
    pub(super) fn take_memory(&mut self, owner: Owner, bytes: usize) -> bool {
        matches!(self.memory.take(owner, bytes), TakeOutcome::Granted | TakeOutcome::Borrowed)
    }

    pub(super) fn give_memory(&mut self, owner: Owner, bytes: usize) {
        self.memory.release(owner, bytes);
    }

    /// Descriptors from now on, and what each owner holds: how many hosts and clients may hold in all.
    fn bound_descriptors(
        &mut self,
        now: Micros,
        (limit, own, most_callers): (usize, usize, usize),
        (members, hosts, callers): (usize, usize, usize),
    ) -> Option<Bounds> {
        let gate = self.gate.as_ref()?;
        let kept = (limit as f64 / 3.0 * gate.rules().reserve) as usize;
        // One for each host at least, and two where there is room: a call that was taken can always reach one.
        let rest = limit.saturating_sub(own + most_callers + kept);
        let reserve = [(2 * members).clamp(4, rest.max(4) / 2 + 2), kept, 0, most_callers, own];
        let _ = self.ledger.set_limits(limit.max(reserve.iter().sum()), reserve);
        self.ledger.tick(now);
        let known = self.known;
        let held = [hosts, known, self.clients.len() - known, callers, own];
        for (owner, held) in Owner::ALL.into_iter().zip(held) {
            self.ledger.set_held(owner, held);
        }
        let rooms = [Owner::Known, Owner::Others].map(|o| self.ledger.available(o));
        let clients = self.clients.len() + rooms[0].max(rooms[1]);
        Some(Bounds { clients, hosts: (hosts + self.ledger.available(Owner::Hosts)).max(1) })
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
        self.ledger.release(if client.known { Owner::Known } else { Owner::Others }, 1);
        if let Some(gate) = self.gate.as_mut().filter(|_| client.counted) {
            gate.connection_closed(now, client.from);
        }
    }

    fn enter(&mut self, conn: ConnId, client: Client) {
        self.known += usize::from(client.known);
        self.clients.insert(conn, client);
    }
}

impl Node {
    /// What clients and hosts may hold from now on: these bounds, or admission's where that is set up.
    pub(super) fn bound_descriptors(&mut self, now: Micros, bounds: Bounds) -> Bounds {
        let descriptors = self.config.descriptors;
        let limit = descriptors.limit();
        let limit = if self.upgrade.has_peer() { limit / 2 } else { limit };
        let callers = descriptors.callers();
        let part = (limit, descriptors.own() - callers, callers);
        let held = (self.hosts.reserve(), self.hosts.held(), self.control.conn_count());
        self.admission.bound_descriptors(now, part, held).unwrap_or(bounds)
    }

    /// Clients beyond their bound that are owed nothing make room: hosts want what they hold.
    pub(super) fn reclaim(&mut self, now: Micros, bound: usize) {
        while self.clients() > bound && self.evict_client(now, false) {}
    }

    /// Closes a client's connection that is owed nothing, however lately it came where it is `urgent`. Whether there was
    /// one.
    fn evict_client(&mut self, now: Micros, urgent: bool) -> bool {
        match &mut self.side {
            Side::Platform(front, _) => front.make_room(now, urgent, &mut self.log),
            Side::Operator { front, .. } => front.make_room(now, urgent, &mut self.log),
        }
    }

    /// A connection to the bus has been begun, or could not be: where the system has no descriptor for it a client
    /// makes room, and it is tried again soon.
    pub(super) fn bus_begun(&mut self, now: Micros, conn: io::Result<Conn>) {
        let Side::Platform(_, bus) = &mut self.side else { return };
        let problem = conn.as_ref().err().map(|e| (is_exhaustion(e), e.to_string()));
        bus.begun(now, conn.ok());
        let Some((exhausted, problem)) = problem else { return };
        let made = exhausted && self.evict_client(now, true);
        let made = if made { ", a client made room" } else { "" };
        self.log.line(now, format_args!("no connection to the bus: {problem}{made}"));
        self.hear_gone(now);
    }

    /// A connection has been accepted: it is taken in, or closed unread.
    pub(super) fn receive(&mut self, now: Micros, stream: std::net::TcpStream, peer: SocketAddr) {
        let from = peer.ip();
        if self.is_address_out(from) {
            return;
        }
        let Some(gate) = &mut self.admission.gate else {
            self.take_in(now, Guest { stream, peer, known: false, proxied: false });
            return;
        };
        // Whose it is a trusted proxy tells first; until then it is the proxy's, and as good as known.
        let proxied = gate.is_trusted_proxy(from);
        let known = proxied || matches!(gate.client_status(now, from), ClientStatus::Known);
        if !proxied && gate.connect(now, from).is_err() {
            return;
        }
        if !self.find_descriptor(now, known) {
            self.admission.closed += 1;
            if let (Some(gate), false) = (&mut self.admission.gate, proxied) {
                gate.connection_closed(now, from);
            }
            return;
        }
        match self.take_in(now, Guest { stream, peer, known, proxied }) {
            // A proxied one counts for its client only, once that is known.
            Some(id) => self.admission.enter(id, Client { from, known, counted: !proxied }),
            None => {
                self.admission.ledger.release(if known { Owner::Known } else { Owner::Others }, 1);
                if let (Some(gate), false) = (&mut self.admission.gate, proxied) {
                    gate.connection_closed(now, from);
                }
            }
        }
    }

    fn take_in(&mut self, now: Micros, guest: Guest) -> Option<ConnId> {
        match &mut self.side {
            Side::Platform(front, _) => front.accept(now, guest, &mut self.log),
            Side::Operator { front, .. } => front.accept(now, guest, &mut self.log),
        }
    }

    /// A descriptor for a client, if need be in another's place: what others borrowed of the known clients' reserve
    /// they give back at once as far as they are owed nothing.
    fn find_descriptor(&mut self, now: Micros, known: bool) -> bool {
        let owner = if known { Owner::Known } else { Owner::Others };
        for _ in 0..2 {
            if matches!(self.admission.ledger.take(owner, 1), TakeOutcome::Granted | TakeOutcome::Borrowed) {
                return true;
            }
            let made = match &mut self.side {
                Side::Platform(front, _) => front.make_room(now, known, &mut self.log),
                Side::Operator { front, .. } => front.make_room(now, known, &mut self.log),
            };
            if !made {
                return false;
            }
            self.hear_gone(now);
        }
        false
    }

    /// Connections that have ended, before anything else that the front has learnt.
    fn hear_gone(&mut self, now: Micros) {
        let mut gone = Vec::new();
        match &mut self.side {
            Side::Platform(front, _) => front.notices.retain(|notice| match notice {
                platform::Notice::Gone { conn } => {
                    gone.push(*conn);
                    false
                }
                _ => true,
            }),
            Side::Operator { front, .. } => front.notices.retain(|notice| match notice {
                invoke::Notice::Gone { conn } => {
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

    /// Takes connections in, with a gate: all that come are accepted, and who cannot stay is closed.
    pub(super) fn accept_through_gate(&mut self) {
        for _ in 0..ACCEPT_AT_ONCE {
            let now = self.clock.now();
            self.resize();
            let Some(listener) = self.client_listener.as_mut().filter(|listener| !listener.is_shut()) else {
                break;
            };
            match listener.next() {
                Ok(None) => break,
                Ok(Some((stream, peer))) => self.receive(now, stream, peer),
                Err(e) if is_exhaustion(&e) => {
                    self.turn_newcomers_away(now, &e);
                    break;
                }
                Err(e) => {
                    listener.shut(now + NO_DESCRIPTOR);
                    self.log.line(now, format_args!("no connection can be accepted: {e}"));
                    break;
                }
            }
        }
    }

    /// The system has no descriptor although the ledger has: the spare one is given up to accept and close those
    /// that wait, so that they hear at once, and nothing new is taken until some have gone.
    fn turn_newcomers_away(&mut self, now: Micros, why: &io::Error) {
        self.admission.ledger.set_exhausted(now);
        self.admission.starved += 1;
        let Some(listener) = &mut self.client_listener else { return };
        drop(self.admission.spare.take());
        let mut closed = 0;
        while closed < CLOSED_AT_ONCE {
            match listener.next() {
                Ok(Some(_)) => closed += 1,
                _ => break,
            }
        }
        self.admission.spare = spare();
        self.admission.closed += closed as u64;
        self.log.line(now, format_args!("out of descriptors ({why}): {closed} newcomers closed"));
        // With the spare one gone to somebody else there is nothing to accept with: no spinning meanwhile.
        if closed == 0 || self.admission.spare.is_none() {
            listener.shut(now + NO_DESCRIPTOR);
        }
        self.resize();
    }

    /// A trusted proxy has said whose its connection is.
    pub(super) fn proxied(&mut self, now: Micros, conn: ConnId, client: Option<SocketAddr>) {
        // It may have ended since it spoke.
        if !self.admission.clients.contains_key(&conn) {
            return;
        }
        let mut known = Some(true);
        if let (Some(gate), Some(client)) = (&mut self.admission.gate, client) {
            known = gate.connect(now, client.ip()).ok().map(|standing| standing == ClientStatus::Known);
        }
        if let (Some(known), Some(client)) = (known, client) {
            let now_it_is = Client { from: client.ip(), known, counted: true };
            let e = &mut self.admission;
            if e.clients.insert(conn, now_it_is).is_some_and(|old| old.known && !known) {
                // As a proxy's it was as good as known.
                e.known -= 1;
                e.ledger.transfer(Owner::Known, Owner::Others, 1);
            }
        }
        match &mut self.side {
            Side::Platform(front, _) => front.admit(now, conn, client, known, &mut self.log),
            Side::Operator { front, .. } => front.admit(now, conn, client, known, &mut self.log),
        }
    }

    /// A connection to a host wanted a descriptor that the system did not have: a client that is owed nothing makes
    /// room for it, as a call that was taken comes first.
    pub(super) fn make_room_for_hosts(&mut self, now: Micros) {
        if !std::mem::take(&mut self.hosts.exhausted) {
            return;
        }
        self.admission.starved += 1;
        self.admission.ledger.set_exhausted(now);
        let made = self.evict_client(now, true);
        let made = if made { "a client made room" } else { "nobody could make room" };
        self.log.line(now, format_args!("out of descriptors for a host: {made}"));
        self.hear_gone(now);
    }

    /// At its request a client may have become known, or be so no longer: its descriptor changes hands.
    fn know_again(&mut self, now: Micros, conn: ConnId) {
        let e = &mut self.admission;
        let (Some(gate), Some(client)) = (&e.gate, e.clients.get_mut(&conn)) else { return };
        let known = gate.client_status(now, client.from) == ClientStatus::Known;
        if known == client.known {
            return;
        }
        client.known = known;
        match known {
            true => {
                e.known += 1;
                e.ledger.transfer(Owner::Others, Owner::Known, 1);
            }
            false => {
                e.known -= 1;
                e.ledger.transfer(Owner::Known, Owner::Others, 1);
            }
        }
        match &mut self.side {
            Side::Platform(front, _) => front.know(conn, known),
            Side::Operator { front, .. } => front.know(conn, known),
        }
    }

    fn asking(
        &self,
        conn: Option<ConnId>,
        class: usize,
        tenant: Option<usize>,
        size: usize,
    ) -> Option<RequestInfo> {
        self.admission.gate.as_ref()?;
        let client = self.admission.clients.get(&conn?)?;
        let settings = &self.config.deployment.settings;
        let most = settings.classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let worth = settings.classes.get(class).map_or(1.0, |c| c.worth / most);
        let all: f64 = settings.tenants.iter().map(|t| t.quota).sum();
        let quota = tenant.and_then(|t| settings.tenants.get(t)).map_or(1.0, |t| t.quota);
        let share = if all > 0.0 { quota / all } else { 1.0 };
        Some(RequestInfo { from: client.from, tenant, share, worth, size: size as u64 })
    }

    fn away(&self, (why, wait): (Why, Micros)) -> Away {
        let rate = self.admission.gate.as_ref().and_then(|g| g.rules().address.request_rate);
        let rate = rate.filter(|_| why == Why::RequestRate).map(|r| (r.per_second as u32, r.burst as u32));
        let own_doing = why.is_client_fault() || why == Why::Tenant;
        Away { word: why.as_str(), own_doing, wait, rate }
    }

    /// Whether a request may go on to the module, and what is to be given back when it is over.
    pub(super) fn let_in(
        &mut self,
        now: Micros,
        conn: Option<ConnId>,
        (class, tenant, size): (usize, Option<usize>, usize),
    ) -> Result<(Owner, Option<RequestInfo>), Reply> {
        if let Some(conn) = conn {
            self.know_again(now, conn);
        }
        let asking = self.asking(conn, class, tenant, size);
        if let (Some(gate), Some(asking)) = (&mut self.admission.gate, &asking) {
            if let Err(refused) = gate.admit_request(now, asking) {
                return Err(Reply::TurnedAway(self.away(refused)));
            }
        }
        let owner = self.admission.owner(conn);
        if !self.admission.take_memory(owner, size) {
            if let (Some(gate), Some(asking)) = (&mut self.admission.gate, &asking) {
                gate.request_done(now, asking, class, None);
            }
            return Err(Reply::Refused(self.config.deployment.settings.max_retry_after));
        }
        Ok((owner, asking))
    }

    /// A request that was admitted is over.
    pub(super) fn release(&mut self, now: Micros, pending: &Pending, served: bool) {
        self.admission.give_memory(pending.owner, pending.call.body.len());
        if let (Some(gate), Some(asking)) = (&mut self.admission.gate, &pending.asking) {
            gate.request_done(now, asking, pending.new.class, served.then(|| now - pending.arrived));
        }
    }

    /// The head of a call has come, and its body is long: it is not read where it would be turned away.
    pub(super) fn head(&mut self, now: Micros, conn: ConnId, tenant: Option<usize>, size: usize) {
        let asking = self.asking(Some(conn), usize::MAX, tenant, size);
        let refused = match (&self.admission.gate, &asking) {
            (Some(gate), Some(asking)) => gate.check_request(now, asking),
            _ => None,
        };
        let away = refused.map(|refused| self.away(refused));
        if let (Some((why, _)), Some(asking), Some(gate)) = (refused, asking, &mut self.admission.gate) {
            gate.count_refusal(now, asking.from, why);
        }
        if let Side::Operator { front, .. } = &mut self.side {
            front.go_ahead(now, conn, away, &mut self.log);
        }
    }

    /// Tells of whom was turned away, a line a second at the most.
    pub(super) fn tend_admission(&mut self, now: Micros) {
        let Some(window) = self.admission.gate.as_mut().and_then(|gate| gate.take_refusal_summary(now))
        else {
            return;
        };
        let told: Vec<String> =
            window.top.iter().map(|(prefix, why, n)| format!("{prefix} {} {n}", why.as_str())).collect();
        let others = if window.others > 0 { format!(", others {}", window.others) } else { String::new() };
        self.log.line(now, format_args!("admission refused: {}{others}", told.join(", ")));
    }

    pub(super) fn operate_admission(&mut self, now: Micros, call: AdmissionCommand) -> Response {
        if self.admission.gate.is_none() {
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

    /// Blocks, unblocks or knows a prefix, as an operator said here or at the other process.
    pub(super) fn set_prefix(&mut self, now: Micros, call: &AdmissionCommand) -> bool {
        let Some(gate) = &mut self.admission.gate else { return true };
        let (what, prefix, done) = match call {
            AdmissionCommand::Block(prefix) => ("blocked", prefix, gate.block(*prefix)),
            AdmissionCommand::Unblock(prefix) => {
                gate.unblock(now, *prefix);
                ("no longer blocked", prefix, true)
            }
            AdmissionCommand::Know { prefix, known } => {
                (if *known { "known" } else { "no longer known" }, prefix, gate.set_known(*prefix, *known))
            }
            AdmissionCommand::Show => return true,
        };
        if done {
            self.log.line(now, format_args!("admission: {prefix} is {what} by hand"));
        }
        if let (AdmissionCommand::Block(prefix), true) = (call, done) {
            // Whoever is in stays as long as it is owed an answer.
            let clients = self.admission.clients.iter().filter(|(_, c)| prefix.contains(c.from));
            let mut ids: Vec<_> = clients.map(|(id, _)| *id).collect();
            ids.sort();
            for id in ids {
                match &mut self.side {
                    Side::Platform(front, _) => front.dismiss(now, id, &mut self.log),
                    Side::Operator { front, .. } => front.dismiss(now, id, &mut self.log),
                }
            }
        }
        done
    }

    fn show_admission(&self, now: Micros) -> serde_json::Value {
        let Some(gate) = &self.admission.gate else { return serde_json::Value::Null };
        let e = &self.admission;
        let ledger = |l: &Ledger| {
            let rows = Owner::ALL.map(|o| {
                (o.as_str().to_string(), serde_json::json!({"held": l.held(o), "reserved": l.reserve(o)}))
            });
            let owners: serde_json::Map<_, _> = rows.into_iter().collect();
            serde_json::json!({"limit": l.limit(), "held": l.total_held(), "owners": owners})
        };
        let (near, wide) = gate.tables();
        let top = |table: &wheellink_admission::AddressTable| {
            let rows = table.heaviest(now, MOST_SHOWN).into_iter().map(|(prefix, weight, error, e)| {
                let closed = ((e.closed_until - now) / 1000).max(0);
                serde_json::json!({"prefix": prefix, "weight": weight.round(), "not_its_own": error.round(),
                    "connections": e.connections, "open": e.open, "bytes": e.bytes, "refused": e.refused,
                    "closed_for_ms": closed, "served": e.served.round()})
            });
            rows.collect::<Vec<_>>()
        };
        let penalties = near.iter().filter(|(_, e)| e.closed_until > now).count();
        let (blocked, known) = gate.manual_prefixes();
        let list = |prefixes: Vec<&Prefix>| {
            prefixes.into_iter().take(MOST_SHOWN).map(ToString::to_string).collect::<Vec<_>>()
        };
        let adaptive =
            gate.adaptive().map(|(limit, under)| serde_json::json!({"limit": limit, "under_way": under}));
        serde_json::json!({"descriptors": ledger(&e.ledger), "memory": ledger(&e.memory),
            "clients": {"known": e.known, "others": e.clients.len() - e.known},
            "refused": gate.total_refusals, "closed_for_want_of_descriptors": e.closed, "system_exhausted": e.starved,
            "addresses": near.len(), "pushed_out": near.evicted, "penalties": penalties,
            "blocked": list(blocked.collect()), "known": list(known.collect()), "adaptive": adaptive,
            "top": top(near), "top_neighbourhoods": top(wide)})
    }
}
