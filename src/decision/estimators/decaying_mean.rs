//! A mean with exponential decay.

use super::{DecayingRate, MICROS_PER_SECOND};
use crate::decision::Micros;

/// Mean of samples whose weights decay by a factor of e for each time constant that passes.
///
/// The time constant is in microseconds and must be the same in all calls. If a sample is 1 for a failure and
/// 0 for a success, the mean is the share of failures.
#[derive(Clone, Copy, Default)]
pub(in crate::decision) struct DecayingMean {
    weight: DecayingRate,
    sum: DecayingRate,
}

impl DecayingMean {
    /// Records a sample at `now`.
    pub fn record(&mut self, now: Micros, sample: f64, time_constant: f64) {
        self.weight.record(now, time_constant / MICROS_PER_SECOND, time_constant);
        self.sum.record(now, sample * time_constant / MICROS_PER_SECOND, time_constant);
    }

    /// Returns the mean at `now`, with `prior` as one additional sample of full weight. Without other samples
    /// it is `prior`.
    pub fn with_prior(&self, now: Micros, prior: f64, time_constant: f64) -> f64 {
        (self.sum.per_second(now, time_constant) + prior) / (self.weight(now, time_constant) + 1.0)
    }

    /// Returns the total weight of the samples at `now`. A sample recorded at `now` has the weight 1.
    pub fn weight(&self, now: Micros, time_constant: f64) -> f64 {
        self.weight.per_second(now, time_constant)
    }
}
