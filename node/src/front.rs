//! What stands before the engine: the platform's frames, and the invoke API for everybody else.

pub mod invoke;
pub mod platform;

use std::net::{SocketAddr, TcpStream};

use wheellink::Micros;

use crate::proxy::{self, Word};
use crate::ring::Ring;

/// The final answer of a request, in no front's words.
pub enum Reply {
    /// With the body that a script host gave.
    Served(Vec<u8>),
    /// It never ran, or may run again: trying again is harmless, after this time where one is told.
    Refused(Micros),
    /// It may have run.
    Failed,
    /// Its time was up; it may have run.
    TimedOut,
    /// Admission turned it away, unseen by the module.
    TurnedAway(Away),
}

/// How admission turned somebody away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Away {
    /// The reason's word.
    pub word: &'static str,
    /// It is the client's or its tenant's own doing, not that the service is full.
    pub own_doing: bool,
    /// When to come back.
    pub wait: Micros,
    /// So many a second, and at once, where it is a rate.
    pub rate: Option<(u32, u32)>,
}

/// A connection that was accepted.
pub struct Guest {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// A known client: others make room first.
    pub known: bool,
    /// A trusted proxy: its word on its client comes first.
    pub proxied: bool,
}

/// Whether a connection's client is known, or who it is not yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Through {
    /// It came by itself, or its proxy's word was taken.
    Nobody,
    /// Its proxy's word is awaited.
    Proxy,
    /// The word is there, and whether its client may come in is not said yet.
    Held,
}

impl Through {
    /// Takes a proxy's word where one is awaited: whose the connection is, once it is whole. It is held from then on.
    fn hear(&mut self, inbox: &mut Ring) -> Result<Option<Option<SocketAddr>>, &'static str> {
        if *self != Through::Proxy {
            return Ok(None);
        }
        let Some(word) = proxy::next(inbox)? else { return Ok(None) };
        *self = Through::Held;
        Ok(Some(match word {
            Word::Client(client) => Some(client),
            Word::Own => None,
        }))
    }
}
