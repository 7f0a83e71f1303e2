//! A hollow node: a real decision engine, and a model of the other state that a node's process holds.

use std::collections::{BTreeMap, HashMap, HashSet};

use edge_node::decision::{CounterKey, DecisionEngine, Micros};

/// Number of connections that a real node keeps to the counter service.
const COUNTER_CONNECTIONS: usize = 4;

/// Index of a node, from 0.
pub type NodeIndex = usize;
/// Index of an endpoint, from 0.
pub type EndpointIndex = usize;

/// Identifies one process of a node. Events that are addressed to an earlier process are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeProcess {
    /// The node.
    pub node: NodeIndex,
    /// Number of earlier processes of the node.
    pub incarnation: u32,
}

/// The state of a node's process. In the model, a process that becomes unresponsive counts as ended, like one
/// that exits, because it never responds again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// The process runs.
    Up,
    /// The process has exited, and the front noticed that at once.
    Stopped,
    /// The node has been unresponsive since this time. The front notices after `--front-notice-ms`.
    Unresponsive(Micros),
}

/// A hollow node.
pub struct HollowNode {
    /// The decision engine of its current process.
    pub engine: DecisionEngine,
    /// Its zone.
    pub zone: u32,
    /// Number of its processes that have ended, which identifies its current process, or its next one while
    /// none is up.
    pub incarnation: u32,
    /// The state of its process.
    pub state: NodeState,
    /// The latest revision of the endpoint list that its discovery agent has. The agent outlives the node's
    /// processes.
    pub list_revision: usize,
    /// When the latest published list change reaches its discovery agent; 0 if no change was published.
    pub list_current_at: Micros,
    /// Its idle connections to endpoints.
    pub idle_connections: IdleConnections,
    /// Its pending calls to the counter service.
    pub counter_calls: CounterCalls,
    /// Endpoints to which it started an attempt in the measured time. The set is cleared when a failure
    /// starts.
    pub endpoints_used: HashSet<EndpointIndex>,
}

impl HollowNode {
    /// Creates a node whose first process runs.
    pub fn new(engine: DecisionEngine, zone: u32) -> Self {
        HollowNode {
            engine,
            zone,
            incarnation: 0,
            state: NodeState::Up,
            list_revision: 0,
            list_current_at: 0,
            idle_connections: IdleConnections::default(),
            counter_calls: CounterCalls::default(),
            endpoints_used: HashSet::new(),
        }
    }

    /// Returns whether its process runs.
    pub fn is_up(&self) -> bool {
        self.state == NodeState::Up
    }

    /// Ends its process, which loses its idle connections and counter calls. `state` says whether the process
    /// exited or became unresponsive.
    pub fn take_down(&mut self, state: NodeState) {
        self.state = state;
        self.incarnation += 1;
        self.idle_connections.clear();
        self.counter_calls.clear();
    }

    /// Starts a process with a new engine, which has no state yet.
    pub fn start(&mut self, now: Micros, engine: DecisionEngine) {
        self.engine = engine;
        self.state = NodeState::Up;
        self.counter_calls.connect(now);
    }
}

#[derive(Clone, Copy)]
struct IdleConnection {
    idle_since: Micros,
    /// Incarnation of the endpoint's process to which the connection was established.
    incarnation: u32,
}

/// Idle connections of a node, by endpoint. The connection that was used last is reused first.
#[derive(Default)]
pub struct IdleConnections {
    by_endpoint: HashMap<EndpointIndex, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Adds a connection to the endpoint's process with the given incarnation.
    pub fn keep(&mut self, endpoint: EndpointIndex, idle_since: Micros, incarnation: u32) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.push(IdleConnection { idle_since, incarnation });
    }

    /// Drops the connections to an endpoint that became idle before `oldest`.
    pub fn drop_expired(&mut self, endpoint: EndpointIndex, oldest: Micros) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.retain(|connection| connection.idle_since >= oldest);
    }

    /// Drops the connections to an endpoint except those to the process with the given incarnation.
    pub fn drop_other_incarnations(&mut self, endpoint: EndpointIndex, incarnation: u32) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.retain(|connection| connection.incarnation == incarnation);
    }

    /// Takes out the connection to an endpoint that was used last and returns the incarnation of the process
    /// to which it was established. Returns `None` if there is no connection to the endpoint.
    pub fn take(&mut self, endpoint: EndpointIndex) -> Option<u32> {
        let connection = self.by_endpoint.get_mut(&endpoint)?.pop()?;
        Some(connection.incarnation)
    }

    /// Returns the number of connections that became idle at `oldest` or later.
    pub fn count_since(&self, oldest: Micros) -> usize {
        let all = self.by_endpoint.values().flatten();
        all.filter(|connection| connection.idle_since >= oldest).count()
    }

    fn clear(&mut self) {
        self.by_endpoint.clear();
    }
}

/// A counter call that has no reply yet.
#[derive(Debug, Clone, Copy)]
pub struct PendingIncrement {
    /// The counter.
    pub key: CounterKey,
    /// When the call was made.
    pub started_at: Micros,
    /// Whether the call was reported to the decision engine as timed out.
    pub timed_out: bool,
}

/// The pending calls of a node to the counter service, and the latest reply on each of its connections.
#[derive(Default)]
pub struct CounterCalls {
    /// The pending calls by call number.
    pending: BTreeMap<u64, PendingIncrement>,
    /// For each connection, when the latest reply arrived, or if none has, when the process started. The
    /// start of a node's first process counts as 0.
    last_reply_at: [Micros; COUNTER_CONNECTIONS],
}

impl CounterCalls {
    /// Adds a pending call.
    pub fn start(&mut self, call: u64, key: CounterKey, now: Micros) {
        self.pending.insert(call, PendingIncrement { key, started_at: now, timed_out: false });
    }

    /// Takes out the call to which a reply that arrives now belongs. Returns `None` if the call is not
    /// pending.
    pub fn reply(&mut self, call: u64, now: Micros) -> Option<PendingIncrement> {
        let pending = self.pending.remove(&call)?;
        self.last_reply_at[connection_of(pending.key)] = now;
        Some(pending)
    }

    /// Marks a call as timed out and returns its counter. Returns `None` if the call is not pending.
    pub fn time_out(&mut self, call: u64) -> Option<CounterKey> {
        let pending = self.pending.get_mut(&call)?;
        pending.timed_out = true;
        Some(pending.key)
    }

    /// Returns when the connection of a call became silent: the time of the connection's latest reply or of
    /// the call, whichever is later. Returns `None` if the call is not pending.
    pub fn silent_since(&self, call: u64) -> Option<Micros> {
        let pending = self.pending.get(&call)?;
        Some(self.last_reply_at[connection_of(pending.key)].max(pending.started_at))
    }

    /// Takes out a call for which no reply is expected any more. Returns `None` if the call is not pending.
    pub fn abandon(&mut self, call: u64) -> Option<PendingIncrement> {
        self.pending.remove(&call)
    }

    fn connect(&mut self, now: Micros) {
        self.last_reply_at = [now; COUNTER_CONNECTIONS];
    }

    fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Returns the index of the connection that carries the calls for a counter.
fn connection_of(key: CounterKey) -> usize {
    (key.0 % COUNTER_CONNECTIONS as u64) as usize
}
