//! Datagram sockets in the event loop.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};

use crate::wake::{Handle, Wake};

/// Binds a datagram socket and registers it with the event loop, which queues `wake` when the socket is readable.
pub fn open(
    handle: &Handle,
    listen: SocketAddr,
    wake: Wake,
) -> io::Result<(Rc<UdpSocket>, RegistrationToken)> {
    let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, Some(Protocol::UDP))?;
    // During an upgrade two processes are bound to the same address; the later one receives.
    socket.set_reuse_address(true)?;
    socket.bind(&listen.into())?;
    socket.set_nonblocking(true)?;
    let socket: Rc<UdpSocket> = Rc::new(socket.into());
    // Level-triggered, as datagrams may be left after a wake-up.
    let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
    let token = handle.insert_source(source, move |_, _, wakes| {
        wakes.push(wake);
        Ok(PostAction::Continue)
    });
    let token = token.map_err(|e| io::Error::other(e.error.to_string()))?;
    Ok((socket, token))
}
