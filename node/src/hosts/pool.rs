//! Pool of connections to script hosts: addresses, queued commands and outstanding calls and orders.
//!
//! A command waits in its connection's queue until all earlier bytes have left the ring. So until its first byte is
//! written to the socket, it can be withdrawn as never sent.

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
use wheellink::{Condition, FunctionId, ListEntry, ListKind, Micros, Outcome, Renumbering, WorkerId};
use wheellink_settings::Transport;

use connection::{Command, HostConn};
pub use connection::{ProcessEpoch, SendLimits};

use super::idle_limit::IdleLimit;
use super::lines;
use super::probe_delay::ProbeDelay;
use crate::bus::Host;
use crate::conn::{is_exhaustion, Conn, ConnId};
use crate::log::{Log, Reason};
use crate::wake::{Handle, Wake};

/// The content of a request, the same for all of its attempts.
pub struct Call {
    pub id: Rc<str>,
    pub class: String,
    pub function: FunctionId,
    pub key: Option<String>,
    pub body: Rc<[u8]>,
}

/// The end of an attempt or an order.
pub enum PoolEvent {
    /// Body and fields are those of the answer, and empty without one.
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

/// A host of the list, with its open connections.
struct KnownHost {
    address: SocketAddr,
    entry: ListEntry,
    conns: Vec<ConnId>,
    /// The process that connections reach now.
    process: ProcessEpoch,
}

/// See the module documentation.
pub struct HostPool {
    handle: Handle,
    transport: Transport,
    /// Maximum number of connections to all hosts together.
    max_conns: usize,
    /// Maximum size of all incomplete answers together.
    max_bytes: usize,
    known: BTreeMap<WorkerId, KnownHost>,
    /// The last epoch that a host was given.
    last_process: ProcessEpoch,
    /// Hosts that operators have put into maintenance, listed or not: no new work is sent to them.
    maintenance: BTreeSet<WorkerId>,
    conns: HashMap<ConnId, HostConn>,
    /// The connection of each attempt that has not ended.
    attempts: HashMap<AttemptId, ConnId>,
    /// Connections that may have more to read than their last visit took, oldest first, each once.
    unread: VecDeque<ConnId>,
    next_probe: u64,
    idle_limit: IdleLimit,
    probe_delay: ProbeDelay,
    /// The system had no descriptor left for a connection to a host. Cleared by the owner of the pool.
    pub exhausted: bool,
    /// Ends of attempts and orders that the owner of the pool has yet to process.
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
            last_process: ProcessEpoch::default(),
            maintenance: BTreeSet::new(),
            conns: HashMap::new(),
            attempts: HashMap::new(),
            unread: VecDeque::new(),
            next_probe: 0,
            idle_limit: IdleLimit::default(),
            probe_delay: ProbeDelay::default(),
            exhausted: false,
            events: VecDeque::new(),
        }
    }

    /// Number of connections that are open or being established.
    pub fn conns(&self) -> usize {
        self.conns.len()
    }

    /// Number of connections that may soon be needed in addition: one per listed host.
    pub fn reserve(&self) -> usize {
        self.known.len()
    }

    /// Applies new indexes of the zones.
    pub fn renumber(&mut self, renumbering: &Renumbering) {
        for host in self.known.values_mut() {
            host.entry.zone = renumbering.zone(host.entry.zone);
        }
    }

    /// Replaces the settings of connections.
    pub fn set_transport(&mut self, transport: Transport) {
        self.transport = transport;
    }

    /// Replaces the limits; the next tick closes idle connections beyond them.
    pub fn set_limits(&mut self, (max_conns, max_bytes): (usize, usize)) {
        (self.max_conns, self.max_bytes) = (max_conns, max_bytes);
    }

    /// When the next connection attempt times out.
    pub fn next_tick(&self) -> Option<Micros> {
        let pending = self.conns.values().filter(|c| !c.connected).map(|c| c.started);
        pending.min().map(|started| started + self.transport.connect_timeout)
    }

    /// Whether the host is listed, or is in maintenance.
    pub fn is_known(&self, host: &WorkerId) -> bool {
        self.known.contains_key(host) || self.maintenance.contains(host)
    }

    /// Ids of all listed hosts, in whatever condition.
    pub fn listed(&self) -> impl Iterator<Item = &WorkerId> {
        self.known.keys()
    }

    pub fn in_maintenance(&self, host: &WorkerId) -> bool {
        self.maintenance.contains(host)
    }

    /// Puts a host into maintenance (`out`), or back into service. Commands of which no byte has been written are
    /// withdrawn; running calls may finish. Idle connections are closed, as a host in maintenance is mostly restarted.
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

    /// Whether new work may be sent to the host.
    fn is_available(&self, host: &WorkerId) -> bool {
        !self.maintenance.contains(host)
            && self.known.get(host).is_some_and(|m| m.entry.condition == Condition::Up)
    }

    /// Hosts that these changes do not contain, but whose address they assign to another host: the process that
    /// listened there has gone, even if the list does not say so yet. Returned as gone.
    pub fn displaced(&self, changes: &[Host]) -> Vec<Host> {
        let named: BTreeSet<&WorkerId> = changes.iter().map(|h| &h.entry.worker).collect();
        let has_address = |h: &Host| self.known.get(&h.entry.worker).is_some_and(|m| m.address == h.address);
        let newcomers = changes.iter().filter(|h| h.entry.condition != Condition::Gone && !has_address(h));
        let reused: BTreeSet<SocketAddr> = newcomers.map(|h| h.address).collect();
        let removed = self.known.iter().filter(|(id, m)| reused.contains(&m.address) && !named.contains(id));
        let gone = removed.map(|(_, m)| Host {
            entry: ListEntry { condition: Condition::Gone, ..m.entry.clone() },
            address: m.address,
        });
        gone.collect()
    }

    /// The process that an attempt at this host would meet now.
    pub fn process(&self, host: &WorkerId) -> ProcessEpoch {
        self.known.get(host).map_or(ProcessEpoch::default(), |known| known.process)
    }

    /// Applies an update of the host list. Commands for a draining or removed host are withdrawn at once if no byte of
    /// them has been written, since the rules do not allow even the first byte after the update.
    pub fn update_hosts(&mut self, now: Micros, kind: ListKind, hosts: &[Host], log: &mut Log) {
        if kind != ListKind::Delta {
            let named: Vec<&WorkerId> = hosts.iter().map(|h| &h.entry.worker).collect();
            let removed: Vec<_> = self.known.keys().filter(|m| !named.contains(m)).cloned().collect();
            for host in removed {
                self.remove_host(now, &host, log);
            }
        }
        for Host { entry, address } in hosts {
            let host = &entry.worker;
            let process = self.last_process.next();
            let known = self.known.entry(host.clone()).or_insert_with(|| KnownHost {
                address: *address,
                entry: entry.clone(),
                conns: Vec::new(),
                process,
            });
            known.entry = entry.clone();
            let moved = known.address != *address;
            known.address = *address;
            if moved || entry.condition == Condition::Gone {
                self.end_conns(now, host, |_| true, log);
            } else if entry.ready_at > 0 {
                // The host's process was restarted: connections from before its start belong to the old process.
                self.end_conns(now, host, |c| c.started < entry.ready_at, log);
            }
            match entry.condition {
                Condition::Up => {}
                Condition::Draining => self.withdraw(host),
                Condition::Gone => drop(self.known.remove(host)),
            }
        }
    }

    /// Ends all connections to a host and removes it.
    fn remove_host(&mut self, now: Micros, host: &WorkerId, log: &mut Log) {
        self.end_conns(now, host, |_| true, log);
        self.known.remove(host);
    }

    /// Ends the connections to a host that `select` returns true for.
    fn end_conns(&mut self, now: Micros, host: &WorkerId, select: impl Fn(&HostConn) -> bool, log: &mut Log) {
        let ids = self.known.get(host).map(|m| m.conns.clone()).unwrap_or_default();
        for id in ids {
            if self.conns.get(&id).is_some_and(&select) {
                self.end_conn(now, id, Reason::HostGone, log);
            }
        }
    }

    /// Withdraws all new work for the host of which no byte has been written.
    fn withdraw(&mut self, host: &WorkerId) {
        let ids = self.known.get(host).map(|m| m.conns.clone()).unwrap_or_default();
        for id in ids {
            let Some(c) = self.conns.get_mut(&id) else { continue };
            let mut commands: Vec<Command> = Vec::new();
            if let Some((command, false)) = c.writing.take_if(|(i, started)| !*started && i.is_new_work()) {
                c.conn.outbox.consume(usize::MAX);
                commands.push(command);
            }
            let (new, rest): (VecDeque<_>, VecDeque<_>) = c.queue.drain(..).partition(Command::is_new_work);
            c.queue = rest;
            commands.extend(new);
            for command in commands {
                match command {
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
