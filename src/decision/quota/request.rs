//! What a request asks of the quotas, and what they decide.

use crate::decision::{AccountId, Plan};

/// A request that asks for units of its account's quota.
pub(in crate::decision) struct QuotaRequest<'a> {
    pub account: AccountId,
    pub plan: &'a Plan,
    pub units: f64,
    /// The weight of its class.
    pub priority_weight: f64,
    pub stage: QuotaStage,
}

/// When a request asks for its units.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::decision) enum QuotaStage {
    /// As it arrives: behind those that wait for the counter.
    OnArrival,
    /// Once the counter's reply is in: ahead of those that wait. It does not wait for a call that was made
    /// since.
    AfterReply,
    /// Once it has waited for the counter for as long as it may: it is decided without the counter.
    AfterLongestWait,
}

/// What the quota says about a request.
pub(in crate::decision) enum QuotaDecision {
    /// It is admitted. The units drawn are returned if it never runs.
    Granted {
        /// 0 if nothing was drawn.
        drawn_units: f64,
    },
    /// It has to wait for the counter's reply.
    Wait,
    /// It is beyond quota.
    BeyondQuota,
}
