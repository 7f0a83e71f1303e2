//! Slow start: an endpoint that has just started is sent its share of the load as it warms up.
//!
//! Too many requests overload an endpoint that is warming up. A node gives such an endpoint no more than the
//! warm fraction of what an endpoint that is warm was due meanwhile, so that the sum over all nodes stays at
//! the warm fraction too.

use super::endpoint::Endpoint;
use crate::decision::estimators::{RandomSource, TokenBucket, MICROS_PER_SECOND};
use crate::decision::{Micros, WarmUp};

/// An endpoint that is no slower than the fleet gets up to this much of its guaranteed share; at most half
/// the overload multiple.
const MAX_EAGERNESS: f64 = 1.5;
/// Most requests that are saved up for an endpoint that is warming up.
const MAX_SAVED_REQUESTS: f64 = 1.5;

/// Counts the requests that a warm endpoint of the subset was due. The buckets of endpoints that are warming
/// up take this count in place of a time, so that they refill by requests: what is a second to a bucket
/// elsewhere is one request here.
#[derive(Default)]
pub(super) struct SlowStart {
    /// What a warm endpoint was due since the start, in millionths of a request.
    due_micro_requests: u64,
    /// Sum of the warm fractions of the subset.
    subset_capacity: f64,
}

impl SlowStart {
    /// Takes in the capacity of the subset, in warm endpoints.
    pub fn set_subset_capacity(&mut self, subset_capacity: f64) {
        self.subset_capacity = subset_capacity;
    }

    /// One more request was passed on: a warm endpoint was due its part of it.
    pub fn request_launched(&mut self) {
        self.due_micro_requests += (MICROS_PER_SECOND / self.subset_capacity.max(1.0)) as u64;
    }

    /// The bucket of an endpoint that starts now. It holds a random part of a request: a full one at each
    /// node would at once overload an endpoint that is warming up.
    pub fn new_bucket(&self, random: &mut RandomSource) -> TokenBucket {
        TokenBucket::new(random.uniform(), self.due_micro_requests)
    }

    /// Whether an endpoint may be sent a request now, as far as it is still warming up.
    pub fn admits(&self, endpoint: &Endpoint, warm_fraction: f64) -> bool {
        warm_fraction >= 1.0
            || endpoint.slow_start.uncapped_tokens(self.due_micro_requests, warm_fraction) >= 1.0
    }

    /// Charges an endpoint for a request.
    pub fn charge(&self, endpoint: &mut Endpoint, warm_fraction: f64) {
        endpoint.slow_start.refill(self.due_micro_requests, warm_fraction, MAX_SAVED_REQUESTS);
        endpoint.slow_start.take(1.0);
    }
}

/// The share of its full capacity that an endpoint has by now at least, 0 to 1: it rises with the time since
/// its start, faster if the endpoint responds faster than the fleet, whose mean is `fleet_mean_latency`
/// microseconds.
pub(super) fn warm_fraction(
    rules: &WarmUp,
    endpoint: &Endpoint,
    fleet_mean_latency: f64,
    now: Micros,
) -> f64 {
    let started_at = endpoint.entry.started_at;
    if started_at == 0 || rules.duration == 0 {
        return 1.0;
    }
    let progress = now.saturating_sub(started_at) as f64 / rules.duration as f64;
    let max_eagerness = MAX_EAGERNESS.min(rules.overload_multiple / 2.0).max(1.0);
    let eagerness = if endpoint.latency < fleet_mean_latency { max_eagerness } else { 1.0 };
    (eagerness * (rules.initial_fraction + (1.0 - rules.initial_fraction) * progress)).min(1.0)
}
