//! A listening socket in the loop, which can be shut for a while without losing what is queued on it.

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

/// Connections that the system may hold until they are accepted: thousands may come at once, and one that is
/// not queued is begun anew by its client only after a second.
const BACKLOG: i32 = 4096;

/// Listens on an address, and on no other.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of a process that has ended do not keep the address.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// See the module's page.
pub struct Listener {
    handle: Handle,
    socket: Rc<TcpListener>,
    token: RegistrationToken,
    /// Shut until then; for good where that is never.
    shut: Option<Micros>,
}

impl Listener {
    /// Registers the socket: `knock` is said as long as connections wait. Level-triggered, so that what was
    /// not accepted comes up again.
    pub fn open(handle: &Handle, listener: TcpListener, knock: Wake) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let socket = Rc::new(listener);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = handle.insert_source(source, move |_, _, wakes| {
            wakes.push(knock);
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Self { handle: handle.clone(), socket, token, shut: None })
    }

    /// Another handle of the same socket, for another process.
    pub fn share(&self) -> io::Result<OwnedFd> {
        self.socket.as_fd().try_clone_to_owned()
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// The next connection; `None` when none waits.
    pub fn next(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
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

    /// Accepts nothing until then. What comes is queued by the system meanwhile.
    pub fn shut(&mut self, until: Micros) {
        if self.shut.is_none() {
            // It fails for a source that is not there, which this one is.
            let _ = self.handle.disable(&self.token);
        }
        self.shut = Some(until);
    }

    /// Whether nothing is accepted now.
    pub fn is_shut(&self) -> bool {
        self.shut.is_some()
    }

    /// Accepts again.
    pub fn reopen(&mut self) {
        if self.shut.take().is_some() {
            let _ = self.handle.enable(&self.token);
        }
    }

    /// When it is to be opened again, if it is shut for a while.
    pub fn next_tick(&self) -> Micros {
        self.shut.unwrap_or(Micros::MAX)
    }

    pub fn tick(&mut self, now: Micros) {
        if self.shut.is_some_and(|until| until <= now) {
            self.reopen();
        }
    }
}
