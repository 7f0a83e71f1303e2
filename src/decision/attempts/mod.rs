//! Attempts: how a request is sent to an endpoint.
//!
//! `retry_policy` decides whether a request may be retried. `completion` handles the end of an attempt.
//! `final_response` chooses the response to a client whose request is not served.

mod completion;
mod final_response;
mod pending_request;
mod retry_policy;

use super::balancer::{Selection, SelectionRequest};
use super::{Action, DecisionEngine, EndpointId, RequestId};

pub(super) use pending_request::{Attempt, PendingRequest, PendingRequests};
pub(super) use retry_policy::RetryBudget;
use retry_policy::RetryPolicy;

/// An attempt that is to be cancelled, since its endpoint does not respond.
struct StuckAttempt {
    request: RequestId,
    attempt_number: u32,
    endpoint: EndpointId,
}

impl DecisionEngine {
    /// Sends a newly admitted request to an endpoint, or makes it wait for one. Also reports the request to
    /// the balancer, so it is called once per request.
    pub(super) fn dispatch_admitted(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        self.dispatch(id, actions);
        self.balancer.request_admitted();
    }

    /// Sends a request to an endpoint, or makes it wait until an endpoint can take it.
    pub(super) fn dispatch(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        match self.select_endpoint(id, None) {
            Some(selection) => self.start_attempt(id, selection, actions),
            None => self.pending.wait_for_endpoint(id.clone()),
        }
    }

    /// Cancels the attempts that have been in flight for longer than the latency bound, at endpoints that are
    /// ejected or unresponsive, if the requests may be retried. Ejects these endpoints. The end of a
    /// cancelled attempt leads to the next attempt of its request.
    pub(super) fn cancel_stuck_attempts(&mut self, actions: &mut Vec<Action>) {
        for stuck in self.find_stuck_attempts() {
            self.balancer.eject(stuck.endpoint, self.now);
            actions
                .push(Action::CancelAttempt { request: stuck.request, attempt_number: stuck.attempt_number });
        }
    }

    fn find_stuck_attempts(&self) -> Vec<StuckAttempt> {
        if !self.settings.limits.cancel_allowed {
            return Vec::new();
        }
        let mut stuck = Vec::new();
        for (id, pending) in self.pending.iter() {
            let Some(attempt) = pending.in_flight else { continue };
            let is_stuck = self.balancer.is_stuck(attempt.endpoint, attempt.sent_at, self.now);
            if is_stuck && self.retry_policy().allows_retry(pending) {
                stuck.push(StuckAttempt {
                    request: id.clone(),
                    attempt_number: pending.attempts - 1,
                    endpoint: attempt.endpoint,
                });
            }
        }
        stuck
    }

    fn retry_policy(&self) -> RetryPolicy<'_> {
        RetryPolicy {
            settings: &self.settings,
            budget: &self.retry_budget,
            fleet_mean_latency: self.balancer.fleet_mean_latency(),
            now: self.now,
        }
    }

    fn select_endpoint(&mut self, id: &RequestId, exclude: Option<EndpointId>) -> Option<Selection> {
        let pending = self.pending.get(id)?;
        let selection_request = SelectionRequest {
            class: pending.request.class,
            plan: pending.request.plan,
            first_possible_run: pending.first_possible_run.map(|attempt| attempt.placement),
            exclude,
        };
        self.balancer.select(&self.settings, self.now, &mut self.random, &selection_request)
    }

    fn start_attempt(&mut self, id: &RequestId, selection: Selection, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(id) else { return };
        let Some(placement) = self.balancer.attempt_started(selection, self.now) else { return };
        if pending.attempts == 0 {
            self.retry_budget.deposit();
        } else {
            self.retry_budget.withdraw();
        }
        pending.attempts += 1;
        let endpoint = selection.endpoint;
        pending.in_flight = Some(Attempt { endpoint, placement, sent_at: self.now });
        self.quota.attempt_started(pending.request.account);
        actions.push(Action::StartAttempt { request: id.clone(), endpoint, timeout: 0 });
    }
}
