//! Exponential backoff with jitter, for calls to discovery.

use std::time::Duration;

use fastrand::Rng;

/// Computes pauses that double from the initial to the maximum one. Each is multiplied by a random factor
/// from 0.5 to 1.5. Without this jitter, nodes that start or fail together would repeat their calls together
/// forever.
pub struct Backoff {
    random: Rng,
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates the pauses of one node, whose jitter is drawn with this seed.
    pub fn new(seed: u64, initial: Duration, max: Duration) -> Self {
        Backoff { random: Rng::with_seed(seed), initial, max, next: initial }
    }

    /// Returns the time to wait before the next call, and doubles the pause after it.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause.mul_f64(0.5 + self.random.f64())
    }

    /// Returns a random duration from zero to `span`. It spreads an action that nodes which start together
    /// must not do together.
    pub fn random_part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.f64())
    }

    /// Restarts from the initial pause, after a call that has succeeded.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
