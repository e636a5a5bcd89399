//! Receiving: answers to calls and orders, and closed connections.

use super::*;

/// Size of an incomplete answer above which its connection is ended once all incomplete answers exceed their limit.
const LARGE_ANSWER_BYTES: usize = 32 << 10;

/// Maximum answers that one visit takes from a connection, so that a host that sends at full speed does not delay everything
/// else: more than a connection has calls and orders outstanding.
const MAX_ANSWERS_PER_VISIT: usize = 128;
/// Maximum reads of a connection in one visit.
const MAX_READS_PER_VISIT: usize = 8;

impl HostPool {
    /// Whether connections may have more to read.
    pub fn has_pending_reads(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Visits those connections once more.
    pub fn resume_reads(&mut self, now: Micros, log: &mut Log) {
        for id in std::mem::take(&mut self.unread) {
            self.ready(now, id, log);
        }
    }

    /// Handles readiness of a connection's socket for reading or writing.
    pub fn ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        if !c.connected {
            match c.conn.connected() {
                Ok(true) => (c.connected, c.sent_at) = (true, now),
                Ok(false) => return,
                // A connection that was accepted and reset at once does not show that nobody listens.
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    return self.end_conn(now, id, Reason::PeerReset, log)
                }
                Err(_) => return self.end_conn(now, id, Reason::ConnectRefused, log),
            }
        }
        // Its turn to be read has yet to come.
        if self.unread.contains(&id) {
            return self.write_queued(now, id, log);
        }
        // Reads before it writes: an answer makes a queued KILL of its call unnecessary, and after the end of the
        // connection the queued commands go elsewhere.
        match self.read(now, id, log) {
            Ok(()) => self.write_queued(now, id, log),
            Err(reason) => self.end_conn(now, id, reason, log),
        }
    }

    /// Reads and processes the answers that have arrived, as many as one visit may take; an error if the connection is to be
    /// ended.
    pub(super) fn read(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<(), Reason> {
        let mut answers = 0;
        for _ in 0..MAX_READS_PER_VISIT {
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            // Answers that arrived before a reset are processed first.
            let before = c.conn.inbox.len();
            let filled = c.conn.fill();
            if c.conn.inbox.len() > before {
                c.read_at = now;
                c.answered_probes += u32::from(c.probed_at.take().is_some());
                if let Some(idle) = c.idle_before.take() {
                    self.idle_limit.record(now, idle, false);
                }
            }
            while answers < MAX_ANSWERS_PER_VISIT {
                let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
                answers += 1;
                match lines::next_answer(&mut c.conn.inbox) {
                    Ok(Some(answer)) => self.answer_received(now, id, answer),
                    Ok(None) => break,
                    Err(problem) => {
                        log.bad_input(now, format_args!("host {} sent {problem}", c.host.0));
                        return Err(Reason::Protocol);
                    }
                }
            }
            let more = filled?;
            if answers >= MAX_ANSWERS_PER_VISIT {
                break;
            }
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            c.partial_since = if c.conn.inbox.is_empty() { None } else { c.partial_since.or(Some(now)) };
            if c.conn.inbox.len() > LARGE_ANSWER_BYTES {
                let held: usize = self.conns.values().map(|c| c.conn.inbox.len()).sum();
                if held > self.max_bytes {
                    return Err(Reason::Protocol);
                }
            }
            let Some(c) = self.conns.get(&id) else { return Ok(()) };
            if c.conn.eof {
                return Err(if c.is_idle() { Reason::PeerClosed } else { Reason::PeerReset });
            }
            if !more {
                return Ok(());
            }
        }
        if !self.unread.contains(&id) {
            self.unread.push_back(id);
        }
        Ok(())
    }

    fn answer_received(&mut self, now: Micros, id: ConnId, answer: lines::Answer) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        (c.used_at, c.partial_since) = (now, None);
        if let Some((order, _)) = c.orders.remove(&answer.id) {
            c.answered_probes = 0;
            let (outcome, copies) = (answer.outcome(), answer.copies());
            return self.events.push_back(PoolEvent::Order { order, outcome, copies });
        }
        let Some((attempt, since)) = c.calls.remove(answer.id.as_str()) else { return };
        c.answered_probes = 0;
        // A queued KILL of this call is obsolete.
        c.queue.retain(|i| !matches!(i, Command::Kill { attempt: a, .. } if *a == attempt));
        self.attempts.remove(&attempt);
        let end = answer.attempt_end(self.transport.reports_found, self.transport.reports_overlap);
        if end.outcome == Outcome::Done {
            self.probe_delay.record(now - since);
        }
        self.events.push_back(PoolEvent::Attempt { attempt, end, body: answer.body, fields: answer.fields });
    }
}
