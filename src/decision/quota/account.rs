//! The state that a node keeps of one account.

use std::collections::VecDeque;

use super::counter_call::CounterCall;
use super::counter_window::COUNTER_LIFETIME;
use super::demand::Demand;
use super::fleet_bucket::FleetBucket;
use crate::decision::estimators::{DecayingMean, TokenBucket, MICROS_PER_SECOND};
use crate::decision::{Micros, Plan, RequestId};

/// An account is kept for at least this long after its latest request.
const ACCOUNT_LIFETIME: Micros = 6_000_000;
/// An account that holds a lease is kept for this long after its latest request, so that the lease can be
/// released before the account is dropped.
const LEASED_ACCOUNT_LIFETIME: Micros = COUNTER_LIFETIME;

/// A request that waits for a reply of the counter service.
pub(in crate::decision) struct QueuedRequest {
    pub id: RequestId,
    pub units: f64,
}

/// The state of an account at this node. Amounts are in units of quota, rates in units per second.
#[derive(Default)]
pub(super) struct Account {
    /// Index of the plan that the account's latest request named.
    pub plan: usize,
    /// Number of nodes that receive the account's requests, as given by its latest request.
    pub node_count: f64,
    /// Units that this node leased and that no request has drawn yet.
    pub lease: f64,
    /// The account's token bucket in the whole fleet, as far as this node knows it.
    pub bucket: FleetBucket,
    /// What clients request at this node, and what is drawn here.
    pub demand: Demand,
    /// Share of the counter's replies to leases that found the bucket short, 0 to 1. A bucket is short if it
    /// holds fewer units than the call asks for.
    pub shortage: DecayingMean,
    /// Number of requests without a call of their own that the next call represents as a sample.
    pub sampling_weight: f64,
    /// The call to the counter that is in flight. An account has at most one.
    pub call: Option<CounterCall>,
    /// Requests that wait for a counter reply, in the order of their arrival.
    pub queue: VecDeque<QueuedRequest>,
    /// Units admitted without the counter that no call has reported yet.
    pub unreported_units: f64,
    /// This node's even share of the quota, for requests that are decided without the counter. `None` at
    /// first and after each total, until the next such request.
    pub even_share: Option<TokenBucket>,
    pub attempts_in_flight: u32,
    pub last_request_at: Micros,
    /// The number of the latest use, which increases with each use of any account; 0 before the first one.
    pub latest_use: u64,
}

impl Account {
    /// Returns the state of an account whose first request arrives at `now` and has this many units. The
    /// request itself is not recorded.
    pub fn new(plan: Option<&Plan>, node_count: f64, units: f64, now: Micros) -> Self {
        Account {
            bucket: FleetBucket::new(plan, node_count, now),
            demand: Demand::new(units),
            ..Account::default()
        }
    }

    /// Adds a client's request to the account's demand, and updates the plan and the node count.
    pub fn record_request(&mut self, plan: usize, node_count: f64, units: f64, now: Micros) {
        self.plan = plan;
        self.node_count = node_count;
        self.last_request_at = now;
        self.demand.record_request(units, now);
    }

    /// Returns the units that the fleet's bucket is expected to hold at `now` in addition to this node's
    /// lease, if the other nodes continue to draw at their recent rate. The bucket is assumed to refill at
    /// this node's even share of the quota or faster. The result is at most the burst less the lease.
    pub fn projected_level(&self, plan: &Plan, now: Micros) -> f64 {
        let projected = self.bucket.projected_level(plan, self.node_count, now);
        projected.min(plan.burst_units - self.lease)
    }

    /// Returns the units of all requests that wait for the counter.
    pub fn queued_units(&self) -> f64 {
        self.queue.iter().map(|request| request.units).sum()
    }

    /// Returns whether the plan's concurrency quota is used up; `false` if the plan has no such quota.
    ///
    /// The attempts in flight at other nodes are estimated from their recent draws. If no recent total shows
    /// these draws, the other nodes are assumed to use their even share of the concurrency quota. A node with
    /// at most one attempt in flight is never held back.
    pub fn is_concurrency_exhausted(&self, plan: &Plan, fleet_mean_latency: f64, now: Micros) -> bool {
        if plan.max_in_flight == 0 {
            return false;
        }
        let concurrency_quota = plan.max_in_flight as f64;
        let in_flight_elsewhere = if self.bucket.has_recent_total(now) {
            let request_rate_elsewhere =
                self.bucket.draw_rate_elsewhere(now) / self.demand.mean_units.max(0.1);
            request_rate_elsewhere * fleet_mean_latency / MICROS_PER_SECOND
        } else {
            concurrency_quota * (1.0 - 1.0 / self.node_count)
        };
        // The estimate may be a fraction. Adding a half rounds it to whole attempts: the quota is used up if
        // the rounded number of attempts in flight reaches it.
        let in_flight_plus_half = self.attempts_in_flight as f64 + in_flight_elsewhere + 0.5;
        in_flight_plus_half > concurrency_quota.max(in_flight_elsewhere + 1.5)
    }

    /// Returns whether the account can be dropped without a loss: it has no work in flight, its bucket must
    /// be full again, and its lease has been released, so that the counter's next reply provides the complete
    /// state again. An account whose lease could not be released can be dropped after
    /// [`LEASED_ACCOUNT_LIFETIME`].
    pub fn can_be_dropped(&self, plan: Option<&Plan>, now: Micros) -> bool {
        let lifetime = if self.has_releasable_lease() {
            LEASED_ACCOUNT_LIFETIME
        } else {
            refill_time(plan).max(ACCOUNT_LIFETIME)
        };
        !self.has_work_in_flight() && now > self.last_request_at + lifetime
    }

    /// Returns whether an attempt or a call to the counter is in flight, or a request waits for the counter.
    pub fn has_work_in_flight(&self) -> bool {
        self.attempts_in_flight > 0 || self.call.is_some() || !self.queue.is_empty()
    }

    /// Returns whether the lease holds more than half of the units of a mean request.
    pub fn has_releasable_lease(&self) -> bool {
        self.lease > self.demand.mean_units / 2.0
    }
}

/// Returns how long an empty bucket of the plan takes to fill; 0 without a quota of units.
fn refill_time(plan: Option<&Plan>) -> Micros {
    match plan {
        Some(plan) if plan.quota_units_per_second > 0.0 => {
            (plan.burst_units / plan.quota_units_per_second * MICROS_PER_SECOND) as Micros
        }
        _ => 0,
    }
}
