//! Final responses to requests that are not served, and the cleanup once a request has its final response.

use super::pending_request::PendingRequest;
use crate::decision::{
    Action, DecisionEngine, DeduplicationScope, Idempotency, Micros, RequestClass, RequestId,
};

/// The value in [`Action::Reject`] of a rejection without a `Retry-After` time.
const NO_RETRY_AFTER: Micros = 0;

impl DecisionEngine {
    /// Ends a request that cannot be served: rejects it if a client retry is harmless, otherwise fails it.
    pub(in crate::decision) fn reject_or_fail(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(id) else { return };
        let class = &self.settings.classes[pending.request.class];
        if is_client_retry_harmless(pending, class) {
            self.reject(id, None, actions);
        } else {
            self.fail(id, actions);
        }
    }

    /// Rejects a request. `retry_after` is the time from now after which the client should retry; `None` if
    /// it gets no such advice.
    pub(in crate::decision) fn reject(
        &mut self,
        id: &RequestId,
        retry_after: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = retry_after.unwrap_or(NO_RETRY_AFTER);
        actions.push(Action::Reject { request: id.clone(), retry_after });
        self.finish_request(id);
    }

    /// Fails a request that may have run.
    fn fail(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail { request: id.clone() });
        self.finish_request(id);
    }

    /// Finishes a request that no longer needs a response: it has its final response, or no client waits for
    /// it. If an attempt is in flight, the request stays pending until the attempt has ended.
    pub(in crate::decision) fn finish_request(&mut self, id: &RequestId) {
        let Some(pending) = self.pending.get_mut(id) else { return };
        pending.needs_no_response = true;
        let is_in_flight = pending.in_flight.is_some();
        if pending.attempts == 0 {
            self.withdraw_unsent_request(id);
        }
        if !is_in_flight {
            self.pending.remove(id);
        }
    }

    /// Returns the units of a request that never ran to its account, and removes the request from those that
    /// wait for the counter or for an endpoint.
    fn withdraw_unsent_request(&mut self, id: &RequestId) {
        let Some(pending) = self.pending.get(id) else { return };
        self.quota.withdraw_request(pending.request.account, id, pending.drawn_units);
        // The request is removed from the wait even if the account's state was dropped: a request that waits
        // for an endpoint does not keep its account.
        self.pending.stop_waiting_for_endpoint(id);
    }
}

/// Returns whether the request can't take effect twice in a client retry: it never ran, it is safe, or all
/// endpoints drop its repeats for as long as the client may send them.
///
/// The rule for the node's own retries is `RetryPolicy::is_safe_to_repeat`. The rules differ for keyed
/// requests: the node sends its retry to the same deduplication group and before the window ends. A client
/// retry may reach any endpoint at any time until the client stops waiting.
fn is_client_retry_harmless(pending: &PendingRequest, class: &RequestClass) -> bool {
    let Some(possible_run) = pending.first_possible_run else { return true };
    match class.idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed => {
            let window_ends_at = possible_run.sent_at + class.deduplication_window;
            class.deduplication_scope == DeduplicationScope::All && pending.request.deadline <= window_ends_at
        }
        Idempotency::NonIdempotent => false,
    }
}
