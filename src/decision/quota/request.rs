//! A request for units of a quota, and the decision of the quotas about it.

use crate::decision::{AccountId, Plan};

/// A request for units of its account's quota.
pub(in crate::decision) struct QuotaRequest<'a> {
    pub account: AccountId,
    pub plan: &'a Plan,
    pub units: f64,
    /// Weight of one request of its class before the plan's factor (`RequestClass::priority_weight`).
    pub priority_weight: f64,
    pub stage: QuotaStage,
}

/// When a request draws its units.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::decision) enum QuotaStage {
    /// On arrival, behind the requests that wait for the counter.
    OnArrival,
    /// After the counter's reply, ahead of the requests that wait. The request does not wait for a call that
    /// was started since.
    AfterReply,
    /// After it has waited for the counter for the maximum time. It is decided without the counter.
    AfterWaitLimit,
}

/// The decision of the quotas about a request.
pub(in crate::decision) enum QuotaDecision {
    /// The request is admitted. The units drawn are returned if it never runs.
    Granted {
        /// Units drawn; 0 if nothing was drawn.
        drawn_units: f64,
    },
    /// The request has to wait for the counter's reply.
    Wait,
    /// The request is over quota.
    OverQuota,
}
