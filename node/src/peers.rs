//! Datagrams to and from the other activators of the same tier, which are identified by their addresses.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::RegistrationToken;

use crate::datagrams;
use crate::wake::{Handle, Wake};

/// Maximum length of datagrams that are sent or accepted.
pub const MAX_DATAGRAM_BYTES: usize = wheellink_settings::MAX_GOSSIP_BYTES;
/// Maximum number of datagrams read per wake-up, so that a flood of them does not block the event loop.
const MAX_DATAGRAMS_PER_WAKE: usize = 64;

/// Addresses of the activators of the tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// The address of this activator.
    pub listen: SocketAddr,
    /// All addresses by activator number, including that of this activator.
    pub each: Vec<SocketAddr>,
    /// An address that reaches all activators, such as a broadcast address.
    pub all: SocketAddr,
}

/// The socket of this activator, and the numbers of the others.
pub struct Peers {
    handle: Handle,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
    numbers: HashMap<SocketAddr, u32>,
    pub addresses: Addresses,
}

impl Peers {
    pub fn open(handle: &Handle, addresses: Addresses) -> io::Result<Self> {
        let (socket, token) = datagrams::open(handle, addresses.listen, Wake::Peers)?;
        // A broadcast may come back to its sender, so this activator's own address is left out.
        let others = addresses.each.iter().zip(0..).filter(|(address, _)| **address != addresses.listen);
        let numbers = others.map(|(address, number)| (*address, number)).collect();
        Ok(Self { handle: handle.clone(), socket, token, numbers, addresses })
    }

    /// Sends a datagram to all others. A datagram that cannot be sent is lost, as any datagram may be.
    pub fn broadcast(&self, data: &[u8]) {
        if data.len() <= MAX_DATAGRAM_BYTES {
            let _ = self.socket.send_to(data, self.addresses.all);
        }
    }

    /// Received datagrams, with the numbers of their senders. Datagrams that are too long, from unknown addresses or
    /// from this activator are dropped.
    pub fn receive(&self) -> Vec<(u32, Vec<u8>)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        let mut received = Vec::new();
        for _ in 0..MAX_DATAGRAMS_PER_WAKE {
            match self.socket.recv_from(&mut buf) {
                Ok((n, from)) if n <= MAX_DATAGRAM_BYTES => {
                    let number = self.numbers.get(&from);
                    received.extend(number.map(|number| (*number, buf[..n].to_vec())));
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // No datagram left, or an ICMP error as an activator does not listen.
                Err(_) => break,
            }
        }
        received
    }

    pub fn close(self) {
        self.handle.remove(self.token);
    }
}

#[cfg(test)]
mod tests;
