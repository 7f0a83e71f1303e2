//! The response time of the fleet.

use crate::decision::Micros;

/// Weight of a new response time in the mean of an endpoint; half of it in the estimates over the fleet.
pub(super) const LATENCY_GAIN: f64 = 0.1;
/// The mean response time assumed before the first response, in microseconds.
const INITIAL_LATENCY: f64 = 100_000.0;
/// A response time is unusual when it is this many mean deviations above the mean.
const DEVIATIONS_TO_BOUND: f64 = 4.0;

/// Mean and mean deviation of response times over all endpoints, exponentially weighted by sample, in
/// microseconds.
pub(super) struct LatencyEstimator {
    mean: f64,
    deviation: f64,
}

impl Default for LatencyEstimator {
    fn default() -> Self {
        LatencyEstimator { mean: INITIAL_LATENCY, deviation: INITIAL_LATENCY / 2.0 }
    }
}

impl LatencyEstimator {
    /// The mean response time in microseconds.
    pub fn fleet_mean_latency(&self) -> f64 {
        self.mean
    }

    /// An attempt in flight for longer than this many microseconds is past what the fleet usually needs.
    pub fn upper_bound(&self) -> f64 {
        self.mean + DEVIATIONS_TO_BOUND * self.deviation
    }

    /// Takes a response time into the estimates.
    pub fn observe(&mut self, elapsed: Micros) {
        let sample = elapsed as f64;
        self.deviation += ((sample - self.mean).abs() - self.deviation) * LATENCY_GAIN / 2.0;
        self.mean += (sample - self.mean) * LATENCY_GAIN / 2.0;
    }
}
