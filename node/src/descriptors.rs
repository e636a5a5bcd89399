//! The ledger of the process's file descriptors: what the program itself needs is set apart before clients and hosts
//! share the rest, so that the bus, operators, SIGHUP and SIGTERM find theirs however many clients come.

use std::fmt;

/// Descriptors that one part of the program may hold at once.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// Which part.
    pub holder: &'static str,
    /// How many at most.
    pub max: usize,
}

/// Processes that have come to the upgrade socket and said nothing valid so far; one more may stand until the oldest is
/// dropped.
pub const MAX_PENDING_HANDSHAKES: usize = 4;

/// What the program needs for itself whatever else it holds, but for operators' connections.
pub const RESERVED: [Reservation; 12] = [
    Reservation { holder: "standard streams", max: 3 },
    // epoll, its wake-up, its timer.
    Reservation { holder: "event loop", max: 3 },
    Reservation { holder: "signals", max: 1 },
    Reservation { holder: "listening sockets", max: 2 },
    // A resolver is asked by datagram and by stream.
    Reservation { holder: "event bus or resolver", max: 2 },
    Reservation { holder: "datagrams of peers and members", max: 2 },
    Reservation { holder: "reader of agreed documents", max: 1 },
    Reservation { holder: "upgrade socket and its guests", max: 1 + MAX_PENDING_HANDSHAKES + 1 },
    // Its connection, its process, the copy of the listening socket for it.
    Reservation { holder: "other process of an upgrade", max: 3 },
    // Read again on SIGHUP.
    Reservation { holder: "configuration file", max: 1 },
    // Given up to turn newcomers away.
    Reservation { holder: "spare", max: 1 },
    // A client and an operator, accepted before another is closed in their place.
    Reservation { holder: "newcomers", max: 2 },
];

/// Operators' connections: one for so many descriptors, within these bounds.
const DESCRIPTORS_PER_OPERATOR: usize = 32;
const MIN_OPERATORS: usize = 2;
const MAX_OPERATORS: usize = 12;
/// Connections to hosts below which nothing can be routed: a host, another to repeat at, and one more for each of them.
const MIN_HOST_CONNS: usize = 4;

/// A limit of descriptors that is too low for what the program needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitTooLow {
    /// The limit.
    pub limit: usize,
    /// The lowest limit that will do.
    pub needed: usize,
}

impl fmt::Display for LimitTooLow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { limit, needed } = self;
        let clients = needed / 3;
        write!(f, "{limit} descriptors are too few, {needed} are needed: ")?;
        RESERVED.iter().try_for_each(|entry| write!(f, "{} {}, ", entry.max, entry.holder))?;
        write!(f, "{} operators, {clients} clients, {MIN_HOST_CONNS} hosts", operators(*needed))
    }
}
impl std::error::Error for LimitTooLow {}

/// What clients and hosts hold, and how many hosts are listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to hosts.
    pub hosts: usize,
    /// Hosts that may want one more connection.
    pub listed: usize,
}

/// How many clients and hosts may hold from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to hosts.
    pub hosts: usize,
}

/// See the module's page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    limit: usize,
}

fn operators(limit: usize) -> usize {
    (limit / DESCRIPTORS_PER_OPERATOR).clamp(MIN_OPERATORS, MAX_OPERATORS)
}

fn reserved(limit: usize) -> usize {
    RESERVED.iter().map(|entry| entry.max).sum::<usize>() + operators(limit)
}

impl Budget {
    /// For a process that may hold so many.
    ///
    /// # Errors
    /// Where what is set apart, a third for clients and the fewest for hosts are more than that.
    pub fn new(limit: usize) -> Result<Self, LimitTooLow> {
        let suffices = |limit: usize| reserved(limit) + limit / 3 + MIN_HOST_CONNS <= limit;
        if suffices(limit) {
            return Ok(Self { limit });
        }
        let needed = (limit..).find(|limit| suffices(*limit)).unwrap_or(usize::MAX);
        Err(LimitTooLow { limit, needed })
    }

    /// All that the process may hold.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Operators' connections.
    pub fn operators(&self) -> usize {
        operators(self.limit)
    }

    /// What is set apart for the program itself, operators' connections included.
    pub fn reserved(&self) -> usize {
        reserved(self.limit)
    }

    /// The clients' part: they are told that it is theirs.
    pub fn client_share(&self) -> usize {
        self.limit / 3
    }

    fn shared(&self) -> usize {
        self.limit - self.reserved()
    }

    /// Of a process that runs alone. What hosts neither hold nor may want soon is the clients', up to half of all; what
    /// clients hold beyond their third is the hosts' again once these want it.
    pub fn bounds(&self, usage: Usage) -> Bounds {
        let unwanted = self.shared().saturating_sub(usage.hosts + usage.listed);
        let clients = unwanted.min(self.limit / 2).max(self.client_share());
        let hosts = self.shared().saturating_sub(usage.clients.max(self.client_share()));
        Bounds { clients, hosts: hosts.max(1) }
    }

    /// Of a process beside another one of the same address, whose clients hold so many: both keep to the limit together.
    pub fn shared_bounds(&self, their_clients: usize) -> Bounds {
        let clients = self.client_share().saturating_sub(their_clients).max(self.client_share() / 2);
        let hosts = self.limit.saturating_sub(self.client_share() + 2 * self.reserved()) / 2;
        Bounds { clients, hosts: hosts.max(1) }
    }
}
