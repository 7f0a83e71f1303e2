//! Runs one play: starts a real edge node process with its peers and clients, carries out the plan, and shuts
//! the node down.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use serde::Serialize;
use tempfile::NamedTempFile;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::client::{Client, ClientSetup};
use super::endpoints::{EndpointFault, FaultyEndpoints};
use super::flood;
use super::lateness::LatenessMeter;
use super::plan::{Fault, FaultKind, Flood, Plan, Reload, Shutdown, ShutdownSignal};
use super::play_times::PlayTimes;
use super::rules::{Counts, RequestLog, Violation, RESPONSE_SLACK};
use crate::error::BenchError;
use crate::fakes::counter_service::{CounterCapacity, CounterMode, CounterService};
use crate::fakes::discovery_agent::DiscoveryAgent;
use crate::fakes::endpoint_list::{EndpointList, ListShape, MIN_NAME_LENGTH};
use crate::node::configuration::{self, PeerAddresses};
use crate::node::process::{Process, StartedProcess};
use crate::node::Options as NodeOptions;

/// Time within which the node has to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Minimum duration of the load.
const MIN_LOAD_TIME: Duration = Duration::from_secs(6);
/// Time after the last fault within which a request has to be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two checks of whether a request has been served again.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest deadline of a request.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time from the first signal of the shutdown until the node is killed.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Pause between two signals of a shutdown.
const SHUTDOWN_SIGNAL_PAUSE: Duration = Duration::from_millis(200);
/// Pause after each signal of a reload.
const RELOAD_SIGNAL_PAUSE: Duration = Duration::from_millis(5);
/// Time after the end of a flood during which it still affects other clients.
const FLOOD_EFFECT_TIME: Duration = Duration::from_secs(1);
/// If a timer of this process fired later than this, the play says nothing about the node and counts as
/// disturbed.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(50);
/// Client number of the first newcomer of a flood, above those of all other clients; the other newcomers have
/// the next numbers.
const FIRST_NEWCOMER_NUMBER: u64 = 1_000;
/// Quota of an account whose plan has one, in units per second, and its burst, in units.
const QUOTA_UNITS: f64 = 50.0;
/// Calls per second that the counter service accepts.
const COUNTER_CALLS_PER_SECOND: f64 = 800.0;
/// Time that each reply of the counter service takes.
const COUNTER_DELAY: Duration = Duration::from_millis(1);
/// File descriptors that the node may use.
const NODE_DESCRIPTORS: u32 = 256;

/// The outcome of a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No rule was broken, and the play was not disturbed.
    Passed,
    /// A rule was broken, and the play was not disturbed.
    Failed,
    /// The machine was too slow for the play to say anything about the node, whether or not a rule was
    /// broken.
    Disturbed,
}

/// The plan and the result of a play.
#[derive(Debug, Clone, Serialize)]
pub struct PlayResult {
    /// The seed of the play.
    pub seed: u64,
    /// The outcome of the play.
    pub verdict: Verdict,
    /// The violations of rules; empty if no rule was broken.
    pub violations: Vec<Violation>,
    /// Number of requests by the way in which they ended.
    pub counts: Counts,
    /// Greatest lateness of a timer of this process, in milliseconds.
    pub lateness_ms: u64,
    /// The plan drawn from the seed.
    pub plan: Plan,
}

/// The peers of the node.
struct Peers {
    endpoints: Arc<FaultyEndpoints>,
    counter: Arc<CounterService>,
    /// Two discovery agents with the same list. The configuration names one of them.
    agents: [Arc<DiscoveryAgent>; 2],
}

/// The node's configuration file, and the options and endpoint list from which it is written.
struct Configuration {
    options: NodeOptions,
    list: ListShape,
    file: NamedTempFile,
}

/// A play that is under way.
struct Play<'a> {
    plan: &'a Plan,
    peers: Peers,
    configuration: Configuration,
    process: Process,
    setup: Arc<ClientSetup>,
    load_start: Instant,
}

