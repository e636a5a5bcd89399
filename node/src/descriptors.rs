//! Budget of the process's file descriptors: those that the program needs for itself are reserved, and clients and
//! hosts share the rest. So the bus, operators, SIGHUP and SIGTERM work however many clients connect.

use std::fmt;

/// Descriptors that are reserved for a part of the program.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// The part of the program, as named in error messages.
    pub holder: &'static str,
    /// Maximum number of descriptors that it holds at once.
    pub max: usize,
}

/// Maximum number of connections to the upgrade socket that have sent no valid message yet. One more may be open until
/// the oldest is dropped.
pub const MAX_PENDING_HANDSHAKES: usize = 4;

/// Descriptors that the program needs for itself, except for operators' connections.
pub const RESERVED: [Reservation; 12] = [
    Reservation { holder: "standard streams", max: 3 },
    // epoll, wake-up and timer.
    Reservation { holder: "event loop", max: 3 },
    Reservation { holder: "signals", max: 1 },
    Reservation { holder: "listening sockets", max: 2 },
    // A resolver is queried over UDP and TCP.
    Reservation { holder: "event bus or resolver", max: 2 },
    Reservation { holder: "datagram sockets of peers and members", max: 2 },
    Reservation { holder: "reader of agreed documents", max: 1 },
    Reservation { holder: "upgrade socket and handshakes", max: 1 + MAX_PENDING_HANDSHAKES + 1 },
    // Connection to it, its process, and the copy of the listening socket for it.
    Reservation { holder: "other process of an upgrade", max: 3 },
    // Reread on SIGHUP.
    Reservation { holder: "configuration file", max: 1 },
    // Closed to accept and then refuse connections when the system has no descriptor left.
    Reservation { holder: "spare", max: 1 },
    // A client and an operator, accepted before another connection is closed for them.
    Reservation { holder: "newcomers", max: 2 },
];

/// Operators' connections: one for each of this many descriptors, within the bounds below.
const DESCRIPTORS_PER_OPERATOR: usize = 32;
const MIN_OPERATORS: usize = 2;
const MAX_OPERATORS: usize = 12;
/// Minimum number of connections to hosts to route requests: to a host and another one for retries, with one more each.
const MIN_HOST_CONNS: usize = 4;

/// Error: the limit of descriptors is too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitTooLow {
    pub limit: usize,
    /// The lowest sufficient limit.
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

/// Current numbers of connections and hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to hosts.
    pub hosts: usize,
    /// Listed hosts, each of which may need one more connection.
    pub listed: usize,
}

/// Maximum numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to hosts.
    pub hosts: usize,
}

/// Splits a limit of descriptors between the program itself, clients and hosts.
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
    /// The budget of a process with this limit.
    ///
    /// # Errors
    /// If the limit is lower than the reserved descriptors, a third for clients and the minimum for hosts together.
    pub fn new(limit: usize) -> Result<Self, LimitTooLow> {
        let is_sufficient = |limit: usize| reserved(limit) + limit / 3 + MIN_HOST_CONNS <= limit;
        if is_sufficient(limit) {
            return Ok(Self { limit });
        }
        let needed = (limit..).find(|limit| is_sufficient(*limit)).unwrap_or(usize::MAX);
        Err(LimitTooLow { limit, needed })
    }

    /// The limit of the process.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Maximum number of operators' connections.
    pub fn operators(&self) -> usize {
        operators(self.limit)
    }

    /// Descriptors reserved for the program itself, including operators' connections.
    pub fn reserved(&self) -> usize {
        reserved(self.limit)
    }

    /// The number of connections that clients are promised: a third of the limit.
    pub fn client_share(&self) -> usize {
        self.limit / 3
    }

    fn shared(&self) -> usize {
        self.limit - self.reserved()
    }

    /// Bounds for a process that runs alone. Clients may use what hosts neither use nor may need soon, up to half of
    /// the limit. What clients use beyond their third goes back to hosts when these need it.
    pub fn bounds(&self, usage: Usage) -> Bounds {
        let unused = self.shared().saturating_sub(usage.hosts + usage.listed);
        let clients = unused.min(self.limit / 2).max(self.client_share());
        let hosts = self.shared().saturating_sub(usage.clients.max(self.client_share()));
        Bounds { clients, hosts: hosts.max(1) }
    }

    /// Bounds for a process that shares its address with another one, which has this many clients: both processes
    /// together stay within the limit.
    pub fn shared_bounds(&self, their_clients: usize) -> Bounds {
        let clients = self.client_share().saturating_sub(their_clients).max(self.client_share() / 2);
        let hosts = self.limit.saturating_sub(self.client_share() + 2 * self.reserved()) / 2;
        Bounds { clients, hosts: hosts.max(1) }
    }
}
