//! Retries: whether a request may get another attempt after one that failed or is stuck.
//!
//! By the idempotency of its class:
//!
//! - safe: it may;
//! - keyed: only if no attempt of it may have run, or within the deduplication window of the first that may
//!   have;
//! - non-idempotent (`POST` without a key): only if no attempt of it may have run.
//!
//! `Outcome::may_have_run` says which attempts may have run. In any case there has to be an attempt left,
//! time for a response, and a retry in the budget.

use super::pending_request::PendingRequest;
use crate::decision::{Idempotency, Micros, RequestClass, Settings};

/// How many retries each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The most retries that the budget saves up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Bounds retries to a share of the first attempts, so that they don't multiply the load on an
/// overloaded fleet.
pub(in crate::decision) struct RetryBudget {
    saved_retries: f64,
}

impl RetryBudget {
    /// A budget that is half full.
    pub fn new() -> Self {
        RetryBudget { saved_retries: MAX_SAVED_RETRIES / 2.0 }
    }

    /// A first attempt begins.
    pub fn deposit(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// A retry begins.
    pub fn withdraw(&mut self) {
        self.saved_retries -= 1.0;
    }

    /// Whether a retry is saved up.
    pub fn has_retry(&self) -> bool {
        self.saved_retries >= 1.0
    }
}

/// What decides whether a request may be sent again now.
pub(super) struct RetryPolicy<'a> {
    pub settings: &'a Settings,
    pub budget: &'a RetryBudget,
    /// Mean latency of the fleet, in microseconds.
    pub fleet_mean_latency: f64,
    pub now: Micros,
}

impl RetryPolicy<'_> {
    /// Whether the request may be sent again. An attempt still in flight counts as one that may have run.
    pub fn allows_retry(&self, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let has_attempts_left = pending.attempts < self.settings.limits.max_attempts;
        let awaits_response = !pending.needs_no_response && !pending.response_started;
        has_attempts_left
            && awaits_response
            && self.can_finish_in_time(pending)
            && self.budget.has_retry()
            && self.is_safe_to_repeat(pending, class)
    }

    /// Whether a response may still come before the client stops waiting.
    fn can_finish_in_time(&self, pending: &PendingRequest) -> bool {
        self.now + self.fleet_mean_latency as Micros / 2 < pending.request.deadline
    }

    /// Whether the request can't take effect twice if this node sends it again. `is_client_retry_harmless`
    /// has the rule for retries by clients, and says why they differ.
    fn is_safe_to_repeat(&self, pending: &PendingRequest, class: &RequestClass) -> bool {
        let Some(possible_run) = pending.first_possible_run.or(pending.in_flight) else {
            return true;
        };
        match class.idempotency {
            Idempotency::Safe => true,
            // Endpoints drop the repeat if it is written within the window, and its connection may take
            // until then.
            Idempotency::Keyed => {
                let written_at = self.now + self.settings.limits.connect_timeout;
                written_at < possible_run.sent_at + class.deduplication_window
            }
            Idempotency::NonIdempotent => false,
        }
    }
}
