//! Slow start: an endpoint that has just started is sent a share of the load that grows as it warms up.
//!
//! A warm endpoint is *due* one request for each subset capacity's worth of requests that the node admits.
//! The subset capacity is the sum of the warm fractions of the subset's endpoints, at least 1.
//!
//! Too many requests overload an endpoint that is warming up. A node sends such an endpoint at most the warm
//! fraction of the requests that a warm endpoint was due in the same time, so the sum over all nodes also
//! stays at the warm fraction. The endpoint is due a request while its token bucket holds one.

use super::endpoint::EndpointBalancingState;
use crate::decision::estimators::{RandomSource, TokenBucket, MICROS_PER_SECOND};
use crate::decision::{Micros, WarmUp};

/// Maximum factor by which the warm fraction of an endpoint that is faster than the fleet is multiplied. The
/// factor is half the overload multiple if that is less, but not below 1.
const MAX_SPEED_FACTOR: f64 = 1.5;
/// Maximum number of requests that the slow-start bucket of an endpoint holds.
const MAX_SAVED_REQUESTS: f64 = 1.5;

/// Counts the requests that a warm endpoint of the subset was due. The token buckets of endpoints that are
/// warming up use this count in place of the time, so they refill by requests: one request here is what a
/// second is to other token buckets.
#[derive(Default)]
pub(super) struct SlowStart {
    /// The requests that a warm endpoint was due since the start of the node, in millionths of a request.
    due_micro_requests: u64,
    /// Sum of the warm fractions of the subset's endpoints.
    subset_capacity: f64,
}

impl SlowStart {
    /// Sets the capacity of the subset, in units of one warm endpoint.
    pub fn set_subset_capacity(&mut self, subset_capacity: f64) {
        self.subset_capacity = subset_capacity;
    }

    /// Counts an admitted request: a warm endpoint was due its share of the request.
    pub fn request_admitted(&mut self) {
        self.due_micro_requests += (MICROS_PER_SECOND / self.subset_capacity.max(1.0)) as u64;
    }

    /// Creates the bucket of an endpoint that starts now, and draws one random number. The bucket holds a
    /// random fraction of a request: if it held a full request at each node, the nodes together would at once
    /// overload an endpoint that is warming up.
    pub fn new_bucket(&self, random: &mut RandomSource) -> TokenBucket {
        TokenBucket::new(random.uniform(), self.due_micro_requests)
    }

    /// Returns whether slow start allows an endpoint to be sent a request now; always for a warm endpoint.
    pub fn admits(&self, endpoint: &EndpointBalancingState, warm_fraction: f64) -> bool {
        warm_fraction >= 1.0
            || endpoint.slow_start.uncapped_tokens(self.due_micro_requests, warm_fraction) >= 1.0
    }

    /// Takes a request out of the bucket of an endpoint.
    pub fn charge(&self, endpoint: &mut EndpointBalancingState, warm_fraction: f64) {
        endpoint.slow_start.refill(self.due_micro_requests, warm_fraction, MAX_SAVED_REQUESTS);
        endpoint.slow_start.take(1.0);
    }
}

/// Returns a lower bound of the share of its full capacity that an endpoint has at `now`, 0 to 1. The share
/// rises with the time since the endpoint's start; it is greater if the endpoint responds faster than the
/// fleet, whose mean response time is `fleet_mean_latency` microseconds. If the start is unknown or long ago,
/// or without a warm-up duration, it is 1.
pub(super) fn warm_fraction(
    rules: &WarmUp,
    endpoint: &EndpointBalancingState,
    fleet_mean_latency: f64,
    now: Micros,
) -> f64 {
    let started_at = endpoint.entry.started_at;
    if started_at == 0 || rules.duration == 0 {
        return 1.0;
    }
    let progress = now.saturating_sub(started_at) as f64 / rules.duration as f64;
    let max_speed_factor = MAX_SPEED_FACTOR.min(rules.overload_multiple / 2.0).max(1.0);
    let speed_factor = if endpoint.latency < fleet_mean_latency { max_speed_factor } else { 1.0 };
    (speed_factor * (rules.initial_fraction + (1.0 - rules.initial_fraction) * progress)).min(1.0)
}
