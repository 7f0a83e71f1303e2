//! Defines the serialized form of the simulator's messages to the nodes and converts them to events.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::decision::{
    AccountId, CounterKey, EndedAttempt, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event,
    Micros, NewRequest, Outcome,
};
use crate::protocol::settings::SettingsDocument;
use crate::protocol::simulator::SimulatorError;

/// The endpoint lists that the simulator has defined, by the number of the list.
pub type EndpointLists = BTreeMap<u32, Vec<EndpointEntry>>;

/// The messages to all nodes at one time: one line of the input.
#[derive(Deserialize)]
pub struct Batch {
    /// The time of all messages in the batch, in microseconds.
    pub time: Micros,
    /// The messages, grouped by node.
    #[serde(rename = "parts")]
    pub nodes: Vec<NodeMessages>,
}

/// The messages to one node.
#[derive(Deserialize)]
pub struct NodeMessages {
    /// The id of the node.
    pub node_id: String,
    /// The messages, in the order in which the node handles them.
    #[serde(rename = "msgs")]
    pub messages: Vec<Message>,
}

/// A message to a node.
#[derive(Deserialize)]
#[serde(tag = "what")]
pub enum Message {
    /// The node's process starts.
    #[serde(rename = "PowerOn")]
    Start {
        /// Seed of the node's random numbers.
        #[serde(rename = "salt")]
        seed: u64,
        /// The node's settings.
        #[serde(rename = "env")]
        settings: Box<SettingsDocument>,
    },
    /// Defines an endpoint list, which later updates refer to by its number.
    #[serde(rename = "Pool")]
    DefineEndpointList {
        /// The number of the list.
        list: u32,
        /// The entries of the list.
        #[serde(rename = "members")]
        entries: Vec<EntryMessage>,
    },
    /// The node receives an update of its endpoint list.
    #[serde(rename = "Membership")]
    EndpointsUpdated {
        /// What the entries of the list are.
        #[serde(rename = "how")]
        kind: UpdateKind,
        /// The number of the list with the entries. Not used if the kind is [`UpdateKind::WatchLost`].
        #[serde(default)]
        list: u32,
    },
    /// A client sent a request.
    #[serde(rename = "Knock")]
    RequestReceived(RequestMessage),
    /// An attempt ended.
    #[serde(rename = "Ended")]
    AttemptEnded(AttemptEndMessage),
    /// No client waits for the response any longer.
    #[serde(rename = "Expired")]
    ClientDisconnected {
        /// The id of the request.
        #[serde(rename = "xid")]
        request: String,
    },
    /// The first part of a streamed response was sent to the client.
    #[serde(rename = "AckFirst")]
    ResponseStarted {
        /// The id of the request.
        #[serde(rename = "xid")]
        request: String,
    },
    /// A call to the counter service ended.
    #[serde(rename = "TallyBack")]
    CounterReplied {
        /// The key of the counter.
        #[serde(rename = "book")]
        key: u64,
        /// How the call ended.
        #[serde(rename = "state_code")]
        outcome: OutcomeCode,
        /// The counter's total after the call, in units.
        #[serde(default, rename = "value")]
        total: f64,
    },
    /// A probe ended.
    #[serde(rename = "ProbeDone")]
    ProbeCompleted {
        /// The id of the endpoint.
        #[serde(rename = "server")]
        endpoint: u64,
        /// How the probe ended.
        #[serde(rename = "state_code")]
        outcome: OutcomeCode,
    },
    /// A timer fired.
    #[serde(rename = "Alarm")]
    TimerFired {
        /// The number of the timer.
        #[serde(rename = "handle")]
        id: u64,
    },
    /// The node's process is killed.
    Killed,
    /// A message of an unknown kind. It is ignored.
    #[serde(other)]
    Unknown,
}

