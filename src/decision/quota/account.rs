//! What a node keeps of one account.

use std::collections::VecDeque;

use super::counter_call::CounterCall;
use super::counter_window::COUNTER_LIFETIME;
use super::demand::Demand;
use super::fleet_bucket::FleetBucket;
use crate::decision::estimators::{DecayingMean, TokenBucket, MICROS_PER_SECOND};
use crate::decision::{Micros, Plan, RequestId};

/// An account is kept for at least this long after its latest request.
const ACCOUNT_LIFETIME: Micros = 6_000_000;
/// An account with a lease is kept for this long, so that the lease can be released first.
const LEASED_ACCOUNT_LIFETIME: Micros = COUNTER_LIFETIME;

/// A request that waits for the reply of the counter.
pub(in crate::decision) struct QueuedRequest {
    pub id: RequestId,
    pub units: f64,
}

/// An account as this node knows it. Units are units of quota, rates are units per second.
#[derive(Default)]
pub(super) struct Account {
    /// Index of the plan that its latest request named.
    pub plan: usize,
    /// How many nodes get its requests, as its latest request said.
    pub node_count: f64,
    /// Units drawn from the counter that no request here has used yet.
    pub lease: f64,
    /// The token bucket that the account has in the fleet.
    pub bucket: FleetBucket,
    /// What is requested and drawn here.
    pub demand: Demand,
    /// Share of the counter's replies to a lease that found the bucket short.
    pub shortage: DecayingMean,
    /// How many requests that no call asked for the next call represents.
    pub sampling_weight: f64,
    /// The call to the counter that is in flight: one at a time.
    pub call: Option<CounterCall>,
    /// Requests that wait for the reply, in the order of their arrival.
    pub queue: VecDeque<QueuedRequest>,
    /// Units admitted without the counter that no call has reported yet.
    pub unreported_units: f64,
    /// This node's even share of the quota, for requests that are decided without the counter.
    pub even_share: Option<TokenBucket>,
    pub attempts_in_flight: u32,
    pub last_request_at: Micros,
}

impl Account {
    /// An account whose first request, of this many units, comes at the time `now`.
    pub fn new(plan: Option<&Plan>, node_count: f64, units: f64, now: Micros) -> Self {
        Account {
            bucket: FleetBucket::new(plan, node_count, now),
            demand: Demand::new(units),
            ..Account::default()
        }
    }

    /// Takes a request of a client into the account's demand.
    pub fn record_request(&mut self, plan: usize, node_count: f64, units: f64, now: Micros) {
        self.plan = plan;
        self.node_count = node_count;
        self.last_request_at = now;
        self.demand.record_request(units, now);
    }

    /// What the fleet's bucket should hold now beside this node's lease, if the other nodes go on drawing as
    /// they did.
    pub fn projected_level(&self, plan: &Plan, now: Micros) -> f64 {
        let projected = self.bucket.projected_level(plan, self.node_count, now);
        projected.min(plan.burst_units - self.lease)
    }

    /// The units of all requests that wait for the counter.
    pub fn queued_units(&self) -> f64 {
        self.queue.iter().map(|request| request.units).sum()
    }

    /// Whether the plan's quota of attempts in flight is used up. Of its slots the other nodes occupy what
    /// their recent draws keep in flight; where no recent total shows these, their even share. A node with no
    /// more than one attempt in flight is never held back.
    pub fn is_concurrency_exhausted(&self, plan: &Plan, fleet_mean_latency: f64, now: Micros) -> bool {
        if plan.max_in_flight == 0 {
            return false;
        }
        let slots = plan.max_in_flight as f64;
        let in_flight_elsewhere = if self.bucket.shows_other_nodes(now) {
            let requests_elsewhere = self.bucket.draw_rate_elsewhere(now) / self.demand.mean_units.max(0.1);
            requests_elsewhere * fleet_mean_latency / MICROS_PER_SECOND
        } else {
            slots * (1.0 - 1.0 / self.node_count)
        };
        // The half rounds to whole slots.
        let occupied_slots = self.attempts_in_flight as f64 + in_flight_elsewhere + 0.5;
        occupied_slots > slots.max(in_flight_elsewhere + 1.5)
    }

    /// Whether nothing is lost with the account: no work is in flight, its bucket must be full again and its
    /// lease has been released, so that the counter's next reply says all of it anew.
    pub fn can_be_forgotten(&self, plan: Option<&Plan>, now: Micros) -> bool {
        let is_idle = self.attempts_in_flight == 0 && self.call.is_none() && self.queue.is_empty();
        let lifetime = if self.has_releasable_lease() {
            LEASED_ACCOUNT_LIFETIME
        } else {
            refill_time(plan).max(ACCOUNT_LIFETIME)
        };
        is_idle && now > self.last_request_at + lifetime
    }

    /// Whether the lease holds more than half of a mean request.
    pub fn has_releasable_lease(&self) -> bool {
        self.lease > self.demand.mean_units / 2.0
    }
}

/// How long an empty bucket of the plan takes to fill; 0 without a quota of units.
fn refill_time(plan: Option<&Plan>) -> Micros {
    match plan {
        Some(plan) if plan.quota_units_per_second > 0.0 => {
            (plan.burst_units / plan.quota_units_per_second * MICROS_PER_SECOND) as Micros
        }
        _ => 0,
    }
}
