//! A token bucket over given time.

use super::MICROS_PER_SECOND;
use crate::decision::Micros;

/// Token bucket. It may go below zero; rate and capacity are given with each call, since both may change.
#[derive(Clone, Copy, Default)]
pub(in crate::decision) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that holds `tokens` at `now`.
    pub fn new(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    /// The tokens at `now` at a refill of `rate` tokens per second, if the bucket had no capacity limit.
    pub fn uncapped_tokens(&self, now: Micros, rate: f64) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.tokens + rate * elapsed_seconds
    }

    /// Refills at `rate` tokens per second up to `capacity` tokens.
    pub fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        self.tokens = self.uncapped_tokens(now, rate).min(capacity);
        self.refilled_at = now;
    }

    /// Takes `amount` tokens, whether or not the bucket holds as many.
    pub fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Takes `amount` tokens, or all if the bucket holds less.
    pub fn take_up_to(&mut self, amount: f64) {
        self.tokens = (self.tokens - amount).max(0.0);
    }

    /// The tokens as of the latest refill.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
