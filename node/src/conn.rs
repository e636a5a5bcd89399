//! A TCP connection as the event loop sees it: a socket, a ring each way, and nothing of any protocol.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};

use crate::faults;
use crate::log::Reason;
use crate::ring::Ring;
use crate::wake::{Handle, Wake};

/// Names a connection for as long as it lives; never used again.
pub type ConnId = u64;

/// Whether the system has no descriptor or buffer left, for this process or for all.
pub fn is_exhaustion(e: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS, ENOMEM: they have no kinds of their own.
    matches!(e.raw_os_error(), Some(24 | 23 | 105 | 12))
}

/// An id that no other connection has or had.
pub fn fresh_id() -> ConnId {
    thread_local!(static NEXT: Cell<ConnId> = const { Cell::new(0) });
    NEXT.with(|next| {
        next.set(next.get() + 1);
        next.get()
    })
}

/// What a connection's owner is woken by.
pub type Waking = fn(ConnId) -> Wake;

pub struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    pub inbox: Ring,
    pub outbox: Ring,
    /// The other side will send no more.
    pub eof: bool,
}

impl Conn {
    /// Registers the socket: its owner is woken by `ready` on every edge, and is to read and write as far
    /// as it can.
    pub fn new(
        handle: &Handle,
        id: ConnId,
        stream: TcpStream,
        (inbox, outbox): (usize, usize),
        ready: Waking,
    ) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, wakes| {
            wakes.push(ready(id));
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Self { stream, token, inbox: Ring::new(inbox), outbox: Ring::new(outbox), eof: false })
    }

    /// Takes an accepted connection in.
    pub fn accepted(
        handle: &Handle,
        id: ConnId,
        stream: TcpStream,
        bounds: (usize, usize),
        ready: Waking,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::new(handle, id, stream, bounds, ready)
    }

    /// Begins a connection; the first edge tells how that went.
    pub fn connect(
        handle: &Handle,
        id: ConnId,
        address: SocketAddr,
        bounds: (usize, usize),
        ready: Waking,
    ) -> io::Result<Self> {
        faults::inject(faults::Fault::Connect)?;
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            // EINPROGRESS has no kind of its own in the standard library.
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => return Err(e),
        }
        Self::new(handle, id, socket.into(), bounds, ready)
    }

    /// Whether a begun connection stands by now; an error where it failed.
    pub fn connected(&self) -> io::Result<bool> {
        if let Some(problem) = self.stream.take_error()? {
            return Err(problem);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads until nothing is left or the ring is full. True if the ring is full: more may be waiting, and
    /// as edges come once, whoever empties the ring must call again.
    pub fn fill(&mut self) -> Result<bool, Reason> {
        while !self.eof {
            if self.inbox.room() == 0 {
                return Ok(true);
            }
            match self.inbox.read_from(&mut &*self.stream) {
                Ok(0) => self.eof = true,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
        Ok(false)
    }

    /// Writes until the ring is empty or the socket takes no more. How many bytes went out.
    pub fn flush(&mut self) -> Result<usize, Reason> {
        let mut written = 0;
        while !self.outbox.is_empty() {
            match self.outbox.write_to(&mut &*self.stream) {
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
        Ok(written)
    }

    /// Ends this side: the other sees the end after all that was written, and may still send.
    pub fn half_close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Takes it out of the loop and closes it. What the other side has already been sent still reaches it.
    pub fn close(self, handle: &Handle) {
        handle.remove(self.token);
        self.half_close();
    }
}
