//! What activators of a large fleet tell one another: where copies stand, and what they have out there.
//!
//! Each activator of a hundred sees next to nothing of a host by itself: two activators in a hundred know that a copy
//! stands, and none knows that the others have sixty calls out at its host. So each tells now and then, in one datagram
//! to all, what it has out by place and what it has learnt. A datagram replaces all that its sender had out
//! before. One that is lost, late or doubled does no more harm than a belief that ages out; one that cannot be read
//! is dropped whole. Nothing here is trusted for a rule: each activator alone keeps them all.
//!
//! This is the codec, the table of what was heard, and the composer of what is told. None of them knows a router:
//! `src/gossip_exchange.rs` feeds and asks them, and what is done about it is decided in `src/rules.rs`.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::hash::hash;
use crate::interface::{FunctionId, Micros, WorkerId};

/// Between two datagrams of one router, for each router of the fleet: what a router hears is 200 a second at
/// the most, and what the fleet pays for them does not grow with the square of its size.
const PERIOD_PER_ROUTER_US: Micros = 5_000;
/// No router tells more often.
const MIN_PERIOD_US: Micros = 200_000;
/// What a router has out is believed for so many periods after its word.
const MAX_AGE_PERIODS: Micros = 3;
/// Share of the others that must have been heard of for what is told to be taken for the whole.
const MIN_HEARD_SHARE: f64 = 0.5;
/// Heard of within this: a router with a call every few seconds has little to tell.
const PEER_TIMEOUT_US: Micros = 4_000_000;
/// Places that are kept for functions that were not called here yet.
const MAX_UNCALLED_PLACES: usize = 8_192;
/// News that wait for the next datagram.
const MAX_QUEUED_NEWS: usize = 256;
/// One in so many lines of a datagram is kept for news, as long as there are any.
const NEWS_RESERVE_DIVISOR: usize = 4;
/// Others are told anew that a copy stands after this part of the time that it may lie idle.
pub(crate) const ANNOUNCE_AGAIN_DIVISOR: Micros = 3;
/// The first byte of every datagram: the form and its version.
const FORMAT: u8 = 0x57;
const HEADER_BYTES: usize = 3;
const ENTRY_BYTES: usize = 5;
/// Functions are told by this many bits of their hash...
const FUNCTION_BITS: u32 = 20;
/// ... where this one is none: the line is of the host.
pub(crate) const NO_FUNCTION: u32 = (1 << FUNCTION_BITS) - 1;
/// The most calls that a line tells.
const MAX_ENTRY_CALLS: u8 = 10;

/// What a line says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyStatus {
    /// A copy stands there, with so many calls of the sender's out.
    Serving(u8),
    /// A load was ordered.
    Loading,
    /// No copy stands there.
    Gone,
    /// So many copies stand, 2 to 4.
    Copies(u8),
    /// The host had no room for a load.
    NoRoom,
}

/// A host, a function and what is said of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) host: u16,
    pub(crate) function: u32,
    pub(crate) status: CopyStatus,
}

/// What stands for a function and for a host.
pub(crate) type PlaceKey = (u32, u16);

/// What stands for a host's id in a line.
pub(crate) fn host_key(n: &WorkerId) -> u16 {
    (hash("host", &n.0) * 65_536.0) as u16
}

/// What stands for a function's.
pub(crate) fn function_key(f: &FunctionId) -> u32 {
    ((hash("function", &f.0) * f64::from(NO_FUNCTION)) as u32).min(NO_FUNCTION - 1)
}

fn checksum(bytes: &[u8]) -> u8 {
    bytes.iter().fold(0x9d, |sum: u8, b| (sum.rotate_left(3) ^ b).wrapping_add(7))
}

/// A datagram. Lines beyond `most` bytes are left out.
pub(crate) fn encode(sequence: u8, entries: &[Entry], max_bytes: usize) -> Vec<u8> {
    let mut bytes = vec![FORMAT, sequence, 0];
    for l in entries.iter().take(max_bytes.saturating_sub(HEADER_BYTES) / ENTRY_BYTES) {
        let (function, code) = match l.status {
            CopyStatus::Serving(n) => (l.function, n.min(MAX_ENTRY_CALLS)),
            CopyStatus::Loading => (l.function, 11),
            CopyStatus::Gone => (l.function, 12),
            CopyStatus::Copies(n) => (l.function, 11 + n.clamp(2, 4)),
            CopyStatus::NoRoom => (NO_FUNCTION, 0),
        };
        bytes.extend(l.host.to_le_bytes());
        bytes.extend(&(function << 4 | u32::from(code)).to_le_bytes()[..3]);
    }
    bytes[2] = checksum(&bytes);
    bytes
}

