//! What happens to a node: the inputs of the decisions.

use super::identifiers::{AccountId, CounterKey, EndpointId, Micros, RequestId};

/// The state of an endpoint on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// In service.
    #[default]
    Active,
    /// Finishes its work and takes no more.
    Draining,
    /// Not in service any more.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Default)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine. Not used by the decisions.
    pub machine_kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to other endpoints; 1 where the list has none.
    pub weight: f64,
    /// When it last started; 0 if that was long ago.
    pub started_at: Micros,
}

/// What an update of the endpoint list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the entries that changed.
    Delta,
    /// The whole list: an endpoint that is missing has been removed.
    Snapshot,
    /// The whole list as this node last had it, which may be out of date.
    StaleSnapshot,
    /// Nothing: a call failed or the watch was interrupted.
    WatchLost,
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// The account that it is charged to.
    pub account: AccountId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// Units of quota that it uses.
    pub units: f64,
    /// The first of the nodes that get the account's requests.
    pub first_account_node: u32,
    /// How many nodes get the account's requests.
    pub account_node_count: u32,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// When the client stops waiting for this request.
    pub deadline: Micros,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// An error response; the request may have run.
    Error,
    /// Rejected before it ran.
    Rejected,
    /// No response in time; it may have run.
    TimedOut,
    /// No connection could be established; it did not run.
    ConnectFailed,
    /// The connection was reset; it may have run.
    Reset,
    /// Cancelled by the node; it may have run.
    Cancelled,
    /// The node itself could not or must not send it; it did not run.
    NotSent,
}

impl Outcome {
    /// Whether an attempt that ended like this may have run at its endpoint.
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
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Whether the request has its final response.
    pub request_completed: bool,
    /// The true units, where they are known only now. Not used by the decisions.
    pub final_units: Option<f64>,
}

/// An event at a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list, or a change of it, arrived.
    EndpointsUpdated {
        /// What the entries are.
        kind: EndpointUpdateKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    RequestReceived(NewRequest),
    /// The first part of a streamed response was sent to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// Nobody waits for the response any more: the client disconnected or its deadline has passed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A call to the counter service ended.
    CounterReplied {
        /// The counter.
        key: CounterKey,
        /// How the call ended: `Ok`, `Rejected`, `ConnectFailed`, `TimedOut`, `Error` (the reply was
        /// malformed) or `Reset` (the connection broke).
        outcome: Outcome,
        /// The counter's total after the call, in units; valid with `Ok`.
        total: f64,
    },
    /// What became of a call that was reported as timed out. The events for one key come in the order of its
    /// calls, and before the end of any later call.
    LateCounterReply {
        /// The counter.
        key: CounterKey,
        /// `Ok`, `Rejected` or `ConnectFailed`; with any other outcome what became of the call is unknown.
        outcome: Outcome,
        /// The counter's total after the call, in units; valid with `Ok`.
        total: f64,
    },
    /// A probe ended.
    ProbeCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A timer fired.
    TimerFired {
        /// The timer's number.
        id: u64,
    },
    /// Graceful shutdown started: the listener is closed; requests on open connections may still arrive.
    ShutdownStarted,
}
