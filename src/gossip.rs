//! Gossip among the activators of a large fleet: where functions are loaded, and calls in progress.
//!
//! In a fleet of a hundred activators, each sees very little of a host by itself: two in a hundred know that a copy is
//! loaded, and none knows that the others have sixty calls in progress at the host. So each periodically sends one
//! datagram to all others with its calls in progress by place (function and host) and what it has learnt. A datagram
//! replaces all calls of its sender's earlier ones. A lost, late or duplicated datagram only leaves information that
//! expires; one that cannot be decoded is dropped as a whole. Limits and guarantees never depend on gossip: each
//! activator keeps them by itself.
//!
//! This file has the codec, the table of received information, and the composer of datagrams. They do not depend on the
//! router: `src/gossip_exchange.rs` connects them to it, and `src/rules.rs` decides what to do with the information.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::hash::hash;
use crate::interface::{FunctionId, Micros, WorkerId};

/// Interval between two datagrams of one router, per router of the fleet: each router receives at most 200 datagrams a
/// second, and the cost for the fleet does not grow with the square of its size.
const PERIOD_PER_ROUTER_US: Micros = 5_000;
/// Minimum interval between two datagrams of one router.
const MIN_PERIOD_US: Micros = 200_000;
/// Calls in progress of a router expire this many periods after its last datagram.
const MAX_AGE_PERIODS: Micros = 3;
/// Share of the other routers that must have been heard from for gossip to count as reliable.
const MIN_HEARD_SHARE: f64 = 0.5;
/// Time after which a silent router no longer counts as heard from; a router with a call every few seconds sends
/// little.
const PEER_TIMEOUT_US: Micros = 4_000_000;
/// Maximum number of stored places of functions that have not been called here yet.
const MAX_UNCALLED_PLACES: usize = 8_192;
/// Maximum number of these that were only reported by calls in progress: clients can make up the names that they call.
const MAX_UNPROVEN_PLACES: usize = MAX_UNCALLED_PLACES / 2;
/// Maximum number of news entries queued for the next datagrams.
const MAX_QUEUED_NEWS: usize = 256;
/// One in this many entries of a datagram is reserved for queued news.
const NEWS_RESERVE_DIVISOR: usize = 4;
/// A loaded copy is announced again after the keep-alive divided by this.
pub(crate) const ANNOUNCE_AGAIN_DIVISOR: Micros = 3;
/// First byte of each datagram: the format and its version.
const FORMAT: u8 = 0x57;
const HEADER_BYTES: usize = 3;
const ENTRY_BYTES: usize = 5;
/// Bits of the hash that identifies a function.
const FUNCTION_BITS: u32 = 20;
/// Reserved function key: the entry concerns the host.
pub(crate) const NO_FUNCTION: u32 = (1 << FUNCTION_BITS) - 1;
/// Maximum number of calls that an entry can report.
const MAX_ENTRY_CALLS: u8 = 10;

/// Status of a function at a host, or of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// A copy is loaded, with this many calls of the sender in progress.
    Serving(u8),
    /// A load has been ordered.
    Loading,
    /// No copy is loaded.
    Gone,
    /// This many copies are loaded, 2 to 4.
    Copies(u8),
    /// The host had no room for a load.
    NoRoom,
}

/// Entry of a datagram: the status of a function at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) host: u16,
    pub(crate) function: u32,
    pub(crate) status: Status,
}

/// Keys of a function and a host.
pub(crate) type PlaceKey = (u32, u16);

/// Key of a host.
pub(crate) fn host_key(n: &WorkerId) -> u16 {
    (hash("host", &n.0) * 65_536.0) as u16
}

/// Key of a function.
pub(crate) fn function_key(f: &FunctionId) -> u32 {
    ((hash("function", &f.0) * f64::from(NO_FUNCTION)) as u32).min(NO_FUNCTION - 1)
}

fn checksum(bytes: &[u8]) -> u8 {
    bytes.iter().fold(0x9d, |sum: u8, b| (sum.rotate_left(3) ^ b).wrapping_add(7))
}

/// Number of entries that a datagram of at most this size holds.
fn entries_within(max_bytes: usize) -> usize {
    max_bytes.saturating_sub(HEADER_BYTES) / ENTRY_BYTES
}

