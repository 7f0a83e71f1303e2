//! The random number generator of a node. The same seed gives the same numbers in the same order.

/// Increment of the splitmix64 generator: 2^64 divided by the golden ratio.
pub(in crate::decision) const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Applies the finalizer of splitmix64, a bijection that spreads similar values evenly over all 64 bits.
pub(in crate::decision) fn splitmix64_finalize(value: u64) -> u64 {
    let once = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let twice = (once ^ (once >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    twice ^ (twice >> 31)
}

/// Pseudo-random number generator. Unlike plain splitmix64, it uses the finalized value as its next state.
#[derive(Clone, Copy, Default)]
pub(in crate::decision) struct RandomSource {
    state: u64,
}

impl RandomSource {
    /// Creates a generator whose initial state is `seed`.
    pub fn from_seed(seed: u64) -> Self {
        RandomSource { state: seed }
    }

    /// Draws a number from the uniform distribution over [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.state = splitmix64_finalize(self.state.wrapping_add(SPLITMIX64_INCREMENT));
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a number from the exponential distribution with mean 1. Uses one uniform draw.
    pub fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }
}
