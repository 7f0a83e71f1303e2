//! What a test reads from the actions of a node.

use edge_node::decision::{Action, CounterKey, EndpointId, Micros, RequestId};

/// An attempt that the node started.
#[derive(Debug, Clone, PartialEq)]
pub struct StartedAttempt {
    pub request: RequestId,
    pub endpoint: EndpointId,
}

/// A call of the node to the counter service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterCall {
    pub key: CounterKey,
    pub amount: f64,
}

/// The first call to the counter service among the actions.
pub fn counter_call(actions: &[Action]) -> Option<CounterCall> {
    actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, amount, .. } => Some(CounterCall { key: *key, amount: *amount }),
        _ => None,
    })
}

/// The attempts among the actions.
pub fn started_attempts(actions: &[Action]) -> Vec<StartedAttempt> {
    let attempt = |action: &Action| match action {
        Action::StartAttempt { request, endpoint, .. } => {
            Some(StartedAttempt { request: request.clone(), endpoint: *endpoint })
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// The `Retry-After` time of the first rejection among the actions; 0 if it has none.
pub fn rejection(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

/// Whether a request has failed.
pub fn has_failure(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