/// Encodes a datagram; entries beyond `max_bytes` are omitted.
pub(crate) fn encode(sequence: u8, entries: &[Entry], max_bytes: usize) -> Vec<u8> {
    let mut bytes = vec![FORMAT, sequence, 0];
    for e in entries.iter().take(entries_within(max_bytes)) {
        let (function, code) = match e.status {
            Status::Serving(n) => (e.function, n.min(MAX_ENTRY_CALLS)),
            Status::Loading => (e.function, 11),
            Status::Gone => (e.function, 12),
            Status::Copies(n) => (e.function, 11 + n.clamp(2, 4)),
            Status::NoRoom => (NO_FUNCTION, 0),
        };
        bytes.extend(e.host.to_le_bytes());
        bytes.extend(&(function << 4 | u32::from(code)).to_le_bytes()[..3]);
    }
    bytes[2] = checksum(&bytes);
    bytes
}

/// Decodes a datagram to its sequence number and entries; `None` if it is invalid.
pub(crate) fn decode(bytes: &[u8]) -> Option<(u8, Vec<Entry>)> {
    let (head, body) = bytes.split_at_checked(HEADER_BYTES)?;
    let mut unchecked = bytes.to_vec();
    unchecked[2] = 0;
    if head[0] != FORMAT || head[2] != checksum(&unchecked) || body.len() % ENTRY_BYTES != 0 {
        return None;
    }
    let entry = |b: &[u8]| {
        let packed = u32::from_le_bytes([b[2], b[3], b[4], 0]);
        let (function, code) = (packed >> 4, (packed & 15) as u8);
        let status = match (function, code) {
            (NO_FUNCTION, 0) => Status::NoRoom,
            (NO_FUNCTION, _) => return None,
            (_, 11) => Status::Loading,
            (_, 12) => Status::Gone,
            (_, 13..) => Status::Copies(code - 11),
            (_, held) => Status::Serving(held),
        };
        Some(Entry { host: u16::from_le_bytes([b[0], b[1]]), function, status })
    };
    Some((head[1], body.chunks_exact(ENTRY_BYTES).map(entry).collect::<Option<_>>()?))
}

/// Another router. `calls` has its calls in progress: host, function and number.
#[derive(Default)]
struct Peer {
    at: Micros,
    sequence: u8,
    calls: Vec<(u16, u32, u32)>,
}

/// A place of a function that has not been called here yet.
struct UncalledPlace {
    /// Time of the last report.
    at: Micros,
    copies: u8,
    /// Whether news reported it, and not only calls in progress.
    proven: bool,
}

/// Information received from the other routers.
#[derive(Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<u32, Peer>,
    at_host: BTreeMap<u16, u32>,
    at_place: BTreeMap<PlaceKey, u32>,
    uncalled: BTreeMap<PlaceKey, UncalledPlace>,
    /// Number of places in `uncalled` that are not proven.
    unproven: usize,
    /// Gossip is needed here, and enough of the other routers were heard from recently; see [`PeerTable::expire`].
    pub(crate) reliable: bool,
    /// Since when `reliable` holds without a break.
    reliable_since: Micros,
}

impl PeerTable {
    /// Adds the information of a datagram and returns its entries; `None`, without effect, if the datagram is invalid or
    /// older than the last one that was added.
    pub(crate) fn add(&mut self, now: Micros, period: Micros, from: u32, bytes: &[u8]) -> Option<Vec<Entry>> {
        let (sequence, entries) = decode(bytes)?;
        let peer = self.peers.entry(from).or_default();
        let newer = (1..128).contains(&sequence.wrapping_sub(peer.sequence));
        // A restarted router begins with any sequence number.
        if !newer && peer.at > 0 && now - peer.at < MAX_AGE_PERIODS * period {
            return None;
        }
        (peer.at, peer.sequence) = (now, sequence);
        self.clear_calls(from);
        for e in &entries {
            let Status::Serving(n @ 1..) = e.status else { continue };
            let n = u32::from(n);
            *self.at_host.entry(e.host).or_default() += n;
            *self.at_place.entry((e.function, e.host)).or_default() += n;
            self.peers.entry(from).or_default().calls.push((e.host, e.function, n));
        }
        Some(entries)
    }

