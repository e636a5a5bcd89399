//! Which version a call meets: by its key or id, never by chance, and the same for all its repeats.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use wheellink::Micros;

use crate::Version;

/// A share of the calls, in hundredths of a percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u16);

/// Points that a call may fall on.
const POINTS: u64 = 10_000;
/// Keyed calls whose version is remembered. At the widest window of the platform, 8 s, this is 8,000 keyed
/// calls a second; beyond that the oldest are forgotten first, and counted.
pub const MOST_PINS: usize = 65_536;
/// A window for which a version is remembered at the most, whatever the class says.
const LONGEST_WINDOW: Micros = 600_000_000;

impl Share {
    /// Nothing.
    pub const NONE: Share = Share(0);
    /// Everything.
    pub const ALL: Share = Share(POINTS as u16);

    /// From percent, rounded down to a hundredth of one and held to 0 and 100.
    pub fn from_percent(percent: f64) -> Self {
        // The small amount is for shares like 0.07, which binary fractions hold as a little less.
        Self((percent.clamp(0.0, 100.0) * 100.0 + 1e-6) as u16)
    }

    /// In percent.
    pub fn percent(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Which version each call meets.
pub struct Split {
    salt: u64,
    share: Share,
    pins: HashMap<u64, (Version, Micros)>,
    /// By when they are over.
    order: BTreeSet<(Micros, u64)>,
    most: usize,
    /// Pins that were given up before their time for want of room.
    pub evicted_pins: u64,
}

impl Split {
    /// A split of share 0. The name salts it, so that not the same clients go first each time.
    pub fn new(name: &str) -> Self {
        Self::with_max_pins(name, MOST_PINS)
    }

    /// The same, with room for so many pins.
    pub fn with_max_pins(name: &str, most: usize) -> Self {
        let mut hasher = SipHasher13::new_with_keys(0x7768_6565, 0x6c6c_696e);
        hasher.write(name.as_bytes());
        Self {
            salt: hasher.finish(),
            share: Share::NONE,
            pins: HashMap::new(),
            order: BTreeSet::new(),
            most,
            evicted_pins: 0,
        }
    }

    /// The share in force.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Changes the share. Down to nothing, no pin holds a call with the new version any longer: back is at once.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        if share == Share::NONE {
            self.pins.retain(|_, (version, _)| *version == Version::Old);
            let pins = &self.pins;
            self.order.retain(|(_, hash)| pins.contains_key(hash));
        }
    }

    fn hash(&self, text: &str) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.salt, 0);
        hasher.write(text.as_bytes());
        hasher.finish()
    }

    /// The version by the share alone.
    fn drawn(&self, hash: u64) -> Version {
        if hash % POINTS < u64::from(self.share.0) {
            Version::New
        } else {
            Version::Old
        }
    }

    /// Which version this call meets. With a key, its first try pins the version until the key's window is
    /// over; without one it goes by its id.
    pub fn decide(&mut self, now: Micros, key: Option<(&str, Micros)>, id: &str) -> Version {
        self.expire(now);
        let Some((key, window)) = key else { return self.drawn(self.hash(id)) };
        let hash = self.hash(key);
        if let Some((version, _)) = self.pins.get(&hash) {
            return *version;
        }
        let version = self.drawn(hash);
        let window = window.clamp(0, LONGEST_WINDOW);
        if window > 0 && self.most > 0 {
            if self.pins.len() >= self.most {
                if let Some((_, oldest)) = self.order.pop_first() {
                    self.pins.remove(&oldest);
                    self.evicted_pins += 1;
                }
            }
            let until = now + window;
            self.pins.insert(hash, (version, until));
            self.order.insert((until, hash));
        }
        version
    }

    /// Keys whose version is remembered.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }

    fn expire(&mut self, now: Micros) {
        while let Some(first) = self.order.first().copied().filter(|(until, _)| *until <= now) {
            self.order.remove(&first);
            self.pins.remove(&first.1);
        }
    }
}
