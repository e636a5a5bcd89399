//! Discovery of script hosts by DNS-SD (RFC 6763): sends unicast queries to a resolver, and turns its records into
//! changes of the host list.

mod attributes;
mod browser;
mod records;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use wheellink::Micros;

use crate::bus::Host;
use crate::conn::{Conn, ConnId};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};
pub use browser::Browser;
pub use records::parse_name;

/// Maximum size of an answer, which the queries announce to the resolver.
const MAX_ANSWER_BYTES: usize = records::MAX_PAYLOAD_BYTES as usize;
/// Maximum number of answers read per wake-up, so that a flood of them does not block the event loop.
const MAX_ANSWERS_PER_WAKE: usize = 64;

/// Timeout of a query over TCP.
const TIMEOUT_US: Micros = 1_000_000;
/// Maximum number of concurrent queries over TCP.
const MAX_TCP_QUERIES: usize = 8;

/// A query over TCP, used when the answer did not fit into a datagram.
struct TcpQuery {
    conn: Conn,
    started: Micros,
    sent: bool,
    query: Vec<u8>,
}

/// Sockets to the resolver, and the state of the discovery.
pub struct DnsSd {
    handle: Handle,
    resolver: SocketAddr,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    queries: BTreeMap<ConnId, TcpQuery>,
    pub browser: Browser,
}

impl DnsSd {
    pub fn new(handle: &Handle, resolver: SocketAddr, browser: Browser) -> io::Result<Self> {
        let (socket, token) = Self::socket(handle, resolver)?;
        let (handle, queries) = (handle.clone(), BTreeMap::new());
        Ok(Self { handle, resolver, socket, token, queries, browser })
    }

    /// Changes the resolver. Known records stay in use until they expire.
    pub fn set_resolver(&mut self, resolver: SocketAddr) -> io::Result<()> {
        if resolver != self.resolver {
            let (socket, token) = Self::socket(&self.handle, resolver)?;
            self.handle.remove(std::mem::replace(&mut self.token, token));
            (self.socket, self.resolver) = (socket, resolver);
        }
        Ok(())
    }

    /// Opens a datagram socket that is connected to the resolver, so that it receives from no other address.
    fn socket(handle: &Handle, resolver: SocketAddr) -> io::Result<(Rc<UdpSocket>, RegistrationToken)> {
        let local = if resolver.is_ipv4() { Ipv4Addr::LOCALHOST.into() } else { Ipv6Addr::LOCALHOST.into() };
        let socket = UdpSocket::bind(SocketAddr::new(local, 0))?;
        socket.connect(resolver)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        // Level-triggered, as datagrams may be left after a wake-up.
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = handle.insert_source(source, |_, _, wakes| {
            wakes.push(Wake::Resolver);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok((socket, token))
    }

    /// Handles readiness of the datagram socket. Returns the changes of the host list.
    pub fn ready(&mut self, now: Micros, log: &mut Log) -> Vec<Host> {
        let mut buf = [0; MAX_ANSWER_BYTES];
        for _ in 0..MAX_ANSWERS_PER_WAKE {
            match self.socket.recv(&mut buf) {
                Ok(n) => self.browser.answer(now, &buf[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // No datagram left, or an ICMP error as the resolver does not listen: the query times out.
                Err(_) => break,
            }
        }
        self.query_over_tcp(now, log);
        self.changes(now, log)
    }

    /// Sends the queries that are due. Returns the changes of the host list, as records expire.
    pub fn tick(&mut self, now: Micros, log: &mut Log) -> Vec<Host> {
        for query in self.browser.due(now) {
            // A query that cannot be sent times out.
            let _ = self.socket.send(&query);
        }
        let late: Vec<_> =
            self.queries.iter().filter(|(_, q)| now - q.started >= TIMEOUT_US).map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.end(now, id, Reason::Silent, log));
        self.changes(now, log)
    }

    fn query_over_tcp(&mut self, now: Micros, log: &mut Log) {
        for query in std::mem::take(&mut self.browser.over_tcp) {
            let id = crate::conn::fresh_id();
            let bounds = (2 + usize::from(u16::MAX), 2 + MAX_ANSWER_BYTES);
            match Conn::connect(&self.handle, id, self.resolver, bounds, Wake::ResolverConn) {
                Ok(conn) if self.queries.len() < MAX_TCP_QUERIES => {
                    self.queries.insert(id, TcpQuery { conn, started: now, sent: false, query });
                }
                // The query times out and is sent again.
                Ok(conn) => conn.close(&self.handle),
                Err(e) => log.line(now, format_args!("no connection to the resolver: {e}")),
            }
        }
    }

    /// Handles readiness of a TCP connection. Returns the changes of the host list.
    pub fn tcp_ready(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Vec<Host> {
        match self.read_tcp(now, id) {
            Ok(false) => {}
            Ok(true) => self.end(now, id, Reason::Finished, log),
            Err(reason) => self.end(now, id, reason, log),
        }
        self.changes(now, log)
    }

    /// The changes of the host list. Attributes of instances that make no sense are logged.
    fn changes(&mut self, now: Micros, log: &mut Log) -> Vec<Host> {
        let changes = self.browser.changes(now);
        for (instance, attribute) in std::mem::take(&mut self.browser.malformed) {
            log.line(now, format_args!("the TXT record of {instance}: {attribute}"));
        }
        changes
    }

    /// Sends the query and reads the answer, each with a length of two bytes before the message. True once the answer
    /// is complete.
    fn read_tcp(&mut self, now: Micros, id: ConnId) -> Result<bool, Reason> {
        let Some(q) = self.queries.get_mut(&id) else { return Ok(false) };
        if !q.sent {
            q.sent = q.conn.connected().map_err(|_| Reason::ConnectRefused)?;
            if !q.sent {
                return Ok(false);
            }
            q.conn.outbox.push(&(q.query.len() as u16).to_be_bytes());
            q.conn.outbox.push(&q.query);
        }
        q.conn.flush()?;
        q.conn.fill()?;
        let length = q.conn.inbox.copy(0, 2).map(|b| usize::from(u16::from_be_bytes([b[0], b[1]])));
        match length.and_then(|n| q.conn.inbox.copy(2, n)) {
            Some(message) => {
                self.browser.answer(now, &message);
                Ok(true)
            }
            None if q.conn.eof => Err(Reason::PeerClosed),
            None => Ok(false),
        }
    }

    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        if let Some(query) = self.queries.remove(&id) {
            log.ended(now, "resolver", reason, "");
            query.conn.close(&self.handle);
        }
    }

    pub fn close(&mut self, now: Micros, log: &mut Log) {
        self.handle.remove(self.token);
        let ids: Vec<_> = self.queries.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end(now, id, Reason::Shutdown, log));
    }
}
