//! Wake-ups: what the event loop has found ready. Callbacks only queue a wake-up; the node handles the queue after each
//! dispatch, in order. So no other module depends on the node.

use std::collections::VecDeque;

use calloop::LoopHandle;

use crate::conn::ConnId;

/// A source that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A client's connection is readable or writable.
    Client(ConnId),
    /// A connection to a script host is readable or writable.
    Host(ConnId),
    /// An operator's connection is readable or writable.
    Caller(ConnId),
    /// A connection to another process of this address is readable or writable.
    Peer(ConnId),
    /// The connection to the event bus is readable or writable.
    Bus,
    /// A datagram of the resolver has arrived.
    Resolver,
    /// A connection to the resolver is readable or writable.
    ResolverConn(ConnId),
    /// Datagrams of other activators have arrived.
    Peers,
    /// Datagrams on the membership socket have arrived.
    Members,
    /// Another thread has finished reading a document of the agreed settings.
    AccordPrepared,
    /// Client connections are waiting to be accepted.
    Clients,
    /// Operator connections are waiting to be accepted.
    Callers,
    /// Another process has connected to take over this address.
    PeerArrival,
    /// The process is to end (SIGTERM).
    Stop,
    /// The configuration is to be read again (SIGHUP).
    Reload,
}

/// The event loop's shared data: queued wake-ups. A source is queued once per dispatch, so the length is limited by the
/// number of descriptors.
#[derive(Default)]
pub struct Wakes(VecDeque<Wake>);

impl Wakes {
    /// Queues a wake-up.
    pub fn push(&mut self, wake: Wake) {
        self.0.push_back(wake);
    }

    /// Removes the next wake-up.
    pub fn next(&mut self) -> Option<Wake> {
        self.0.pop_front()
    }
}

/// The handle with which sockets are registered with the event loop.
pub type Handle = LoopHandle<'static, Wakes>;
