//! A mean that forgets the past exponentially.

use super::{DecayingRate, MICROS_PER_SECOND};
use crate::decision::Micros;

/// Mean of samples, each of which weighs less by a factor of e for each time constant that passes; the time
/// constant is given in microseconds and is the same in all calls. Of samples that are 1 for a failure and 0
/// for a success it is the share of failures.
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

    /// The mean at `now`, with `prior` as one further sample: without samples it is the prior.
    pub fn with_prior(&self, now: Micros, prior: f64, time_constant: f64) -> f64 {
        (self.sum.per_second(now, time_constant) + prior) / (self.weight(now, time_constant) + 1.0)
    }

    /// How many samples of `now` those recorded weigh as much as.
    pub fn weight(&self, now: Micros, time_constant: f64) -> f64 {
        self.weight.per_second(now, time_constant)
    }
}
