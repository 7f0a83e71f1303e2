//! Decides requests without a new call to the counter: by the call in flight, or by the latest total.

use super::account::Account;
use super::request::{QuotaDecision, QuotaRequest, QuotaStage};
use crate::decision::Micros;

/// What a request may find in the fleet's bucket, as far as this node knows.
pub(super) struct BucketView {
    /// Projected level of the bucket, without this node's lease, in units.
    pub level: f64,
    /// Units of the requests that are served before this one.
    pub queued_units: f64,
}

impl BucketView {
    pub fn of(account: &Account, request: &QuotaRequest<'_>, now: Micros) -> Self {
        let queued_units = match request.stage {
            QuotaStage::OnArrival => account.queued_units(),
            QuotaStage::AfterReply | QuotaStage::AfterWaitLimit => 0.0,
        };
        BucketView { level: account.projected_level(request.plan, now), queued_units }
    }
}

/// Decides a request without a new call, if a call is in flight, or if a total is known and the projected
/// level plus the lease does not cover the request and those before it. Returns `None` if the counter has to
/// be called.
pub(super) fn decide_by_known_level(
    account: &Account,
    request: &QuotaRequest<'_>,
    bucket: &BucketView,
) -> Option<QuotaDecision> {
    let Some(call) = &account.call else {
        let is_short =
            account.bucket.has_total() && bucket.level + account.lease - bucket.queued_units < request.units;
        return is_short.then_some(QuotaDecision::OverQuota);
    };
    let lease_after_call = account.lease + call.lease_units.min(bucket.level).max(0.0);
    let level_after_call = bucket.level - call.lease_units.max(0.0);
    let will_cover = lease_after_call - bucket.queued_units >= request.units
        || level_after_call - bucket.queued_units >= request.units;
    if will_cover && request.stage == QuotaStage::OnArrival {
        Some(QuotaDecision::Wait)
    } else {
        Some(QuotaDecision::OverQuota)
    }
}
