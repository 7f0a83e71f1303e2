//! The even share: each node's part of the quota, used whenever a request is decided without the counter.

use super::account::Account;
use crate::decision::estimators::TokenBucket;
use crate::decision::{Micros, Plan};

/// What a node that has seen no total starts with, as a share of its part of the bucket.
const INITIAL_SHARE_WITHOUT_TOTAL: f64 = 0.5;

/// Brings the even share up to date. It starts from this node's part of what the last totals left in the
/// bucket, whose level is given.
pub(super) fn refill(account: &mut Account, plan: &Plan, bucket_level: f64, now: Micros) {
    let part = 1.0 / account.node_count;
    let trust = if account.bucket.is_known() { 1.0 } else { INITIAL_SHARE_WITHOUT_TOTAL };
    let initial = bucket_level.max(0.0) * part * trust;
    let share = account.even_share.get_or_insert(TokenBucket::new(initial, now));
    share.refill(now, plan.quota_units_per_second * part, plan.burst_units * part);
}

/// Whether the lease and the even share together cover the units.
pub(super) fn covers(account: &Account, units: f64) -> bool {
    account.lease + account.even_share.map_or(0.0, |share| share.tokens()) >= units
}

/// Admits units without the counter: off the lease, off the even share as far as it goes, and the rest as
/// unreported units. The next call reports all that the lease did not hold.
pub(super) fn admit_unreported(account: &mut Account, units: f64, now: Micros) {
    let unleased_units = units - account.lease.max(0.0);
    account.lease = 0.0;
    if let Some(share) = &mut account.even_share {
        share.take_up_to(unleased_units);
    }
    account.unreported_units += unleased_units;
    account.demand.record_draw(units, now);
}
