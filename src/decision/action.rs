//! The actions of a node: the outputs of the decisions.

use super::identifiers::{CounterKey, EndpointId, Micros, RequestId};

/// What a node has to do after an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to an endpoint.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// The endpoint that gets the request.
        endpoint: EndpointId,
        /// Time limit of the attempt; 0 means until the request's deadline.
        timeout: Micros,
    },
    /// Sends the final response that the request is rejected. A client retry is harmless.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time from now after which the client should retry; 0 means that the client gets no such advice.
        retry_after: Micros,
    },
    /// Sends the final response that the request failed. The request may have run.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The request that the attempt is for.
        request: RequestId,
        /// The number of the attempt within its request, from 0.
        attempt_number: u32,
    },
    /// Probes an endpoint. The decisions never return this action.
    ProbeEndpoint {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// Adds to a counter at the counter service.
    IncrementCounter {
        /// The counter to add to.
        key: CounterKey,
        /// Units to add; negative to give units back.
        amount: f64,
        /// How long the service keeps the counter if this call creates it.
        keep_for: Micros,
    },
    /// Starts a timer.
    SetTimer {
        /// The timer's number, which [`Event::TimerFired`](super::Event::TimerFired) returns.
        id: u64,
        /// Time from now until the timer fires.
        after: Micros,
    },
    /// Fetches the whole endpoint list once.
    FetchEndpoints,
    /// Starts to watch the endpoint list.
    WatchEndpoints,
}
