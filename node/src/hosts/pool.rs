//! Connections to script hosts: who listens where, what is queued, what is out.
//!
//! A command waits in its connection's queue until all before it has left the ring, so that it can be
//! withdrawn, as never sent, up to its first byte.

mod answers;
mod connection;
mod ending;
mod sending;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use wheellink::engine::{AttemptEnd, AttemptId, OrderId};
use wheellink::{Condition, FunctionId, ListEntry, ListKind, Micros, Outcome, WorkerId};
use wheellink_settings::Transport;

pub use connection::CallTimes;
use connection::{Command, HostConn};

use super::idle_limit::IdleLimit;
use super::lines;
use super::probe_delay::ProbeDelay;
use crate::bus::Host;
use crate::conn::{is_exhaustion, Conn, ConnId};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};

/// What is sent for a request, however many attempts it takes.
pub struct Call {
    pub id: Rc<str>,
    pub class: String,
    pub function: FunctionId,
    pub key: Option<String>,
    pub body: Rc<[u8]>,
}

/// What the pool has learnt.
pub enum PoolEvent {
    /// With the answer's body and fields, where there is one.
    Attempt {
        attempt: AttemptId,
        end: AttemptEnd,
        body: Vec<u8>,
        fields: Vec<(String, String)>,
    },
    Order {
        order: OrderId,
        outcome: Outcome,
        copies: u32,
    },
}

struct KnownHost {
    address: SocketAddr,
    entry: ListEntry,
    conns: Vec<ConnId>,
}

pub struct HostPool {
    handle: Handle,
    transport: Transport,
    /// Connections to all hosts together.
    max_conns: usize,
    /// Bytes of answers that are not whole, all together.
    max_bytes: usize,
    known: BTreeMap<WorkerId, KnownHost>,
    /// Taken out by hand, whether the list knows them now or not: nothing new is sent to them.
    maintenance: BTreeSet<WorkerId>,
    conns: HashMap<ConnId, HostConn>,
    /// Where each attempt is that has not ended.
    attempts: HashMap<AttemptId, ConnId>,
    next_probe: u64,
    idle_limit: IdleLimit,
    probe_delay: ProbeDelay,
    /// The system had no descriptor for a connection to a host.
    pub exhausted: bool,
    pub events: VecDeque<PoolEvent>,
}

impl HostPool {
    pub fn new(handle: Handle, transport: Transport, (max_conns, max_bytes): (usize, usize)) -> Self {
        Self {
            handle,
            transport,
            max_conns,
            max_bytes,
            known: BTreeMap::new(),
            maintenance: BTreeSet::new(),
            conns: HashMap::new(),
            attempts: HashMap::new(),
            next_probe: 0,
            idle_limit: IdleLimit::default(),
            probe_delay: ProbeDelay::default(),
            exhausted: false,
            events: VecDeque::new(),
        }
    }

    /// Connections that are open or being made.
    pub fn conns(&self) -> usize {
        self.conns.len()
    }

    /// Connections that may be wanted soon: one more to each host.
    pub fn reserve(&self) -> usize {
        self.known.len()
    }

    /// Connections are used by other settings from now on.
    pub fn set_transport(&mut self, transport: Transport) {
        self.transport = transport;
    }

    /// Holds to other bounds from now on; idle connections beyond them are closed.
    pub fn set_limits(&mut self, (max_conns, max_bytes): (usize, usize)) {
        (self.max_conns, self.max_bytes) = (max_conns, max_bytes);
    }

    /// When a connection that is being made is given up next.
    pub fn next_tick(&self) -> Option<Micros> {
        let pending = self.conns.values().filter(|c| !c.connected).map(|c| c.started);
        pending.min().map(|begun| begun + self.transport.connect_timeout)
    }

    /// Whether somebody has this id, or had it when it was taken out.
    pub fn is_known(&self, host: &WorkerId) -> bool {
        self.known.contains_key(host) || self.maintenance.contains(host)
    }

    /// All that have been listed and may be again.
    pub fn listed(&self) -> impl Iterator<Item = &WorkerId> {
        self.known.keys()
    }

    pub fn in_maintenance(&self, host: &WorkerId) -> bool {
        self.maintenance.contains(host)
    }

