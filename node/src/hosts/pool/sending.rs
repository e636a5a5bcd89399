//! Sending: choice of the connection, queueing, writing and withdrawal of commands.

use super::lines::CallLine;
use super::*;

/// Maximum number of ids of cancelled calls that a connection remembers: more calls than it carries within any
/// deadline.
const MAX_KILLED_IDS: usize = 256;
/// Maximum number of connections to one host, if the limit of all connections allows it.
const MAX_CONNS_PER_HOST: usize = 24;
/// Maximum number of connections to one host that calls are spread over, as long as all hosts together get at most
/// half of the connections. A malformed answer ends its connection and so fails all other calls on it, and calls that
/// are not idempotent are never repeated.
const MAX_SPREAD: usize = 8;
/// Maximum number of connections that calls of all activators together are spread over at one host: a host accepts a
/// limited number, and each costs a handshake. 100 activators hold one each.
const MAX_FLEET_SPREAD: usize = 24;

impl HostPool {
    /// Sends an attempt, with additional fields in the call's line. Exactly one event reports its end later.
    pub fn send(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        host: &WorkerId,
        (call, more): (&Call, &str),
        limits: SendLimits,
        log: &mut Log,
    ) {
        let what = (call.class.as_str(), &*call.function.0);
        let line = CallLine::new(&call.id, what, call.key.as_deref(), more, &call.body);
        let fits = |c: &HostConn, streams| c.load() < streams && !c.uses_id(&call.id);
        match self.pick_conn(now, host, fits, log) {
            Some(id) => {
                self.attempts.insert(attempt, id);
                let command = Command::Call { attempt, id: call.id.clone(), line, limits, moves: 0 };
                self.enqueue(now, id, command, log);
            }
            // Reaching a limit of this process does not count against the host.
            None if self.is_available(host) => self.end_attempt(attempt, Outcome::NoConnection.into()),
            None => self.end_attempt(attempt, Outcome::ConnectFailed.into()),
        }
    }

    /// Cancels an attempt. If no byte of it has been written, it is withdrawn and certainly never ran. Otherwise it
    /// ends once its KILL has been written, so that no other attempt of the request is outstanding at the same time.
    pub fn cancel(&mut self, now: Micros, attempt: AttemptId, log: &mut Log) {
        if self.withdraw_attempt(now, attempt, log) {
            return;
        }
        let Some(id) = self.attempts.get(&attempt).copied() else { return };
        let Some(c) = self.conns.get_mut(&id) else { return };
        // A second KILL could arrive after the request's next attempt and cancel that one.
        if c.has_kill(attempt) {
            return;
        }
        let written = c.calls.iter().find(|(_, (a, _))| *a == attempt).map(|(id, _)| id.clone());
        let wire_id = written.or_else(|| match &c.writing {
            Some((Command::Call { id, attempt: a, .. }, _)) if *a == attempt => Some(id.clone()),
            _ => None,
        });
        if let Some(wire_id) = wire_id {
            c.queue.push_front(Command::Kill { attempt, id: wire_id });
            self.write_queued(now, id, log);
        }
    }

    /// Withdraws an attempt of which no byte has been written, and ends it as never sent. Returns whether it did.
    pub fn withdraw_attempt(&mut self, now: Micros, attempt: AttemptId, log: &mut Log) -> bool {
        let Some(id) = self.attempts.get(&attempt).copied() else { return false };
        let Some(c) = self.conns.get_mut(&id) else { return false };
        let is_it = |i: &Command| matches!(i, Command::Call { attempt: a, .. } if *a == attempt);
        if let Some(at) = c.queue.iter().position(is_it) {
            c.queue.remove(at);
            self.end_attempt(attempt, Outcome::NotSent.into());
            return true;
        }
        if c.writing.take_if(|(i, started)| !*started && is_it(i)).is_none() {
            return false;
        }
        c.conn.outbox.consume(usize::MAX);
        self.end_attempt(attempt, Outcome::NotSent.into());
        self.write_queued(now, id, log);
        true
    }

    /// Sends an order to load copies of a function. Exactly one event reports its end, unless the answer is lost.
    pub fn load(
        &mut self,
        now: Micros,
        order: OrderId,
        host: &WorkerId,
        (function, copies): (&FunctionId, u32),
        log: &mut Log,
    ) {
        match self.pick_conn(now, host, |_, _| true, log) {
            Some(id) => {
                let bytes = lines::spawn(&order_tag(order), &function.0, copies);
                self.enqueue(now, id, Command::Order { order, bytes, moves: 0 }, log);
            }
            None => {
                // Without a connection here the order is not sent, which does not count against the host: a refusal by
                // the host would be reported to the whole fleet. And as the order ends at once, an outcome on which it
                // is repeated would repeat it for ever.
                let outcome = if self.is_available(host) { Outcome::NotSent } else { Outcome::ConnectFailed };
                self.events.push_back(PoolEvent::Order { order, outcome, copies: 0 });
            }
        }
    }

