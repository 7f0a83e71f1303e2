//! Runs one node as a process: builds the node's parts, rereads the addresses of its services on SIGHUP, and
//! shuts down gracefully on SIGTERM or SIGINT.

use std::future::Future;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

use crate::config::{self, Config, ConfigError, ServiceAddresses};
use crate::decision::{DecisionEngine, Event, Settings};
use crate::memory_shares::MemoryShares;
use crate::net::connection_memory::ConnectionMemory;
use crate::net::counter::CounterClient;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::{Discovery, WatchSchedule};
use crate::net::downstream::{DownstreamServer, RequestRules};
use crate::net::event_loop::EventLoop;
use crate::net::event_sink::EventSink;
use crate::net::http_body::BodyMemory;
use crate::net::shutdown_schedule::ShutdownSchedule;
use crate::net::upstream::Upstreams;
use crate::protocol::settings::SettingsDocument;

/// Interval at which a node that is shutting down checks whether it is drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of connections that the kernel queues before the node accepts them.
const LISTEN_BACKLOG: u32 = 1024;

/// Why the node could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration can't be loaded.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The node can't listen on the configured address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system refused to set up the async runtime, a signal handler or the limit of file
    /// descriptors, or to report the address that the listener is bound to.
    #[error("cannot start: {0}")]
    System(#[source] io::Error),
}