/// What a datagram says and its number; `None` for noise.
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
            (NO_FUNCTION, 0) => CopyStatus::NoRoom,
            (NO_FUNCTION, _) => return None,
            (_, 11) => CopyStatus::Loading,
            (_, 12) => CopyStatus::Gone,
            (_, 13..) => CopyStatus::Copies(code - 11),
            (_, held) => CopyStatus::Serving(held),
        };
        Some(Entry { host: u16::from_le_bytes([b[0], b[1]]), function, status })
    };
    Some((head[1], body.chunks_exact(ENTRY_BYTES).map(entry).collect::<Option<_>>()?))
}

/// One router of the others.
#[derive(Default)]
struct Peer {
    at: Micros,
    sequence: u8,
    held: Vec<(u16, u32, u32)>,
}

/// What was heard of the others.
#[derive(Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<u32, Peer>,
    at_host: BTreeMap<u16, u32>,
    at_place: BTreeMap<PlaceKey, u32>,
    /// Copies of functions by when they were told, for those that are called here later.
    uncalled: BTreeMap<PlaceKey, (Micros, u8)>,
    /// Enough of them were heard of lately.
    pub(crate) reliable: bool,
    /// ... without a break since then.
    since: Micros,
}

impl PeerTable {
    /// Takes a datagram; what it says, unless it is noise or older than one that was taken.
    pub(crate) fn accept(
        &mut self,
        now: Micros,
        period: Micros,
        from: u32,
        bytes: &[u8],
    ) -> Option<Vec<Entry>> {
        let (sequence, entries) = decode(bytes)?;
        let peer = self.peers.entry(from).or_default();
        let newer = (1..128).contains(&sequence.wrapping_sub(peer.sequence));
        // One that has started anew counts from anywhere.
        if !newer && peer.at > 0 && now - peer.at < MAX_AGE_PERIODS * period {
            return None;
        }
        (peer.at, peer.sequence) = (now, sequence);
        self.clear_calls(from);
        for l in &entries {
            let CopyStatus::Serving(n @ 1..) = l.status else { continue };
            let n = u32::from(n);
            *self.at_host.entry(l.host).or_default() += n;
            *self.at_place.entry((l.function, l.host)).or_default() += n;
            self.peers.entry(from).or_default().held.push((l.host, l.function, n));
        }
        Some(entries)
    }