    /// Sends the command to unload a function, if a connection can be had.
    pub fn unload(&mut self, now: Micros, host: &WorkerId, function: &FunctionId, log: &mut Log) {
        if let Some(id) = self.pick_conn(now, host, |_, _| true, log) {
            self.enqueue(now, id, Command::Untracked(lines::reap(&function.0)), log);
        }
    }

    /// Sends a probe, if a connection can be had.
    pub fn probe(&mut self, now: Micros, host: &WorkerId, log: &mut Log) {
        if let Some(id) = self.pick_conn(now, host, |_, _| true, log) {
            self.next_probe += 1;
            self.enqueue(now, id, Command::Untracked(lines::helo(&format!("p{}", self.next_probe))), log);
        }
    }

    /// The connection for the next command: an established one without load that fits; otherwise a new one, while calls
    /// are still to be spread over more connections; otherwise the fitting one with the least load.
    pub(super) fn pick_conn(
        &mut self,
        now: Micros,
        host: &WorkerId,
        fits: impl Fn(&HostConn, usize) -> bool,
        log: &mut Log,
    ) -> Option<ConnId> {
        let best = loop {
            let best = self.best_conn(now, host, &fits)?;
            // The host may have closed it while it was idle. Detected before the first byte, this fails no command.
            if !best.is_some_and(|(_, id)| self.end_if_closed(now, id, log)) {
                break best;
            }
        };
        let known = self.known.get(host)?;
        let spread = (self.max_conns / 2 / self.known.len().max(1)).clamp(1, MAX_SPREAD);
        let spread = spread.min(MAX_FLEET_SPREAD / self.transport.activators.max(1)).max(1);
        if let Some((load, id)) = best {
            if load == 0 || known.conns.len() >= spread || self.conns.len() >= self.max_conns {
                return Some(id);
            }
        }
        let (address, held) = (known.address, known.conns.len());
        // At the limit of all connections, the connection that has been idle longest makes room.
        if held < MAX_CONNS_PER_HOST && self.conns.len() >= self.max_conns {
            self.evict_longest_idle(now, log);
        }
        if held >= MAX_CONNS_PER_HOST || self.conns.len() >= self.max_conns {
            log.line(now, format_args!("no connection left for host {}", host.0));
            return None;
        }
        let id = crate::conn::fresh_id();
        let conn =
            match Conn::connect(&self.handle, id, address, (lines::MAX_ANSWER_BYTES, 64 << 10), Wake::Host) {
                Ok(conn) => conn,
                Err(e) => {
                    self.exhausted |= is_exhaustion(&e);
                    log.line(now, format_args!("no connection to host {} at {address}: {e}", host.0));
                    return None;
                }
            };
        let fresh = HostConn {
            host: host.clone(),
            conn,
            connected: false,
            started: now,
            used_at: now,
            idle_before: None,
            read_at: now,
            sent_at: now,
            partial_since: None,
            probed_at: None,
            answered_probes: 0,
            queue: VecDeque::new(),
            writing: None,
            writing_since: now,
            calls: HashMap::new(),
            orders: HashMap::new(),
            killed: VecDeque::new(),
        };
        self.conns.insert(id, fresh);
        self.known.get_mut(host)?.conns.push(id);
        Some(id)
    }

    /// The best fitting connection to a host, with its load: `None` if the host is not available, `Some(None)` if no
    /// connection fits.
    fn best_conn(
        &self,
        now: Micros,
        host: &WorkerId,
        fits: impl Fn(&HostConn, usize) -> bool,
    ) -> Option<Option<(usize, ConnId)>> {
        let known = self.known.get(host).filter(|_| self.is_available(host))?;
        let fitting = known.conns.iter().filter_map(|id| self.conns.get(id).map(|c| (*id, c)));
        let fitting = fitting.filter(|(_, c)| fits(c, self.transport.streams));
        // Prefers the most recently used. Skips connections that have been idle for too long; the next tick closes
        // them.
        let fresh = fitting.filter(|(_, c)| !(c.is_idle() && self.idle_limit.exceeded(now - c.used_at)));
        let best = fresh.map(|(id, c)| (c.load(), !c.connected, Reverse(c.used_at), id)).min();
        Some(best.map(|(load, _, _, id)| (load, id)))
    }

