//! A fleet of activator processes whose datagrams to each other pass through relays that can drop them.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use wheellink_lab::relay::{Faults, Mesh};

use super::*;

/// Period of the members' probes: long enough that a process on a busy machine is not taken for dead.
pub const PERIOD_MS: u64 = 100;

/// Loopback addresses that no other fleet uses, so that nothing takes a chosen port before the process binds it.
fn own_addresses(n: usize) -> impl Iterator<Item = Ipv4Addr> {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    const EACH: u32 = 250;
    let (process, fleet) = (std::process::id() % EACH + 1, FLEETS.fetch_add(1, Relaxed) % EACH + 1);
    (1..=n).map(move |member| Ipv4Addr::new(127, process as u8, fleet as u8, member as u8))
}

/// The processes with their host and resolver.
pub struct Fleet {
    /// The process of each member, while it runs.
    pub programs: Vec<Option<Program>>,
    /// Where each member receives datagrams.
    at: Vec<SocketAddr>,
    mesh: Mesh,
    pub host: Host,
    pub resolver: Resolver,
    /// Additional text for each member's file.
    more: String,
}

impl Fleet {
    /// Starts `n` members and waits until each knows the others.
    pub fn start_all(n: usize) -> Self {
        Self::start_with(n, "")
    }

    /// Like [`Fleet::start_all`], with additional text in their files.
    pub fn start_with(n: usize, more: &str) -> Self {
        let held: Vec<_> = own_addresses(n).map(|own| UdpSocket::bind((own, 0)).unwrap()).collect();
        let at: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(held);
        let mesh = Mesh::new(&at, n as u64).unwrap();
        let host = Host::warm();
        let resolver = Resolver::start(&[&host]);
        let mut fleet =
            Self { programs: (0..n).map(|_| None).collect(), at, mesh, host, resolver, more: more.into() };
        (0..n).for_each(|i| fleet.start(i));
        fleet.wait_for_view(&(0..n).collect::<Vec<_>>());
        fleet
    }

    /// The file of one member.
    pub fn file(&self, i: usize) -> String {
        let own = format!("[members]\nname = \"m{i}\"\nlisten = \"{}\"\nperiod_ms = {PERIOD_MS}", self.at[i]);
        let other =
            |j: usize| format!("[[members.other]]\nname = \"m{j}\"\naddress = \"{}\"", self.mesh.near(i, j));
        let others: Vec<_> = (0..self.at.len()).filter(|j| *j != i).map(other).collect();
        let file = operator_file(self.resolver.address);
        format!("{file}\n{own}\n{}\n{}\n", others.join("\n"), self.more)
    }

    pub fn start(&mut self, i: usize) {
        self.programs[i] = Some(Program::start(&self.file(i), true));
    }

    pub fn process(&mut self, i: usize) -> &mut Program {
        self.programs[i].as_mut().expect("it runs")
    }

    /// The field `what` of member `of` in the view of member `at`.
    pub fn member_field(&self, at: usize, of: usize, what: &str) -> serde_json::Value {
        let (status, view) = self.programs[at].as_ref().expect("it runs").ask("GET", "/members", "");
        assert_eq!(status, 200);
        let members = view["members"].as_array().expect("members").clone();
        let name = format!("m{of}");
        members.into_iter().find(|m| m["name"] == *name).expect("on the roster")[what].clone()
    }

    /// Waits until each of these members takes exactly these for alive.
    pub fn wait_for_view(&self, there: &[usize]) {
        let state = |at, of| self.member_field(at, of, "state");
        for at in there {
            wait_for("one view", || {
                (0..self.programs.len()).filter(|of| of != at).all(|of| {
                    let held = state(*at, of);
                    (held == "alive" || held == "suspect") == there.contains(&of)
                })
            });
        }
    }

    /// Number of times that one member logged the death of another.
    pub fn deaths_logged(&self, at: usize, of: usize) -> usize {
        self.programs[at].as_ref().expect("it runs").logged(&format!("activator m{of} is gone"))
    }

    /// From now on, drops `loss` of 255 datagrams from one member to the other.
    pub fn set_loss(&self, from: usize, to: usize, loss: u8) {
        self.mesh.set(from, to, faults(loss));
    }

    /// From now on, drops `loss` of 255 datagrams on all links.
    pub fn set_loss_everywhere(&self, loss: u8) {
        self.mesh.set_all(faults(loss));
    }
}

/// A loss of 255 drops every datagram.
fn faults(loss: u8) -> Faults {
    Faults { loss: f64::from(loss) / 255.0, ..Faults::default() }
}
