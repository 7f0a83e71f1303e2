//! Jittered backoff: the pauses between calls to a service that all nodes share.

use std::time::Duration;

use fastrand::Rng;

/// Pauses that double from the first to the most, each spread at random over half to one and a half times its
/// length. Danger: nodes that start or fail together would call again together, for ever.
pub struct Backoff {
    random: Rng,
    first: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    /// Pauses of one node, by its seed.
    pub fn new(seed: u64, first: Duration, most: Duration) -> Self {
        Backoff { random: Rng::with_seed(seed), first, most, next: first }
    }

    /// How long to wait before the next call.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.most);
        pause.mul_f64(0.5 + self.random.f64())
    }

    /// A part of this span at random, for what nodes that start together must not do together.
    pub fn part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.f64())
    }

    /// A call went well: the next pause is the first again.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
