//! Measures one node under one combination of the arguments.

use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use super::clients::{PiecewiseRequest, RequestEnd};
use super::endpoints::{self, ResponseShape};
use super::framing::Kind;
use super::options::Options;
use crate::error::BenchError;
use crate::fakes::counter_service::{CounterCapacity, CounterService};
use crate::fakes::discovery_agent::DiscoveryAgent;
use crate::fakes::endpoint_list::{EndpointList, ListShape, MIN_NAME_LENGTH};
use crate::node::configuration::{self, PeerAddresses};
use crate::node::process::{EdgeNode, StartedProcess};
use crate::node::Options as NodeOptions;

/// Number of endpoints before which the node runs.
const ENDPOINTS: u32 = 8;
/// Time within which the node has to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time for all clients to connect before the first of them sends.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Time after readiness until the memory before the requests is read.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Calls per second that the counter service accepts.
const COUNTER_CALLS_PER_SECOND: f64 = 800.0;
const BYTES_PER_MB: f64 = 1e6;

/// One combination of the arguments.
pub struct Setup<'a> {
    /// What arrives in pieces.
    pub kind: Kind,
    /// Memory limit in the node's configuration, in megabytes.
    pub memory_mb: u32,
    /// Number of clients.
    pub clients: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: u32,
    /// The other arguments.
    pub options: &'a Options,
}

/// What one combination of the arguments gave. Sizes are in megabytes of a million bytes.
#[derive(Debug, Clone, Serialize)]
pub struct Measurement {
    /// What arrived in pieces.
    pub kind: Kind,
    /// Memory limit in the node's configuration.
    pub memory_mb: u32,
    /// Number of clients.
    pub clients: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: u32,
    /// Messages that the node held whole: requests that were served; with `head` all heads.
    pub whole: u32,
    /// Requests that got 429 or 503.
    pub rejected: u32,
    /// Requests with another end; with `head` none.
    pub other: u32,
    /// Resident memory before the requests.
    pub before_mb: f64,
    /// Length of all messages that the node held whole.
    pub held_mb: f64,
    /// Peak of the resident memory.
    pub peak_mb: f64,
    /// The growth of the memory over what was held.
    pub growth_over_held: f64,
    /// The peak over the memory before the requests and what was held.
    pub peak_over_needed: f64,
}

/// Starts a node with its peers, has all clients send their requests at the same time, and reads the node's
/// memory.
///
/// # Errors
/// Returns an error if the node or a peer can't be started, or the node exits.
pub async fn measure(setup: &Setup<'_>) -> Result<Measurement, BenchError> {
    let configuration = write_configuration(setup).await?;
    let StartedProcess { mut process, node } =
        StartedProcess::start(&setup.options.program, configuration.path())?;
    let measured = tokio::select! {
        measured = async {
            let edge = node.wait_until_listening(READY_LIMIT).await?;
            edge.wait_until_ready(READY_LIMIT).await?;
            measure_node(setup, &edge).await
        } => measured,
        error = process.unexpected_exit() => Err(error),
    };
    process.kill().await;
    measured
}

async fn measure_node(setup: &Setup<'_>, edge: &EdgeNode) -> Result<Measurement, BenchError> {
    sleep(SETTLE_TIME).await;
    let before = edge.usage()?.memory.resident;
    let ends = send_all(setup, edge).await;
    let peak = edge.usage()?.memory.peak;
    let count = |end| ends.iter().filter(|&&other| other == end).count() as u32;
    let (whole, other) = match setup.kind {
        Kind::Head => (setup.clients, 0),
        _ => (count(RequestEnd::Served), count(RequestEnd::Other)),
    };
    let held_mb = f64::from(whole) * f64::from(setup.options.message_bytes) / BYTES_PER_MB;
    let before_mb = before as f64 / BYTES_PER_MB;
    let peak_mb = peak as f64 / BYTES_PER_MB;
    Ok(Measurement {
        kind: setup.kind,
        memory_mb: setup.memory_mb,
        clients: setup.clients,
        piece_bytes: setup.piece_bytes,
        whole,
        rejected: count(RequestEnd::Rejected),
        other,
        before_mb,
        held_mb,
        peak_mb,
        growth_over_held: (peak_mb - before_mb) / held_mb,
        peak_over_needed: peak_mb / (before_mb + held_mb),
    })
}

async fn send_all(setup: &Setup<'_>, edge: &EdgeNode) -> Vec<RequestEnd> {
    let start = Instant::now() + CONNECT_TIME;
    let span = Duration::from_millis(setup.options.request_ms);
    let mut clients = JoinSet::new();
    for number in 0..setup.clients {
        clients.spawn(PiecewiseRequest::new(setup, number).send(edge.address, start, span));
    }
    clients.join_all().await
}

async fn write_configuration(setup: &Setup<'_>) -> Result<tempfile::NamedTempFile, BenchError> {
    let shape = ResponseShape {
        framing: setup.kind.response_framing(),
        length: setup.options.message_bytes as usize,
        piece_bytes: setup.piece_bytes as usize,
        span: Duration::from_millis(setup.options.response_ms),
    };
    let port = endpoints::start(shape).map_err(|source| listen_error("endpoints", source))?;
    let list = EndpointList::new(ListShape {
        endpoints: ENDPOINTS,
        seed: 1,
        zones: 1,
        name_length: MIN_NAME_LENGTH,
        port,
    });
    let snapshot = list.snapshot();
    let agent = DiscoveryAgent::start(list, false).await;
    let agent = agent.map_err(|source| listen_error("discovery agent", source))?;
    let capacity =
        CounterCapacity { calls_per_second: COUNTER_CALLS_PER_SECOND, delay: Duration::from_millis(1) };
    let counter = CounterService::start(capacity).await;
    let counter = counter.map_err(|source| listen_error("counter service", source))?;
    let peers = PeerAddresses { agent: agent.address(), counter: counter.address() };
    configuration::write(&node_options(setup), peers, snapshot)
}

fn node_options(setup: &Setup<'_>) -> NodeOptions {
    NodeOptions {
        servers: ENDPOINTS,
        nodes: 1,
        me: 0,
        zones: 1,
        spread: 1,
        deadline_ms: 3_000,
        sockets: setup.options.sockets,
        memory_mb: setup.memory_mb,
        ..NodeOptions::default()
    }
}

fn listen_error(peer: &'static str, source: std::io::Error) -> BenchError {
    BenchError::System {
        operation: "cannot listen for a peer",
        source: std::io::Error::other(format!("{peer}: {source}")),
    }
}
