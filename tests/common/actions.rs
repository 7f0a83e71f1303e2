//! Extracts attempts, counter calls, rejections and failures from the actions of a node.

use edge_node::decision::{Action, CounterKey, EndpointId, Micros, RequestId};

/// An attempt that the node started.
#[derive(Debug, Clone, PartialEq)]
pub struct StartedAttempt {
    pub request: RequestId,
    pub endpoint: EndpointId,
}

/// A call that the node made to the counter service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterIncrement {
    pub key: CounterKey,
    /// Units to add; negative to give units back.
    pub amount: f64,
}

/// Returns the first call to the counter service among the actions. Returns `None` if there is none.
pub fn counter_call(actions: &[Action]) -> Option<CounterIncrement> {
    actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, amount, .. } => Some(CounterIncrement { key: *key, amount: *amount }),
        _ => None,
    })
}

/// Returns all attempts that the actions start, in their order.
pub fn started_attempts(actions: &[Action]) -> Vec<StartedAttempt> {
    let attempt = |action: &Action| match action {
        Action::StartAttempt { request, endpoint, .. } => {
            Some(StartedAttempt { request: request.clone(), endpoint: *endpoint })
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// Returns the `Retry-After` time of the first rejection among the actions, in microseconds; 0 if the
/// rejection gives no time. Returns `None` if no request was rejected.
pub fn first_retry_after(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

/// Returns whether one of the actions fails a request.
pub fn has_failure(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
