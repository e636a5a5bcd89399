//! A TCP connection in the event loop: a socket with a receive and a send buffer, independent of any protocol.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};

use crate::faults;
use crate::log::Reason;
use crate::ring::Ring;
use crate::wake::{Handle, Wake};

/// Identifies a connection; never reused.
pub type ConnId = u64;

/// Whether the error means that the process or the system has run out of descriptors or buffers.
pub fn is_exhaustion(e: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS, ENOMEM have no `ErrorKind` of their own.
    matches!(e.raw_os_error(), Some(24 | 23 | 105 | 12))
}

/// Returns an id that no other connection has or had.
pub fn fresh_id() -> ConnId {
    thread_local!(static NEXT: Cell<ConnId> = const { Cell::new(0) });
    NEXT.with(|next| {
        next.set(next.get() + 1);
        next.get()
    })
}

/// Makes the wake-up that tells a connection's owner that the socket is ready.
pub type WakeFn = fn(ConnId) -> Wake;

/// What of a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HangUp {
    /// The peer sends no more, and may still read.
    PeerSide,
    /// Both directions: the peer is gone.
    Connection,
}

pub struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    pub inbox: Ring,
    pub outbox: Ring,
    /// The peer has ended its side of the connection.
    pub eof: bool,
}

impl Conn {
    /// Registers the socket edge-triggered: on each `wake`, the owner must read and write until the socket would block.
    pub fn new(
        handle: &Handle,
        id: ConnId,
        stream: TcpStream,
        (inbox, outbox): (usize, usize),
        wake: WakeFn,
    ) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, wakes| {
            wakes.push(wake(id));
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Self { stream, token, inbox: Ring::new(inbox), outbox: Ring::new(outbox), eof: false })
    }

    /// Registers an accepted connection.
    pub fn accepted(
        handle: &Handle,
        id: ConnId,
        stream: TcpStream,
        bounds: (usize, usize),
        wake: WakeFn,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::new(handle, id, stream, bounds, wake)
    }

    /// Starts a connection attempt; the first edge reports its result.
    pub fn connect(
        handle: &Handle,
        id: ConnId,
        address: SocketAddr,
        bounds: (usize, usize),
        wake: WakeFn,
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
        Self::new(handle, id, socket.into(), bounds, wake)
    }

    /// Whether a connection attempt has succeeded yet; an error if it failed.
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

    /// Reads until the socket would block or the ring is full. True if the ring is full: more bytes may be waiting,
    /// and since no further edge reports them, the caller must empty the ring and call again.
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

    /// Whether the peer has ended its side or the whole connection, even though input before that end is still unread.
    pub fn hang_up(&self) -> Option<HangUp> {
        let mut polled = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        // Where the system cannot tell, the end is noticed once all input has been read.
        poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).ok()?;
        let found = polled[0].revents();
        if found.intersects(PollFlags::HUP | PollFlags::ERR) {
            Some(HangUp::Connection)
        } else {
            found.contains(PollFlags::RDHUP).then_some(HangUp::PeerSide)
        }
    }

    /// Writes until the ring is empty or the socket would block. Returns the number of bytes written.
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

    /// Shuts down the sending side: the peer reads everything that was written and then the end, and may still send.
    pub fn half_close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Removes the socket from the loop and closes it. Bytes that were already sent still reach the peer.
    pub fn close(self, handle: &Handle) {
        handle.remove(self.token);
        self.half_close();
    }
}
