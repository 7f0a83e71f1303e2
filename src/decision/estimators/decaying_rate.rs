//! A rate with exponential decay.

use super::MICROS_PER_SECOND;
use crate::decision::Micros;

/// Rate of recorded amounts, in units per second. The contribution of an amount decays by a factor of e for
/// each time constant that passes.
///
/// The time constant is in microseconds and must be the same in all calls.
#[derive(Clone, Copy, Default)]
pub(in crate::decision) struct DecayingRate {
    per_second: f64,
    recorded_at: Micros,
}

impl DecayingRate {
    /// Returns the rate at `now`, in units per second.
    pub fn per_second(&self, now: Micros, time_constant: f64) -> f64 {
        self.per_second * (-(now.saturating_sub(self.recorded_at) as f64) / time_constant).exp()
    }

    /// Records `amount` units at `now`.
    pub fn record(&mut self, now: Micros, amount: f64, time_constant: f64) {
        self.per_second = self.per_second(now, time_constant) + amount * MICROS_PER_SECOND / time_constant;
        self.recorded_at = now;
    }
}
