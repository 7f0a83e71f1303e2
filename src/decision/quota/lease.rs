//! Leases: how many units a node draws from the counter ahead of use, and when it releases them.

use super::account::Account;
use crate::decision::estimators::MICROS_PER_SECOND;
use crate::decision::{Micros, Plan};

/// A lease covers the recent demand for this long, in microseconds: little of it lies idle.
const LEASE_AHEAD: f64 = 0.5e6;
/// A lease covers at least this many mean requests.
const LEASE_REQUESTS: f64 = 3.0;
/// The lease of an account without requests for this long is released.
pub(super) const LEASE_IDLE: Micros = 3_000_000;

/// Takes units off the lease, which must hold as many.
pub(super) fn draw_from_lease(account: &mut Account, units: f64, now: Micros) {
    account.lease -= units;
    account.demand.record_draw(units, now);
}

/// Whether the lease should be refilled before it is used up, beside the requests. Only where the demand is
/// large enough that a lease of the least size would not do.
pub(super) fn needs_prefetch(account: &Account, now: Micros) -> bool {
    let demand = demand_ahead(account, now);
    account.call.is_none()
        && demand > LEASE_REQUESTS * account.demand.mean_units
        && account.lease < demand / 2.0
}

/// How many units to lease for requests of `needed` units: a block sized by the demand, no more than half of
/// what the bucket should hold beyond those requests.
pub(super) fn units_to_lease(account: &Account, plan: &Plan, needed: f64, now: Micros) -> f64 {
    let level = account.projected_level(plan, now);
    // Whole requests leased at each node would leave all of the burst of an account with few requests in
    // leases, where other nodes can't draw it.
    let least_block = (LEASE_REQUESTS * account.demand.mean_units).min(plan.burst_units / account.node_count);
    let block = demand_ahead(account, now).max(least_block);
    let missing = needed - account.lease;
    missing.max(block - account.lease).min((level / 2.0).max(missing)).max(0.0)
}

/// Takes out of the lease the units that no request in the queue needs, and returns them. The lease is set
/// against the queue in its order.
pub(super) fn take_units_unneeded_by_queue(account: &mut Account) -> f64 {
    let mut unneeded = account.lease;
    for request in &account.queue {
        if unneeded >= request.units {
            unneeded -= request.units;
        }
    }
    account.lease -= unneeded;
    unneeded
}

/// Whether the account had no request for longer than `idle_for` and holds a lease that can be released.
pub(super) fn is_idle(account: &Account, idle_for: Micros, now: Micros) -> bool {
    now.saturating_sub(account.last_request_at) > idle_for
        && account.call.is_none()
        && account.has_releasable_lease()
}

/// The units that clients will request here within [`LEASE_AHEAD`].
fn demand_ahead(account: &Account, now: Micros) -> f64 {
    account.demand.requested_rate(now) * LEASE_AHEAD / MICROS_PER_SECOND
}
