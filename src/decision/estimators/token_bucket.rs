//! A token bucket whose callers supply the time.

use super::MICROS_PER_SECOND;
use crate::decision::Micros;

/// A token bucket whose level may go below zero. Each call supplies the rate and the capacity, since both
/// may change.
#[derive(Clone, Copy, Default)]
pub(in crate::decision) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at `now`.
    pub fn new(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Returns the tokens that the bucket would hold at `now` after a refill of `rate` tokens per second, if
    /// it had no capacity limit.
    pub fn uncapped_tokens(&self, now: Micros, rate: f64) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.tokens + rate * elapsed_seconds
    }

    /// Refills the bucket at `rate` tokens per second since the latest refill, up to `capacity` tokens.
    pub fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        self.tokens = self.uncapped_tokens(now, rate).min(capacity);
        self.refilled_at = now;
    }

    /// Takes `amount` tokens, even if the bucket holds fewer.
    pub fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Takes `amount` tokens, or all tokens if the bucket holds fewer. The level is at least 0 afterwards.
    pub fn take_up_to(&mut self, amount: f64) {
        self.tokens = (self.tokens - amount).max(0.0);
    }

    /// Returns the tokens as of the latest refill, less those taken since.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
