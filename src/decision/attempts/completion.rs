//! The end of an attempt: what is recorded, and whether the request is finished, retried, rejected or failed.

use super::pending_request::Attempt;
use crate::decision::balancer::{EndedAttemptSample, Selection};
use crate::decision::{
    Action, DecisionEngine, DeduplicationScope, EndedAttempt, EndpointId, Idempotency, Outcome, RequestClass,
};

impl DecisionEngine {
    /// Handles the end of an attempt. It is recorded for the request, then for the account, the balancer and
    /// the load shedder, in this order. Then the request is finished, retried, rejected or failed.
    ///
    /// An event about an attempt that is not in flight is ignored.
    pub(in crate::decision) fn on_attempt_ended(&mut self, end: &EndedAttempt, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&end.request) else { return };
        let Some(attempt) = pending.end_attempt(end) else { return };
        let needs_no_response = pending.needs_no_response;
        let sample = ended_attempt_sample(&attempt, end, pending.request.class, pending.request.plan);
        self.quota.attempt_ended(pending.request.account);
        // The balancer keeps an endpoint for as long as an attempt at it is in flight.
        let Some(recorded) = self.balancer.attempt_ended(self.now, &sample) else { return };
        if let Some(response_time) = recorded.typical_response_time {
            self.load_shedder.record_response_time(self.now, response_time);
        }
        if needs_no_response {
            return self.finish_request(&end.request);
        }
        match self.select_for_retry(end, attempt.endpoint) {
            Some(selection) => self.start_attempt(&end.request, selection, actions),
            None => self.reject_or_fail(&end.request, actions),
        }
    }

    /// Selects an endpoint for a retry. The endpoint of the failed attempt is selected only if there is no
    /// other, and not at all if the retry could reach another deduplication group there. Returns `None` if
    /// the request may not be retried or no endpoint can take it.
    ///
    /// A request whose attempt was not sent is not retried, since the node itself could not send it or was
    /// not allowed to.
    fn select_for_retry(&mut self, end: &EndedAttempt, failed: EndpointId) -> Option<Selection> {
        let pending = self.pending.get(&end.request)?;
        if end.outcome == Outcome::NotSent || !self.retry_policy().allows_retry(pending) {
            return None;
        }
        let class = &self.settings.classes[pending.request.class];
        let may_select_failed = !may_reach_other_group(class, end.outcome);
        let selection = self.select_endpoint(&end.request, Some(failed));
        if selection.is_none() && may_select_failed {
            return self.select_endpoint(&end.request, None);
        }
        selection
    }
}

/// Returns whether a retry at the endpoint of an attempt with this outcome may reach another deduplication
/// group.
///
/// If the connection of the attempt broke, the process of the endpoint may have ended, and another one may
/// listen at its address before discovery tells so. Endpoints of another group don't drop the repeat.
fn may_reach_other_group(class: &RequestClass, outcome: Outcome) -> bool {
    outcome == Outcome::Reset
        && class.idempotency == Idempotency::Keyed
        && class.deduplication_scope != DeduplicationScope::All
}

fn ended_attempt_sample(
    attempt: &Attempt,
    end: &EndedAttempt,
    class: usize,
    plan: usize,
) -> EndedAttemptSample {
    EndedAttemptSample {
        endpoint: attempt.endpoint,
        class,
        plan,
        sent_at: attempt.sent_at,
        outcome: end.outcome,
        elapsed: end.elapsed,
    }
}
