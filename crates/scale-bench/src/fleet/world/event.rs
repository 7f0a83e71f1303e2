//! The events of the simulated world.

use edge_node::decision::{CounterKey, EndpointId, Micros, Outcome};

use crate::fleet::endpoint::AttemptId;
use crate::fleet::failure::FailureStep;
use crate::fleet::node::{EndpointIndex, NodeIndex, NodeProcess};
use crate::fleet::request::ClientRequest;

/// Identifies one process of an endpoint. Attempts that are addressed to an earlier process are reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointProcess {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Number of earlier processes of the endpoint, all of which have ended.
    pub incarnation: u32,
}

/// Identifies a call to the counter service.
#[derive(Debug, Clone, Copy)]
pub struct CounterCallId {
    /// The process that made the call.
    pub process: NodeProcess,
    /// The call's number, unique in the run.
    pub number: u64,
}

/// Where the end of an attempt originates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOrigin {
    /// The endpoint sent a response or reset the connection; either travels over the network.
    Endpoint,
    /// The node detected the end itself.
    Node,
}

/// An event of the simulated world.
pub enum WorldEvent {
    /// An account sends its next request.
    AccountSends(usize),
    /// A client's retry reaches the front.
    RetryReachesFront(Box<ClientRequest>),
    /// A timer of a node's process fires.
    TimerFires { process: NodeProcess, id: u64 },
    /// The list changes up to `revision` reach a node's discovery agent, and the node if it is up.
    DeltaReachesNode { node: NodeIndex, revision: usize },
    /// The whole list that a node's process fetched from its discovery agent reaches the process.
    SnapshotReachesNode(NodeProcess),
    /// An attempt reaches its endpoint. `work` is in microseconds of one core.
    AttemptReachesEndpoint { process: EndpointProcess, attempt: AttemptId, work: f64 },
    /// An endpoint is woken up because it may have finished a request, or to update its speed while it warms
    /// up.
    EndpointWakesUp { endpoint: EndpointIndex, wake_up_number: u64 },
    /// The end of an attempt reaches the attempt's node.
    AttemptEnds { attempt: AttemptId, outcome: Outcome, origin: EndOrigin },
    /// A node's time limit for an attempt is reached.
    AttemptTimesOut(AttemptId),
    /// A node's time limit for its response to the try with this number is reached.
    ResponseDeadline(u64),
    /// The client of the try with this number stops waiting.
    ClientDeadline(u64),
    /// A call reaches the counter service. `amount` is in units.
    CounterCallArrives { call: CounterCallId, key: CounterKey, amount: f64, keep_for: Micros },
    /// A reply of the counter service reaches the node that made the call.
    CounterReplyArrives { call: CounterCallId, outcome: Outcome, total: f64 },
    /// A node's time limit for a reply of the counter service is reached.
    CounterCallTimesOut(CounterCallId),
    /// A node checks whether the connection of a call to the counter service has been silent for too long.
    CounterConnectionCheck(CounterCallId),
    /// A probe of an endpoint ends at the node's process that started it.
    ProbeCompletes { process: NodeProcess, endpoint: EndpointId, outcome: Outcome },
    /// A new process of a node starts after an earlier one has ended.
    NodeStarts(NodeIndex),
    /// Discovery detects that a process of an endpoint has ended. `incarnation` is the endpoint's incarnation
    /// after the loss; the event is void if the endpoint has been started or lost again since.
    EndpointLossDetected(EndpointProcess),
    /// A step of the failure is carried out.
    FailureStep(FailureStep),
    /// The warm-up ends and the measured time starts.
    WarmUpEnds,
}
