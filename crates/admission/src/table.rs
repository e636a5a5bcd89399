//! A bounded table of addresses that keeps the heaviest, whatever comes.
//!
//! Space-saving (Metwally, Agrawal and El Abbadi, 2005) over weights with forward decay (Cormode, Shkapenyuk,
//! Srivastava and Xu, 2009): what comes later weighs more instead of what came earlier being aged, so no entry is
//! walked. Weights are kept as binary logarithms.

use std::collections::{BTreeSet, HashMap};

use wheellink::Micros;

use crate::prefix::Prefix;
use crate::rate::RateLimiter;

/// Weights count half after this.
const HALF: f64 = 600_000_000.0;
/// Weights are compared to a millionth of a doubling.
const STEP: f64 = (1 << 20) as f64;

/// What is remembered of one address or neighbourhood.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressEntry {
    /// Connections that it holds.
    pub connections: u32,
    /// Requests that are open.
    pub open: u32,
    /// Bytes of their bodies.
    pub bytes: u64,
    /// New connections against their rate.
    pub connect: RateLimiter,
    /// Requests against theirs.
    pub request: RateLimiter,
    /// Refusals since it came into the table.
    pub refused: u64,
    /// Refusals within the penalty's window, and when that began.
    pub lately: u32,
    /// When the window began.
    pub window: Micros,
    /// Closed at accept until then.
    pub closed_until: Micros,
    /// How often in a row; each doubles the next penalty.
    pub level: u32,
    /// Served calls, counting half after the rules' time, as of `served_at`.
    pub served: f64,
    /// When that was.
    pub served_at: Micros,
    /// Not known until then, whatever it was served.
    pub spoilt_until: Micros,
    /// Whether it is in the order of those that may be pushed out, and its weight there.
    score: i64,
    /// The weight that it took over from whom it pushed out: its own may be less by as much.
    error: i64,
}

impl AddressEntry {
    fn is_active(&self) -> bool {
        self.connections > 0 || self.open > 0
    }
}

/// See the module's page.
pub struct AddressTable {
    most: usize,
    entries: HashMap<Prefix, AddressEntry>,
    /// Those that may be pushed out, lightest first.
    idle: BTreeSet<(i64, Prefix)>,
    /// Entries that were pushed out.
    pub pushed_out: u64,
}

fn log_weight(now: Micros, weight: f64) -> f64 {
    weight.max(1e-9).log2() + now as f64 / HALF
}

/// The logarithm of a sum.
fn add(a: f64, b: f64) -> f64 {
    let (high, low) = if a > b { (a, b) } else { (b, a) };
    high + (low - high).exp2().ln_1p() / std::f64::consts::LN_2
}

impl AddressTable {
    /// With room for so many, one at least.
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), entries: HashMap::new(), idle: BTreeSet::new(), pushed_out: 0 }
    }

    /// Entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Room for so many from now on; what is too much goes, lightest first, unless it is active.
    pub fn set_capacity(&mut self, most: usize) {
        self.most = most.max(1);
        while self.entries.len() > self.most && self.push_out().is_some() {}
    }

    fn push_out(&mut self) -> Option<i64> {
        let (score, lightest) = self.idle.pop_first()?;
        self.entries.remove(&lightest);
        self.pushed_out += 1;
        Some(score)
    }

    /// An entry as it is.
    pub fn get(&self, key: &Prefix) -> Option<&AddressEntry> {
        self.entries.get(key)
    }

    /// Adds weight to an entry, which is made where there is none: in the lightest one's place if need be. `None`
    /// where all are active: they are as many as there is room for. Then lets it be changed.
    pub fn update<T>(
        &mut self,
        now: Micros,
        key: Prefix,
        weight: f64,
        change: impl FnOnce(&mut AddressEntry) -> T,
    ) -> Option<T> {
        if !self.entries.contains_key(&key) {
            let error = match self.entries.len() >= self.most {
                true => self.push_out()?,
                false => i64::MIN,
            };
            self.entries.insert(key, AddressEntry { score: error, error, ..AddressEntry::default() });
        }
        let entry = self.entries.get_mut(&key)?;
        self.idle.remove(&(entry.score, key));
        if weight > 0.0 {
            let own = log_weight(now, weight);
            let sum = if entry.score == i64::MIN { own } else { add(entry.score as f64 / STEP, own) };
            entry.score = (sum * STEP) as i64;
        }
        let result = change(entry);
        if !entry.is_active() {
            self.idle.insert((entry.score, key));
        }
        Some(result)
    }

    /// The heaviest, heaviest first, with how much of their weight may be others'.
    pub fn heaviest(&self, now: Micros, most: usize) -> Vec<(Prefix, f64, f64, &AddressEntry)> {
        let weight = |score: i64| match score {
            i64::MIN => 0.0,
            score => (score as f64 / STEP - now as f64 / HALF).exp2(),
        };
        let mut all: Vec<_> = self.entries.iter().collect();
        all.sort_by_key(|(key, e)| (std::cmp::Reverse(e.score), **key));
        all.into_iter().take(most).map(|(key, e)| (*key, weight(e.score), weight(e.error), e)).collect()
    }

    /// Entries with something worth telling a successor.
    pub fn iter(&self) -> impl Iterator<Item = (&Prefix, &AddressEntry)> {
        self.entries.iter()
    }
}
