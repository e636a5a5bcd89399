//! A bounded table of addresses that keeps the entries of the highest weight.
//!
//! It uses the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005) on weights with forward decay (Cormode,
//! Shkapenyuk, Srivastava and Xu, 2009): newer events get exponentially higher weights, so that old entries need not be
//! visited to age them. Weights are stored as binary logarithms.

use std::collections::{BTreeSet, HashMap};

use wheellink::Micros;

use crate::prefix::Prefix;
use crate::rate::RateLimiter;

/// The half-life of weights.
const HALF_LIFE_US: f64 = 600_000_000.0;
/// The resolution of scores: steps per doubling of the weight.
const STEPS: f64 = (1 << 20) as f64;

/// The state of one client address or neighbourhood.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Open connections.
    pub connections: u32,
    /// Open requests.
    pub open: u32,
    /// Body bytes of the open requests.
    pub bytes: u64,
    /// The rate limiter of new connections.
    pub connect_limiter: RateLimiter,
    /// The rate limiter of requests.
    pub request_limiter: RateLimiter,
    /// Refusals since the entry was created.
    pub refused: u64,
    /// Refusals within the current penalty window.
    pub recent_refusals: u32,
    /// The start of the penalty window.
    pub window_start: Micros,
    /// The end of the penalty: until then new connections are closed at accept.
    pub closed_until: Micros,
    /// The number of consecutive penalties; each doubles the duration of the next one.
    pub level: u32,
    /// Served calls, decayed with the half-life in the rules, as of `served_at`.
    pub served: f64,
    /// The time of the last update of `served`.
    pub served_at: Micros,
    /// Until then the client is not known by its served calls.
    pub suspended_until: Micros,
    /// The logarithm of the weight in units of `1 / STEPS`; `i64::MIN` for a weight of zero.
    score: i64,
    /// The score inherited from the evicted entry: the entry's own weight may be lower by that weight.
    inherited: i64,
}

impl Entry {
    fn is_active(&self) -> bool {
        self.connections > 0 || self.open > 0
    }
}

/// A bounded table of addresses; see the module documentation.
pub struct AddressTable {
    capacity: usize,
    entries: HashMap<Prefix, Entry>,
    /// The inactive entries, which may be evicted, by ascending score.
    evictable: BTreeSet<(i64, Prefix)>,
    /// The number of evicted entries.
    pub evicted: u64,
}

fn log_weight(now: Micros, weight: f64) -> f64 {
    weight.max(1e-9).log2() + now as f64 / HALF_LIFE_US
}

/// The binary logarithm of the sum of two weights, given their logarithms.
fn log2_sum(a: f64, b: f64) -> f64 {
    let (high, low) = if a > b { (a, b) } else { (b, a) };
    high + (low - high).exp2().ln_1p() / std::f64::consts::LN_2
}

impl AddressTable {
    /// Creates a table with the given capacity, at least one.
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), entries: HashMap::new(), evictable: BTreeSet::new(), evicted: 0 }
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes the capacity. Evicts inactive entries of the lowest weight until the table fits, if there are enough.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
        while self.entries.len() > self.capacity && self.evict_lightest().is_some() {}
    }

    fn evict_lightest(&mut self) -> Option<i64> {
        let (score, lightest) = self.evictable.pop_first()?;
        self.entries.remove(&lightest);
        self.evicted += 1;
        Some(score)
    }

    /// The entry of a prefix, without changing its weight.
    pub fn get(&self, key: &Prefix) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Adds weight to an entry and applies `change` to it. A missing entry is created; in a full table it replaces the
    /// inactive entry of the lowest weight. Returns `None` if the table is full of active entries.
    pub fn update<T>(
        &mut self,
        now: Micros,
        key: Prefix,
        weight: f64,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> Option<T> {
        if !self.entries.contains_key(&key) {
            let inherited = match self.entries.len() >= self.capacity {
                true => self.evict_lightest()?,
                false => i64::MIN,
            };
            self.entries.insert(key, Entry { score: inherited, inherited, ..Entry::default() });
        }
        let entry = self.entries.get_mut(&key)?;
        self.evictable.remove(&(entry.score, key));
        if weight > 0.0 {
            let own = log_weight(now, weight);
            let sum = if entry.score == i64::MIN { own } else { log2_sum(entry.score as f64 / STEPS, own) };
            entry.score = (sum * STEPS) as i64;
        }
        let result = change(entry);
        if !entry.is_active() {
            self.evictable.insert((entry.score, key));
        }
        Some(result)
    }

    /// The entries of the highest weight in descending order: prefix, weight, the part of the weight that may be inherited
    /// from evicted entries, and the entry.
    pub fn heaviest(&self, now: Micros, count: usize) -> Vec<(Prefix, f64, f64, &Entry)> {
        let weight = |score: i64| match score {
            i64::MIN => 0.0,
            score => (score as f64 / STEPS - now as f64 / HALF_LIFE_US).exp2(),
        };
        let mut all: Vec<_> = self.entries.iter().collect();
        all.sort_by_key(|(key, e)| (std::cmp::Reverse(e.score), **key));
        all.into_iter().take(count).map(|(key, e)| (*key, weight(e.score), weight(e.inherited), e)).collect()
    }

    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Prefix, &Entry)> {
        self.entries.iter()
    }
}
