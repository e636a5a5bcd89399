//! Connects a router to gossip: sends its calls in progress and news, and applies what other routers report.
//! The codec and its tables are in `src/gossip.rs`; there are no decisions here.

use std::collections::BTreeMap;

use crate::gossip::{
    function_key, host_key, period, PlaceKey, Status, ANNOUNCE_AGAIN_DIVISOR, MIN_DATAGRAM_BYTES, NO_FUNCTION,
};
use crate::interface::*;
use crate::state::{Core, Function, Router};

/// Time in which a worker that had no room for a load gets no load orders: copies in use free room within about that
/// time, and the list shows a drain within half of it.
const NO_ROOM_US: Micros = 1_000_000;

impl Router {
    /// Whether this router sends and uses gossip.
    pub fn gossip_enabled(&self) -> bool {
        self.0.gossip_enabled()
    }
}

impl Core {
    /// Whether the routers of this fleet use gossip. A router that sees enough by itself sends it too, as others may see
    /// less.
    pub(crate) fn gossip_enabled(&self) -> bool {
        self.settings.max_gossip_bytes > MIN_DATAGRAM_BYTES && self.settings.routers > 1
    }

    /// Whether this router gets answers of a host less often than gossip about it. Only then is gossip newer than its own
    /// observations, and used.
    pub(crate) fn sees_little(&self) -> bool {
        let period = period(self.settings.routers) as f64 / 1e6;
        self.settings.routers > 1 && self.done_rate * period < self.totals.up
    }

    /// Queues news of a function at a worker for the other routers.
    pub(crate) fn queue_news(&mut self, worker: &WorkerId, function: &FunctionId, status: Status) {
        if self.gossip_enabled() {
            self.composer.queue((function_key(function), host_key(worker)), status);
        }
    }

    /// Records that the worker has no room for a load. Nothing is ordered there for [`NO_ROOM_US`], as the order would be
    /// rejected too. Gossip spares hundreds of other routers from finding that out by orders of their own.
    pub(crate) fn mark_no_room(&mut self, worker: &WorkerId) {
        let until = self.now + NO_ROOM_US;
        self.workers.entry(worker.clone()).and_modify(|w| w.no_loads_until = until);
        if self.gossip_enabled() {
            self.composer.queue((NO_FUNCTION, host_key(worker)), Status::NoRoom);
        }
    }

    /// Applies a gossip datagram of another router.
    pub(crate) fn receive_gossip(&mut self, from: u32, bytes: &[u8]) {
        if !self.gossip_enabled() || from >= self.settings.routers || from == self.settings.router_index {
            return;
        }
        let (now, keep) = (self.now, self.settings.keep);
        let entries = self.gossip.add(now, period(self.settings.routers), from, bytes).unwrap_or_default();
        for e in entries {
            let Some(n) = self.host_keys.get(&e.host) else { continue };
            if e.status == Status::NoRoom {
                self.workers.entry(n.clone()).and_modify(|w| w.no_loads_until = now + NO_ROOM_US);
            } else if let Some(f) = self.function_keys.get(&e.function) {
                let f = self.functions.get_mut(f);
                f.into_iter().for_each(|f| f.apply(n, (now, now), keep, e.status));
            } else {
                self.gossip.remember(now, (e.function, e.host), e.status);
            }
        }
    }

    /// Registers a function called here for the first time, and applies what gossip reported of it before.
    pub(crate) fn register_function(&mut self, id: &FunctionId) {
        let key = function_key(id);
        if !self.gossip_enabled() || self.function_keys.get(&key).is_some_and(|known| known == id) {
            return;
        }
        let (now, keep) = (self.now, self.settings.keep);
        self.functions.entry(id.clone()).or_default().key = key;
        // Another function has the same key. A name that was made up must not take it from one that is served.
        let served = |f: &FunctionId| self.functions.get(f).is_some_and(Function::is_served);
        if self.function_keys.get(&key).is_some_and(served) && !served(id) {
            return;
        }
        self.function_keys.insert(key, id.clone());
        let Some(f) = self.functions.get_mut(id) else { return };
        for (host, at, copies) in self.gossip.take_known(key) {
            if let Some(n) = self.host_keys.get(&host) {
                f.apply(n, (now, at), keep, Status::Copies(copies));
            }
        }
    }

    /// Rebuilds the index of hosts by key. Hosts with the same key cannot be told apart and are left out.
    pub(crate) fn index_host_keys(&mut self) {
        self.host_keys.clear();
        let mut duplicates = Vec::new();
        for n in self.workers.keys() {
            if self.host_keys.insert(host_key(n), n.clone()).is_some() {
                duplicates.push(host_key(n));
            }
        }
        duplicates.iter().for_each(|key| drop(self.host_keys.remove(key)));
    }

    /// Removes expired gossip, and sends a datagram if one is due.
    pub(crate) fn send_gossip(&mut self, out: &mut Vec<Action>) {
        if !self.gossip_enabled() {
            // Gossip may have been enabled until the settings changed.
            return self.gossip.reliable = false;
        }
        let (now, period) = (self.now, period(self.settings.routers));
        let sees_little = self.sees_little();
        self.gossip.expire(now, (period, self.settings.keep), self.settings.routers, sees_little);
        if !self.composer.due(now, period, &mut self.rng) {
            return;
        }
        let functions = &mut self.functions;
        self.function_keys.retain(|_, f| functions.contains_key(f));
        let mut calls: BTreeMap<PlaceKey, u8> = BTreeMap::new();
        // The time of the oldest call and the number of calls.
        let mut unproven: BTreeMap<PlaceKey, (Micros, u8)> = BTreeMap::new();
        for r in self.requests.values() {
            for t in r.attempts.iter().filter(|t| t.ended.is_none()) {
                let place = (function_key(&r.function), host_key(&t.worker));
                let Some(f) = functions.get_mut(&r.function) else { continue };
                f.places.entry(t.worker.clone()).and_modify(|p| p.announced = now);
                if f.known {
                    let n = calls.entry(place).or_default();
                    *n = n.saturating_add(1);
                } else {
                    let (oldest, n) = unproven.entry(place).or_insert((t.sent, 0));
                    (*oldest, *n) = (t.sent.min(*oldest), n.saturating_add(1));
                }
            }
        }
        // Calls of functions that no worker may have get the entries that are left. The oldest come first: a name that was
        // made up soon gets its error, and a load takes longer.
        let spare = self.composer.spare_entries(calls.len(), self.settings.max_gossip_bytes);
        let mut unproven: Vec<_> = unproven.into_iter().collect();
        unproven.sort_by_key(|(_, (oldest, _))| *oldest);
        calls.extend(unproven.into_iter().take(spare).map(|(place, (_, n))| (place, n)));
        let (function_keys, host_keys, keep) = (&self.function_keys, &self.host_keys, self.settings.keep);
        // Hundreds of routers may find the same copy within one period: what one has announced, the others omit.
        let due = |&(function, host): &PlaceKey, status| {
            let f = function_keys.get(&function).and_then(|f| functions.get_mut(f));
            let p = f.zip(host_keys.get(&host)).and_then(|(f, n)| f.places.get_mut(n));
            let Some(p) = p else { return true };
            let due = now - p.announced > keep / ANNOUNCE_AGAIN_DIVISOR;
            p.announced = if status == Status::Gone { 0 } else { p.announced.max(if due { now } else { 0 }) };
            due
        };
        let data = self.composer.compose(&calls, self.settings.max_gossip_bytes, due);
        out.extend(data.map(|data| Action::Broadcast { data }));
    }
}
