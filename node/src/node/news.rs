//! News of the host list, from the bus or from DNS-SD, and of other activators: to pool and engine.

use wheellink::Condition;

use super::*;
use crate::peers::Addresses;

/// Hosts that one line of the log names.
const MOST_NAMED: usize = 16;

impl Node {
    /// Whether the host list is as new as can be told.
    pub(super) fn is_caught_up(&mut self, now: Micros) -> bool {
        match &self.side {
            Side::Platform(_, bus) => {
                self.caught_up |= bus.is_caught_up(now) || now >= self.patient_until;
                self.caught_up
            }
            Side::Operator { hosts, .. } => hosts.browser.any_up(),
        }
    }

    pub(super) fn bus_ready(&mut self) {
        let now = self.clock.now();
        if let Err(reason) = self.read_bus(now) {
            self.end_bus(now, reason);
        }
        self.settle();
    }

    pub(super) fn dns_ready(&mut self) {
        let now = self.clock.now();
        if let Side::Operator { hosts, .. } = &mut self.side {
            let news = hosts.ready(now, &mut self.log);
            self.list(ListKind::Delta, news);
            self.settle();
        }
    }

    pub(super) fn dns_tcp_ready(&mut self, id: ConnId) {
        let now = self.clock.now();
        if let Side::Operator { hosts, .. } = &mut self.side {
            let news = hosts.tcp_ready(now, id, &mut self.log);
            self.list(ListKind::Delta, news);
            self.settle();
        }
    }

