//! What one router feeds to gossip and asks of it: its own calls that are out, its news, and what others told
//! of places that it knows. The codec and its tables are in `src/gossip.rs`; no decisions.

use std::collections::BTreeMap;

use crate::gossip::{
    function_key, host_key, period, CopyStatus, PlaceKey, ANNOUNCE_AGAIN_DIVISOR, MIN_DATAGRAM_BYTES,
    NO_FUNCTION,
};
use crate::interface::*;
use crate::state::{Core, Router};

/// A worker that had no room for a load is thought to have none for so long: copies at work give room up within about
/// that, and a list tells of a drain in half of it.
const NO_ROOM_US: Micros = 1_000_000;

impl Router {
    /// Whether this router tells others anything, and hears what they tell.
    pub fn gossip_enabled(&self) -> bool {
        self.0.gossip_enabled()
    }
}

impl Core {
    /// Whether routers of this fleet tell one another at all. Each does, whatever it sees itself: others may see less.
    pub(crate) fn gossip_enabled(&self) -> bool {
        self.settings.max_gossip_bytes > MIN_DATAGRAM_BYTES && self.settings.routers > 1
    }

    /// Whether this router hears of a host by its own calls less often than others tell of it: only then is what is told
    /// newer than what is seen, and worth being heeded.
    pub(crate) fn sees_little(&self) -> bool {
        let period = period(self.settings.routers) as f64 / 1e6;
        self.settings.routers > 1 && self.done_rate * period < self.totals.up
    }

    /// Something that the others may not know of this place.
    pub(crate) fn queue_news(&mut self, n: &WorkerId, f: &FunctionId, status: CopyStatus) {
        if self.gossip_enabled() {
            self.composer.note((function_key(f), host_key(n)), status);
        }
    }

    /// The worker has no room for a load: nothing is ordered there for a while, as an order at once would be turned away as
    /// well. Where routers tell one another, none orders there: each of hundreds would find out by itself.
    pub(crate) fn mark_no_room(&mut self, n: &WorkerId) {
        let until = self.now + NO_ROOM_US;
        self.workers.entry(n.clone()).and_modify(|w| w.no_loads_until = until);
        if self.gossip_enabled() {
            self.composer.note((NO_FUNCTION, host_key(n)), CopyStatus::NoRoom);
        }
    }

    /// Takes what another router told.
    pub(crate) fn receive_gossip(&mut self, from: u32, bytes: &[u8]) {
        if !self.gossip_enabled() || from >= self.settings.routers || from == self.settings.router_index {
            return;
        }
        let (now, keep) = (self.now, self.settings.keep);
        let entries = self.gossip.accept(now, period(self.settings.routers), from, bytes).unwrap_or_default();
        for l in entries {
            let Some(n) = self.host_keys.get(&l.host) else { continue };
            if l.status == CopyStatus::NoRoom {
                self.workers.entry(n.clone()).and_modify(|w| w.no_loads_until = now + NO_ROOM_US);
            } else if let Some(f) = self.function_keys.get(&l.function) {
                let f = self.functions.get_mut(f);
                f.into_iter().for_each(|f| f.apply_gossip(n, (now, now), keep, l.status));
            } else {
                self.gossip.remember(now, (l.function, l.host), l.status);
            }
        }
    }

    /// A function that is called here for the first time: what was heard of it counts.
    pub(crate) fn register_function(&mut self, id: &FunctionId) {
        let key = function_key(id);
        if !self.gossip_enabled() || self.function_keys.get(&key).is_some_and(|known| known == id) {
            return;
        }
        self.function_keys.insert(key, id.clone());
        let (now, keep) = (self.now, self.settings.keep);
        let f = self.functions.entry(id.clone()).or_default();
        f.key = key;
        for (host, at, copies) in self.gossip.take_known(key) {
            if let Some(n) = self.host_keys.get(&host) {
                f.apply_gossip(n, (now, at), keep, CopyStatus::Copies(copies));
            }
        }
    }

    /// Hosts by what stands for them. Two that share a key are told apart by nobody: neither is heard of.
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

    /// Forgets what is old and tells what is due.
    pub(crate) fn send_gossip(&mut self, out: &mut Vec<Action>) {
        if !self.gossip_enabled() {
            // They may have been told until settings changed.
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
        let mut held: BTreeMap<PlaceKey, u8> = BTreeMap::new();
        for r in self.requests.values() {
            for t in r.attempts.iter().filter(|t| t.ended.is_none()) {
                let n = held.entry((function_key(&r.function), host_key(&t.worker))).or_default();
                *n = n.saturating_add(1);
                let f = functions.get_mut(&r.function);
                f.and_then(|f| f.places.get_mut(&t.worker)).into_iter().for_each(|p| p.announced_at = now);
            }
        }
        let (function_keys, host_keys, keep) = (&self.function_keys, &self.host_keys, self.settings.keep);
        // Hundreds find a copy within one period: what one of them has told, the others leave out.
        let due = |&(function, host): &PlaceKey, status| {
            let f = function_keys.get(&function).and_then(|f| functions.get_mut(f));
            let p = f.zip(host_keys.get(&host)).and_then(|(f, n)| f.places.get_mut(n));
            let Some(p) = p else { return true };
            let due = now - p.announced_at > keep / ANNOUNCE_AGAIN_DIVISOR;
            p.announced_at =
                if status == CopyStatus::Gone { 0 } else { p.announced_at.max(if due { now } else { 0 }) };
            due
        };
        let data = self.composer.compose(&held, self.settings.max_gossip_bytes, due);
        out.extend(data.map(|data| Action::Broadcast { data }));
    }
}
