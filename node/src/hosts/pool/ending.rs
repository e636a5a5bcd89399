//! Ends of attempts and connections, by errors and by timeouts.

use super::*;

/// Idle connections are closed after this share of the configured idle time, before the host closes them.
const IDLE_SHARE: f64 = 0.8;
/// How often a command of which no byte was written may be moved from an ended connection to another one.
pub(super) const MAX_MOVES: u32 = 2;
/// A probe without an answer fails after this. Hosts answer probes independently of their queue of calls.
const PROBE_TIMEOUT_US: Micros = 400_000;
/// A host that pauses for this long within an answer has failed. Any received byte restarts the interval.
const ANSWER_GAP_US: Micros = 500_000;
/// Maximum time from the first to the last byte of an answer for which nobody waits any more, as answers behind it on the
/// connection wait. An answer that is waited for may take as long as its call.
const ANSWER_TIMEOUT_US: Micros = 4_000_000;

impl HostPool {
    /// Ends an attempt without an answer.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.attempts.remove(&attempt);
        self.events.push_back(PoolEvent::Attempt { attempt, end, body: Vec::new(), fields: Vec::new() });
    }

    /// Ends a connection. Commands that were written completely may have run; all others certainly did not. Commands of
    /// which no byte was written move to another connection to the host, unless it accepts none: a broken connection
    /// alone does not count against a host, while a failed attempt would.
    pub(super) fn end_conn(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        let Some(mut c) = self.conns.remove(&id) else { return };
        self.unread.retain(|other| *other != id);
        if let Some(known) = self.known.get_mut(&c.host) {
            known.conns.retain(|other| *other != id);
            let stands = |id: &ConnId| self.conns.get(id).is_some_and(|conn| conn.connected);
            if c.connected && !known.conns.iter().any(stands) {
                known.process = self.last_process.next();
            }
        }
        let broke = matches!(reason, Reason::PeerReset | Reason::PeerClosed);
        if let Some(idle) = c.idle_before.filter(|_| broke && !c.is_idle()) {
            self.idle_limit.record(now, idle, true);
        }
        let detail = format!("calls={} orders={} queued={}", c.calls.len(), c.orders.len(), c.queue.len());
        log.ended(now, format_args!("host {}", c.host.0), reason, detail);
        let started = c.writing.as_ref().is_some_and(|(_, started)| *started);
        let unsent = c.writing.take().map(|(command, _)| command).into_iter().chain(c.queue.drain(..));
        let lost = matches!(reason, Reason::ConnectTimeout | Reason::HostGone | Reason::Shutdown);
        for (i, command) in unsent.collect::<Vec<_>>().into_iter().enumerate() {
            let ends = lost || (i == 0 && started);
            let command = if ends { Some(command) } else { self.requeue(now, &c.host, command, reason, log) };
            let Some(command) = command else { continue };
            match command {
                Command::Call { attempt, .. } => self.end_attempt(attempt, Outcome::ConnectFailed.into()),
                Command::Order { order, .. } => {
                    let outcome = Outcome::ConnectFailed;
                    self.events.push_back(PoolEvent::Order { order, outcome, copies: 0 });
                }
                // The end of the connection cancels its calls, as the KILL would have.
                Command::Kill { attempt, id } => {
                    if c.calls.remove(&id).is_some() {
                        self.end_attempt(attempt, Outcome::Cancelled.into());
                    }
                }
                Command::Untracked(_) => {}
            }
        }
        let mut out: Vec<_> = c.calls.into_values().map(|(attempt, _)| attempt).collect();
        out.sort();
        for attempt in out {
            self.end_attempt(attempt, Outcome::Reset.into());
        }
        let mut orders: Vec<_> = c.orders.into_values().map(|(order, _)| order).collect();
        orders.sort();
        for order in orders {
            self.events.push_back(PoolEvent::Order { order, outcome: Outcome::Reset, copies: 0 });
        }
        c.conn.close(&self.handle);
    }

    /// Moves a command to another connection to the host if possible; otherwise returns it.
    fn requeue(
        &mut self,
        now: Micros,
        host: &WorkerId,
        mut command: Command,
        reason: Reason,
        log: &mut Log,
    ) -> Option<Command> {
        let known = match &mut command {
            Command::Call { id, moves, .. } if *moves < MAX_MOVES => {
                *moves += 1;
                Some(id.clone())
            }
            Command::Order { moves, .. } if *moves < MAX_MOVES => {
                *moves += 1;
                None
            }
            _ => return Some(command),
        };
        // If the host refused this connection, only a connection that is already established is used.
        let refused = reason == Reason::ConnectRefused;
        let fits = |c: &HostConn, streams| {
            (c.connected || !refused) && known.as_ref().is_none_or(|id| c.load() < streams && !c.uses_id(id))
        };
        let is_connected = |id: &ConnId| self.conns.get(id).is_some_and(|c| c.connected);
        if refused && !self.known.get(host).is_some_and(|m| m.conns.iter().any(is_connected)) {
            return Some(command);
        }
        let Some(id) = self.pick_conn(now, host, fits, log) else { return Some(command) };
        if let Command::Call { attempt, .. } = &command {
            self.attempts.insert(*attempt, id);
        }
        self.enqueue(now, id, command, log);
        None
    }

    /// Drops orders that timed out, probes silent connections, and ends connections that could not be established in
    /// time, left a probe unanswered, or stall within an answer or a command. Closes idle connections that are too
    /// old, lead to a host in maintenance, or exceed the limit.
    pub fn tick(&mut self, now: Micros, log: &mut Log) {
        let idle = (self.transport.conn_idle as f64 * IDLE_SHARE) as Micros;
        let timeout = self.transport.order_timeout;
        self.conns.values_mut().for_each(|c| c.orders.retain(|_, (_, at)| now - *at <= timeout));
        if self.transport.probes {
            let silent = |c: &HostConn| {
                let quiet = now - c.read_at >= self.probe_delay.delay(c.answered_probes);
                c.connected && c.awaits_answer() && quiet && !self.maintenance.contains(&c.host)
            };
            let silent = self.conns.iter().filter(|(_, c)| c.probed_at.is_none() && silent(c));
            let mut silent: Vec<_> = silent.map(|(id, _)| *id).collect();
            silent.sort();
            for id in silent {
                self.next_probe += 1;
                let probe = Command::Untracked(lines::helo(&format!("p{}", self.next_probe)));
                if let Some(c) = self.conns.get_mut(&id) {
                    c.probed_at = Some(now);
                    c.queue.push_front(probe);
                    self.write_queued(now, id, log);
                }
            }
        }
        let end_reason = |c: &HostConn| match c.connected {
            false if now - c.started >= self.transport.connect_timeout => Some(Reason::ConnectTimeout),
            true if c.partial_since.is_some() && now - c.read_at >= ANSWER_GAP_US => Some(Reason::Protocol),
            true if c.partial_since.is_some_and(|at| now - at >= ANSWER_TIMEOUT_US)
                && !c.reads_awaited_answer() =>
            {
                Some(Reason::Protocol)
            }
            true if c.probed_at.is_some_and(|at| now - at >= PROBE_TIMEOUT_US) => Some(Reason::Silent),
            true if c.writing.is_some() && c.is_write_stalled(now) => Some(Reason::SlowReader),
            true if c.is_idle() && self.maintenance.contains(&c.host) => Some(Reason::Barred),
            true if c.is_idle() && (now - c.used_at >= idle || self.idle_limit.exceeded(now - c.used_at)) => {
                Some(Reason::Idle)
            }
            _ => None,
        };
        let mut ends: Vec<_> = self.conns.iter().filter_map(|(id, c)| Some((*id, end_reason(c)?))).collect();
        let spare = self.conns.len().saturating_sub(ends.len() + self.max_conns);
        let idle = self.conns.iter().filter(|(_, c)| spare > 0 && c.is_idle() && end_reason(c).is_none());
        let mut idle: Vec<_> = idle.map(|(id, c)| (c.used_at, *id)).collect();
        idle.sort();
        ends.extend(idle.into_iter().take(spare).map(|(_, id)| (id, Reason::Evicted)));
        ends.sort_by_key(|(id, _)| *id);
        for (id, reason) in ends {
            self.end_conn(now, id, reason, log);
        }
    }

    /// Ends all connections.
    pub fn shut_down(&mut self, now: Micros, log: &mut Log) {
        let mut ids: Vec<_> = self.conns.keys().copied().collect();
        ids.sort();
        for id in ids {
            self.end_conn(now, id, Reason::Shutdown, log);
        }
    }
}
