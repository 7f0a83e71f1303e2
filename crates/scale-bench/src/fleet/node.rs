//! A hollow node: a real decision engine, and what its process would hold beside it.

use std::collections::{BTreeMap, HashMap, HashSet};

use edge_node::decision::{CounterKey, DecisionEngine, Micros};

/// Connections that a real node keeps to the counter service.
const COUNTER_CONNECTIONS: usize = 4;

/// Index of a node.
pub type NodeIndex = usize;
/// Index of an endpoint.
pub type EndpointIndex = usize;

/// One process of a node: what was meant for an earlier process is void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeProcess {
    /// The node.
    pub node: NodeIndex,
    /// Counts the node's processes.
    pub incarnation: u32,
}

/// The state of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// It runs.
    Up,
    /// Its process has ended, and the front noticed at once.
    Stopped,
    /// Unresponsive since this time; the front notices later.
    Vanished(Micros),
}

/// A hollow node.
pub struct HollowNode {
    /// Its decisions.
    pub engine: DecisionEngine,
    /// Its zone.
    pub zone: u32,
    /// Counts its processes.
    pub incarnation: u32,
    /// The state of its process.
    pub state: NodeState,
    /// The revision of the endpoint list that its discovery agent has.
    pub list_revision: usize,
    /// When its discovery agent has all list changes that are on their way to it.
    pub list_current_at: Micros,
    /// Its idle connections.
    pub idle_connections: IdleConnections,
    /// Its calls to the counter service.
    pub counter_calls: CounterCalls,
    /// Endpoints that it sent to in the measured time.
    pub endpoints_used: HashSet<EndpointIndex>,
}

impl HollowNode {
    /// Creates a node with its first process.
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

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.state == NodeState::Up
    }

    /// Ends its process; its connections and counter calls are lost.
    pub fn end(&mut self, state: NodeState) {
        self.state = state;
        self.incarnation += 1;
        self.idle_connections.clear();
        self.counter_calls.clear();
    }

    /// Starts a process with an engine that knows nothing yet.
    pub fn start(&mut self, now: Micros, engine: DecisionEngine) {
        self.engine = engine;
        self.state = NodeState::Up;
        self.counter_calls.connect(now);
    }
}

#[derive(Clone, Copy)]
struct IdleConnection {
    idle_since: Micros,
    /// The endpoint's process that it leads to.
    incarnation: u32,
}

/// Idle connections of a node, by endpoint; the one that was used last is reused first.
#[derive(Default)]
pub struct IdleConnections {
    by_endpoint: HashMap<EndpointIndex, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Keeps a connection to a process of the endpoint.
    pub fn keep(&mut self, endpoint: EndpointIndex, idle_since: Micros, incarnation: u32) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.push(IdleConnection { idle_since, incarnation });
    }

    /// Drops the connections to an endpoint that have been idle since before `oldest`.
    pub fn drop_expired(&mut self, endpoint: EndpointIndex, oldest: Micros) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.retain(|connection| connection.idle_since >= oldest);
    }

    /// Drops the connections to other processes of an endpoint than the given one.
    pub fn drop_other_incarnations(&mut self, endpoint: EndpointIndex, incarnation: u32) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.retain(|connection| connection.incarnation == incarnation);
    }

    /// Takes a connection out and returns the endpoint's process that it leads to.
    pub fn take(&mut self, endpoint: EndpointIndex) -> Option<u32> {
        let connection = self.by_endpoint.get_mut(&endpoint)?.pop()?;
        Some(connection.incarnation)
    }

    /// How many have been idle since `oldest` or later.
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
    /// Whether it was reported to the decisions as timed out.
    pub timed_out: bool,
}

/// The calls of a node to the counter service, by number.
#[derive(Default)]
pub struct CounterCalls {
    pending: BTreeMap<u64, PendingIncrement>,
    /// By connection, when the latest reply came.
    last_reply_at: [Micros; COUNTER_CONNECTIONS],
}

impl CounterCalls {
    /// Adds a call.
    pub fn start(&mut self, call: u64, key: CounterKey, now: Micros) {
        self.pending.insert(call, PendingIncrement { key, started_at: now, timed_out: false });
    }

    /// Takes out the call that a reply belongs to, if it is still pending.
    pub fn reply(&mut self, call: u64, now: Micros) -> Option<PendingIncrement> {
        let pending = self.pending.remove(&call)?;
        self.last_reply_at[connection_of(pending.key)] = now;
        Some(pending)
    }

    /// Marks a pending call as timed out and returns its counter.
    pub fn time_out(&mut self, call: u64) -> Option<CounterKey> {
        let pending = self.pending.get_mut(&call)?;
        pending.timed_out = true;
        Some(pending.key)
    }

    /// Since when the connection of a pending call has been silent: its latest reply, or the call itself.
    pub fn silent_since(&self, call: u64) -> Option<Micros> {
        let pending = self.pending.get(&call)?;
        Some(self.last_reply_at[connection_of(pending.key)].max(pending.started_at))
    }

    /// Takes out a call that will never get a reply.
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

fn connection_of(key: CounterKey) -> usize {
    (key.0 % COUNTER_CONNECTIONS as u64) as usize
}
