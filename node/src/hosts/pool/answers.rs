//! What hosts say: answers to calls and orders, and the ends of connections.

use super::*;

/// An answer above this size is large: few may be on their way at once.
const LARGE: usize = 32 << 10;

impl Hosts {
    /// The socket has something to say, or may take more.
    pub fn ready(&mut self, now: Micros, id: ConnId, log: &mut Log) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        if !c.standing {
            match c.conn.connected() {
                Ok(true) => (c.standing, c.wrote) = (true, now),
                Ok(false) => return,
                // One that was taken and broke at once does not say that nobody listens.
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    return self.end(now, id, Reason::PeerReset, log)
                }
                Err(_) => return self.end(now, id, Reason::ConnectRefused, log),
            }
        }
        // What the host said or did counts before anything more is written: an answer makes its KILL needless, and
        // an end has what is queued go elsewhere.
        match self.read(now, id, log) {
            Ok(()) => self.pump(now, id, log),
            Err(reason) => self.end(now, id, reason, log),
        }
    }

    pub(super) fn read(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Result<(), Reason> {
        loop {
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            // A reset must not swallow the answers that came before it.
            let before = c.conn.inbox.len();
            let filled = c.conn.fill();
            if c.conn.inbox.len() > before {
                c.heard = now;
                c.asks += u32::from(c.asked.take().is_some());
                if let Some(idle) = c.idled.take() {
                    self.idling.learn(now, idle, false);
                }
            }
            loop {
                let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
                match lines::next_answer(&mut c.conn.inbox) {
                    Ok(Some(answer)) => self.answered(now, id, answer),
                    Ok(None) => break,
                    Err(problem) => {
                        log.bad_input(now, format_args!("host {} sent {problem}", c.host.0));
                        return Err(Reason::Protocol);
                    }
                }
            }
            let more = filled?;
            let Some(c) = self.conns.get_mut(&id) else { return Ok(()) };
            c.partial = if c.conn.inbox.is_empty() { None } else { c.partial.or(Some(now)) };
            if c.conn.inbox.len() > LARGE {
                let held: usize = self.conns.values().map(|c| c.conn.inbox.len()).sum();
                if held > self.bytes {
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
    }

    fn answered(&mut self, now: Micros, id: ConnId, answer: lines::Answer) {
        let Some(c) = self.conns.get_mut(&id) else { return };
        (c.used, c.partial) = (now, None);
        if let Some((order, _)) = c.orders.remove(&answer.id) {
            c.asks = 0;
            let (outcome, copies) = (answer.outcome(), answer.copies());
            return self.notices.push_back(Notice::Order { order, outcome, copies });
        }
        let Some((attempt, since)) = c.calls.remove(answer.id.as_str()) else { return };
        c.asks = 0;
        // Its KILL has nothing left to give up.
        c.queue.retain(|i| !matches!(i, Item::Kill { attempt: a, .. } if *a == attempt));
        self.attempts.remove(&attempt);
        let end = answer.attempt_end(self.transport.says_warm, self.transport.counts_alike);
        if end.outcome == Outcome::Done {
            self.quiet.learn(now - since);
        }
        self.notices.push_back(Notice::Attempt { attempt, end, body: answer.body, fields: answer.fields });
    }
}
