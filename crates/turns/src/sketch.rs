//! Fixed-size, decaying counters: how often each prefix is asked for (to find common prefixes), and how many
//! conversations there are.

use std::time::Duration;

/// Rows of the count-min sketch, each with its own hash: the smallest of a key's counters is the best upper bound.
const ROWS: usize = 4;
/// Counters per row: twice the number of hashes counted between two halvings, so that on average about one in four
/// counters is in use.
const WIDTH: usize = 1 << 15;
/// After this many counted hashes, all counters are halved.
const HALVE_AFTER: u32 = 1 << 14;

/// A count-min sketch of prefix hashes.
pub(crate) struct Sketch {
    counts: Vec<u8>,
    counted: u32,
}

impl Sketch {
    pub fn new() -> Self {
        Self { counts: vec![0; ROWS * WIDTH], counted: 0 }
    }

    fn indexes(key: u64) -> [usize; ROWS] {
        let a = key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let b = (key ^ 0xA5A5_A5A5_5A5A_5A5A).wrapping_mul(0xC2B2_AE3D_27D4_EB4F) | 1;
        std::array::from_fn(|row| {
            let mixed = a.wrapping_add(b.wrapping_mul(row as u64 + 1));
            row * WIDTH + (mixed >> 49) as usize
        })
    }

    /// Counts the key and returns how often it has been counted. The result may be too high; it is too low only by
    /// halving.
    pub fn count(&mut self, key: u64) -> u8 {
        self.counted += 1;
        if self.counted >= HALVE_AFTER {
            self.counted = 0;
            self.counts.iter_mut().for_each(|c| *c /= 2);
        }
        let indexes = Self::indexes(key);
        let least = indexes.iter().map(|i| self.counts[*i]).min().unwrap_or(0);
        // Only the smallest counters grow (conservative update): this reduces the error of keys that share counters.
        for index in indexes {
            self.counts[index] = self.counts[index].max(least.saturating_add(1));
        }
        least.saturating_add(1)
    }
}

/// Bits of the conversation counter, enough to count a few thousand conversations.
const CONVERSATION_BITS: usize = 4_096;
/// Conversations are counted over windows of this length.
const WINDOW: Duration = Duration::from_secs(10);

/// Estimates the number of recent conversations with one bit per conversation (linear counting, Whang et al. 1990).
pub(crate) struct ConversationCounter {
    bits: Vec<u64>,
    bits_set: u32,
    window_start: Duration,
    /// The estimate for the previous window.
    previous: f64,
}

impl ConversationCounter {
    pub fn new(now: Duration) -> Self {
        Self { bits: vec![0; CONVERSATION_BITS / 64], bits_set: 0, window_start: now, previous: 0.0 }
    }

    fn estimate_window(&self) -> f64 {
        let bits = CONVERSATION_BITS as f64;
        -bits * ((bits - f64::from(self.bits_set)).max(1.0) / bits).ln()
    }

    /// Records a turn of the conversation.
    pub fn count(&mut self, now: Duration, conversation: u64) {
        if now >= self.window_start + WINDOW {
            self.previous = if now >= self.window_start + 2 * WINDOW { 0.0 } else { self.estimate_window() };
            self.bits.fill(0);
            (self.bits_set, self.window_start) = (0, now);
        }
        let bit = (conversation.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 52) as usize % CONVERSATION_BITS;
        let word = &mut self.bits[bit / 64];
        self.bits_set += u32::from(*word & 1 << (bit % 64) == 0);
        *word |= 1 << (bit % 64);
    }

    /// Estimated number of conversations in the previous window or, if larger, in the current one.
    pub fn estimate_recent(&self, now: Duration) -> f64 {
        let before = if now >= self.window_start + 2 * WINDOW { 0.0 } else { self.previous };
        self.estimate_window().max(before)
    }
}

#[cfg(test)]
mod tests;