    /// Removes the calls in progress of the router.
    fn clear_calls(&mut self, from: u32) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        for (host, function, n) in peer.calls.drain(..) {
            subtract(&mut self.at_host, host, n);
            subtract(&mut self.at_place, (function, host), n);
        }
    }

    /// Removes expired information. Gossip is used where this router sees too little of the hosts by itself and enough
    /// of the other routers are heard from.
    pub(crate) fn expire(
        &mut self,
        now: Micros,
        (period, keep): (Micros, Micros),
        routers: u32,
        sees_little: bool,
    ) {
        let expired = |p: &Peer| !p.calls.is_empty() && now - p.at > MAX_AGE_PERIODS * period;
        let expired: Vec<_> = self.peers.iter().filter(|(_, p)| expired(p)).map(|(n, _)| *n).collect();
        expired.into_iter().for_each(|n| self.clear_calls(n));
        self.peers.retain(|_, p| now - p.at <= PEER_TIMEOUT_US);
        self.uncalled.retain(|_, place| now - place.at < keep);
        self.unproven = self.uncalled.values().filter(|place| !place.proven).count();
        let enough = self.peers.len() as f64 >= MIN_HEARD_SHARE * f64::from(routers.saturating_sub(1));
        let reliable = sees_little && enough && routers > 1;
        if reliable && !self.reliable {
            self.reliable_since = now;
        }
        self.reliable = reliable;
    }

    /// Whether gossip has been reliable for long enough that every copy in use has been announced.
    pub(crate) fn is_complete(&self, now: Micros, keep: Micros) -> bool {
        self.reliable && now - self.reliable_since > keep / ANNOUNCE_AGAIN_DIVISOR
    }

    /// Number of entries in all tables.
    pub(crate) fn entries(&self) -> usize {
        let calls: usize = self.peers.values().map(|p| 1 + p.calls.len()).sum();
        calls + self.at_host.len() + self.at_place.len() + self.uncalled.len()
    }

    /// Calls of the other routers in progress at the host.
    pub(crate) fn at_host(&self, host: u16) -> f64 {
        f64::from(self.at_host.get(&host).copied().unwrap_or(0))
    }

    /// Calls of the other routers in progress for the function at the host.
    pub(crate) fn at_place(&self, function: u32, host: u16) -> f64 {
        f64::from(self.at_place.get(&(function, host)).copied().unwrap_or(0))
    }

    /// Removes and returns the places of a function that is now called here: hosts, times of the report, copies.
    pub(crate) fn take_known(&mut self, function: u32) -> Vec<(u16, Micros, u8)> {
        let range = (function, 0)..=(function, u16::MAX);
        let found: Vec<_> = self.uncalled.range(range).map(|(k, v)| (k.1, v.at, v.copies)).collect();
        for (host, ..) in &found {
            self.remove_uncalled((function, *host));
        }
        found
    }

    /// Stores the place of a function that has not been called here yet.
    pub(crate) fn remember(&mut self, now: Micros, key: PlaceKey, status: Status) {
        let reported = match status {
            Status::NoRoom => return,
            Status::Gone => return self.remove_uncalled(key),
            Status::Copies(n) => Some(n),
            Status::Serving(_) | Status::Loading => None,
        };
        let proven = !matches!(status, Status::Serving(1..));
        if let Some(place) = self.uncalled.get_mut(&key) {
            self.unproven -= usize::from(proven && !place.proven);
            *place = UncalledPlace {
                at: now,
                copies: reported.unwrap_or(place.copies),
                proven: proven || place.proven,
            };
            return;
        }
        if self.uncalled.len() < MAX_UNCALLED_PLACES && (proven || self.unproven < MAX_UNPROVEN_PLACES) {
            self.uncalled.insert(key, UncalledPlace { at: now, copies: reported.unwrap_or(1), proven });
            self.unproven += usize::from(!proven);
        }
    }

    fn remove_uncalled(&mut self, key: PlaceKey) {
        if self.uncalled.remove(&key).is_some_and(|place| !place.proven) {
            self.unproven -= 1;
        }
    }
}