/// The serialized form of [`EndpointUpdateKind`]: what the entries of an update are.
#[derive(Deserialize, Clone, Copy, PartialEq)]
pub enum UpdateKind {
    /// The entries that changed.
    #[serde(rename = "incr")]
    Delta,
    /// The full list. An endpoint that is missing has been removed.
    #[serde(rename = "total")]
    Snapshot,
    /// The full list as the node last had it, which may be out of date.
    #[serde(rename = "warm_copy")]
    StaleSnapshot,
    /// No entries: the watch was interrupted.
    #[serde(rename = "lost")]
    WatchLost,
}

/// The serialized form of [`EndpointState`].
#[derive(Deserialize, Clone, Copy)]
enum StateName {
    #[serde(rename = "IN")]
    Active,
    #[serde(rename = "LAME")]
    Draining,
    #[serde(rename = "OUT")]
    Removed,
}

/// The serialized form of [`EndpointEntry`].
#[derive(Deserialize, Clone)]
pub struct EntryMessage {
    #[serde(rename = "server")]
    id: u64,
    #[serde(default, rename = "site")]
    zone: u32,
    #[serde(default, rename = "family_type")]
    machine_kind: u32,
    #[serde(default, rename = "block")]
    cell: u32,
    #[serde(rename = "condition")]
    state: StateName,
    weight: Option<f64>,
    #[serde(default, rename = "last_start")]
    started_at: Micros,
}

/// The serialized form of [`NewRequest`].
#[derive(Deserialize)]
pub struct RequestMessage {
    #[serde(rename = "xid")]
    id: String,
    #[serde(default, rename = "set_start")]
    first_account_node: f64,
    #[serde(rename = "entry_points")]
    account_node_count: Option<f64>,
    #[serde(default, rename = "terms")]
    plan: usize,
    #[serde(default, rename = "again_by_client")]
    is_retry: bool,
    #[serde(rename = "quota_units")]
    units: Option<f64>,
    #[serde(rename = "lane")]
    class: usize,
    /// The id of the account, in hexadecimal digits. An empty or malformed id stands for account 0.
    #[serde(default, rename = "member")]
    account: String,
    #[serde(rename = "due")]
    deadline: Micros,
}

/// The serialized form of [`EndedAttempt`].
#[derive(Deserialize)]
pub struct AttemptEndMessage {
    #[serde(rename = "xid")]
    request: String,
    #[serde(default, rename = "spent")]
    elapsed: Micros,
    #[serde(default, rename = "seq_no")]
    attempt_number: u32,
    #[serde(default, rename = "finished")]
    request_completed: bool,
    final_units: Option<f64>,
    #[serde(rename = "state_code")]
    outcome: OutcomeCode,
    #[serde(rename = "server")]
    endpoint: u64,
}

/// The serialized form of [`Outcome`].
#[derive(Deserialize, Clone, Copy)]
pub enum OutcomeCode {
    /// The operation succeeded.
    Ok,
    /// The response was an error.
    #[serde(rename = "Failed")]
    Error,
    /// The operation was rejected before it ran.
    #[serde(rename = "QueueFull")]
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be established.
    #[serde(rename = "ConnectError")]
    ConnectFailed,
    /// The connection was reset.
    #[serde(rename = "ResetByPeer")]
    Reset,
    /// The node cancelled the operation.
    #[serde(rename = "Canceled")]
    Cancelled,
    /// The operation was never sent.
    #[serde(rename = "Ignored")]
    NotSent,
}

impl Message {
    /// Converts the message to an event for a running node. Returns `None` if the message starts or kills a
    /// node, defines an endpoint list or is of an unknown kind.
    ///
    /// # Errors
    /// If the message refers to an endpoint list that is not defined.
    pub fn into_event(self, lists: &EndpointLists) -> Result<Option<Event>, SimulatorError> {
        let event = match self {
            Message::EndpointsUpdated { kind, list } => endpoints_updated(kind, list, lists)?,
            Message::RequestReceived(request) => Event::RequestReceived(request.into()),
            Message::AttemptEnded(attempt) => Event::AttemptEnded(attempt.into()),
            Message::ClientDisconnected { request } => {
                Event::ClientDisconnected { request: request.as_str().into() }
            }
            Message::ResponseStarted { request } => {
                Event::ResponseStarted { request: request.as_str().into() }
            }
            Message::CounterReplied { key, outcome, total } => {
                Event::CounterReplied { key: CounterKey(key), outcome: outcome.into(), total }
            }
            Message::ProbeCompleted { endpoint, outcome } => {
                Event::ProbeCompleted { endpoint: EndpointId(endpoint), outcome: outcome.into() }
            }
            Message::TimerFired { id } => Event::TimerFired { id },
            Message::Start { .. }
            | Message::DefineEndpointList { .. }
            | Message::Killed
            | Message::Unknown => return Ok(None),
        };
        Ok(Some(event))
    }
}

