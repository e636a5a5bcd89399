//! Discovery: passes changes of the host list, from the bus or DNS-SD, to the connection pool and the engine, and runs
//! the sockets to the other activators.

use wheellink::Condition;

use super::*;
use crate::peers::Addresses;

/// Hosts that a log line lists by name.
const MAX_LOGGED_HOSTS: usize = 16;

impl Node {
    /// Whether the host list is up to date, or the process has stopped waiting for that.
    pub(super) fn is_caught_up(&mut self, now: Micros) -> bool {
        match &self.mode {
            Mode::Platform(_, bus) => {
                self.caught_up |= bus.is_caught_up(now) || now >= self.catch_up_deadline;
                self.caught_up
            }
            Mode::Operator { hosts, .. } => hosts.browser.any_up(),
        }
    }

    pub(super) fn bus_ready(&mut self) {
        let now = self.clock.now();
        if let Err(reason) = self.read_bus(now) {
            self.close_bus(now, reason);
        }
        self.process_events();
    }

    pub(super) fn dns_ready(&mut self) {
        let now = self.clock.now();
        if let Mode::Operator { hosts, .. } = &mut self.mode {
            let changes = hosts.ready(now, &mut self.log);
            self.update_hosts(ListKind::Delta, changes);
            self.process_events();
        }
    }

    pub(super) fn dns_tcp_ready(&mut self, id: ConnId) {
        let now = self.clock.now();
        if let Mode::Operator { hosts, .. } = &mut self.mode {
            let changes = hosts.tcp_ready(now, id, &mut self.log);
            self.update_hosts(ListKind::Delta, changes);
            self.process_events();
        }
    }

    pub(super) fn read_bus(&mut self, now: Micros) -> Result<(), Reason> {
        loop {
            let Mode::Platform(_, bus) = &mut self.mode else { return Ok(()) };
            bus.subscribe(now)?;
            let Some(conn) = bus.conn.as_mut().filter(|_| bus.connected) else { return Ok(()) };
            conn.flush()?;
            let before = conn.inbox.len();
            let filled = conn.fill();
            if conn.inbox.len() > before {
                bus.bytes_received(now);
            }
            while self.process_bus_frame(now)? {}
            let more = filled?;
            let Mode::Platform(_, bus) = &mut self.mode else { return Ok(()) };
            bus.set_partial(now, bus.conn.as_ref().is_some_and(|c| !c.inbox.is_empty()));
            if bus.conn.as_ref().is_some_and(|c| c.eof) {
                return Err(Reason::PeerClosed);
            }
            if !more {
                return Ok(());
            }
        }
    }

    /// Processes one frame. Returns false if none is complete.
    pub(super) fn process_bus_frame(&mut self, now: Micros) -> Result<bool, Reason> {
        let Mode::Platform(_, bus) = &mut self.mode else { return Ok(false) };
        let Some(conn) = &mut bus.conn else { return Ok(false) };
        let frame = match bus::next_frame(&mut conn.inbox, &self.config.deployment.zones) {
            Ok(None) => return Ok(false),
            Ok(Some(frame)) => frame,
            Err(problem) => {
                self.log.line(now, format_args!("invalid data from the bus: {problem}"));
                return Err(Reason::Protocol);
            }
        };
        bus.frame_received(now);
        let Frame::Event(event) = frame else {
            if let Some((kind, hosts)) = bus.heartbeat_received(now) {
                self.update_hosts(kind, hosts);
            }
            return Ok(true);
        };
        let number = event.number;
        match bus.apply(event) {
            Ok(None) => {}
            Ok(Some((kind, hosts))) => self.update_hosts(kind, hosts),
            Err(Gap { changes }) => {
                // The bus may take long to send the list again. The event's own changes apply at once, so that hosts
                // that drain get no new requests until then.
                self.update_hosts(ListKind::Delta, changes);
                self.log.line(now, format_args!("events of the bus are missing before event {number}"));
                return Err(Reason::Protocol);
            }
        }
        Ok(true)
    }

    /// Connects to the bus if there is no connection, and closes one that is silent or not established in time.
    pub(super) fn tick_bus(&mut self, now: Micros) {
        let Mode::Platform(_, bus) = &mut self.mode else { return };
        if bus.wants_connection(now) {
            let bounds = (BUS_BUFFER_BYTES, 64);
            let conn = Conn::connect(&self.handle, fresh_id(), bus.address, bounds, |_| Wake::Bus);
            self.bus_connecting(now, conn);
        } else if bus.has_timed_out(now) {
            self.close_bus(now, Reason::Silent);
        }
    }

    pub(super) fn close_bus(&mut self, now: Micros, reason: Reason) {
        let Mode::Platform(_, bus) = &mut self.mode else { return };
        if let Some(conn) = bus.disconnect(now) {
            self.log.ended(now, "bus", reason, "");
            conn.close(&self.handle);
        }
    }