/// Runs the play with this seed and returns its result.
///
/// # Errors
/// Returns an error if the peers or the node can't be started, or the configuration file can't be written.
pub async fn run(seed: u64, program: &Path) -> Result<PlayResult, BenchError> {
    let plan = Plan::draw(seed);
    let request_log = Arc::<RequestLog>::default();
    let lateness = LatenessMeter::start();
    let mut violations = Play::start(&plan, program, request_log.clone()).await?.run().await?;
    violations.extend(request_log.violations());
    let lateness = lateness.greatest();
    let verdict = match violations.is_empty() {
        _ if lateness > MAX_TIMER_LATENESS => Verdict::Disturbed,
        true => Verdict::Passed,
        false => Verdict::Failed,
    };
    let lateness_ms = lateness.as_millis() as u64;
    Ok(PlayResult { seed, verdict, violations, counts: request_log.counts(), lateness_ms, plan })
}

impl<'a> Play<'a> {
    /// Starts the peers and the node, and waits until the node is ready.
    async fn start(
        plan: &'a Plan,
        program: &Path,
        request_log: Arc<RequestLog>,
    ) -> Result<Play<'a>, BenchError> {
        let endpoints = FaultyEndpoints::start(plan.seed, request_log.clone())
            .map_err(|source| system_error("cannot listen for endpoints", source))?;
        let list = ListShape {
            endpoints: plan.endpoints,
            seed: plan.seed,
            zones: 1,
            name_length: MIN_NAME_LENGTH,
            port: endpoints.port(),
        };
        let peers = Peers::start(&list, endpoints).await?;
        let options = node_options(plan);
        let file =
            configuration::write(&options, peers.addresses(0), EndpointList::new(list.clone()).snapshot())?;
        let StartedProcess { process, node } = StartedProcess::start(program, file.path())?;
        let edge = node.wait_until_listening(READY_LIMIT).await?;
        edge.wait_until_ready(READY_LIMIT).await?;
        let setup = ClientSetup {
            address: edge.address,
            seed: plan.seed,
            only_class: plan.only_class,
            pause: Duration::from_millis(plan.pause_ms),
            request_log,
            times: Arc::<PlayTimes>::default(),
        };
        let configuration = Configuration { options, list, file };
        let load_start = Instant::now();
        Ok(Play { plan, peers, configuration, process, setup: Arc::new(setup), load_start })
    }

    /// Carries out the plan to its end. Returns the violations that don't concern a single request.
    async fn run(mut self) -> Result<Vec<Violation>, BenchError> {
        let mut clients = JoinSet::new();
        for number in 0..self.plan.clients {
            clients.spawn(Client::new(self.setup.clone(), number as u64).run());
        }
        let (recovery, held_clients, ()) = {
            let recovered = self.wait_for_recovery();
            let flood = self.run_flood();
            let faults_and_reloads = async { tokio::join!(self.run_faults(), self.run_reloads()) };
            let (recovery, held_clients, (_, reloads)) = tokio::join!(recovered, flood, faults_and_reloads);
            (recovery, held_clients, reloads?)
        };
        let mut violations: Vec<Violation> = recovery.into_iter().chain(held_clients).collect();
        violations.extend(self.shut_down().await);
        self.setup.times.end();
        // Clients that still wait for a response stop waiting after their deadline.
        let longest_wait = LONGEST_DEADLINE + RESPONSE_SLACK + Duration::from_secs(1);
        let _ = timeout(longest_wait, async { while clients.join_next().await.is_some() {} }).await;
        Ok(violations)
    }

    /// Waits until the load has lasted for its minimum duration and a request that was sent after the last
    /// fault has been served. Returns a violation if that takes too long.
    async fn wait_for_recovery(&self) -> Option<Violation> {
        let faults_end_at = self.load_start + self.plan.last_fault_end();
        sleep_until(faults_end_at.max(self.load_start + MIN_LOAD_TIME)).await;
        while Instant::now() < faults_end_at + RECOVERY_LIMIT {
            if self.setup.request_log.has_served_since(faults_end_at) {
                return None;
            }
            sleep(RECOVERY_CHECK_INTERVAL).await;
        }
        Some(Violation::NotRecovered { within_ms: RECOVERY_LIMIT.as_millis() as u64 })
    }

    /// Runs all faults of the plan and waits until they have ended.
    async fn run_faults(&self) {
        let mut faults = JoinSet::new();
        for fault in &self.plan.faults {
            let endpoints = self.peers.endpoints.clone();
            let counter = self.peers.counter.clone();
            faults.spawn(run_fault(
                fault.clone(),
                self.load_start,
                endpoints,
                counter,
                self.peers.agents.clone(),
            ));
        }
        while faults.join_next().await.is_some() {}
    }

    /// Runs the flood of the plan, if it has one, together with the newcomers. Returns a violation if the
    /// node kept the connections of clients that sent a part of a request.
    async fn run_flood(&self) -> Option<Violation> {
        let flood = self.plan.flood.as_ref()?;
        sleep_until(self.load_start + Duration::from_millis(flood.start_ms)).await;
        self.setup.times.begin_flood(Instant::now() + flood::CONNECTION_TIME + FLOOD_EFFECT_TIME);
        let newcomers = self.start_newcomers(flood);
        let clients = flood::run(flood, self.setup.address).await;
        newcomers.join_all().await;
        (clients > 0).then_some(Violation::BadClientsHeld { clients })
    }

    /// Starts the clients that connect during the flood, each for one request.
    fn start_newcomers(&self, flood: &Flood) -> JoinSet<()> {
        let mut newcomers = JoinSet::new();
        for number in 0..flood.newcomers as u64 {
            let client = Client::new(self.setup.clone(), FIRST_NEWCOMER_NUMBER + number);
            newcomers.spawn(async move {
                sleep(Duration::from_millis(60 + number * 10)).await;
                client.run_once().await;
            });
        }
        newcomers
    }

    /// Carries out the reloads of the plan in the order of their times.
    async fn run_reloads(&self) -> Result<(), BenchError> {
        let mut reloads: Vec<&Reload> = self.plan.reloads.iter().collect();
        reloads.sort_by_key(|reload| reload.at_ms);
        let mut agent = 0;
        for reload in reloads {
            sleep_until(self.load_start + Duration::from_millis(reload.at_ms)).await;
            if reload.is_spoilt {
                self.configuration.write_malformed()?;
                self.process.signal(Signal::HUP);
                sleep(RELOAD_SIGNAL_PAUSE).await;
            }
            agent = if reload.moves_discovery { 1 - agent } else { agent };
            self.configuration.replace(self.peers.addresses(agent))?;
            for _ in 0..reload.signals {
                self.process.signal(Signal::HUP);
                sleep(RELOAD_SIGNAL_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Shuts the node down, and kills it if it still runs [`KILL_AFTER`] after the first signal, which is not
    /// itself a violation. Returns violations for an exit with an error and for a panic.
    async fn shut_down(&mut self) -> Vec<Violation> {
        let Shutdown { first, further, new_connections_ms } = &self.plan.shutdown;
        let kill_at = Instant::now() + KILL_AFTER;
        self.setup.times.begin_shutdown(Instant::now() + Duration::from_millis(*new_connections_ms));
        self.process.signal(signal(*first));
        for further in further {
            sleep(SHUTDOWN_SIGNAL_PAUSE).await;
            self.process.signal(signal(*further));
        }
        let status = self.process.wait_for_exit(kill_at.saturating_duration_since(Instant::now())).await;
        if status.is_none() {
            self.process.signal(Signal::KILL);
            let _ = self.process.wait_for_exit(READY_LIMIT).await;
        }
        let bad_status = status.filter(|status| !status.success()).map(|status| status.to_string());
        let what = bad_status.into_iter().chain(self.process.panic_line().await);
        what.map(|what| Violation::Process { what }).collect()
    }
}

impl Peers {
    async fn start(list: &ListShape, endpoints: Arc<FaultyEndpoints>) -> Result<Peers, BenchError> {
        let agent = || DiscoveryAgent::start(EndpointList::new(list.clone()), false);
        let failed = |source| system_error("cannot listen for the discovery agent", source);
        let agents = [agent().await.map_err(failed)?, agent().await.map_err(failed)?];
        let capacity = CounterCapacity { calls_per_second: COUNTER_CALLS_PER_SECOND, delay: COUNTER_DELAY };
        let counter = CounterService::start(capacity).await;
        let counter =
            counter.map_err(|source| system_error("cannot listen for the counter service", source))?;
        Ok(Peers { endpoints, counter, agents })
    }

    /// Returns the addresses of the node's peers, with the discovery agent of this index.
    fn addresses(&self, agent: usize) -> PeerAddresses {
        PeerAddresses { agent: self.agents[agent].address(), counter: self.counter.address() }
    }
}

impl Configuration {
    /// Replaces the file with a configuration that has these addresses of peers.
    fn replace(&self, peers: PeerAddresses) -> Result<(), BenchError> {
        let list = EndpointList::new(self.list.clone()).snapshot();
        let next = configuration::write(&self.options, peers, list)?;
        let replaced = next.persist(self.file.path());
        replaced.map(drop).map_err(|error| self.file_error(error.error))
    }

    /// Overwrites the file with malformed JSON.
    fn write_malformed(&self) -> Result<(), BenchError> {
        std::fs::write(self.file.path(), "{\"name\": ").map_err(|source| self.file_error(source))
    }

    fn file_error(&self, source: std::io::Error) -> BenchError {
        BenchError::File { path: self.file.path().display().to_string(), source }
    }
}

/// Waits for the start of a fault, begins it and ends it.
async fn run_fault(
    fault: Fault,
    load_start: Instant,
    endpoints: Arc<FaultyEndpoints>,
    counter: Arc<CounterService>,
    agents: [Arc<DiscoveryAgent>; 2],
) {
    let start = load_start + Duration::from_millis(fault.start_ms);
    let end = start + Duration::from_millis(fault.length_ms);
    sleep_until(start).await;
    match fault.kind {
        FaultKind::Endpoints { behaviour, share } => {
            let fault = EndpointFault { behaviour, share };
            endpoints.begin_fault(fault);
            sleep_until(end).await;
            endpoints.end_fault(fault);
        }
        FaultKind::CounterSilent => run_counter_fault(&counter, CounterMode::Silent, end).await,
        FaultKind::CounterReset => run_counter_fault(&counter, CounterMode::Resetting, end).await,
        FaultKind::CounterBusy => run_counter_fault(&counter, CounterMode::Busy, end).await,
        FaultKind::DiscoverySilent => {
            set_silent(&agents, true);
            sleep_until(end).await;
            set_silent(&agents, false);
        }
    }
}

fn set_silent(agents: &[Arc<DiscoveryAgent>], silent: bool) {
    for agent in agents {
        agent.set_silent(silent);
    }
}

async fn run_counter_fault(counter: &CounterService, mode: CounterMode, end: Instant) {
    counter.set_mode(mode);
    sleep_until(end).await;
    counter.set_mode(CounterMode::Serving);
}

fn node_options(plan: &Plan) -> NodeOptions {
    NodeOptions {
        servers: plan.endpoints,
        nodes: 1,
        me: 0,
        seed: plan.seed,
        zones: 1,
        deadline_ms: LONGEST_DEADLINE.as_millis() as u64,
        quota_per_s: QUOTA_UNITS,
        quota_burst: QUOTA_UNITS,
        sockets: NODE_DESCRIPTORS,
        ..NodeOptions::default()
    }
}

fn signal(signal: ShutdownSignal) -> Signal {
    match signal {
        ShutdownSignal::Terminate => Signal::TERM,
        ShutdownSignal::Interrupt => Signal::INT,
        ShutdownSignal::Hangup => Signal::HUP,
    }
}

fn system_error(operation: &'static str, source: std::io::Error) -> BenchError {
    BenchError::System { operation, source }
}
