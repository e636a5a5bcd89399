//! What ends: attempts and connections, by what they met or by the time.

use super::*;

/// Idle connections are closed a little early, so that no request meets a close by the host.
const IDLE_SHARE: f64 = 0.8;
/// Moves of what has not begun to leave from a connection that ended to another one.
pub(super) const MAX_MOVES: u32 = 2;
/// An ask whether anybody still answers is given up after this. Hosts answer beside their queue.
const PROBE_TIMEOUT_US: Micros = 400_000;
/// A host that sends nothing for so long within an answer has gone silent. As long as pieces come, of any size,
/// it is at it.
const MAX_ANSWER_GAP_US: Micros = 500_000;
/// ... but from its first byte an answer must be whole by then: others on its connection wait behind it.
const ANSWER_TIMEOUT_US: Micros = 4_000_000;

impl HostPool {
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.attempts.remove(&attempt);
        self.events.push_back(PoolEvent::Attempt { attempt, end, body: Vec::new(), fields: Vec::new() });
    }

    /// Ends a connection: what had left whole may have run, all else proves that it did not. What has not
    /// begun to leave goes on another connection, unless the host takes none: a connection that breaks says
    /// nothing against it, and giving the attempt back would.
    pub(super) fn end_conn(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        let Some(mut c) = self.conns.remove(&id) else { return };
        if let Some(m) = self.known.get_mut(&c.host) {
            m.conns.retain(|other| *other != id);
        }
        let broke = matches!(reason, Reason::PeerReset | Reason::PeerClosed);
        if let Some(idle) = c.idle_before.filter(|_| broke && !c.is_idle()) {
            self.idle_limit.record(now, idle, true);
        }
        let detail = format!("calls={} orders={} queued={}", c.calls.len(), c.orders.len(), c.queue.len());
        log.ended(now, format_args!("host {}", c.host.0), reason, detail);
        let begun = c.writing.as_ref().is_some_and(|(_, begun)| *begun);
        let unsent = c.writing.take().map(|(item, _)| item).into_iter().chain(c.queue.drain(..));
        let dead = matches!(reason, Reason::ConnectTimeout | Reason::HostGone | Reason::Shutdown);
        for (i, item) in unsent.collect::<Vec<_>>().into_iter().enumerate() {
            let stays = dead || (i == 0 && begun);
            let item = if stays { Some(item) } else { self.requeue(now, &c.host, item, reason, log) };
            let Some(item) = item else { continue };
            match item {
                Command::Call { attempt, .. } => self.end_attempt(attempt, Outcome::ConnectFailed.into()),
                Command::Order { order, .. } => {
                    let outcome = Outcome::ConnectFailed;
                    self.events.push_back(PoolEvent::Order { order, outcome, copies: 0 });
                }
                // The end of the connection gives up what it carried, as KILL would have.
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

    /// Has a command go on another connection to the host, if that may and can be; else gives it back.
    fn requeue(
        &mut self,
        now: Micros,
        host: &WorkerId,
        mut item: Command,
        reason: Reason,
        log: &mut Log,
    ) -> Option<Command> {
        let known = match &mut item {
            Command::Call { id, moves, .. } if *moves < MAX_MOVES => {
                *moves += 1;
                Some(id.clone())
            }
            Command::Order { moves, .. } if *moves < MAX_MOVES => {
                *moves += 1;
                None
            }
            _ => return Some(item),
        };
        // Where the host turns connections away, only one that stands will do.
        let refused = reason == Reason::ConnectRefused;
        let fits = |c: &HostConn, streams| {
            (c.connected || !refused) && known.as_ref().is_none_or(|id| c.load() < streams && !c.uses_id(id))
        };
        let stands = |id: &ConnId| self.conns.get(id).is_some_and(|c| c.connected);
        if refused && !self.known.get(host).is_some_and(|m| m.conns.iter().any(stands)) {
            return Some(item);
        }
        let Some(id) = self.pick_conn(now, host, fits, log) else { return Some(item) };
        if let Command::Call { attempt, .. } = &item {
            self.attempts.insert(*attempt, id);
        }
        self.enqueue(now, id, item, log);
        None
    }

    /// Gives up connections that do not come up, that nobody answers on any more, or that are stuck within an
    /// answer or a command, and closes idle ones.
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
        let over = |c: &HostConn| match c.connected {
            false if now - c.started >= self.transport.connect_timeout => Some(Reason::ConnectTimeout),
            true if c.partial_since.is_some() && now - c.read_at >= MAX_ANSWER_GAP_US => {
                Some(Reason::Protocol)
            }
            true if c.partial_since.is_some_and(|at| now - at >= ANSWER_TIMEOUT_US) => Some(Reason::Protocol),
            true if c.probed_at.is_some_and(|at| now - at >= PROBE_TIMEOUT_US) => Some(Reason::Silent),
            true if c.writing.is_some() && c.is_write_stalled(now) => Some(Reason::SlowReader),
            true if c.is_idle() && self.maintenance.contains(&c.host) => Some(Reason::Barred),
            true if c.is_idle() && (now - c.used_at >= idle || self.idle_limit.exceeded(now - c.used_at)) => {
                Some(Reason::Idle)
            }
            _ => None,
        };
        let mut ends: Vec<_> = self.conns.iter().filter_map(|(id, c)| Some((*id, over(c)?))).collect();
        let spare = self.conns.len().saturating_sub(ends.len() + self.max_conns);
        let idle = self.conns.iter().filter(|(_, c)| spare > 0 && c.is_idle() && over(c).is_none());
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
