//! Estimates of the response time over the fleet.

use crate::decision::Micros;

/// Weight of a new response time in the mean of its endpoint. In the estimates over the fleet, a new
/// response time has half this weight.
pub(super) const LATENCY_GAIN: f64 = 0.1;
/// Mean response time that is assumed before the first response, in microseconds.
const INITIAL_LATENCY: f64 = 100_000.0;
/// A response time is above the latency bound if it is more than this many mean deviations above the mean.
const DEVIATIONS_TO_BOUND: f64 = 4.0;

/// Mean and mean deviation of the response times over all endpoints, in microseconds. Both are exponentially
/// weighted by sample.
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
    /// Returns the mean response time of the fleet in microseconds.
    pub fn fleet_mean_latency(&self) -> f64 {
        self.mean
    }

    /// Returns the latency bound in microseconds: an attempt that is in flight for longer takes more time
    /// than the fleet usually needs.
    pub fn latency_bound(&self) -> f64 {
        self.mean + DEVIATIONS_TO_BOUND * self.deviation
    }

    /// Adds a response time to the estimates.
    pub fn observe(&mut self, elapsed: Micros) {
        let sample = elapsed as f64;
        self.deviation += ((sample - self.mean).abs() - self.deviation) * LATENCY_GAIN / 2.0;
        self.mean += (sample - self.mean) * LATENCY_GAIN / 2.0;
    }
}
