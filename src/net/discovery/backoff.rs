//! Jittered exponential backoff: the pauses between calls to a service that all nodes share.

use std::time::Duration;

use fastrand::Rng;

/// Pauses that double from the first to the longest, each spread at random over half to one and a half times its
/// length. Without the spread, nodes that start or fail together would call again together, for ever.
pub struct Backoff {
    random: Rng,
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// The pauses of one node, by its seed.
    pub fn new(seed: u64, first: Duration, longest: Duration) -> Self {
        Backoff { random: Rng::with_seed(seed), first, longest, next: first }
    }

    /// How long to wait before the next call.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        pause.mul_f64(0.5 + self.random.f64())
    }

    /// A random part of this span, for what nodes that start together must not do together.
    pub fn random_part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.f64())
    }

    /// A call succeeded: the next pause is the first again.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
