//! Several activators that hear each other through links that can be cut, as processes of their own.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::spawn;

use super::*;

/// Probes are sent this often: long enough that a busy machine does not make a process look dead.
pub const PERIOD: u64 = 100;

/// A way between two members, which each takes for the other.
struct Link {
    /// The member that is reached here, and where.
    ends: [(usize, SocketAddr); 2],
    /// Of 256 datagrams so many are lost, from the first end and from the second; 255: all.
    loss: [Arc<AtomicU8>; 2],
    over: Arc<AtomicBool>,
}

impl Link {
    /// `near[k]` stands for the member at the other end; the members hear at `at`.
    fn new(members: [usize; 2], at: [SocketAddr; 2]) -> Self {
        let near: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let ends = [0, 1].map(|k| (members[1 - k], near[k].local_addr().unwrap()));
        let (loss, over) = ([0, 1].map(|_| Arc::new(AtomicU8::new(0))), Arc::new(AtomicBool::new(false)));
        for k in 0..2 {
            let (from, to) = (near[k].try_clone().unwrap(), near[1 - k].try_clone().unwrap());
            let (loss, over, at) = (loss[k].clone(), over.clone(), at[1 - k]);
            from.set_read_timeout(Some(ms(50))).unwrap();
            let mut rng = fastrand::Rng::with_seed((members[k] * 16 + members[1 - k]) as u64);
            spawn(move || {
                let mut buf = [0; 1_500];
                while !over.load(Relaxed) {
                    let Ok((n, _)) = from.recv_from(&mut buf) else { continue };
                    let loss = loss.load(Relaxed);
                    if loss < 255 && rng.u8(..) >= loss {
                        let _ = to.send_to(&buf[..n], at);
                    }
                }
            });
        }
        Self { ends, loss, over }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}

pub struct Fleet {
    pub each: Vec<Option<Program>>,
    at: Vec<SocketAddr>,
    links: Vec<Link>,
    pub host: Host,
    pub resolver: Resolver,
    /// What stands in each one's file besides.
    more: String,
}

impl Fleet {
    /// So many that have met.
    pub fn met(n: usize) -> Self {
        Self::met_with(n, "")
    }

    /// ... with this in their files besides.
    pub fn met_with(n: usize, more: &str) -> Self {
        let held: Vec<_> = (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let at: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(held);
        let pairs = (0..n).flat_map(|a| (a + 1..n).map(move |b| [a, b]));
        let links = pairs.map(|pair| Link::new(pair, pair.map(|i| at[i]))).collect();
        let host = Host::warm();
        let resolver = Resolver::start(&[&host]);
        let mut fleet =
            Self { each: (0..n).map(|_| None).collect(), at, links, host, resolver, more: more.into() };
        (0..n).for_each(|i| fleet.start(i));
        fleet.agree(&(0..n).collect::<Vec<_>>());
        fleet
    }

    pub fn file(&self, i: usize) -> String {
        let setup = format!("[members]\nname = \"m{i}\"\nlisten = \"{}\"\nperiod_ms = {PERIOD}", self.at[i]);
        let links = self.links.iter().filter_map(|l| {
            let k = l.ends.iter().position(|(other, _)| *other == i)?;
            Some(l.ends[1 - k])
        });
        let other =
            |(j, at): (usize, SocketAddr)| format!("[[members.other]]\nname = \"m{j}\"\naddress = \"{at}\"");
        let others: Vec<_> = links.map(other).collect();
        let file = operator_file(self.resolver.address);
        format!("{file}\n{setup}\n{}\n{}\n", others.join("\n"), self.more)
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
        for link in &self.links {
            for k in 0..2 {
                // What the k-th near socket takes comes from the member that is not reached there.
                if link.ends[k].0 == to && link.ends[1 - k].0 == from {
                    link.loss[k].store(loss, Relaxed);
                }
            }
        }
    }

    pub fn lose_everywhere(&self, loss: u8) {
        self.links.iter().flat_map(|l| &l.loss).for_each(|l| l.store(loss, Relaxed));
    }
}
