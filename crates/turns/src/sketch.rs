//! Which prefixes are common to many conversations: counts of fixed size that fade.

/// Rows, each a count under a hash of its own: the least of them is the best bound.
const ROWS: usize = 4;
/// Counts in a row: so many new hashes as are counted between two halvings stand one in four of them.
const WIDTH: usize = 1 << 15;
/// After so many counted hashes all counts halve.
const HALVE_AFTER: u32 = 1 << 14;

/// See the module's page.
pub(crate) struct Sketch {
    counts: Vec<u8>,
    counted: u32,
}

impl Sketch {
    pub fn new() -> Self {
        Self { counts: vec![0; ROWS * WIDTH], counted: 0 }
    }

    fn places(key: u64) -> [usize; ROWS] {
        let a = key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let b = (key ^ 0xA5A5_A5A5_5A5A_5A5A).wrapping_mul(0xC2B2_AE3D_27D4_EB4F) | 1;
        std::array::from_fn(|row| {
            let mixed = a.wrapping_add(b.wrapping_mul(row as u64 + 1));
            row * WIDTH + (mixed >> 49) as usize
        })
    }

    /// Counts it once more; how often it was counted, which may be too much and never too little but for fading.
    pub fn count(&mut self, key: u64) -> u8 {
        self.counted += 1;
        if self.counted >= HALVE_AFTER {
            self.counted = 0;
            self.counts.iter_mut().for_each(|c| *c /= 2);
        }
        let places = Self::places(key);
        let least = places.iter().map(|p| self.counts[*p]).min().unwrap_or(0);
        // Only the least ones grow: what shares a place with others is over-counted less.
        for place in places {
            self.counts[place] = self.counts[place].max(least.saturating_add(1));
        }
        least.saturating_add(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_came_often_is_told_from_what_came_once() {
        let (mut sketch, mut rng) = (Sketch::new(), fastrand::Rng::with_seed(7));
        let mut twice = 0;
        for i in 0..100_000 {
            twice += u32::from(sketch.count(rng.u64(..)) > 1);
            if i % 100 == 0 {
                sketch.count(42);
            }
        }
        assert!(sketch.count(42) > 20);
        assert!(twice < 3_000, "{twice} of 100,000 that came once were held for more");
        assert_eq!(sketch.counts.len(), ROWS * WIDTH);
    }
}