    /// Takes a host out by hand, or back in. What has not begun to leave is withdrawn; what runs may end.
    /// Idle connections are closed: whoever is taken out is mostly restarted.
    pub fn set_maintenance(&mut self, now: Micros, host: &WorkerId, out: bool, log: &mut Log) {
        if !out {
            self.maintenance.remove(host);
            return;
        }
        self.maintenance.insert(host.clone());
        self.withdraw(host);
        for id in self.known.get(host).map(|m| m.conns.clone()).unwrap_or_default() {
            if self.conns.get(&id).is_some_and(HostConn::is_idle) {
                self.end_conn(now, id, Reason::Barred, log);
            }
        }
    }

    /// Whether anything new may be sent there.
    fn is_available(&self, host: &WorkerId) -> bool {
        !self.maintenance.contains(host)
            && self.known.get(host).is_some_and(|m| m.entry.condition == Condition::Up)
    }

    /// Hosts that these changes say nothing of, but whose address they give to another one: what listened there has gone,
    /// whether the list says so by now or not. They are told as gone.
    pub fn displaced(&self, changes: &[Host]) -> Vec<Host> {
        let named: BTreeSet<&WorkerId> = changes.iter().map(|h| &h.entry.worker).collect();
        let had = |h: &Host| self.known.get(&h.entry.worker).is_some_and(|m| m.address == h.address);
        let come = changes.iter().filter(|h| h.entry.condition != Condition::Gone && !had(h));
        let taken: BTreeSet<SocketAddr> = come.map(|h| h.address).collect();
        let left = self.known.iter().filter(|(id, m)| taken.contains(&m.address) && !named.contains(id));
        let gone = left.map(|(_, m)| Host {
            entry: ListEntry { condition: Condition::Gone, ..m.entry.clone() },
            address: m.address,
        });
        gone.collect()
    }

    /// News of the host list. What has not begun to leave for a host that drains or is gone is withdrawn at
    /// once: after its time the rules allow not even the first byte.
    pub fn update_hosts(&mut self, now: Micros, kind: ListKind, hosts: &[Host], log: &mut Log) {
        if kind != ListKind::Delta {
            let named: Vec<&WorkerId> = hosts.iter().map(|h| &h.entry.worker).collect();
            let left: Vec<_> = self.known.keys().filter(|m| !named.contains(m)).cloned().collect();
            for host in left {
                self.remove_host(now, &host, log);
            }
        }
        for Host { entry, address } in hosts {
            let host = &entry.worker;
            let known = self.known.entry(host.clone()).or_insert_with(|| KnownHost {
                address: *address,
                entry: entry.clone(),
                conns: Vec::new(),
            });
            known.entry = entry.clone();
            let moved = known.address != *address;
            known.address = *address;
            if moved || entry.condition == Condition::Gone {
                self.end_conns(now, host, |_| true, log);
            } else if entry.ready_at > 0 {
                // The same host with a new process: whatever was begun before that is with the dead one.
                self.end_conns(now, host, |c| c.started < entry.ready_at, log);
            }
            match entry.condition {
                Condition::Up => {}
                Condition::Draining => self.withdraw(host),
                Condition::Gone => drop(self.known.remove(host)),
            }
        }
    }

    fn remove_host(&mut self, now: Micros, host: &WorkerId, log: &mut Log) {
        self.end_conns(now, host, |_| true, log);
        self.known.remove(host);
    }

    fn end_conns(&mut self, now: Micros, host: &WorkerId, which: impl Fn(&HostConn) -> bool, log: &mut Log) {
        let ids = self.known.get(host).map(|m| m.conns.clone()).unwrap_or_default();
        for id in ids {
            if self.conns.get(&id).is_some_and(&which) {
                self.end_conn(now, id, Reason::HostGone, log);
            }
        }
    }

    /// Takes back all that has not begun to leave for the host.
    fn withdraw(&mut self, host: &WorkerId) {
        let ids = self.known.get(host).map(|m| m.conns.clone()).unwrap_or_default();
        for id in ids {
            let Some(c) = self.conns.get_mut(&id) else { continue };
            let mut items: Vec<Command> = Vec::new();
            if let Some((item, false)) = c.writing.take_if(|(i, begun)| !*begun && i.is_new_work()) {
                c.conn.outbox.consume(usize::MAX);
                items.push(item);
            }
            let (new, rest): (VecDeque<_>, VecDeque<_>) = c.queue.drain(..).partition(Command::is_new_work);
            c.queue = rest;
            items.extend(new);
            for item in items {
                match item {
                    Command::Call { attempt, .. } => self.end_attempt(attempt, Outcome::ConnectFailed.into()),
                    Command::Order { order, .. } => {
                        self.events.push_back(PoolEvent::Order { order, outcome: Outcome::Full, copies: 0 })
                    }
                    Command::Kill { .. } | Command::Untracked(_) => {}
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
