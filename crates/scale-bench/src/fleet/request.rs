//! Requests: as their clients see them over all tries, and each try at its node.

use edge_node::decision::{Micros, RequestId};

use super::accounts::QuotaStanding;
use super::endpoint::AttemptId;
use super::node::{EndpointIndex, NodeIndex};

/// How a request, or one try of it, ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResult {
    /// Served.
    Served,
    /// Rejected without effect.
    Rejected,
    /// Failed, or no node could be reached.
    Failed,
    /// Accepted by a node and never answered.
    Lost,
}

/// One request as its client sees it, over all its tries.
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
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Tries so far.
    pub tries: u32,
    /// Whether the next try is marked as a retry.
    pub is_retry: bool,
    /// Whether it fits into its account's quota, had one node seen all requests.
    pub quota: QuotaStanding,
    /// Whether it was first sent in the measured time.
    pub measured: bool,
}

/// One attempt of a try at an endpoint.
pub struct Attempt {
    /// The endpoint; 0 if the attempt was for one that does not exist.
    pub endpoint: EndpointIndex,
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether its end is still to come.
    pub in_flight: bool,
    /// The endpoint's process that its connection leads to.
    pub incarnation: u32,
}

/// One try of a request, at one node.
pub struct PendingTry {
    /// The request.
    pub client: ClientRequest,
    /// The node that it was sent to.
    pub node: NodeIndex,
    /// Its id at the node.
    pub id: RequestId,
    /// Whether its client has a final result.
    pub completed: bool,
    /// Its attempts so far.
    pub attempts: Vec<Attempt>,
    /// Whether it fits into the quota, once the node has started an attempt.
    pub admission: Option<QuotaStanding>,
    /// Whether its node's process has ended, so that nobody answers it.
    pub abandoned: bool,
}

impl PendingTry {
    /// Creates a try without attempts.
    pub fn new(client: ClientRequest, node: NodeIndex, id: RequestId, abandoned: bool) -> Self {
        PendingTry { client, node, id, completed: false, attempts: Vec::new(), admission: None, abandoned }
    }

    /// An attempt of it that is in flight.
    pub fn in_flight(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.attempts.get(attempt.number as usize).filter(|attempt| attempt.in_flight)
    }

    /// Whether nothing of it is to come any more.
    pub fn is_over(&self) -> bool {
        self.completed && (self.abandoned || self.attempts.iter().all(|attempt| !attempt.in_flight))
    }
}

/// The id that a node has for the try of this number.
pub fn request_id(number: u64) -> RequestId {
    RequestId::from(format!("{number:x}").as_str())
}

/// The number of the try with this id.
pub fn request_number(id: &RequestId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(0)
}
