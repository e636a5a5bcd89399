//! A listening socket in the event loop. Accepting can be paused; meanwhile the system queues new connections.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use wheellink::Micros;

use crate::faults;
use crate::wake::{Handle, Wake};

/// Connections that the system queues until they are accepted. Thousands may arrive at once, and a client whose
/// connection is not queued tries again only after a second.
const BACKLOG: i32 = 4096;

/// Binds a socket to the address and listens on it.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Otherwise connections of a process that has ended would keep the address in use.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A registered listening socket.
pub struct Listener {
    handle: Handle,
    socket: Rc<TcpListener>,
    token: RegistrationToken,
    /// When accepting resumes, if it is paused; `Micros::MAX` if it stays paused until [`Listener::resume`].
    paused_until: Option<Micros>,
}

impl Listener {
    /// Registers the socket. It is level-triggered: `wake` is repeated as long as connections wait to be accepted.
    pub fn open(handle: &Handle, listener: TcpListener, wake: Wake) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let socket = Rc::new(listener);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = handle.insert_source(source, move |_, _, wakes| {
            wakes.push(wake);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Self { handle: handle.clone(), socket, token, paused_until: None })
    }

    /// Duplicates the socket's descriptor, for another process.
    pub fn share(&self) -> io::Result<OwnedFd> {
        self.socket.as_fd().try_clone_to_owned()
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Accepts the next connection; `None` if none is waiting.
    pub fn accept(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        loop {
            match faults::inject(faults::Fault::Accept).and_then(|()| self.socket.accept()) {
                Ok(taken) => return Ok(Some(taken)),
                Err(e) => match e.kind() {
                    ErrorKind::WouldBlock => return Ok(None),
                    ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                    _ => return Err(e),
                },
            }
        }
    }

    /// Stops accepting until then; meanwhile the system queues new connections.
    pub fn pause(&mut self, until: Micros) {
        if self.paused_until.is_none() {
            // This fails only for a source that is not registered, and this one is.
            let _ = self.handle.disable(&self.token);
        }
        self.paused_until = Some(until);
    }

    /// Whether accepting is paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Resumes accepting.
    pub fn resume(&mut self) {
        if self.paused_until.take().is_some() {
            let _ = self.handle.enable(&self.token);
        }
    }

    /// When [`Listener::tick`] is due; `Micros::MAX` if accepting is not paused.
    pub fn next_tick(&self) -> Micros {
        self.paused_until.unwrap_or(Micros::MAX)
    }

    pub fn tick(&mut self, now: Micros) {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.resume();
        }
    }
}
