//! The events at a node: the inputs of the decisions.

use super::identifiers::{AccountId, CounterKey, EndpointId, Micros, RequestId};

/// The state of an endpoint on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// The endpoint is in service.
    #[default]
    Active,
    /// The endpoint finishes its current requests and accepts no new ones.
    Draining,
    /// The endpoint is no longer in service.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Default)]
pub struct EndpointEntry {
    /// The endpoint that the entry describes.
    pub id: EndpointId,
    /// Identifies the zone that the endpoint is in.
    pub zone: u32,
    /// Identifies the endpoint's machine kind. Not used by the decisions.
    pub machine_kind: u32,
    /// Identifies the cell that the endpoint is in.
    pub cell: u32,
    /// Whether the endpoint is in service.
    pub state: EndpointState,
    /// Capacity relative to other endpoints; 1 if the list has no weight for the endpoint.
    pub weight: f64,
    /// Time of the endpoint's latest start; 0 if it is unknown or long ago. The endpoint then counts as warm.
    pub started_at: Micros,
}

/// What an update of the endpoint list contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the entries that changed.
    Delta,
    /// The whole list. An endpoint that is missing from it has been removed.
    Snapshot,
    /// The whole list as this node last had it, which may be out of date.
    StaleSnapshot,
    /// No entries: a call failed or the watch was interrupted.
    WatchLost,
}

/// A request that a client sent.
#[derive(Debug, Clone)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The account that the request is charged to.
    pub account: AccountId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's plan in the settings.
    pub plan: usize,
    /// Units of quota that the request uses.
    pub units: f64,
    /// Index of the first of the nodes that receive the account's requests. Not used by the decisions.
    pub first_account_node: u32,
    /// How many nodes receive the account's requests.
    pub account_node_count: u32,
    /// Whether the request is a client retry, as marked by the client.
    pub is_retry: bool,
    /// Time at which the client stops waiting for this request.
    pub deadline: Micros,
}

/// How an attempt, a probe or a counter call ended.
///
/// The outcome of an attempt shows whether the request may have run, that of a counter call whether the call
/// was added to the counter. The decisions ignore the outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded. A counter call was added.
    Ok,
    /// An attempt got an error response: the request may have run. The reply to a counter call was malformed:
    /// the call was added.
    Error,
    /// It was rejected. The request did not run; the call was not added.
    Rejected,
    /// It got no response in time. The request may have run; the call may be added, even later.
    TimedOut,
    /// No connection could be established. The request did not run; the call was not added.
    ConnectFailed,
    /// The connection was reset. The request may have run; the call may have been added.
    Reset,
    /// The node cancelled it. The request may have run. A call counts as not added.
    Cancelled,
    /// The node could not send it or was not allowed to. The request did not run; the call was not added.
    NotSent,
}

impl Outcome {
    /// Returns whether an attempt with this outcome may have run at its endpoint.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct EndedAttempt {
    /// The request that the attempt was for.
    pub request: RequestId,
    /// The number of the attempt within its request, from 0.
    pub attempt_number: u32,
    /// The endpoint that the attempt was sent to. Not used by the decisions.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the request has its final response.
    pub request_completed: bool,
    /// The actual units of the request, if they are known only at its end. Not used by the decisions.
    pub final_units: Option<f64>,
}

/// An event at a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list or a change of the list arrived.
    EndpointsUpdated {
        /// What the entries represent.
        kind: EndpointUpdateKind,
        /// The entries of the update; empty with `WatchLost`.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    RequestReceived(NewRequest),
    /// The first part of a streamed response was sent to the client.
    ResponseStarted {
        /// The request that the response belongs to.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The client disconnected, or the request's deadline has passed. No client waits for the response any
    /// longer.
    ClientDisconnected {
        /// The request whose response is no longer needed.
        request: RequestId,
    },
    /// A call to the counter service ended.
    CounterReplied {
        /// The counter that was called.
        key: CounterKey,
        /// How the call ended: `Ok`, `Rejected`, `ConnectFailed`, `TimedOut`, `Error` (the reply was
        /// malformed) or `Reset` (the connection broke).
        outcome: Outcome,
        /// The counter's total after the call, in units. Valid only with `Ok`.
        total: f64,
    },
    /// The result of a call that was previously reported as timed out. Late replies for one key arrive in the
    /// order of the calls, and each arrives before the end of any later call.
    LateCounterReply {
        /// The counter that was called.
        key: CounterKey,
        /// `Ok`, `Rejected` or `ConnectFailed`. With any other outcome the result of the call is unknown.
        outcome: Outcome,
        /// The counter's total after the call, in units. Valid only with `Ok`.
        total: f64,
    },
    /// A probe ended.
    ProbeCompleted {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
    },
    /// A timer fired.
    TimerFired {
        /// The timer's number. Not used by the decisions.
        id: u64,
    },
    /// Graceful shutdown started. The listener is closed, but requests may still arrive on open connections.
    ShutdownStarted,
}
