//! Several activators that hear each other through links that can be cut, as processes of their own.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use wheellink_lab::relay::{Faults, Mesh};

use super::*;

/// Probes are sent this often: long enough that a busy machine does not make a process look dead.
pub const PERIOD_MS: u64 = 100;

/// Loopback addresses that no other fleet has: a port there is taken by nobody between its choice and a process's start.
fn own_addresses(n: usize) -> impl Iterator<Item = Ipv4Addr> {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    const EACH: u32 = 250;
    let (process, fleet) = (std::process::id() % EACH + 1, FLEETS.fetch_add(1, Relaxed) % EACH + 1);
    (1..=n).map(move |member| Ipv4Addr::new(127, process as u8, fleet as u8, member as u8))
}

pub struct Fleet {
    pub each: Vec<Option<Program>>,
    at: Vec<SocketAddr>,
    mesh: Mesh,
    pub host: Host,
    pub resolver: Resolver,
    /// What stands in each one's file besides.
    more: String,
}

impl Fleet {
    /// So many that have met.
    pub fn start_all(n: usize) -> Self {
        Self::start_with(n, "")
    }

    /// ... with this in their files besides.
    pub fn start_with(n: usize, more: &str) -> Self {
        let held: Vec<_> = own_addresses(n).map(|own| UdpSocket::bind((own, 0)).unwrap()).collect();
        let at: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(held);
        let mesh = Mesh::new(&at, n as u64).unwrap();
        let host = Host::warm();
        let resolver = Resolver::start(&[&host]);
        let mut fleet =
            Self { each: (0..n).map(|_| None).collect(), at, mesh, host, resolver, more: more.into() };
        (0..n).for_each(|i| fleet.start(i));
        fleet.agree(&(0..n).collect::<Vec<_>>());
        fleet
    }

    pub fn file(&self, i: usize) -> String {
        let own = format!("[members]\nname = \"m{i}\"\nlisten = \"{}\"\nperiod_ms = {PERIOD_MS}", self.at[i]);
        let other =
            |j: usize| format!("[[members.other]]\nname = \"m{j}\"\naddress = \"{}\"", self.mesh.near(i, j));
        let others: Vec<_> = (0..self.at.len()).filter(|j| *j != i).map(other).collect();
        let file = operator_file(self.resolver.address);
        format!("{file}\n{own}\n{}\n{}\n", others.join("\n"), self.more)
    }

    pub fn start(&mut self, i: usize) {
        self.each[i] = Some(Program::start(&self.file(i), true));
    }

    pub fn process(&mut self, i: usize) -> &mut Program {
        self.each[i].as_mut().expect("it runs")
    }

    /// What one says of another.
    pub fn said(&self, at: usize, of: usize, what: &str) -> serde_json::Value {
        let (status, view) = self.each[at].as_ref().expect("it runs").ask("GET", "/members", "");
        assert_eq!(status, 200);
        let members = view["members"].as_array().expect("members").clone();
        let name = format!("m{of}");
        members.into_iter().find(|m| m["name"] == *name).expect("on the roster")[what].clone()
    }

    /// Waits until each of these holds just these for being there.
    pub fn agree(&self, there: &[usize]) {
        let state = |at, of| self.said(at, of, "state");
        for at in there {
            wait_for("one view", || {
                (0..self.each.len()).filter(|of| of != at).all(|of| {
                    let held = state(*at, of);
                    (held == "alive" || held == "suspect") == there.contains(&of)
                })
            });
        }
    }

    /// Times that one logged another's death.
    pub fn deaths(&self, at: usize, of: usize) -> usize {
        self.each[at].as_ref().expect("it runs").logged(&format!("activator m{of} is gone"))
    }

    /// Of the datagrams from one to the other so many in 256 are lost from now on.
    pub fn lose(&self, from: usize, to: usize, loss: u8) {
        self.mesh.set(from, to, faults(loss));
    }

    pub fn lose_everywhere(&self, loss: u8) {
        self.mesh.set_all(faults(loss));
    }
}

/// 255: all.
fn faults(loss: u8) -> Faults {
    Faults { loss: f64::from(loss) / 255.0, ..Faults::default() }
}
