//! What happens in the simulated world.

use edge_node::decision::{CounterKey, EndpointId, Micros, Outcome};

use crate::fleet::endpoint::AttemptId;
use crate::fleet::failure::FailureStep;
use crate::fleet::node::{EndpointIndex, NodeIndex, NodeProcess};
use crate::fleet::request::ClientRequest;

/// One process of an endpoint: what was meant for an earlier process does not reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointProcess {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Counts the endpoint's processes.
    pub incarnation: u32,
}

/// Identifies a call to the counter service.
#[derive(Debug, Clone, Copy)]
pub struct CounterCallId {
    /// The process that made it.
    pub process: NodeProcess,
    /// Its number, unique in the run.
    pub number: u64,
}

/// Where the end of an attempt comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOrigin {
    /// A response or a reset that came over the network.
    Endpoint,
    /// The node itself.
    Node,
}

/// An event of the simulated world.
pub enum WorldEvent {
    /// An account sends its next request.
    AccountSends(usize),
    /// A client's retry reaches the front.
    RetryReachesFront(Box<ClientRequest>),
    /// A timer of a node fires.
    TimerFires { process: NodeProcess, id: u64 },
    /// The list changes up to a revision reach a node and its discovery agent.
    DeltaReachesNode { node: NodeIndex, revision: usize },
    /// The whole list that a node fetched from its discovery agent reaches it.
    SnapshotReachesNode(NodeProcess),
    /// An attempt reaches its endpoint, with this work in microseconds of one core.
    AttemptReachesEndpoint { process: EndpointProcess, attempt: AttemptId, work: f64 },
    /// An endpoint may have finished a request.
    EndpointWakesUp { endpoint: EndpointIndex, wake_up_number: u64 },
    /// The end of an attempt reaches its node.
    AttemptEnds { attempt: AttemptId, outcome: Outcome, origin: EndOrigin },
    /// A node's time limit for an attempt is over.
    AttemptTimesOut(AttemptId),
    /// A node's time limit for its final response to a try is over.
    ResponseDeadline(u64),
    /// A client stops waiting for a try.
    ClientDeadline(u64),
    /// A call reaches the counter service.
    CounterCallArrives { call: CounterCallId, key: CounterKey, amount: f64, keep_for: Micros },
    /// A reply of the counter service reaches its node.
    CounterReplyArrives { call: CounterCallId, outcome: Outcome, total: f64 },
    /// A node's time limit for a reply of the counter service is over.
    CounterCallTimesOut(CounterCallId),
    /// A node checks whether a connection to the counter service is unresponsive.
    CounterConnectionCheck(CounterCallId),
    /// A probe ends.
    ProbeCompletes { process: NodeProcess, endpoint: EndpointId, outcome: Outcome },
    /// A node's process starts again.
    NodeStarts(NodeIndex),
    /// Discovery detects that a process of an endpoint has ended.
    EndpointLossDetected(EndpointProcess),
    /// A step of the failure.
    FailureStep(FailureStep),
    /// The warm-up is over.
    WarmUpEnds,
}
