//! Final responses of requests that are not served, and what is left to do once a request has its response.

use super::pending_request::PendingRequest;
use crate::decision::{
    Action, DecisionEngine, DeduplicationScope, Idempotency, Micros, RequestClass, RequestId,
};

/// A rejection without a time to come back.
pub(in crate::decision) const NO_RETRY_AFTER: Micros = 0;

impl DecisionEngine {
    /// Gives a request up that cannot be served: rejects it where a retry of the client is harmless, else
    /// fails it.
    pub(in crate::decision) fn give_up(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(id) else { return };
        let class = &self.settings.classes[pending.request.class];
        if is_client_retry_harmless(pending, class) {
            self.reject(id, NO_RETRY_AFTER, actions);
        } else {
            self.fail(id, actions);
        }
    }

    /// Rejects a request. `retry_after` is when the client should come back, from now.
    pub(in crate::decision) fn reject(
        &mut self,
        id: &RequestId,
        retry_after: Micros,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Reject { request: id.clone(), retry_after });
        self.close(id);
    }

    /// Fails a request that may have run.
    fn fail(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail { request: id.clone() });
        self.close(id);
    }

    /// Takes a request as answered, by this node or since nobody waits for it. It stays pending until its
    /// attempt has ended. A request that never ran returns its units and its place among those that wait.
    pub(in crate::decision) fn close(&mut self, id: &RequestId) {
        let Some(pending) = self.pending.get_mut(id) else { return };
        pending.answered = true;
        let is_in_flight = pending.in_flight.is_some();
        let account = pending.request.account;
        if pending.attempts == 0 && self.quota.contains(account) {
            self.quota.return_unused(account, id, pending.drawn_units);
            self.pending.stop_waiting_for_endpoint(id);
        }
        if !is_in_flight {
            self.pending.remove(id);
        }
    }
}

/// Whether the request can't take effect twice if the client sends it again: it never ran, it is safe, or all
/// endpoints drop its repeats.
fn is_client_retry_harmless(pending: &PendingRequest, class: &RequestClass) -> bool {
    if pending.first_possible_run.is_none() {
        return true;
    }
    match class.idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed => class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NonIdempotent => false,
    }
}
