//! One connection to a host: what is queued, written and out on it.

use super::lines::CallLine;
use super::*;

/// A host that takes no bytes for so long while some wait has stopped reading.
pub(super) const MAX_STALL_US: Micros = 3_000_000;
/// ... and one that takes a command a few bytes at a time holds up all behind it, its KILL among them.
const MAX_WRITE_US: Micros = 4_000_000;

/// Until when a call is worth something.
#[derive(Clone, Copy)]
pub struct CallTimes {
    /// It is over then.
    pub until: Micros,
    /// It may not leave after this.
    pub leave_by: Micros,
}

impl CallTimes {
    /// How long a host that gets it now is told that it is waited for, in milliseconds; `None`: it may not leave.
    pub(super) fn limit(&self, now: Micros) -> Option<i64> {
        let limit = (self.until - now) / 1000;
        (now <= self.leave_by && limit > 0).then_some(limit)
    }
}

pub(super) enum Command {
    Call {
        attempt: AttemptId,
        id: Rc<str>,
        line: CallLine,
        /// When it is over, and after when it may not leave.
        times: CallTimes,
        /// How often it has been on a connection that ended before it left.
        moves: u32,
    },
    /// Ends the attempt once it has been written.
    Kill {
        attempt: AttemptId,
        id: Rc<str>,
    },
    Order {
        order: OrderId,
        bytes: Vec<u8>,
        moves: u32,
    },
    Untracked(Vec<u8>),
}

impl Command {
    /// Whether it is new work for the host. A KILL ends work, and a probe asks after what is out already.
    pub(super) fn is_new_work(&self) -> bool {
        matches!(self, Command::Call { .. } | Command::Order { .. })
    }
}

pub(super) struct HostConn {
    pub(super) host: WorkerId,
    pub(super) conn: Conn,
    pub(super) connected: bool,
    pub(super) started: Micros,
    pub(super) used_at: Micros,
    /// It had been idle for so long when what is out now was begun, and nothing has come since.
    pub(super) idle_before: Option<Micros>,
    /// When something was last read, or the first of the calls that are out was written.
    pub(super) read_at: Micros,
    /// When bytes last left.
    pub(super) sent_at: Micros,
    /// An answer has begun then and is not whole.
    pub(super) partial_since: Option<Micros>,
    /// Asked then whether anybody still answers.
    pub(super) probed_at: Option<Micros>,
    /// Asks since its last answer that somebody answered.
    pub(super) answered_probes: u32,
    pub(super) queue: VecDeque<Command>,
    /// The item whose bytes are in the ring, and whether any of them has left it.
    pub(super) writing: Option<(Command, bool)>,
    /// When its bytes were put there.
    pub(super) writing_since: Micros,
    /// Calls that have left whole, and when.
    pub(super) calls: HashMap<Rc<str>, (AttemptId, Micros)>,
    /// Orders that have left whole, and when: one that is lost gets no answer.
    pub(super) orders: HashMap<String, (OrderId, Micros)>,
    /// Ids given up here, newest last: their answers may still come, and must not be taken for those of a
    /// later attempt of the same request.
    pub(super) killed: VecDeque<Rc<str>>,
}

impl HostConn {
    /// Attempts that are queued or out here.
    pub(super) fn load(&self) -> usize {
        let queued = self.queue.iter().filter(|i| matches!(i, Command::Call { .. })).count();
        let writing = matches!(self.writing, Some((Command::Call { .. }, _)));
        queued + usize::from(writing) + self.calls.len()
    }

    /// Whether answers are owed to what has left.
    pub(super) fn awaits_answer(&self) -> bool {
        !self.calls.is_empty() || !self.orders.is_empty()
    }

    /// Something leaves that is to be answered.
    pub(super) fn expect_answer(&mut self, now: Micros) {
        if !self.awaits_answer() {
            self.read_at = now;
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.writing.is_none() && self.calls.is_empty() && self.orders.is_empty()
    }

    /// Whether the command that is being written should have left by now.
    pub(super) fn is_write_stalled(&self, now: Micros) -> bool {
        now - self.sent_at.max(self.writing_since) >= MAX_STALL_US || now - self.writing_since >= MAX_WRITE_US
    }

    /// Whether its KILL is queued or being written.
    pub(super) fn has_kill(&self, attempt: AttemptId) -> bool {
        let is_it = |i: &Command| matches!(i, Command::Kill { attempt: a, .. } if *a == attempt);
        self.queue.iter().chain(self.writing.iter().map(|(item, _)| item)).any(is_it)
    }

    /// Whether an answer under this id could be meant for another attempt: of this request or, as clients
    /// choose the ids, of another.
    pub(super) fn uses_id(&self, id: &Rc<str>) -> bool {
        let is_it = |i: &Command| matches!(i, Command::Call { id: other, .. } if other == id);
        let waiting = self.queue.iter().chain(self.writing.iter().map(|(item, _)| item)).any(is_it);
        waiting || self.calls.contains_key(id) || self.killed.contains(id)
    }
}
