//! Hashing of names, the same on every machine, for ranks and keys on which routers agree without communication.

/// Hashes two names to a number in (0, 1): FNV-1a, then a mixing step.
pub(crate) fn hash(a: &str, b: &str) -> f64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in a.bytes().chain([0]).chain(b.bytes()) {
        h = (h ^ byte as u64).wrapping_mul(0x100_0000_01b3);
    }
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((h ^ (h >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + 1e-18
}
