//! What the event loop found ready. Callbacks do nothing but say so here; the hub takes it up after each
//! dispatch, in the order in which it came. So no part below the hub knows the hub.

use std::collections::VecDeque;

use calloop::LoopHandle;

use crate::conn::ConnId;

/// Something that is ready to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A client's connection can be read, or takes more.
    Client(ConnId),
    /// A connection to a script host can be read, or takes more.
    Host(ConnId),
    /// A connection of an operator can be read, or takes more.
    Caller(ConnId),
    /// The connection to another process of this address, likewise.
    Peer(ConnId),
    /// The connection to the event bus, likewise.
    Bus,
    /// The resolver has answered by datagram.
    Resolver,
    /// A connection to the resolver can be read, or takes more.
    ResolverConn(ConnId),
    /// Other activators of the tier have told something.
    Peers,
    /// Other activators have sent word of who is alive.
    Members,
    /// A document of the agreed settings was read beside the loop.
    AccordPrepared,
    /// Connections of clients wait to be accepted.
    Clients,
    /// Connections of operators wait to be accepted.
    Callers,
    /// Another process of this address has come to the meeting place.
    PeerArrival,
    /// The program is to end (SIGTERM).
    Stop,
    /// The configuration was replaced (SIGHUP).
    Reload,
}

/// The loop's own data: what is ready and not looked at yet. A source is named once a dispatch, so it holds as
/// many as there are descriptors at most.
#[derive(Default)]
pub struct Wakes(VecDeque<Wake>);

impl Wakes {
    /// Says that something is ready.
    pub fn push(&mut self, wake: Wake) {
        self.0.push_back(wake);
    }

    /// The next to be looked at.
    pub fn next(&mut self) -> Option<Wake> {
        self.0.pop_front()
    }
}

/// Where sockets are put into the loop.
pub type Handle = LoopHandle<'static, Wakes>;
