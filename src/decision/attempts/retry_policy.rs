//! Retries by this node: whether a request may get another attempt after one that failed or is stuck.
//!
//! This depends on the idempotency of the request's class:
//!
//! - A safe request may be retried.
//! - A keyed request may be retried if none of its attempts may have run, or within the deduplication window
//!   of the first attempt that may have run.
//! - A non-idempotent request (`POST` without a key) may be retried only if none of its attempts may have
//!   run.
//!
//! `Outcome::may_have_run` tells which attempts may have run. In each case the request must have an attempt
//! left and time for a response, and the budget must have a retry left. Its client must still wait for the
//! response, and no part of a response may have been sent to it.

use super::pending_request::PendingRequest;
use crate::decision::{Idempotency, Micros, RequestClass, Settings};

/// Number of retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries that the budget saves up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Limits retries to a share of the first attempts, so that they don't multiply the load on an overloaded
/// fleet.
pub(in crate::decision) struct RetryBudget {
    saved_retries: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full.
    pub fn new() -> Self {
        RetryBudget { saved_retries: MAX_SAVED_RETRIES / 2.0 }
    }

    /// Adds the share of a retry that a first attempt earns. To be called when a first attempt starts.
    pub fn deposit(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget. To be called when a retry starts.
    pub fn withdraw(&mut self) {
        self.saved_retries -= 1.0;
    }

    /// Returns whether the budget holds at least one retry.
    pub fn has_retry(&self) -> bool {
        self.saved_retries >= 1.0
    }
}

/// Decides whether a request may be retried at the time `now`.
pub(super) struct RetryPolicy<'a> {
    pub settings: &'a Settings,
    pub budget: &'a RetryBudget,
    /// Mean latency of the fleet, in microseconds.
    pub fleet_mean_latency: f64,
    pub now: Micros,
}

impl RetryPolicy<'_> {
    /// Returns whether the request may be retried. An attempt still in flight counts as one that may have
    /// run.
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

    /// Returns whether a response may still arrive before the client stops waiting.
    fn can_finish_in_time(&self, pending: &PendingRequest) -> bool {
        self.now + self.fleet_mean_latency as Micros / 2 < pending.request.deadline
    }

    /// Returns whether the request can't take effect twice if this node retries it. The rule for client
    /// retries is `is_client_retry_harmless`, whose documentation says why the rules differ.
    fn is_safe_to_repeat(&self, pending: &PendingRequest, class: &RequestClass) -> bool {
        let Some(possible_run) = pending.first_possible_run.or(pending.in_flight) else {
            return true;
        };
        match class.idempotency {
            Idempotency::Safe => true,
            // Endpoints drop the repeat only if it is written within the window. Establishing its connection
            // may take up to the connect timeout.
            Idempotency::Keyed => {
                let written_at = self.now + self.settings.limits.connect_timeout;
                written_at < possible_run.sent_at + class.deduplication_window
            }
            Idempotency::NonIdempotent => false,
        }
    }
}