    /// Applies changes of the host list. The pool is updated first, because the engine may send to new hosts at once.
    pub(super) fn update_hosts(&mut self, kind: ListKind, mut hosts: Vec<bus::Host>) {
        let now = self.clock.now();
        self.translate_starts(now, kind, &mut hosts);
        // The bus may announce a new host before it reports that the previous one at the same address is gone. With
        // DNS-SD, two names may share one address.
        if kind == ListKind::Delta && matches!(self.mode, Mode::Platform(..)) {
            hosts.splice(0..0, self.hosts.displaced(&hosts));
        }
        if kind == ListKind::Delta && hosts.is_empty() {
            return;
        }
        self.log_list(now, kind, &hosts);
        self.hosts.update_hosts(now, kind, &hosts, &mut self.log);
        // Clients beyond their limit make room first, because the engine may connect to new hosts at once.
        self.update_limits();
        let entries: Vec<ListEntry> = hosts.into_iter().map(|h| h.entry).collect();
        self.update_turn_hosts(kind, &entries);
        self.update_agreed_out(now, entries.iter().map(|e| &e.worker));
        self.run_engine(|engine, out| engine.update_hosts(now, kind, entries, out));
    }

    /// Translates start times of hosts from the clock of the list's source to the clock of this process.
    fn translate_starts(&mut self, now: Micros, kind: ListKind, hosts: &mut [bus::Host]) {
        let synced = match &self.mode {
            Mode::Platform(_, bus) => bus.synced_at(),
            Mode::Operator { .. } => None,
        };
        let before = self.host_starts.correction();
        self.host_starts.translate(now, synced, kind, hosts.iter_mut().map(|h| &mut h.entry));
        let correction = self.host_starts.correction();
        if correction != before {
            let ahead = correction as f64 / 1e6;
            self.log.line(now, format_args!("start times of hosts: the clock was {ahead:.3} s ahead"));
        }
    }

    /// Logs one line for a change of the host list: the number of entries in each state, and changed hosts by name.
    fn log_list(&mut self, now: Micros, kind: ListKind, hosts: &[bus::Host]) {
        let count = |condition| hosts.iter().filter(|h| h.entry.condition == condition).count();
        let (up, draining) = (count(Condition::Up), count(Condition::Draining));
        let gone = count(Condition::Gone);
        let named = if kind == ListKind::Delta { &hosts[..hosts.len().min(MAX_LOGGED_HOSTS)] } else { &[] };
        let names: Vec<String> =
            named.iter().map(|h| format!("{}={:?}", h.entry.worker.0, h.entry.condition)).collect();
        let text =
            format_args!("host list {kind:?} up={up} draining={draining} gone={gone} {}", names.join(" "));
        self.log.line(now, text);
    }

    /// Opens or closes the gossip socket: it is open while the engine sends gossip to the other activators of the tier.
    pub(super) fn configure_peers(&mut self) {
        let wanted = self.engine.gossip_enabled().then(|| self.config.peers.clone());
        let kept = matches!((&self.peers, &wanted), (Some(p), Some(Ok(a))) if p.addresses == *a);
        if kept || (self.peers.is_none() && wanted.is_none()) {
            return;
        }
        if let Some(peers) = self.peers.take() {
            peers.close();
        }
        let open = |a: Addresses| Peers::open(&self.handle, a).map_err(|e| e.to_string());
        match wanted.map(|addresses| addresses.and_then(open)) {
            Some(Ok(peers)) => self.peers = Some(peers),
            Some(Err(problem)) => {
                let now = self.clock.now();
                self.log.line(now, format_args!("other activators are not heard: {problem}"));
            }
            None => {}
        }
    }

    pub(super) fn peers_ready(&mut self) {
        let now = self.clock.now();
        for (from, data) in self.peers.as_ref().map(Peers::receive).unwrap_or_default() {
            self.run_engine(|engine, out| engine.gossip_received(now, from, data, out));
        }
        self.process_events();
    }

    /// Opens, updates or closes the membership of the activators, as configured.
    pub(super) fn configure_members(&mut self) {
        let now = self.clock.now();
        if self.stopping.is_some() {
            return;
        }
        let Some(setup) = &self.config.members else {
            self.leave_members(now);
            self.update_drafts(now);
            return self.membership.take().into_iter().for_each(Membership::close);
        };
        if self.membership.as_mut().is_some_and(|membership| membership.reconfigure(setup)) {
            self.update_drafts(now);
            return self.update_turn_members();
        }
        self.membership.take().into_iter().for_each(Membership::close);
        match Membership::open(&self.handle, setup, self.config.seed) {
            Ok(membership) => {
                self.membership = Some(membership);
                self.update_turn_members();
            }
            Err(e) => self.log.line(now, format_args!("the other activators are not watched: {e}")),
        }
        self.update_drafts(now);
    }

    pub(super) fn members_ready(&mut self) {
        let now = self.clock.now();
        let lines = self.membership.as_mut().map(Membership::ready).unwrap_or_default();
        lines.into_iter().for_each(|line| self.log.line(now, line));
        self.deliver_envelopes(now);
        self.process_events();
    }

    pub(super) fn tick_members(&mut self, now: Micros) {
        let lines = self.membership.as_mut().map(Membership::tick).unwrap_or_default();
        lines.into_iter().for_each(|line| self.log.line(now, line));
        self.deliver_envelopes(now);
    }

    /// Announces to the other activators that this one leaves.
    pub(super) fn leave_members(&mut self, now: Micros) {
        let lines = self.membership.as_mut().map(Membership::leave).unwrap_or_default();
        lines.into_iter().for_each(|line| self.log.line(now, line));
    }
}
