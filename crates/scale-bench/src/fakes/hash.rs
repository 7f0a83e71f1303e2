//! Random numbers that depend on a seed and an index alone, whatever the order in which they are drawn.

/// Hashes a seed and an index to 64 bits (the finisher of splitmix64).
pub fn mix(seed: u64, index: u64) -> u64 {
    let mut bits = seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// A number from 0 up to but not including 1, from [`mix`].
pub fn fraction(seed: u64, index: u64) -> f64 {
    (mix(seed, index) >> 11) as f64 / (1u64 << 53) as f64
}
