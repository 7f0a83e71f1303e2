//! Leases: how many units a node leases from the counter ahead of use, and when it releases them.

use super::account::Account;
use crate::decision::estimators::MICROS_PER_SECOND;
use crate::decision::{Micros, Plan};

/// A lease covers the recent demand for this long, in microseconds. It is short, so that few leased units are
/// idle.
const LEASE_HORIZON: f64 = 0.5e6;
/// A lease covers at least this many mean requests.
const MIN_LEASE_REQUESTS: f64 = 3.0;
/// A lease is released after the account has had no request for this long.
pub(super) const LEASE_IDLE_TIMEOUT: Micros = 3_000_000;

/// Takes units from the lease, which must hold at least as many.
pub(super) fn draw_from_lease(account: &mut Account, units: f64, now: Micros) {
    account.lease -= units;
    account.demand.record_draw(units, now);
}

/// Returns whether the lease should be refilled while requests still draw from it. This applies only if the
/// demand is too large for a lease of the minimum size.
pub(super) fn needs_prefetch(account: &Account, now: Micros) -> bool {
    let demand = expected_demand(account, now);
    account.call.is_none()
        && demand > MIN_LEASE_REQUESTS * account.demand.mean_units
        && account.lease < demand / 2.0
}

/// Returns how many units to lease for requests of `needed` units in total. The lease is filled up to a block
/// that is sized by the demand. Beyond the units that those requests need, the call takes no more than half
/// of the bucket's projected level.
pub(super) fn units_to_lease(account: &Account, plan: &Plan, needed: f64, now: Micros) -> f64 {
    let level = account.projected_level(plan, now);
    // The minimum block is limited to this node's part of the burst. If each node leased whole requests, the
    // leases would hold all of the burst of an account with few requests, and other nodes could lease none.
    let min_block =
        (MIN_LEASE_REQUESTS * account.demand.mean_units).min(plan.burst_units / account.node_count);
    let block = expected_demand(account, now).max(min_block);
    let missing = needed - account.lease;
    missing.max(block - account.lease).min((level / 2.0).max(missing)).max(0.0)
}

/// Removes the units that no queued request needs from the lease, and returns them. The lease is assigned to
/// the requests in the order of the queue.
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

/// Returns whether the account has had no request for longer than `idle_for` and holds a lease that can be
/// released.
pub(super) fn is_idle(account: &Account, idle_for: Micros, now: Micros) -> bool {
    now.saturating_sub(account.last_request_at) > idle_for
        && account.call.is_none()
        && account.has_releasable_lease()
}

/// Returns the units that clients are expected to request at this node within [`LEASE_HORIZON`].
fn expected_demand(account: &Account, now: Micros) -> f64 {
    account.demand.requested_rate(now) * LEASE_HORIZON / MICROS_PER_SECOND
}
