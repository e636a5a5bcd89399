//! Script hosts by DNS-SD (RFC 6763): unicast queries to one resolver, whose records become host-list news.

mod browser;
mod records;

use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use wheellink::Micros;

use crate::bus::Host;
use crate::node::Node;
pub use browser::Browser;
pub use records::parse_name;

/// The longest answer taken: what the queries say, too.
const LONGEST: usize = records::PAYLOAD as usize;
/// Answers read at one go: a flood of them must not keep the loop.
const AT_ONCE: usize = 64;

pub struct DnsSd {
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    pub browser: Browser,
}

impl DnsSd {
    /// A socket that hears the resolver and nobody else.
    pub fn new(
        handle: &LoopHandle<'static, Node>,
        resolver: SocketAddr,
        browser: Browser,
    ) -> io::Result<Self> {
        let any = if resolver.is_ipv4() { Ipv4Addr::LOCALHOST.into() } else { Ipv6Addr::LOCALHOST.into() };
        let socket = UdpSocket::bind(SocketAddr::new(any, 0))?;
        socket.connect(resolver)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        // Level-triggered: what is left by one go is taken by the next.
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = handle.insert_source(source, |_, _, node| {
            node.dns_ready();
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Self { socket, token, browser })
    }

    /// Answers have come. What is new of the host list.
    pub fn ready(&mut self, now: Micros) -> Vec<Host> {
        let mut buf = [0; LONGEST];
        for _ in 0..AT_ONCE {
            match self.socket.recv(&mut buf) {
                Ok(n) => self.browser.answer(now, &buf[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Nothing left, or word that the resolver does not listen: the query's time-out tells as much.
                Err(_) => break,
            }
        }
        self.browser.changes(now)
    }

    /// Sends the queries that are due. What is new of the host list, as records run out.
    pub fn tick(&mut self, now: Micros) -> Vec<Host> {
        for query in self.browser.due(now) {
            // A query that could not be sent is one that is not answered.
            let _ = self.socket.send(&query);
        }
        self.browser.changes(now)
    }

    pub fn close(&self, handle: &LoopHandle<'static, Node>) {
        handle.remove(self.token);
    }
}
