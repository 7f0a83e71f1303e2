//! Defines the serialized form of the nodes' messages to the simulator and converts actions to them.

use serde::Serialize;

use crate::decision::{Action, Micros};

/// The reply to one batch: one line of the output.
#[derive(Serialize)]
pub struct Reply {
    /// The messages, grouped by node. A node without messages is left out.
    #[serde(rename = "parts")]
    pub nodes: Vec<NodeReply>,
}

/// The messages of one node.
#[derive(Serialize)]
pub struct NodeReply {
    /// The id of the node.
    pub node_id: String,
    /// The messages, in the order of the node's actions.
    #[serde(rename = "output")]
    pub messages: Vec<Output>,
}

/// The serialized form of [`Action`]: a message of a node.
#[derive(Serialize)]
#[serde(tag = "what")]
pub enum Output {
    /// The node sends the request to an endpoint.
    #[serde(rename = "PassOn")]
    StartAttempt {
        /// The id of the request.
        #[serde(rename = "xid")]
        request: String,
        /// The id of the endpoint.
        #[serde(rename = "server")]
        endpoint: u64,
        /// Time limit of the attempt, in microseconds; 0 if the limit is the request's deadline.
        timeout: Micros,
    },
    /// The node rejects the request. This is its final response.
    #[serde(rename = "Bounce")]
    Reject {
        /// The id of the request.
        #[serde(rename = "xid")]
        request: String,
        /// How long the client should wait before it retries, in microseconds; 0 if the node gives no advice.
        #[serde(rename = "not_before_for")]
        retry_after: Micros,
    },
    /// The node fails the request. This is its final response.
    #[serde(rename = "EndFailed")]
    Fail {
        /// The id of the request.
        #[serde(rename = "xid")]
        request: String,
    },
    /// The node cancels an attempt.
    #[serde(rename = "Abandon")]
    CancelAttempt {
        /// The id of the request.
        #[serde(rename = "xid")]
        request: String,
        /// The number of the attempt within its request, from 0.
        #[serde(rename = "seq_no")]
        attempt_number: u32,
    },
    /// The node probes an endpoint.
    #[serde(rename = "Check")]
    ProbeEndpoint {
        /// The id of the endpoint.
        #[serde(rename = "server")]
        endpoint: u64,
    },
    /// The node adds to a counter of the counter service.
    #[serde(rename = "Add")]
    IncrementCounter {
        /// The key of the counter.
        #[serde(rename = "book")]
        key: u64,
        /// Units to add; negative to give units back.
        amount: f64,
        /// How long the service keeps a counter that this call creates, in microseconds.
        keep_for: Micros,
    },
    /// The node starts a timer.
    #[serde(rename = "After")]
    SetTimer {
        /// The number of the timer.
        #[serde(rename = "handle")]
        id: u64,
        /// Time until the timer fires, in microseconds.
        #[serde(rename = "from_now")]
        after: Micros,
    },
    /// The node fetches the full endpoint list once.
    #[serde(rename = "Snapshot")]
    FetchEndpoints,
    /// The node starts to watch the endpoint list.
    #[serde(rename = "Watch")]
    WatchEndpoints {
        /// Always `true`, because the node never ends the watch.
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
