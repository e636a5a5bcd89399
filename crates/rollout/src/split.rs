//! Assigns calls to versions: deterministically by key or id, so that all repeats of a call get the same version.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use wheellink::Micros;

use crate::Version;

/// A share of the calls, in hundredths of a percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u16);

/// Number of hash buckets; one bucket is a hundredth of a percent.
const BUCKETS: u64 = 10_000;
/// Maximum number of keys that are pinned to a version. At the platform's widest window, 8 s, this is enough for 8,000
/// keyed calls per second; beyond that, the oldest pins are evicted and counted.
const MAX_PINS: usize = 65_536;
/// Longest time for which a key is pinned, whatever the window of its class.
const MAX_WINDOW_US: Micros = 600_000_000;

impl Share {
    /// No calls.
    pub const NONE: Share = Share(0);
    /// All calls.
    pub const ALL: Share = Share(BUCKETS as u16);

    /// Converts from percent, rounded down to two decimals and limited to 0 to 100.
    pub fn from_percent(percent: f64) -> Self {
        // The small addend is for values such as 0.07, whose binary representation is slightly smaller.
        Self((percent.clamp(0.0, 100.0) * 100.0 + 1e-6) as u16)
    }

    /// The share in percent.
    pub fn percent(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Assigns each call to a version.
pub struct Split {
    salt: u64,
    share: Share,
    /// By hash of the key: the version and the time at which the pin expires.
    pins: HashMap<u64, (Version, Micros)>,
    /// Pins in order of their expiry.
    expiries: BTreeSet<(Micros, u64)>,
    max_pins: usize,
    /// Number of pins that were evicted before their expiry because the table was full.
    pub evicted_pins: u64,
}

impl Split {
    /// A split with share 0. The name of the rollout is the salt, so that each rollout starts with other clients.
    pub fn new(name: &str) -> Self {
        Self::with_max_pins(name, MAX_PINS)
    }

    /// A split with this maximum number of pins.
    pub fn with_max_pins(name: &str, max_pins: usize) -> Self {
        let mut hasher = SipHasher13::new_with_keys(0x7768_6565, 0x6c6c_696e);
        hasher.write(name.as_bytes());
        Self {
            salt: hasher.finish(),
            share: Share::NONE,
            pins: HashMap::new(),
            expiries: BTreeSet::new(),
            max_pins,
            evicted_pins: 0,
        }
    }

    /// The current share.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Changes the share. A share of 0 also removes the pins to the new version, so that a rollback takes effect
    /// immediately.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        if share == Share::NONE {
            self.pins.retain(|_, (version, _)| *version == Version::Old);
            let pins = &self.pins;
            self.expiries.retain(|(_, hash)| pins.contains_key(hash));
        }
    }

    fn hash(&self, text: &str) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.salt, 0);
        hasher.write(text.as_bytes());
        hasher.finish()
    }

    /// The version by the share alone, without pins.
    fn version_by_share(&self, hash: u64) -> Version {
        if hash % BUCKETS < u64::from(self.share.0) {
            Version::New
        } else {
            Version::Old
        }
    }

    /// Assigns a call to a version. The first call with a key pins the key to its version for `window`; a call
    /// without a key is assigned by its id.
    pub fn decide(&mut self, now: Micros, key: Option<(&str, Micros)>, id: &str) -> Version {
        self.remove_expired(now);
        let Some((key, window)) = key else { return self.version_by_share(self.hash(id)) };
        let hash = self.hash(key);
        if let Some((version, _)) = self.pins.get(&hash) {
            return *version;
        }
        let version = self.version_by_share(hash);
        let window = window.clamp(0, MAX_WINDOW_US);
        if window > 0 && self.max_pins > 0 {
            if self.pins.len() >= self.max_pins {
                if let Some((_, oldest)) = self.expiries.pop_first() {
                    self.pins.remove(&oldest);
                    self.evicted_pins += 1;
                }
            }
            let expiry = now + window;
            self.pins.insert(hash, (version, expiry));
            self.expiries.insert((expiry, hash));
        }
        version
    }

    /// Number of keys that are pinned to a version.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(first) = self.expiries.first().copied().filter(|(expiry, _)| *expiry <= now) {
            self.expiries.remove(&first);
            self.pins.remove(&first.1);
        }
    }
}
