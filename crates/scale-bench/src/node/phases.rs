//! Runs the idle phase and the load phase, and takes readings before and after each of them.

use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::time::{sleep, sleep_until, Instant};

use super::load::schedule::RequestSchedule;
use super::load::{self, LoadResults};
use super::options::Options;
use super::peers::Peers;
use super::process::EdgeNode;
use super::usage::Usage;
use crate::error::BenchError;
use crate::fakes::counter_service::CallCounts;
use crate::fakes::discovery_agent::MessageCounts;
use crate::fakes::endpoints::{EndpointCounts, WorkModel};
use crate::fakes::traffic::ByteCounts;

/// The resources that the edge node has used, and the bytes that its peers have exchanged, up to a point in
/// time.
pub struct Reading {
    /// Resources that the node has used.
    pub usage: Usage,
    /// Bytes that the discovery agent has received and sent.
    pub agent: ByteCounts,
    /// Bytes that the counter service has received and sent.
    pub counter: ByteCounts,
    /// When this reading was taken.
    pub read_at: Instant,
}

impl Reading {
    fn new(edge: &EdgeNode, peers: &Peers) -> Result<Reading, BenchError> {
        let agent = peers.agent.byte_counts();
        let counter = peers.counter.byte_counts();
        Ok(Reading { usage: edge.usage()?, agent, counter, read_at: Instant::now() })
    }
}

/// Readings of the same values before and after the load.
pub struct BeforeAndAfter<T> {
    /// Reading before the load.
    pub before: T,
    /// Reading after the load.
    pub after: T,
}

/// All measurements of a run.
pub struct Measured {
    /// Reading at the start of the idle phase.
    pub before_idle: Reading,
    /// Reading at the end of the idle phase, which is the start of the load phase.
    pub after_idle: Reading,
    /// Reading at the end of the load phase, when requests may still be in flight.
    pub after_load: Reading,
    /// Results of the requests.
    pub results: LoadResults,
    /// Resources that the node has used until all requests had ended.
    pub usage_at_end: Usage,
    /// Messages that the discovery agent has sent.
    pub agent_messages: BeforeAndAfter<MessageCounts>,
    /// Calls that the counter service has received.
    pub counter_calls: BeforeAndAfter<CallCounts>,
    /// Resources that this process has used; the reading after the load is taken at the end of the load
    /// phase.
    pub own_usage: BeforeAndAfter<Usage>,
    /// Counts of the endpoints, over the whole run.
    pub endpoints: EndpointCounts,
    /// Number of lines that the node has written to its log, over the whole run.
    pub log_lines: u64,
}

/// Waits for the node to settle, runs the idle phase and then the load phase, and returns the measurements.
///
/// # Errors
/// Returns an error if the node exits during the run, or if the load can't be started.
pub async fn run(
    options: &Options,
    control: &Runtime,
    edge: &EdgeNode,
    peers: &Peers,
    schedule: RequestSchedule,
    work: WorkModel,
) -> Result<Measured, BenchError> {
    sleep(Duration::from_secs_f64(options.settle_s)).await;
    let before_idle = Reading::new(edge, peers)?;
    sleep(Duration::from_secs_f64(options.idle_s)).await;
    let after_idle = Reading::new(edge, peers)?;

    let calls_before = peers.counter.call_counts();
    let messages_before = peers.agent.message_counts();
    let own_usage_before = Usage::of(std::process::id())?;
    let load_start = Instant::now();
    peers.schedule_disturbances(options, control, load_start);
    let sending = load::send(schedule, edge.address, options, peers.endpoints.clone(), work);
    let load_end = load_start + Duration::from_secs_f64(options.load_s);
    let (results, at_end) = tokio::try_join!(sending, take_readings_at(load_end, edge, peers))?;

    Ok(Measured {
        before_idle,
        after_idle,
        after_load: at_end.reading,
        results,
        usage_at_end: edge.usage()?,
        agent_messages: BeforeAndAfter { before: messages_before, after: peers.agent.message_counts() },
        counter_calls: BeforeAndAfter { before: calls_before, after: peers.counter.call_counts() },
        own_usage: BeforeAndAfter { before: own_usage_before, after: at_end.own_usage },
        endpoints: peers.endpoints.counts(),
        log_lines: edge.log_lines(),
    })
}

struct EndReadings {
    reading: Reading,
    own_usage: Usage,
}

/// Takes the readings of the end of the load phase at the time `at`.
async fn take_readings_at(at: Instant, edge: &EdgeNode, peers: &Peers) -> Result<EndReadings, BenchError> {
    sleep_until(at).await;
    let own_usage = Usage::of(std::process::id())?;
    Ok(EndReadings { reading: Reading::new(edge, peers)?, own_usage })
}
