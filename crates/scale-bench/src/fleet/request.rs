//! Requests as their clients see them over all tries, and the tries as their nodes see them.

use edge_node::decision::{Micros, RequestId};

use super::accounts::QuotaStanding;
use super::endpoint::AttemptId;
use super::node::{EndpointIndex, NodeIndex};

/// The result of a request, or of one try of it, for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResult {
    /// It was served.
    Served,
    /// It was rejected and had no effect.
    Rejected,
    /// It failed, or no node was available for it.
    Failed,
    /// It was sent to a node and never got a response.
    Lost,
}

/// A request as its client sees it, over all its tries.
#[derive(Clone)]
pub struct ClientRequest {
    /// Index of its account.
    pub account: usize,
    /// Index of its class.
    pub class: usize,
    /// Units of quota that it uses.
    pub units: f64,
    /// When it was first sent.
    pub sent_at: Micros,
    /// When its client stops waiting, counted over all tries.
    pub deadline: Micros,
    /// Number of tries so far.
    pub tries: u32,
    /// Whether the next try is marked as a retry.
    pub is_retry: bool,
    /// Whether it is within its account's quota, by the exact token bucket that is charged for first tries.
    pub quota: QuotaStanding,
    /// Whether it was first sent in the measured time.
    pub measured: bool,
}

/// An attempt of a try at an endpoint.
pub struct Attempt {
    /// The endpoint, or 0 if the node chose an endpoint that does not exist.
    pub endpoint: EndpointIndex,
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether it has been sent and has not ended at the node.
    pub in_flight: bool,
    /// Incarnation of the endpoint's process when the attempt was started.
    pub incarnation: u32,
}

/// A try of a request at one node.
pub struct PendingTry {
    /// The request that the try belongs to.
    pub client: ClientRequest,
    /// The node that it was sent to.
    pub node: NodeIndex,
    /// Its id at the node.
    pub id: RequestId,
    /// Whether its client has the try's result.
    pub completed: bool,
    /// Its attempts so far, by attempt number.
    pub attempts: Vec<Attempt>,
    /// Whether it is within its account's quota. `None` until the node starts the first attempt.
    pub admission: Option<QuotaStanding>,
    /// Whether its node was down when it was sent or the node's process has ended since, so that it gets no
    /// response.
    pub abandoned: bool,
}

impl PendingTry {
    /// Creates a try without attempts.
    pub fn new(client: ClientRequest, node: NodeIndex, id: RequestId, abandoned: bool) -> Self {
        PendingTry { client, node, id, completed: false, attempts: Vec::new(), admission: None, abandoned }
    }

    /// Returns an attempt of this try, or `None` if the attempt is not in flight.
    pub fn in_flight(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.attempts.get(attempt.number as usize).filter(|attempt| attempt.in_flight)
    }

    /// Returns whether no further event can change it: it has a result, and its node's process has ended or
    /// no attempt is in flight.
    pub fn is_over(&self) -> bool {
        self.completed && (self.abandoned || self.attempts.iter().all(|attempt| !attempt.in_flight))
    }
}

/// Returns the request id that a node receives for the try with this number.
pub fn request_id(number: u64) -> RequestId {
    RequestId::from(format!("{number:x}").as_str())
}

/// Returns the number of the try with this request id, or 0 if the id is malformed.
pub fn request_number(id: &RequestId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(0)
}
