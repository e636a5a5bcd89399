//! State of a connection to a host: queued, partially written and outstanding commands.

use super::lines::{self, CallLine};
use super::*;

/// A host that accepts no bytes for this long while some are to be written has stopped reading.
pub(super) const MAX_STALL_US: Micros = 3_000_000;
/// Maximum time to write a command: a host that accepts it a few bytes at a time blocks all commands behind it,
/// among them its KILL.
const MAX_WRITE_US: Micros = 4_000_000;

/// Names the process that is at a host's address, as far as that shows: while a connection to it stands, it is the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessEpoch(u64);

impl ProcessEpoch {
    /// Advances to an epoch that no host had before.
    pub(super) fn next(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

/// Until when an attempt may be written, and to which process.
#[derive(Clone, Copy)]
pub struct SendLimits {
    /// Deadline: the attempt has ended by then.
    pub until: Micros,
    /// Latest time at which it may be written.
    pub leave_by: Micros,
    /// The only process that it may be written to, if it repeats an attempt that may have run there.
    pub process: Option<ProcessEpoch>,
}

impl SendLimits {
    /// The time in milliseconds until the deadline, which is sent to the host; `None` if the call may not be sent to this
    /// process, or not any more.
    pub(super) fn timeout_ms(&self, now: Micros, process: ProcessEpoch) -> Option<i64> {
        let timeout = (self.until - now) / 1000;
        let allowed = now <= self.leave_by && self.process.is_none_or(|wanted| wanted == process);
        (allowed && timeout > 0).then_some(timeout)
    }
}

/// A command to a host that has not been written completely.
pub(super) enum Command {
    Call {
        attempt: AttemptId,
        id: Rc<str>,
        line: CallLine,
        limits: SendLimits,
        /// How often it was moved here from a connection that ended before it was written.
        moves: u32,
    },
    /// Cancels a call. Once it has been written, the attempt ends.
    Kill {
        attempt: AttemptId,
        id: Rc<str>,
    },
    Order {
        order: OrderId,
        bytes: Vec<u8>,
        moves: u32,
    },
    /// A command whose answer needs no processing: HELO or REAP.
    Untracked(Vec<u8>),
}

impl Command {
    /// Whether it is new work for the host. A KILL ends work, and a probe concerns outstanding commands.
    pub(super) fn is_new_work(&self) -> bool {
        matches!(self, Command::Call { .. } | Command::Order { .. })
    }
}

/// A connection to a host.
pub(super) struct HostConn {
    pub(super) host: WorkerId,
    pub(super) conn: Conn,
    pub(super) connected: bool,
    /// When connecting started.
    pub(super) started: Micros,
    /// When a command was last queued or an answer last completed.
    pub(super) used_at: Micros,
    /// How long it had been idle before the outstanding commands, as long as nothing has been received since.
    pub(super) idle_before: Option<Micros>,
    /// When bytes were last received, or the first of the outstanding calls and orders was written.
    pub(super) read_at: Micros,
    /// When bytes were last written to the socket.
    pub(super) sent_at: Micros,
    /// When an answer that is still incomplete began.
    pub(super) partial_since: Option<Micros>,
    /// When a probe was queued that has not been answered.
    pub(super) probed_at: Option<Micros>,
    /// Answered probes since the last answer to a call or an order.
    pub(super) answered_probes: u32,
    pub(super) queue: VecDeque<Command>,
    /// The command whose bytes are in the ring, and whether any of them has been written to the socket.
    pub(super) writing: Option<(Command, bool)>,
    /// When that command was put into the ring.
    pub(super) writing_since: Micros,
    /// Calls that have been written completely, and when.
    pub(super) calls: HashMap<Rc<str>, (AttemptId, Micros)>,
    /// Orders that have been written completely, and when. A lost order gets no answer and is dropped on timeout.
    pub(super) orders: HashMap<String, (OrderId, Micros)>,
    /// Ids of calls that were cancelled here, newest last: their answers may still arrive, and must not be taken as
    /// answers to a later attempt of the same request.
    pub(super) killed: VecDeque<Rc<str>>,
}

impl HostConn {
    /// Number of queued and outstanding attempts.
    pub(super) fn load(&self) -> usize {
        let queued = self.queue.iter().filter(|i| matches!(i, Command::Call { .. })).count();
        let writing = matches!(self.writing, Some((Command::Call { .. }, _)));
        queued + usize::from(writing) + self.calls.len()
    }

    /// Whether an answer to a call or an order is outstanding.
    pub(super) fn awaits_answer(&self) -> bool {
        !self.calls.is_empty() || !self.orders.is_empty()
    }

    /// Notes that a command with an answer was written: starts the silence timer if none was outstanding.
    pub(super) fn expect_answer(&mut self, now: Micros) {
        if !self.awaits_answer() {
            self.read_at = now;
        }
    }

    /// Whether nothing is queued, being written or outstanding.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.writing.is_none() && self.calls.is_empty() && self.orders.is_empty()
    }

    /// Whether the answer that is being read belongs to a call that has not ended: that one ends by its deadline.
    pub(super) fn reads_awaited_answer(&self) -> bool {
        lines::partial_answer_id(&self.conn.inbox).is_some_and(|id| self.calls.contains_key(id.as_str()))
    }

    /// Whether writing the current command takes too long.
    pub(super) fn is_write_stalled(&self, now: Micros) -> bool {
        now - self.sent_at.max(self.writing_since) >= MAX_STALL_US || now - self.writing_since >= MAX_WRITE_US
    }

    /// Whether a KILL of this attempt is queued or being written.
    pub(super) fn has_kill(&self, attempt: AttemptId) -> bool {
        let is_it = |i: &Command| matches!(i, Command::Kill { attempt: a, .. } if *a == attempt);
        self.queue.iter().chain(self.writing.iter().map(|(command, _)| command)).any(is_it)
    }

    /// Whether an answer with this id could belong to another attempt: of the same request, or of another one, as
    /// clients choose the ids.
    pub(super) fn uses_id(&self, id: &Rc<str>) -> bool {
        let is_it = |i: &Command| matches!(i, Command::Call { id: other, .. } if other == id);
        let waiting = self.queue.iter().chain(self.writing.iter().map(|(command, _)| command)).any(is_it);
        waiting || self.calls.contains_key(id) || self.killed.contains(id)
    }
}
