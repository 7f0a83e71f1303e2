//! Decisions without a call to the counter: by the call in flight, or by the total that was last seen.

use super::account::Account;
use super::request::{QuotaDecision, QuotaRequest, QuotaStage};
use crate::decision::Micros;

/// What the fleet's bucket should hold for a request, as far as this node knows.
pub(super) struct BucketView {
    pub level: f64,
    /// Units of requests that go first.
    pub queued_units: f64,
}

impl BucketView {
    pub fn of(account: &Account, request: &QuotaRequest<'_>, now: Micros) -> Self {
        let queued_units = match request.stage {
            QuotaStage::OnArrival => account.queued_units(),
            QuotaStage::AfterReply | QuotaStage::AfterLongestWait => 0.0,
        };
        BucketView { level: account.projected_level(request.plan, now), queued_units }
    }
}

/// Decides without the counter where a call is in flight or the last total left too little. None if the
/// counter has to be asked.
pub(super) fn decide_by_known_level(
    account: &Account,
    request: &QuotaRequest<'_>,
    bucket: &BucketView,
) -> Option<QuotaDecision> {
    let Some(call) = &account.call else {
        let is_short =
            account.bucket.is_known() && bucket.level + account.lease - bucket.queued_units < request.units;
        return is_short.then_some(QuotaDecision::BeyondQuota);
    };
    let lease_after_call = account.lease + call.lease_units.min(bucket.level).max(0.0);
    let level_after_call = bucket.level - call.lease_units.max(0.0);
    let will_cover = lease_after_call - bucket.queued_units >= request.units
        || level_after_call - bucket.queued_units >= request.units;
    if will_cover && request.stage == QuotaStage::OnArrival {
        Some(QuotaDecision::Wait)
    } else {
        Some(QuotaDecision::BeyondQuota)
    }
}