    /// Ends an idle connection that the host has closed, even if the event loop has not reported it yet.
    fn end_if_closed(&mut self, now: Micros, id: ConnId, log: &mut Log) -> bool {
        if !self.conns.get(&id).is_some_and(|c| c.connected && c.is_idle()) {
            return false;
        }
        let Err(reason) = self.read(now, id, log) else { return false };
        self.end_conn(now, id, reason, log);
        true
    }

    /// Closes the connection that has been idle longest, if any is idle.
    fn evict_longest_idle(&mut self, now: Micros, log: &mut Log) {
        let idle = self.conns.iter().filter(|(_, c)| c.connected && c.is_idle());
        let longest = idle.map(|(id, c)| (c.used_at, *id)).min();
        longest.into_iter().for_each(|(_, id)| self.end_conn(now, id, Reason::Evicted, log));
    }

    /// Queues a command on a connection and writes what the socket accepts.
    pub(super) fn enqueue(&mut self, now: Micros, id: ConnId, command: Command, log: &mut Log) {
        if let Some(c) = self.conns.get_mut(&id) {
            if c.connected && c.is_idle() {
                c.idle_before = Some(now - c.used_at);
            }
            c.queue.push_back(command);
            c.used_at = now;
            self.write_queued(now, id, log);
        }
    }

    /// Writes queued commands to the socket, one at a time.
    pub(super) fn write_queued(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id).filter(|c| c.connected) else { return };
        let process = self.known.get(&c.host).map_or(ProcessEpoch::default(), |known| known.process);
        // No byte of this call has been written: check again whether it may be sent, and update the time that is left.
        let unsent = c.writing.take_if(|(i, started)| !*started && matches!(i, Command::Call { .. }));
        let mut unsent_since = unsent.is_some().then_some(c.writing_since);
        if let Some((command, _)) = unsent {
            c.conn.outbox.consume(usize::MAX);
            c.queue.push_front(command);
        }
        let (mut killed, mut not_allowed) = (Vec::new(), Vec::new());
        let ended = loop {
            if c.writing.is_none() {
                let Some(command) = c.queue.pop_front() else { break None };
                let fits = match &command {
                    Command::Call { attempt, line, limits, .. } => match limits.timeout_ms(now, process) {
                        Some(timeout) => c.conn.outbox.push(&line.bytes(timeout)),
                        None => {
                            not_allowed.push(*attempt);
                            unsent_since = None;
                            continue;
                        }
                    },
                    Command::Order { bytes, .. } | Command::Untracked(bytes) => c.conn.outbox.push(bytes),
                    Command::Kill { id, .. } => c.conn.outbox.push(&lines::kill(id)),
                };
                debug_assert!(fits, "a command fits into the ring");
                c.writing = Some((command, false));
                c.writing_since = unsent_since.take().unwrap_or(now);
            }
            match c.conn.flush() {
                Err(reason) => break Some(reason),
                Ok(written) => {
                    if written > 0 {
                        c.sent_at = now;
                    }
                    let whole = c.conn.outbox.is_empty();
                    if let Some((_, started)) = &mut c.writing {
                        *started |= written > 0;
                    }
                    if !whole {
                        break None;
                    }
                }
            }
            match c.writing.take() {
                Some((Command::Call { attempt, id, .. }, _)) => {
                    c.expect_answer(now);
                    c.calls.insert(id, (attempt, now));
                }
                Some((Command::Order { order, .. }, _)) => {
                    c.expect_answer(now);
                    c.orders.insert(order_tag(order), (order, now));
                }
                Some((Command::Kill { attempt, id }, _)) => {
                    // If an answer came just before, that has already ended the attempt.
                    if c.calls.remove(&id).is_some() {
                        c.killed.push_back(id);
                        if c.killed.len() > MAX_KILLED_IDS {
                            c.killed.pop_front();
                        }
                        killed.push(attempt);
                    }
                }
                Some((Command::Untracked(_), _)) | None => {}
            }
        };
        for attempt in not_allowed {
            self.end_attempt(attempt, Outcome::NotSent.into());
        }
        for attempt in killed {
            self.end_attempt(attempt, Outcome::Cancelled.into());
        }
        if let Some(reason) = ended {
            // Answers that the host sent before the connection broke are still processed.
            let reason = self.read(now, id, log).err().unwrap_or(reason);
            self.end_conn(now, id, reason, log);
        }
    }
}

fn order_tag(order: OrderId) -> String {
    format!("o{}", order.0)
}
