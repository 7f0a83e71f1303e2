//! Pseudo-random numbers that depend on a seed and an index only, so the order of the draws does not matter.

/// Hashes a seed and an index to 64 bits, with the finalizer of SplitMix64.
pub fn mix(seed: u64, index: u64) -> u64 {
    let mut bits = seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Returns a number of at least 0 and below 1, taken from the upper 53 bits of [`mix`].
pub fn fraction(seed: u64, index: u64) -> f64 {
    (mix(seed, index) >> 11) as f64 / (1u64 << 53) as f64
}
