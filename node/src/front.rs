//! The client-facing protocols: the platform's binary frames, and the HTTP invoke API of other deployments.

pub mod invoke;
pub mod platform;
mod read_queue;

use std::net::{SocketAddr, TcpStream};

use wheellink::Micros;

use crate::proxy::{self, Header};
use crate::ring::Ring;

/// The final answer to a request, independent of the client's protocol.
pub enum Reply {
    /// The body that the script host returned.
    Served(Vec<u8>),
    /// The request never ran, or may safely run again: the client may retry after this time (0: none is given).
    Refused(Micros),
    /// The attempt failed; the request may have run.
    Failed,
    /// The client's timeout passed; the request may have run.
    TimedOut,
    /// Admission control rejected the request before the engine saw it.
    TurnedAway(Rejection),
}

/// Why admission control rejected a request or a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Name of the exceeded limit, as used in the `RateLimit` headers.
    pub reason: &'static str,
    /// True if the client or its tenant exceeded its own limit, false if the service is full.
    pub client_fault: bool,
    /// Time after which the client may retry.
    pub retry_after: Micros,
    /// Events per second and burst size, if the limit is a rate.
    pub rate: Option<(u32, u32)>,
}

/// A client connection that was just accepted.
pub struct AcceptedClient {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// Whether admission control knows the client: unknown clients are evicted first.
    pub known: bool,
    /// Whether the peer is a trusted proxy, which sends a PROXY header before anything else.
    pub proxied: bool,
}

/// What is still to be learnt about the client before anything else is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProxyState {
    /// Nothing: the client connected directly, or was admitted after its proxy's header.
    Settled,
    /// The proxy's header has not arrived yet.
    AwaitHeader,
    /// The header has arrived, and admission control has not decided on the client yet.
    AwaitAdmission,
}

impl ProxyState {
    /// Reads the proxy's header if one is awaited. Returns the client's address, if the header names one, as soon as
    /// the header is complete; the connection then awaits admission.
    fn read_header(&mut self, inbox: &mut Ring) -> Result<Option<Option<SocketAddr>>, &'static str> {
        if *self != ProxyState::AwaitHeader {
            return Ok(None);
        }
        let Some(header) = proxy::next_header(inbox)? else { return Ok(None) };
        *self = ProxyState::AwaitAdmission;
        Ok(Some(match header {
            Header::Client(client) => Some(client),
            Header::NoClient => None,
        }))
    }
}