/// Returns the event for an update of the endpoint list. An update of kind [`UpdateKind::WatchLost`] has no
/// entries, so its list number is not looked up.
///
/// # Errors
/// If the update refers to an endpoint list that is not defined.
fn endpoints_updated(kind: UpdateKind, list: u32, lists: &EndpointLists) -> Result<Event, SimulatorError> {
    let entries = match kind {
        UpdateKind::WatchLost => Vec::new(),
        UpdateKind::Delta | UpdateKind::Snapshot | UpdateKind::StaleSnapshot => {
            lists.get(&list).ok_or(SimulatorError::UnknownList(list))?.clone()
        }
    };
    Ok(Event::EndpointsUpdated { kind: kind.into(), entries })
}

impl From<RequestMessage> for NewRequest {
    fn from(message: RequestMessage) -> Self {
        NewRequest {
            id: message.id.as_str().into(),
            account: AccountId(u64::from_str_radix(&message.account, 16).unwrap_or_default()),
            class: message.class,
            plan: message.plan,
            units: message.units.unwrap_or(1.0),
            first_account_node: message.first_account_node as u32,
            account_node_count: message.account_node_count.unwrap_or(0.0) as u32,
            is_retry: message.is_retry,
            deadline: message.deadline,
        }
    }
}

impl From<AttemptEndMessage> for EndedAttempt {
    fn from(message: AttemptEndMessage) -> Self {
        EndedAttempt {
            request: message.request.as_str().into(),
            attempt_number: message.attempt_number,
            endpoint: EndpointId(message.endpoint),
            outcome: message.outcome.into(),
            elapsed: message.elapsed,
            request_completed: message.request_completed,
            final_units: message.final_units,
        }
    }
}

impl From<OutcomeCode> for Outcome {
    fn from(code: OutcomeCode) -> Self {
        match code {
            OutcomeCode::Ok => Outcome::Ok,
            OutcomeCode::Error => Outcome::Error,
            OutcomeCode::Rejected => Outcome::Rejected,
            OutcomeCode::TimedOut => Outcome::TimedOut,
            OutcomeCode::ConnectFailed => Outcome::ConnectFailed,
            OutcomeCode::Reset => Outcome::Reset,
            OutcomeCode::Cancelled => Outcome::Cancelled,
            OutcomeCode::NotSent => Outcome::NotSent,
        }
    }
}

impl From<UpdateKind> for EndpointUpdateKind {
    fn from(kind: UpdateKind) -> Self {
        match kind {
            UpdateKind::Delta => EndpointUpdateKind::Delta,
            UpdateKind::Snapshot => EndpointUpdateKind::Snapshot,
            UpdateKind::StaleSnapshot => EndpointUpdateKind::StaleSnapshot,
            UpdateKind::WatchLost => EndpointUpdateKind::WatchLost,
        }
    }
}

impl From<StateName> for EndpointState {
    fn from(name: StateName) -> Self {
        match name {
            StateName::Active => EndpointState::Active,
            StateName::Draining => EndpointState::Draining,
            StateName::Removed => EndpointState::Removed,
        }
    }
}

impl From<EntryMessage> for EndpointEntry {
    fn from(message: EntryMessage) -> Self {
        EndpointEntry {
            id: EndpointId(message.id),
            zone: message.zone,
            machine_kind: message.machine_kind,
            cell: message.cell,
            state: message.state.into(),
            weight: message.weight.unwrap_or(1.0),
            started_at: message.started_at,
        }
    }
}
