//! Starts the fake peers of a run, and schedules what happens to them during the run.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::time::{interval_at, sleep_until, Instant};

use super::configuration::PeerAddresses;
use super::option_values::{AgentReturn, InitialList, Span, WorkTimes};
use super::options::Options;
use crate::error::BenchError;
use crate::fakes::counter_service::{CounterCapacity, CounterService};
use crate::fakes::discovery_agent::DiscoveryAgent;
use crate::fakes::endpoint_list::{EndpointList, ListMessage, ListShape};
use crate::fakes::endpoints::{Endpoints, WorkModel};
use crate::fakes::hash::mix;

/// Number of list changes by which a stale or old initial list of the node is behind the agent's list.
const CHANGES_BEFORE_START: u32 = 9;

/// The fake peers of the edge node.
pub struct Peers {
    /// The fake discovery agent.
    pub agent: Arc<DiscoveryAgent>,
    /// The fake counter service.
    pub counter: Arc<CounterService>,
    /// The fake endpoints.
    pub endpoints: Arc<Endpoints>,
}

/// The fake peers, and the endpoint list that the node has when it starts.
pub struct StartedPeers {
    /// The fake peers.
    pub peers: Peers,
    /// The endpoint list that goes into the node's configuration.
    pub initial_list: ListMessage,
}

impl Peers {
    /// Starts the endpoints in the caller's runtime, and the discovery agent and the counter service in
    /// `control`.
    ///
    /// # Errors
    /// Returns an error if one of them can't listen.
    pub async fn start(
        options: &Options,
        control: &Runtime,
        work: WorkModel,
        request_count: u32,
    ) -> Result<StartedPeers, BenchError> {
        let endpoints = Endpoints::start(work, request_count).map_err(|source| BenchError::System {
            operation: "cannot listen for the endpoints on the loopback device alone",
            source,
        })?;
        let mut list = EndpointList::new(ListShape {
            endpoints: options.servers,
            seed: options.seed,
            zones: options.zones,
            name_length: options.name_length.into(),
            port: endpoints.port(),
        });
        let initial_list = initial_list(&mut list, options.known);
        let agent = DiscoveryAgent::start(list, options.indented);
        let agent = start_in(control, "cannot listen for the discovery agent", agent).await?;
        let capacity = CounterCapacity {
            calls_per_second: options.counter_per_s,
            delay: Duration::from_secs_f64(options.counter_delay_ms / 1e3),
        };
        let counter = CounterService::start(capacity);
        let counter = start_in(control, "cannot listen for the counter service", counter).await?;
        Ok(StartedPeers { peers: Peers { agent, counter, endpoints }, initial_list })
    }

    /// Returns the addresses of the discovery agent and the counter service.
    pub fn addresses(&self) -> PeerAddresses {
        PeerAddresses { agent: self.agent.address(), counter: self.counter.address() }
    }

    /// Starts to change the endpoint list at the rate of the options. The changes go on for as long as the
    /// runtime `control` lives. Does nothing if the rate is 0.
    pub fn start_list_changes(&self, options: &Options, control: &Runtime) {
        if options.changes_per_s <= 0.0 {
            return;
        }
        let agent = self.agent.clone();
        let period = Duration::from_secs_f64(1.0 / options.changes_per_s);
        control.spawn(async move {
            let mut ticks = interval_at(Instant::now() + period, period);
            loop {
                ticks.tick().await;
                agent.make_next_change();
            }
        });
    }

    /// Schedules the replacement of the endpoint list and the silences that the options ask for, relative to
    /// the start of the load.
    pub fn schedule_disturbances(&self, options: &Options, control: &Runtime, load_start: Instant) {
        if let Some(at_s) = options.replace_at_s {
            control.spawn(replace_list(self.agent.clone(), load_start + Duration::from_secs_f64(at_s)));
        }
        if let Some(span) = options.agent_silent_s {
            let silence = silence_agent(self.agent.clone(), span, options.agent_returns, load_start);
            control.spawn(silence);
        }
        if let Some(span) = options.counter_silent_s {
            control.spawn(silence_counter(self.counter.clone(), span, load_start));
        }
    }
}

/// Returns how the endpoints work on requests.
pub fn work_model(options: &Options) -> WorkModel {
    WorkModel {
        seed: mix(options.seed, 4),
        mean: Duration::from_secs_f64(options.work_ms / 1e3),
        exponential: options.work_times == WorkTimes::Exponential,
        body_length: options.answer_bytes,
        idle_timeout: Duration::from_secs_f64(options.conn_idle_s),
    }
}

/// Returns the endpoint list that the node has when it starts, and brings the agent's list as far ahead of it
/// as `initial` says.
fn initial_list(list: &mut EndpointList, initial: InitialList) -> ListMessage {
    let snapshot = list.snapshot();
    match initial {
        InitialList::Current => snapshot,
        InitialList::Stale => {
            make_changes(list);
            snapshot
        }
        InitialList::Old => {
            make_changes(list);
            list.discard_changes();
            snapshot
        }
        InitialList::None => ListMessage { version: 0, is_snapshot: true, endpoints: Vec::new() },
    }
}

fn make_changes(list: &mut EndpointList) {
    for _ in 0..CHANGES_BEFORE_START {
        list.make_next_change(0);
    }
}

/// Runs `start` in a runtime and returns its result. An error names `operation` as the operation that failed.
async fn start_in<T: Send + 'static>(
    runtime: &Runtime,
    operation: &'static str,
    start: impl Future<Output = io::Result<T>> + Send + 'static,
) -> Result<T, BenchError> {
    let started = runtime.spawn(start).await.unwrap_or_else(|error| Err(error.into()));
    started.map_err(|source| BenchError::System { operation, source })
}

async fn replace_list(agent: Arc<DiscoveryAgent>, at: Instant) {
    sleep_until(at).await;
    agent.update(EndpointList::replace_all);
}

async fn silence_agent(
    agent: Arc<DiscoveryAgent>,
    span: Span,
    agent_return: AgentReturn,
    load_start: Instant,
) {
    sleep_until(load_start + Duration::from_secs_f64(span.from_s)).await;
    agent.set_silent(true);
    sleep_until(load_start + Duration::from_secs_f64(span.to_s)).await;
    if agent_return == AgentReturn::Whole {
        agent.update(EndpointList::discard_changes);
    }
    agent.set_silent(false);
}

async fn silence_counter(counter: Arc<CounterService>, span: Span, load_start: Instant) {
    sleep_until(load_start + Duration::from_secs_f64(span.from_s)).await;
    counter.set_silent(true);
    sleep_until(load_start + Duration::from_secs_f64(span.to_s)).await;
    counter.set_silent(false);
}
