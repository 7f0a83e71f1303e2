//! The nodes' messages to the simulator, and the action that each of them is.

use serde::Serialize;

use crate::decision::{Action, Micros};

/// The reply to one batch: one line of the output.
#[derive(Serialize)]
pub struct Reply {
    /// The messages, grouped by node; only of nodes that have any.
    #[serde(rename = "parts")]
    pub nodes: Vec<NodeReply>,
}

/// The messages of one node, in their order.
#[derive(Serialize)]
pub struct NodeReply {
    /// The node.
    pub node_id: String,
    /// Its messages.
    #[serde(rename = "output")]
    pub messages: Vec<Output>,
}

/// A message of a node: the serialized form of [`Action`].
#[derive(Serialize)]
#[serde(tag = "what")]
pub enum Output {
    /// Send the request to an endpoint.
    #[serde(rename = "PassOn")]
    StartAttempt {
        /// The request.
        #[serde(rename = "xid")]
        request: String,
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: u64,
        /// Time limit of the attempt.
        timeout: Micros,
    },
    /// Final response: rejected.
    #[serde(rename = "Bounce")]
    Reject {
        /// The request.
        #[serde(rename = "xid")]
        request: String,
        /// When the client should come back, from now.
        #[serde(rename = "not_before_for")]
        retry_after: Micros,
    },
    /// Final response: failed.
    #[serde(rename = "EndFailed")]
    Fail {
        /// The request.
        #[serde(rename = "xid")]
        request: String,
    },
    /// Cancel an attempt.
    #[serde(rename = "Abandon")]
    CancelAttempt {
        /// The request.
        #[serde(rename = "xid")]
        request: String,
        /// The number of the attempt.
        #[serde(rename = "seq_no")]
        attempt_number: u32,
    },
    /// Probe an endpoint.
    #[serde(rename = "Check")]
    ProbeEndpoint {
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: u64,
    },
    /// Add to a counter.
    #[serde(rename = "Add")]
    IncrementCounter {
        /// The counter.
        #[serde(rename = "book")]
        key: u64,
        /// Units to add.
        amount: f64,
        /// How long a new counter is kept.
        keep_for: Micros,
    },
    /// Start a timer.
    #[serde(rename = "After")]
    SetTimer {
        /// The timer's number.
        #[serde(rename = "handle")]
        id: u64,
        /// When it fires, from now.
        #[serde(rename = "from_now")]
        after: Micros,
    },
    /// Fetch the full endpoint list once.
    #[serde(rename = "Snapshot")]
    FetchEndpoints,
    /// Start to watch the endpoint list.
    #[serde(rename = "Watch")]
    WatchEndpoints {
        /// Always `true`: the watch is never ended.
        active: bool,
    },
}

impl From<Action> for Output {
    fn from(action: Action) -> Self {
        match action {
            Action::StartAttempt { request, endpoint, timeout } => {
                Output::StartAttempt { request: request.0.to_string(), endpoint: endpoint.0, timeout }
            }
            Action::Reject { request, retry_after } => {
                Output::Reject { request: request.0.to_string(), retry_after }
            }
            Action::Fail { request } => Output::Fail { request: request.0.to_string() },
            Action::CancelAttempt { request, attempt_number } => {
                Output::CancelAttempt { request: request.0.to_string(), attempt_number }
            }
            Action::ProbeEndpoint { endpoint } => Output::ProbeEndpoint { endpoint: endpoint.0 },
            Action::IncrementCounter { key, amount, keep_for } => {
                Output::IncrementCounter { key: key.0, amount, keep_for }
            }
            Action::SetTimer { id, after } => Output::SetTimer { id, after },
            Action::FetchEndpoints => Output::FetchEndpoints,
            Action::WatchEndpoints => Output::WatchEndpoints { active: true },
        }
    }
}
