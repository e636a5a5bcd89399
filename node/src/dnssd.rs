//! Script hosts by DNS-SD (RFC 6763): unicast queries to one resolver, whose records become host-list news.

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

/// The longest answer taken: what the queries say, too.
const LONGEST: usize = records::PAYLOAD as usize;
/// Answers read at one go: a flood of them must not keep the loop.
const AT_ONCE: usize = 64;

/// A query over TCP is given up after this.
const PATIENCE: Micros = 1_000_000;
/// Queries over TCP at once.
const CONNECTIONS: usize = 8;

/// One query over TCP, for an answer that did not fit.
struct Asking {
    conn: Conn,
    begun: Micros,
    asked: bool,
    query: Vec<u8>,
}

pub struct DnsSd {
    handle: Handle,
    resolver: SocketAddr,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    asking: BTreeMap<ConnId, Asking>,
    pub browser: Browser,
}

impl DnsSd {
    pub fn new(handle: &Handle, resolver: SocketAddr, browser: Browser) -> io::Result<Self> {
        let (socket, token) = Self::socket(handle, resolver)?;
        let (handle, asking) = (handle.clone(), BTreeMap::new());
        Ok(Self { handle, resolver, socket, token, asking, browser })
    }

    /// Another resolver is asked from now on; what is known stays known as long as its records say.
    pub fn set_resolver(&mut self, resolver: SocketAddr) -> io::Result<()> {
        if resolver != self.resolver {
            let (socket, token) = Self::socket(&self.handle, resolver)?;
            self.handle.remove(std::mem::replace(&mut self.token, token));
            (self.socket, self.resolver) = (socket, resolver);
        }
        Ok(())
    }

    /// A socket that hears the resolver and nobody else.
    fn socket(handle: &Handle, resolver: SocketAddr) -> io::Result<(Rc<UdpSocket>, RegistrationToken)> {
        let any = if resolver.is_ipv4() { Ipv4Addr::LOCALHOST.into() } else { Ipv6Addr::LOCALHOST.into() };
        let socket = UdpSocket::bind(SocketAddr::new(any, 0))?;
        socket.connect(resolver)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        // Level-triggered: what is left by one go is taken by the next.
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = handle.insert_source(source, |_, _, wakes| {
            wakes.push(Wake::Resolver);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok((socket, token))
    }

    /// Answers have come. What is new of the host list.
    pub fn ready(&mut self, now: Micros, log: &mut Log) -> Vec<Host> {
        let mut buf = [0; LONGEST];
        for _ in 0..AT_ONCE {
            match self.socket.recv(&mut buf) {
                Ok(n) => self.browser.answer(now, &buf[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Nothing left, or word that the resolver does not listen: the query's time-out tells as much.
                Err(_) => break,
            }
        }
        self.ask_over_tcp(now, log);
        self.browser.changes(now)
    }

    /// Sends the queries that are due. What is new of the host list, as records run out.
    pub fn tick(&mut self, now: Micros, log: &mut Log) -> Vec<Host> {
        for query in self.browser.due(now) {
            // A query that could not be sent is one that is not answered.
            let _ = self.socket.send(&query);
        }
        let late: Vec<_> =
            self.asking.iter().filter(|(_, a)| now - a.begun >= PATIENCE).map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.end(now, id, Reason::Silent, log));
        self.browser.changes(now)
    }

    fn ask_over_tcp(&mut self, now: Micros, log: &mut Log) {
        for query in std::mem::take(&mut self.browser.over_tcp) {
            let id = crate::conn::fresh_id();
            let bounds = (2 + usize::from(u16::MAX), 2 + LONGEST);
            match Conn::connect(&self.handle, id, self.resolver, bounds, Wake::ResolverConn) {
                Ok(conn) if self.asking.len() < CONNECTIONS => {
                    self.asking.insert(id, Asking { conn, begun: now, asked: false, query });
                }
                // Its time-out has the query sent again.
                Ok(conn) => conn.close(&self.handle),
                Err(e) => log.line(now, format_args!("no connection to the resolver: {e}")),
            }
        }
    }

    /// A connection for a query has something to say. What is new of the host list.
    pub fn tcp_ready(&mut self, now: Micros, id: ConnId, log: &mut Log) -> Vec<Host> {
        match self.read_tcp(now, id) {
            Ok(false) => {}
            Ok(true) => self.end(now, id, Reason::Finished, log),
            Err(reason) => self.end(now, id, reason, log),
        }
        self.browser.changes(now)
    }

    /// True once the answer has been read: two bytes of length, then the message.
    fn read_tcp(&mut self, now: Micros, id: ConnId) -> Result<bool, Reason> {
        let Some(a) = self.asking.get_mut(&id) else { return Ok(false) };
        if !a.asked {
            a.asked = a.conn.connected().map_err(|_| Reason::ConnectRefused)?;
            if !a.asked {
                return Ok(false);
            }
            a.conn.outbox.push(&(a.query.len() as u16).to_be_bytes());
            a.conn.outbox.push(&a.query);
        }
        a.conn.flush()?;
        a.conn.fill()?;
        let length = a.conn.inbox.copy(0, 2).map(|b| usize::from(u16::from_be_bytes([b[0], b[1]])));
        match length.and_then(|n| a.conn.inbox.copy(2, n)) {
            Some(message) => {
                self.browser.answer(now, &message);
                Ok(true)
            }
            None if a.conn.eof => Err(Reason::PeerClosed),
            None => Ok(false),
        }
    }

    fn end(&mut self, now: Micros, id: ConnId, reason: Reason, log: &mut Log) {
        if let Some(asking) = self.asking.remove(&id) {
            log.ended(now, "resolver", reason, "");
            asking.conn.close(&self.handle);
        }
    }

    pub fn close(&mut self, now: Micros, log: &mut Log) {
        self.handle.remove(self.token);
        let ids: Vec<_> = self.asking.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end(now, id, Reason::Shutdown, log));
    }
}