    /// What the router had out counts no more.
    fn clear_calls(&mut self, from: u32) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        for (host, function, n) in peer.held.drain(..) {
            subtract(&mut self.at_host, host, n);
            subtract(&mut self.at_place, (function, host), n);
        }
    }

    /// Forgets what is too old. What is left is heeded where hosts are seldom seen, and enough of the routers are heard.
    pub(crate) fn expire(
        &mut self,
        now: Micros,
        (period, keep): (Micros, Micros),
        routers: u32,
        sees_little: bool,
    ) {
        let old = |p: &Peer| !p.held.is_empty() && now - p.at > MAX_AGE_PERIODS * period;
        let old: Vec<_> = self.peers.iter().filter(|(_, p)| old(p)).map(|(n, _)| *n).collect();
        old.into_iter().for_each(|n| self.clear_calls(n));
        self.peers.retain(|_, p| now - p.at <= PEER_TIMEOUT_US);
        self.uncalled.retain(|_, (at, _)| now - *at < keep);
        let enough = self.peers.len() as f64 >= MIN_HEARD_SHARE * f64::from(routers.saturating_sub(1));
        let reliable = sees_little && enough && routers > 1;
        if reliable && !self.reliable {
            self.since = now;
        }
        self.reliable = reliable;
    }

    /// They were heard for as long as it takes until every copy that calls find has been told of.
    pub(crate) fn is_complete(&self, now: Micros, keep: Micros) -> bool {
        self.reliable && now - self.since > keep / ANNOUNCE_AGAIN_DIVISOR
    }

    /// How much of it there is.
    pub(crate) fn entries(&self) -> usize {
        let held: usize = self.peers.values().map(|p| 1 + p.held.len()).sum();
        held + self.at_host.len() + self.at_place.len() + self.uncalled.len()
    }

    /// Calls of the others at the host.
    pub(crate) fn at_host(&self, host: u16) -> f64 {
        f64::from(self.at_host.get(&host).copied().unwrap_or(0))
    }

    /// Calls of the others for the function at the host.
    pub(crate) fn at_place(&self, function: u32, host: u16) -> f64 {
        f64::from(self.at_place.get(&(function, host)).copied().unwrap_or(0))
    }

    /// Takes out where a function stands that is called here from now on: hosts, when it was told, and copies.
    pub(crate) fn take_known(&mut self, function: u32) -> Vec<(u16, Micros, u8)> {
        let range = (function, 0)..=(function, u16::MAX);
        let found: Vec<_> = self.uncalled.range(range).map(|(k, v)| (k.1, v.0, v.1)).collect();
        for (host, ..) in &found {
            self.uncalled.remove(&(function, *host));
        }
        found
    }

    /// Keeps where a function stands that was not called here yet.
    pub(crate) fn remember(&mut self, now: Micros, place: PlaceKey, status: CopyStatus) {
        match status {
            CopyStatus::Gone => drop(self.uncalled.remove(&place)),
            CopyStatus::NoRoom => {}
            _ if self.uncalled.len() >= MAX_UNCALLED_PLACES && !self.uncalled.contains_key(&place) => {}
            CopyStatus::Copies(n) => drop(self.uncalled.insert(place, (now, n))),
            CopyStatus::Serving(_) | CopyStatus::Loading => {
                self.uncalled.entry(place).or_insert((now, 1)).0 = now
            }
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

/// Bytes of the shortest datagram that says anything.
pub(crate) const MIN_DATAGRAM_BYTES: usize = HEADER_BYTES + ENTRY_BYTES;

/// Time between two datagrams of one router in a fleet of so many.
pub(crate) fn period(routers: u32) -> Micros {
    (PERIOD_PER_ROUTER_US * Micros::from(routers)).max(MIN_PERIOD_US)
}

/// What a router tells, and when.
#[derive(Default)]
pub(crate) struct Composer {
    next: Micros,
    sequence: u8,
    news: BTreeMap<PlaceKey, CopyStatus>,
    /// What was told last, of what is out and of news: where there is more to say than one datagram holds, the next
    /// one goes on behind it, so that each place gets its turn.
    turns: (PlaceKey, PlaceKey),
}

/// All entries, from the first one behind this place round to it.
fn from<T>(map: &BTreeMap<PlaceKey, T>, after: PlaceKey) -> impl Iterator<Item = (&PlaceKey, &T)> {
    map.range((Bound::Excluded(after), Bound::Unbounded)).chain(map.range(..=after))
}

impl Composer {
    /// Something that the others may not know of this place: the last word of it counts.
    pub(crate) fn note(&mut self, place: PlaceKey, status: CopyStatus) {
        if self.news.len() < MAX_QUEUED_NEWS || self.news.contains_key(&place) {
            self.news.insert(place, status);
        }
    }

    /// News that wait.
    pub(crate) fn entries(&self) -> usize {
        self.news.len()
    }

    /// Whether it is time to tell.
    pub(crate) fn due(&mut self, now: Micros, period: Micros, rng: &mut fastrand::Rng) -> bool {
        if self.next == 0 {
            // Not all at one moment, though all may have started at one.
            self.next = now + (rng.f64() * period as f64) as Micros;
            self.sequence = rng.u8(..);
        }
        let due = now >= self.next;
        if due {
            self.next = now + period;
        }
        due
    }

    /// A datagram of at most so many bytes: what is out, then news. `due` is asked of each news whether nobody has
    /// told it lately, and knows from then on that it was told. `None`: there is nothing to tell.
    pub(crate) fn compose(
        &mut self,
        held: &BTreeMap<PlaceKey, u8>,
        max_bytes: usize,
        mut due: impl FnMut(&PlaceKey, CopyStatus) -> bool,
    ) -> Option<Vec<u8>> {
        let entry = |&(function, host): &PlaceKey, status| Entry { host, function, status };
        let spare = max_bytes.saturating_sub(HEADER_BYTES) / ENTRY_BYTES;
        // What is out must not keep news from being told at all.
        let of_held = spare - self.news.len().min(spare / NEWS_RESERVE_DIVISOR);
        let mut entries = Vec::new();
        for (place, n) in from(held, self.turns.0).take(of_held) {
            entries.push(entry(place, CopyStatus::Serving(*n)));
            self.turns.0 = *place;
        }
        while entries.len() < spare {
            let Some((place, status)) = from(&self.news, self.turns.1).next().map(|(p, w)| (*p, *w)) else {
                break;
            };
            self.news.remove(&place);
            self.turns.1 = place;
            // What is out there tells that a copy stands, and so does what another told since.
            let due = due(&place, status) && !held.contains_key(&place);
            if due || status != CopyStatus::Serving(0) {
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