/// Runs a node with the configuration file that the environment names. Returns after a graceful shutdown,
/// which SIGTERM or SIGINT starts.
///
/// # Errors
/// If the node can't start. Once the node has started, no error is returned.
pub fn run() -> Result<(), StartError> {
    let config_path = config::path_from_environment()?;
    let config = Config::load(&config_path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(StartError::System)?;
    runtime.block_on(run_node(config, config_path))
}

async fn run_node(config: Config, config_path: String) -> Result<(), StartError> {
    let mut signals = Signals::install()?;
    let resources = Resources::new(&config)?;
    let node = Node::build(config.settings, config.seed, &config.services, resources);
    let listener = listen(config.listen_address)
        .map_err(|source| StartError::Listen { address: config.listen_address, source })?;
    let bound_address = listener.local_addr().map_err(StartError::System)?;
    eprintln!("edge-node: listening on {bound_address}");

    node.discovery.start(&node.events(), config.known_endpoints);
    node.counter.start(&node.events());
    tokio::task::spawn_local(node.reloader(signals.hangup, config_path).run());
    let accepting = tokio::task::spawn_local(node.accept(listener));
    wait_for_either(&mut signals.terminate, &mut signals.interrupt).await;
    node.shut_down(&accepting).await;
    Ok(())
}

/// The signals that the process handles: SIGHUP, SIGTERM and SIGINT.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Self, StartError> {
        let install = |kind| signal(kind).map_err(StartError::System);
        Ok(Signals {
            hangup: install(SignalKind::hangup())?,
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }
}

/// Returns once one of the two signals is received.
async fn wait_for_either(first: &mut Signal, second: &mut Signal) {
    tokio::select! {
        _ = first.recv() => {}
        _ = second.recv() => {}
    }
}

/// What the parts of a node share of the process's limits.
struct Resources {
    budget: Rc<DescriptorBudget>,
    connection_memory: Rc<ConnectionMemory>,
    body_memory: Rc<BodyMemory>,
    /// The number of accounts of which the node may keep state.
    max_accounts: usize,
}

impl Resources {
    fn new(config: &Config) -> Result<Self, StartError> {
        Ok(Resources {
            budget: descriptor_budget(config.max_descriptors)?,
            connection_memory: ConnectionMemory::new(config.max_memory_bytes),
            body_memory: Rc::new(BodyMemory::new(config.max_memory_bytes)),
            max_accounts: MemoryShares::of(config.max_memory_bytes).max_accounts(),
        })
    }
}

/// Raises the process's limit of file descriptors towards `max_descriptors`, as far as the operating system
/// allows. Returns a budget of the resulting limit, which is at most `max_descriptors`.
fn descriptor_budget(max_descriptors: usize) -> Result<Rc<DescriptorBudget>, StartError> {
    let allowed = rlimit::increase_nofile_limit(max_descriptors as u64).map_err(StartError::System)?;
    Ok(DescriptorBudget::new(max_descriptors.min(allowed as usize)))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The parts of a running node.
struct Node {
    event_loop: Rc<EventLoop>,
    discovery: Rc<Discovery>,
    counter: Rc<CounterClient>,
    downstream: Rc<DownstreamServer>,
    budget: Rc<DescriptorBudget>,
    shutdown_schedule: ShutdownSchedule,
    polls_endpoint_list: bool,
}

impl Node {
    fn build(
        mut document: SettingsDocument,
        seed: u64,
        services: &ServiceAddresses,
        resources: Resources,
    ) -> Node {
        let Resources { budget, connection_memory, body_memory, max_accounts } = resources;
        let zones = mem::take(&mut document.zones);
        let machine_kinds = mem::take(&mut document.machine_kinds);
        let labels = PlacementLabels::new(zones, machine_kinds);
        let connection_idle_timeout = document.limits.connection_idle_timeout();
        let rules = RequestRules::new(&document);
        let settings = Settings { max_accounts: Some(max_accounts), ..Settings::from(document) };
        let shutdown_schedule = ShutdownSchedule::new(longest_total_timeout(&settings));
        let polls_endpoint_list = settings.polls_endpoint_list;

        let connect_timeout = settings.limits.connect_timeout;
        let upstreams = Upstreams::new(
            budget.clone(),
            connection_memory.clone(),
            body_memory.clone(),
            connect_timeout,
            connection_idle_timeout,
        );
        let counter_address = services.counter.filter(|_| settings.counter.enabled);
        let counter = CounterClient::new(counter_address, settings.counter.timeout, budget.clone());
        let watch_schedule = WatchSchedule::new(seed, settings.node_count, polls_endpoint_list);
        let discovery = Discovery::new(services.discovery, upstreams.clone(), labels, watch_schedule);
        let max_attempts = settings.limits.max_attempts;
        let engine = DecisionEngine::new(seed, settings);
        let event_loop = EventLoop::new(engine, max_attempts, upstreams, counter.clone(), discovery.clone());
        let downstream =
            DownstreamServer::new(event_loop.clone(), rules, budget.clone(), connection_memory, body_memory);
        Node { event_loop, discovery, counter, downstream, budget, shutdown_schedule, polls_endpoint_list }
    }

    /// Accepts clients until the listener closes.
    ///
    /// If an agent pushes the endpoint list, the first clients are accepted only after the first response of
    /// discovery was applied or the wait for it has timed out. If the nodes poll a shared service, clients
    /// are accepted at once, because the first calls of the nodes to that service are spread over time.
    fn accept(&self, listener: TcpListener) -> impl Future<Output = ()> + 'static {
        let discovery = self.discovery.clone();
        let polls_endpoint_list = self.polls_endpoint_list;
        let first_response = async move {
            if !polls_endpoint_list {
                discovery.wait_for_first_response().await;
            }
        };
        self.downstream.clone().accept(listener, first_response)
    }

    fn events(&self) -> Rc<dyn EventSink> {
        self.event_loop.clone()
    }

    fn reloader(&self, hangup: Signal, config_path: String) -> Reloader {
        Reloader {
            hangup,
            config_path,
            events: self.events(),
            discovery: self.discovery.clone(),
            counter: self.counter.clone(),
        }
    }

    /// Performs a graceful shutdown by the schedule: closes idle connections, then closes the listener, then
    /// fails the requests that have no final response. Returns once the node is drained (see
    /// [`is_drained`](Self::is_drained)), and at the schedule's `exit_at` at the latest.
    ///
    /// Idle connections are closed a second time after the listener, because clients may have opened new ones
    /// in between. From then on, the remaining steps are cut short as soon as the node is drained.
    async fn shut_down(&self, accepting: &JoinHandle<()>) {
        let started_at = Instant::now();
        let schedule = &self.shutdown_schedule;
        self.event_loop.start_shutdown();
        sleep_until(started_at + schedule.close_idle_at).await;
        self.downstream.close_idle_connections();
        sleep_until(started_at + schedule.close_listener_at).await;
        self.downstream.close_listener();
        // The decision engine is notified only now, because clients can connect until the listener closes.
        self.event_loop.send(Event::ShutdownStarted);
        self.downstream.close_idle_connections();
        self.drain_until(started_at + schedule.fail_requests_at, accepting).await;
        self.event_loop.fail_open_requests();
        self.drain_until(started_at + schedule.exit_at, accepting).await;
    }

    /// Returns once the node is drained, and at `limit` at the latest.
    async fn drain_until(&self, limit: Instant, accepting: &JoinHandle<()>) {
        while !self.is_drained(accepting) && Instant::now() < limit {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the node has accepted all connections in the listener's backlog, no client is
    /// connected or waits for a response, and all calls to the counter service have ended.
    fn is_drained(&self, accepting: &JoinHandle<()>) -> bool {
        accepting.is_finished()
            && !self.event_loop.has_waiting_clients()
            && self.budget.downstream_connections() == 0
            && self.counter.has_no_open_calls()
    }
}

/// Returns the longest total timeout of all request classes, or zero if there is no class.
/// [`ShutdownSchedule`] treats values above 3 s as 3 s.
fn longest_total_timeout(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.total_timeout).max();
    Duration::from_micros(longest.unwrap_or(0))
}

/// Rereads the addresses of discovery and the counter service from the configuration file on each SIGHUP,
/// also during a graceful shutdown.
struct Reloader {
    hangup: Signal,
    config_path: String,
    events: Rc<dyn EventSink>,
    discovery: Rc<Discovery>,
    counter: Rc<CounterClient>,
}

impl Reloader {
    async fn run(mut self) {
        while self.hangup.recv().await.is_some() {
            match ServiceAddresses::load(&self.config_path) {
                Ok(services) => self.apply(&services),
                Err(error) => eprintln!("edge-node: the old configuration stays: {error}"),
            }
        }
    }

    fn apply(&self, services: &ServiceAddresses) {
        self.discovery.set_address(&self.events, services.discovery);
        self.counter.set_address(&self.events, services.counter);
    }
}