    pub(super) fn read_bus(&mut self, now: Micros) -> Result<(), Reason> {
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
            let Side::Platform(_, bus) = &mut self.side else { return Ok(()) };
            bus.taken(now, bus.conn.as_ref().is_some_and(|c| !c.inbox.is_empty()));
            if bus.conn.as_ref().is_some_and(|c| c.eof) {
                return Err(Reason::PeerClosed);
            }
            if !more {
                return Ok(());
            }
        }
    }

    /// Takes one frame; false when none is whole.
    pub(super) fn take_bus_frame(&mut self, now: Micros) -> Result<bool, Reason> {
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
            if let Some((kind, hosts)) = bus.told_all(now) {
                self.list(kind, hosts);
            }
            return Ok(true);
        };
        let number = event.number;
        match bus.take(event) {
            Ok(None) => {}
            Ok(Some((kind, hosts))) => self.list(kind, hosts),
            Err(Gap { changes }) => {
                // The list may take long to be told anew: who drains by this event gets nothing until then.
                self.list(ListKind::Delta, changes);
                self.log.line(now, format_args!("the bus left a gap before {number}"));
                return Err(Reason::Protocol);
            }
        }
        Ok(true)
    }

    /// Connects to the bus where no connection is, and ends one that has gone silent or does not come up.
    pub(super) fn tend_bus(&mut self, now: Micros) {
        let Side::Platform(_, bus) = &mut self.side else { return };
        if bus.wants_connection(now) {
            let bounds = (BUS_RING, 64);
            let conn = Conn::connect(&self.handle, fresh_id(), bus.address, bounds, |_| Wake::Bus);
            self.bus_begun(now, conn);
        } else if bus.is_silent(now) {
            self.end_bus(now, Reason::Silent);
        }
    }

    pub(super) fn end_bus(&mut self, now: Micros, reason: Reason) {
        let Side::Platform(_, bus) = &mut self.side else { return };
        if let Some(conn) = bus.ended(now) {
            self.log.ended(now, "bus", reason, "");
            conn.close(&self.handle);
        }
    }

    /// News of the host list. The pool is told first: the engine may send at once.
    pub(super) fn list(&mut self, kind: ListKind, mut hosts: Vec<bus::Host>) {
        let now = self.clock.now();
        self.take_starts(now, kind, &mut hosts);
        // The bus may tell of a new host before it tells that the one before it at its address has gone. DNS-SD may
        // have two names for one address.
        if kind == ListKind::Delta && matches!(self.side, Side::Platform(..)) {
            hosts.splice(0..0, self.hosts.displaced(&hosts));
        }
        if kind == ListKind::Delta && hosts.is_empty() {
            return;
        }
        self.log_list(now, kind, &hosts);
        self.hosts.list(now, kind, &hosts, &mut self.log);
        // The engine may send to them at once: clients beyond their part make room before.
        self.resize();
        let entries: Vec<ListEntry> = hosts.into_iter().map(|h| h.entry).collect();
        self.list_for_turns(kind, &entries);
        self.bar_agreed(now, entries.iter().map(|e| &e.worker));
        self.run_engine(|engine, out| engine.update_hosts(now, kind, entries, out));
    }

    /// Has hosts have started by this program's time, not by the one that the list's source goes by.
    fn take_starts(&mut self, now: Micros, kind: ListKind, hosts: &mut [bus::Host]) {
        let whole = match &self.side {
            Side::Platform(_, bus) => bus.whole_at(),
            Side::Operator { .. } => None,
        };
        let before = self.host_starts.correction();
        self.host_starts.translate(now, whole, kind, hosts.iter_mut().map(|h| &mut h.entry));
        let correction = self.host_starts.correction();
        if correction != before {
            let ahead = correction as f64 / 1e6;
            self.log.line(now, format_args!("starts of hosts show that the clock was {ahead:.3} s ahead"));
        }
    }

    /// One line for news of the host list: how many entries in which state, and the changed hosts by name.
    fn log_list(&mut self, now: Micros, kind: ListKind, hosts: &[bus::Host]) {
        let number = |condition| hosts.iter().filter(|h| h.entry.condition == condition).count();
        let (up, draining) = (number(Condition::Up), number(Condition::Draining));
        let gone = number(Condition::Gone);
        let named = if kind == ListKind::Delta { &hosts[..hosts.len().min(MOST_NAMED)] } else { &[] };
        let names: Vec<String> =
            named.iter().map(|h| format!("{}={:?}", h.entry.worker.0, h.entry.condition)).collect();
        let text =
            format_args!("host list {kind:?} up={up} draining={draining} gone={gone} {}", names.join(" "));
        self.log.line(now, text);
    }

    /// Hears the other activators of the tier as long as the module tells them anything.
    pub(super) fn attend_peers(&mut self) {
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
        for (from, data) in self.peers.as_ref().map(Peers::heard).unwrap_or_default() {
            self.run_engine(|engine, out| engine.gossip_received(now, from, data, out));
        }
        self.settle();
    }

    /// Watches the other activators, where that is set up.
    pub(super) fn attend_members(&mut self) {
        let now = self.clock.now();
        if self.stopping.is_some() {
            return;
        }
        let Some(setup) = &self.config.members else {
            self.leave_members(now);
            self.attend_drafts(now);
            return self.membership.take().into_iter().for_each(Membership::close);
        };
        if self.membership.as_mut().is_some_and(|membership| membership.reconfigure(setup)) {
            self.attend_drafts(now);
            return self.meet_turns();
        }
        self.membership.take().into_iter().for_each(Membership::close);
        match Membership::open(&self.handle, setup, self.config.seed) {
            Ok(membership) => {
                self.membership = Some(membership);
                self.meet_turns();
            }
            Err(e) => self.log.line(now, format_args!("the other activators are not watched: {e}")),
        }
        self.attend_drafts(now);
    }

    pub(super) fn members_ready(&mut self) {
        let now = self.clock.now();
        let lines = self.membership.as_mut().map(Membership::ready).unwrap_or_default();
        lines.into_iter().for_each(|line| self.log.line(now, line));
        self.deliver_envelopes(now);
        self.settle();
    }

    pub(super) fn tend_members(&mut self, now: Micros) {
        let lines = self.membership.as_mut().map(Membership::tick).unwrap_or_default();
        lines.into_iter().for_each(|line| self.log.line(now, line));
        self.deliver_envelopes(now);
    }

    /// Says goodbye to the other activators.
    pub(super) fn leave_members(&mut self, now: Micros) {
        let lines = self.membership.as_mut().map(Membership::leave).unwrap_or_default();
        lines.into_iter().for_each(|line| self.log.line(now, line));
    }
}
