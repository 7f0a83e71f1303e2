//! The simulator's messages to the nodes, and the event that each of them is.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::decision::{
    AccountId, CounterKey, EndedAttempt, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event,
    Micros, NewRequest, Outcome,
};
use crate::protocol::settings::SettingsDocument;
use crate::protocol::simulator::SimulatorError;

/// The endpoint lists that the simulator has defined, by number.
pub type EndpointLists = BTreeMap<u32, Vec<EndpointEntry>>;

/// What happens at one time: one line of the input.
#[derive(Deserialize)]
pub struct Batch {
    /// The time of all events in the batch.
    pub time: Micros,
    /// The messages, grouped by node.
    #[serde(rename = "parts")]
    pub nodes: Vec<NodeMessages>,
}

/// The messages to one node, in their order.
#[derive(Deserialize)]
pub struct NodeMessages {
    /// The node.
    pub node_id: String,
    /// Its messages.
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
        /// Its entries.
        #[serde(rename = "members")]
        entries: Vec<EntryMessage>,
    },
    /// An update of the endpoint list.
    #[serde(rename = "Membership")]
    EndpointsUpdated {
        /// What the list holds.
        #[serde(rename = "how")]
        kind: UpdateKind,
        /// The number of the list.
        #[serde(default)]
        list: u32,
    },
    /// A client sent a request.
    #[serde(rename = "Knock")]
    RequestReceived(RequestMessage),
    /// An attempt ended.
    #[serde(rename = "Ended")]
    AttemptEnded(AttemptEndMessage),
    /// Nobody waits for the response any more.
    #[serde(rename = "Expired")]
    ClientDisconnected {
        /// The request.
        #[serde(rename = "xid")]
        request: String,
    },
    /// The first part of a streamed response was sent to the client.
    #[serde(rename = "AckFirst")]
    ResponseStarted {
        /// The request.
        #[serde(rename = "xid")]
        request: String,
    },
    /// A call to the counter service ended.
    #[serde(rename = "TallyBack")]
    CounterReplied {
        /// The counter.
        #[serde(rename = "book")]
        key: u64,
        /// How the call ended.
        #[serde(rename = "state_code")]
        outcome: OutcomeCode,
        /// The counter's total after the call.
        #[serde(default, rename = "value")]
        total: f64,
    },
    /// A probe ended.
    #[serde(rename = "ProbeDone")]
    ProbeCompleted {
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: u64,
        /// How the probe ended.
        #[serde(rename = "state_code")]
        outcome: OutcomeCode,
    },
    /// A timer fired.
    #[serde(rename = "Alarm")]
    TimerFired {
        /// The timer's number.
        #[serde(rename = "handle")]
        id: u64,
    },
    /// The node's process was killed.
    Killed,
    /// A message of a kind that this program does not know.
    #[serde(other)]
    Unknown,
}

/// What an update of the endpoint list holds: the serialized form of [`EndpointUpdateKind`].
#[derive(Deserialize, Clone, Copy, PartialEq)]
pub enum UpdateKind {
    /// Only the entries that changed.
    #[serde(rename = "incr")]
    Delta,
    /// The full list.
    #[serde(rename = "total")]
    Snapshot,
    /// The full list as the node last had it.
    #[serde(rename = "warm_copy")]
    StaleSnapshot,
    /// Nothing: the watch was interrupted.
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
    /// The account in hexadecimal digits.
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
    /// It succeeded.
    Ok,
    /// An error response.
    #[serde(rename = "Failed")]
    Error,
    /// Rejected before it ran.
    #[serde(rename = "QueueFull")]
    Rejected,
    /// No response in time.
    TimedOut,
    /// No connection could be established.
    #[serde(rename = "ConnectError")]
    ConnectFailed,
    /// The connection was reset.
    #[serde(rename = "ResetByPeer")]
    Reset,
    /// Cancelled by the node.
    #[serde(rename = "Canceled")]
    Cancelled,
    /// It was never sent.
    #[serde(rename = "Ignored")]
    NotSent,
}

impl Message {
    /// The event that the message is for a running node; none for the messages that start or end a node, define a
    /// list or are unknown.
    ///
    /// # Errors
    /// If the message refers to an endpoint list that was not defined.
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

/// An update of the endpoint list. One that says only that the watch was lost refers to no list.
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
