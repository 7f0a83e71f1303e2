//! What a node does about an event: the outputs of the decisions.

use super::identifiers::{CounterKey, EndpointId, Micros, RequestId};

/// An action of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time limit of the attempt; 0 means until the request's deadline.
        timeout: Micros,
    },
    /// Final response: rejected; a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should come back, from now; 0 means no advice.
        retry_after: Micros,
    },
    /// Final response: failed, and the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt within its request, from 0.
        attempt_number: u32,
    },
    /// Probe an endpoint.
    ProbeEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Add to a counter at the counter service.
    IncrementCounter {
        /// The counter.
        key: CounterKey,
        /// Units to add; negative to give units back.
        amount: f64,
        /// How long the service keeps a counter that this call creates.
        keep_for: Micros,
    },
    /// Start a timer.
    SetTimer {
        /// The timer's number.
        id: u64,
        /// When it fires, from now.
        after: Micros,
    },
    /// Fetch the whole endpoint list once.
    FetchEndpoints,
    /// Start to watch the endpoint list.
    WatchEndpoints,
}
