//! The even share: the part of the quota that each node uses to decide requests without the counter.

use super::account::Account;
use crate::decision::estimators::TokenBucket;
use crate::decision::{Micros, Plan};

/// A node that has seen no total starts with this fraction of its part of the bucket.
const INITIAL_SHARE_WITHOUT_TOTAL: f64 = 0.5;

/// Refills the even share up to `now`. A new even share starts with this node's part of `bucket_level`, the
/// level that remains in the bucket according to the latest totals.
pub(super) fn refill(account: &mut Account, plan: &Plan, bucket_level: f64, now: Micros) {
    let node_fraction = 1.0 / account.node_count;
    let initial_fraction = if account.bucket.has_total() { 1.0 } else { INITIAL_SHARE_WITHOUT_TOTAL };
    let initial = bucket_level.max(0.0) * node_fraction * initial_fraction;
    let share = account.even_share.get_or_insert(TokenBucket::new(initial, now));
    share.refill(now, plan.quota_units_per_second * node_fraction, plan.burst_units * node_fraction);
}

/// Returns whether the lease and the even share together cover the units.
pub(super) fn covers(account: &Account, units: f64) -> bool {
    account.lease + account.even_share.map_or(0.0, |share| share.tokens()) >= units
}

/// Admits units without the counter. They are taken from the lease first and then from the even share, as far
/// as it holds them. The next call reports all units that the lease did not hold.
///
/// The lease is 0 afterwards. If it held more than `units`, the surplus is added to the even share and booked
/// as negative unreported units, so the next call gives it back to the counter.
pub(super) fn admit_unreported(account: &mut Account, units: f64, now: Micros) {
    let unleased_units = units - account.lease.max(0.0);
    account.lease = 0.0;
    if let Some(share) = &mut account.even_share {
        share.take_up_to(unleased_units);
    }
    account.unreported_units += unleased_units;
    account.demand.record_draw(units, now);
}
