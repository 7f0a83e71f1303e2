//! Exponential backoff with jitter, for calls to a service that all nodes share.

use std::time::Duration;

use fastrand::Rng;

/// Computes pauses that double from the first to the longest. Each is multiplied by a random factor from 0.5
/// to 1.5. Without this jitter, nodes that start or fail together would repeat their calls together for ever.
pub struct Backoff {
    random: Rng,
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates the pauses of one node, whose jitter is drawn with this seed.
    pub fn new(seed: u64, first: Duration, longest: Duration) -> Self {
        Backoff { random: Rng::with_seed(seed), first, longest, next: first }
    }

    /// Returns the time to wait before the next call, and doubles the pause after it.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        pause.mul_f64(0.5 + self.random.f64())
    }

    /// Returns a random duration from zero to `span`. It spreads an action that nodes which start together
    /// must not do together.
    pub fn random_part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.f64())
    }

    /// Restarts from the first pause, after a call that has succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