fn subtract<K: Ord>(sums: &mut BTreeMap<K, u32>, key: K, n: u32) {
    if let Some(sum) = sums.get_mut(&key) {
        *sum = sum.saturating_sub(n);
        if *sum == 0 {
            sums.remove(&key);
        }
    }
}

/// Size of a datagram with one entry.
pub(crate) const MIN_DATAGRAM_BYTES: usize = HEADER_BYTES + ENTRY_BYTES;

/// Interval between two datagrams of one router in a fleet of this size.
pub(crate) fn period(routers: u32) -> Micros {
    (PERIOD_PER_ROUTER_US * Micros::from(routers)).max(MIN_PERIOD_US)
}

/// Decides when a router sends a datagram, and composes it.
#[derive(Default)]
pub(crate) struct Composer {
    next: Micros,
    sequence: u8,
    news: BTreeMap<PlaceKey, Status>,
    /// Last places sent, of calls in progress and of news. Where one datagram cannot hold all entries, the next one
    /// continues after these, so that all places are sent in turn.
    last_sent: (PlaceKey, PlaceKey),
}

/// All entries in cyclic order, beginning after this place.
fn rotated<T>(map: &BTreeMap<PlaceKey, T>, after: PlaceKey) -> impl Iterator<Item = (&PlaceKey, &T)> {
    map.range((Bound::Excluded(after), Bound::Unbounded)).chain(map.range(..=after))
}

impl Composer {
    /// Queues news of a place for the other routers; it replaces queued news of the same place.
    pub(crate) fn queue(&mut self, place: PlaceKey, status: Status) {
        if self.news.len() < MAX_QUEUED_NEWS || self.news.contains_key(&place) {
            self.news.insert(place, status);
        }
    }

    /// Entries of a datagram of at most `max_bytes` that this number of calls in progress and the queued news leave.
    pub(crate) fn spare_entries(&self, calls: usize, max_bytes: usize) -> usize {
        entries_within(max_bytes).saturating_sub(calls + self.news.len())
    }

    /// Number of queued news entries.
    pub(crate) fn entries(&self) -> usize {
        self.news.len()
    }

    /// Whether a datagram is due.
    pub(crate) fn due(&mut self, now: Micros, period: Micros, rng: &mut fastrand::Rng) -> bool {
        if self.next == 0 {
            // A random phase, as all routers may have started at the same time.
            self.next = now + (rng.f64() * period as f64) as Micros;
            self.sequence = rng.u8(..);
        }
        let due = now >= self.next;
        if due {
            self.next = now + period;
        }
        due
    }

    /// Composes a datagram of at most `max_bytes`: calls in progress, then news. `due` returns whether news has not been
    /// announced recently, and records it as announced. Returns `None` if there is nothing to send.
    pub(crate) fn compose(
        &mut self,
        calls: &BTreeMap<PlaceKey, u8>,
        max_bytes: usize,
        mut due: impl FnMut(&PlaceKey, Status) -> bool,
    ) -> Option<Vec<u8>> {
        let entry = |&(function, host): &PlaceKey, status| Entry { host, function, status };
        let capacity = entries_within(max_bytes);
        // Calls in progress must not take the entries reserved for news.
        let call_entries = capacity - self.news.len().min(capacity / NEWS_RESERVE_DIVISOR);
        let mut entries = Vec::new();
        for (place, n) in rotated(calls, self.last_sent.0).take(call_entries) {
            entries.push(entry(place, Status::Serving(*n)));
            self.last_sent.0 = *place;
        }
        while entries.len() < capacity {
            let Some((place, status)) = rotated(&self.news, self.last_sent.1).next().map(|(p, s)| (*p, *s))
            else {
                break;
            };
            self.news.remove(&place);
            self.last_sent.1 = place;
            // Calls in progress there imply a loaded copy, and so does a recent announcement of another router.
            let due = due(&place, status) && !calls.contains_key(&place);
            if due || status != Status::Serving(0) {
                entries.push(entry(&place, status));
            }
        }
        if entries.is_empty() {
            return None;
        }
        self.sequence = self.sequence.wrapping_add(1);
        Some(encode(self.sequence, &entries, max_bytes))
    }
}

#[cfg(test)]
mod tests;
