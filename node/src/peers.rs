//! The activators of the same tier: datagrams to all of them, and theirs. Each is known by its address.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::RegistrationToken;

use crate::datagrams;
use crate::wake::{Handle, Wake};

/// The longest datagram that may be sent, and the longest that is taken.
pub const MAX_DATAGRAM_BYTES: usize = wheellink_settings::LONGEST_WORD;
/// Datagrams taken at one go: a flood of them must not keep the loop.
const MAX_DATAGRAMS_PER_WAKE: usize = 64;

/// Where the activators hear one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// Where this one hears.
    pub listen: SocketAddr,
    /// By their numbers, this one's own included.
    pub each: Vec<SocketAddr>,
    /// Reaches all of them.
    pub all: SocketAddr,
}

/// See the module's page.
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
        // What is told to all may come back to the one that told it.
        let others = addresses.each.iter().zip(0..).filter(|(address, _)| **address != addresses.listen);
        let numbers = others.map(|(address, number)| (*address, number)).collect();
        Ok(Self { handle: handle.clone(), socket, token, numbers, addresses })
    }

    /// Tells all others. One that cannot be sent is lost, as any may be.
    pub fn broadcast(&self, data: &[u8]) {
        if data.len() <= MAX_DATAGRAM_BYTES {
            let _ = self.socket.send_to(data, self.addresses.all);
        }
    }

    /// What has come, by the sender's number. What is too long, from elsewhere or this one's own is dropped.
    pub fn receive(&self) -> Vec<(u32, Vec<u8>)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        let mut all = Vec::new();
        for _ in 0..MAX_DATAGRAMS_PER_WAKE {
            match self.socket.recv_from(&mut buf) {
                Ok((n, from)) if n <= MAX_DATAGRAM_BYTES => {
                    let number = self.numbers.get(&from);
                    all.extend(number.map(|number| (*number, buf[..n].to_vec())));
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Nothing left, or word that one of them does not listen.
                Err(_) => break,
            }
        }
        all
    }

    pub fn close(self) {
        self.handle.remove(self.token);
    }
}

#[cfg(test)]
mod tests;
