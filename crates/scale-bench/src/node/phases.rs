//! The idle time and the load of a run, and what is read before and after each.

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

/// What the edge node has used and its peers have seen up to a point in time.
pub struct Reading {
    /// What the node has used.
    pub usage: Usage,
    /// The bytes of the discovery agent.
    pub agent: ByteCounts,
    /// The bytes of the counter service.
    pub counter: ByteCounts,
    /// When this was read.
    pub read_at: Instant,
}

impl Reading {
    fn new(edge: &EdgeNode, peers: &Peers) -> Result<Reading, BenchError> {
        let agent = peers.agent.byte_counts();
        let counter = peers.counter.byte_counts();
        Ok(Reading { usage: edge.usage()?, agent, counter, read_at: Instant::now() })
    }
}

/// Counts before and after the load.
pub struct BeforeAndAfter<T> {
    /// Before it.
    pub before: T,
    /// After it.
    pub after: T,
}

/// All that was measured.
pub struct Measured {
    /// At the start of the idle time.
    pub before_idle: Reading,
    /// At its end, which is the start of the load.
    pub after_idle: Reading,
    /// At the end of the load.
    pub after_load: Reading,
    /// What became of the requests.
    pub results: LoadResults,
    /// What the node has used once all requests had ended.
    pub usage_at_end: Usage,
    /// The messages of the discovery agent.
    pub agent_messages: BeforeAndAfter<MessageCounts>,
    /// The calls of the counter service.
    pub counter_calls: BeforeAndAfter<CallCounts>,
    /// What this process has used.
    pub own_usage: BeforeAndAfter<Usage>,
    /// What the endpoints have counted in the whole run.
    pub endpoints: EndpointCounts,
    /// Lines of the node's log in the whole run.
    pub log_lines: u64,
}

/// Lets the node settle and idle, then sends the load.
///
/// # Errors
/// If the node ends meanwhile.
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
    let (results, at_end) = tokio::try_join!(sending, read_at(load_end, edge, peers))?;

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

struct ReadingAtEnd {
    reading: Reading,
    own_usage: Usage,
}

async fn read_at(at: Instant, edge: &EdgeNode, peers: &Peers) -> Result<ReadingAtEnd, BenchError> {
    sleep_until(at).await;
    let own_usage = Usage::of(std::process::id())?;
    Ok(ReadingAtEnd { reading: Reading::new(edge, peers)?, own_usage })
}
