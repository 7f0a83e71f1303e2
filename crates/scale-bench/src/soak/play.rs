//! One play: a real node, its peers, their faults, its clients and its end.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use serde::Serialize;
use tempfile::NamedTempFile;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::client::{Client, ClientSetup};
use super::endpoints::{EndpointFault, FaultyEndpoints};
use super::flood;
use super::phase::Phase;
use super::plan::{Fault, FaultKind, Flood, Plan, Reload, Shutdown, ShutdownSignal};
use super::rules::{Counts, Ledger, Violation, ANSWER_SLACK};
use crate::error::BenchError;
use crate::fakes::counter_service::{CounterCapacity, CounterMode, CounterService};
use crate::fakes::discovery_agent::DiscoveryAgent;
use crate::fakes::endpoint_list::{EndpointList, ListShape, MIN_NAME_LENGTH};
use crate::node::configuration::{self, PeerAddresses};
use crate::node::process::{Process, StartedProcess};
use crate::node::Options as NodeOptions;

/// How long the node may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The load lasts at least this long.
const LEAST_LOAD: Duration = Duration::from_secs(6);
/// Service has to come back within this time after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The longest deadline of a client.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// A node is killed this long after its signal.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Pause between the signals of a shutdown, and of a reload.
const SHUTDOWN_SIGNAL_PAUSE: Duration = Duration::from_millis(200);
const RELOAD_SIGNAL_PAUSE: Duration = Duration::from_millis(5);
/// A flood's effect on other clients lasts this long after its end.
const FLOOD_AFTERMATH: Duration = Duration::from_secs(1);
/// How often it is measured how late this process is.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);
/// A play in which this process was later than this shows nothing of the node.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// Clients that connect for one request beside a flood have numbers from here on.
const FIRST_NEWCOMER: u64 = 1_000;
/// Quota of an account of the plan with one: units a second, and at once.
const QUOTA_UNITS: f64 = 50.0;
/// Calls a second that the counter service takes.
const COUNTER_CALLS_PER_SECOND: f64 = 800.0;
const COUNTER_DELAY: Duration = Duration::from_millis(1);
/// Descriptors of the node.
const NODE_DESCRIPTORS: u32 = 256;

/// What a play has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// A rule was broken.
    Failed,
    /// The machine was too slow for the play to show anything.
    Disturbed,
}

/// A play's plan and result.
#[derive(Debug, Clone, Serialize)]
pub struct PlayResult {
    /// Its seed.
    pub seed: u64,
    /// What it has shown.
    pub verdict: Verdict,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// How the requests ended.
    pub counts: Counts,
    /// How late this process was at most, in milliseconds.
    pub lateness_ms: u64,
    /// What was drawn from the seed.
    pub plan: Plan,
}

/// The peers of the node.
struct Peers {
    endpoints: Arc<FaultyEndpoints>,
    counter: Arc<CounterService>,
    /// Two addresses of discovery with the same list.
    agents: [Arc<DiscoveryAgent>; 2],
}

/// The node's configuration file, and what it is made from.
struct Configuration {
    options: NodeOptions,
    list: ListShape,
    file: NamedTempFile,
}

/// A play under way.
struct Play<'a> {
    plan: &'a Plan,
    peers: Peers,
    configuration: Configuration,
    process: Process,
    setup: Arc<ClientSetup>,
    load_start: Instant,
}

/// Makes the play of a seed.
///
/// # Errors
/// If the peers or the node can't be started.
pub async fn run(seed: u64, program: &Path) -> Result<PlayResult, BenchError> {
    let plan = Plan::draw(seed);
    let ledger = Arc::<Ledger>::default();
    let lateness = LatenessMeter::start();
    let mut violations = Play::start(&plan, program, ledger.clone()).await?.run().await?;
    violations.extend(ledger.violations());
    let lateness = lateness.greatest();
    let verdict = match violations.is_empty() {
        _ if lateness > MAX_LATENESS => Verdict::Disturbed,
        true => Verdict::Passed,
        false => Verdict::Failed,
    };
    let lateness_ms = lateness.as_millis() as u64;
    Ok(PlayResult { seed, verdict, violations, counts: ledger.counts(), lateness_ms, plan })
}

impl<'a> Play<'a> {
    async fn start(plan: &'a Plan, program: &Path, ledger: Arc<Ledger>) -> Result<Play<'a>, BenchError> {
        let endpoints = FaultyEndpoints::start(plan.seed, ledger.clone())
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
        let edge = node.listens(READY_LIMIT).await?;
        edge.ready(READY_LIMIT).await?;
        let setup = ClientSetup {
            address: edge.address,
            seed: plan.seed,
            only_class: plan.only_class,
            pause: Duration::from_millis(plan.pause_ms),
            ledger,
            phase: Arc::<Phase>::default(),
        };
        let configuration = Configuration { options, list, file };
        let load_start = Instant::now();
        Ok(Play { plan, peers, configuration, process, setup: Arc::new(setup), load_start })
    }

    /// Runs the play to its end. Returns the rules that no single request shows to be broken.
    async fn run(mut self) -> Result<Vec<Violation>, BenchError> {
        let mut clients = JoinSet::new();
        for number in 0..self.plan.clients {
            clients.spawn(Client::new(self.setup.clone(), number as u64).run());
        }
        let (recovery, bad_clients, ()) = {
            let recovered = self.service_comes_back();
            let flood = self.flood();
            let disturbances = async { tokio::join!(self.faults(), self.reloads()) };
            let (recovery, bad_clients, (_, reloads)) = tokio::join!(recovered, flood, disturbances);
            (recovery, bad_clients, reloads?)
        };
        let mut violations: Vec<Violation> = recovery.into_iter().chain(bad_clients).collect();
        violations.extend(self.shut_down().await);
        self.setup.phase.end();
        // Those that still wait for an answer have a deadline.
        let longest_wait = LONGEST_DEADLINE + ANSWER_SLACK + Duration::from_secs(1);
        let _ = timeout(longest_wait, async { while clients.join_next().await.is_some() {} }).await;
        Ok(violations)
    }

    /// Waits until the load has lasted long enough and service has come back after the last fault.
    async fn service_comes_back(&self) -> Option<Violation> {
        let healed_at = self.load_start + self.plan.last_fault_end();
        sleep_until(healed_at.max(self.load_start + LEAST_LOAD)).await;
        while Instant::now() < healed_at + RECOVERY_LIMIT {
            if self.setup.ledger.has_served_since(healed_at) {
                return None;
            }
            sleep(RECOVERY_CHECK_INTERVAL).await;
        }
        Some(Violation::NotRecovered { within_ms: RECOVERY_LIMIT.as_millis() as u64 })
    }

    async fn faults(&self) {
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

    async fn flood(&self) -> Option<Violation> {
        let flood = self.plan.flood.as_ref()?;
        sleep_until(self.load_start + Duration::from_millis(flood.start_ms)).await;
        self.setup.phase.flood_until(Instant::now() + flood::STAY + FLOOD_AFTERMATH);
        let newcomers = self.newcomers(flood);
        let clients = flood::run(flood, self.setup.address).await;
        newcomers.join_all().await;
        (clients > 0).then_some(Violation::BadClientsHeld { clients })
    }

    /// Clients that connect beside the flood, each for one request.
    fn newcomers(&self, flood: &Flood) -> JoinSet<()> {
        let mut newcomers = JoinSet::new();
        for number in 0..flood.newcomers as u64 {
            let client = Client::new(self.setup.clone(), FIRST_NEWCOMER + number);
            newcomers.spawn(async move {
                sleep(Duration::from_millis(60 + number * 10)).await;
                client.run_once().await;
            });
        }
        newcomers
    }

    async fn reloads(&self) -> Result<(), BenchError> {
        let mut reloads: Vec<&Reload> = self.plan.reloads.iter().collect();
        reloads.sort_by_key(|reload| reload.at_ms);
        let mut agent = 0;
        for reload in reloads {
            sleep_until(self.load_start + Duration::from_millis(reload.at_ms)).await;
            if reload.is_spoilt {
                self.configuration.spoil()?;
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

    /// Shuts the node down and kills it at the earliest time at which that may be. Returns what its process did wrong.
    async fn shut_down(&mut self) -> Vec<Violation> {
        let Shutdown { first, further, new_connections_ms } = &self.plan.shutdown;
        let kill_at = Instant::now() + KILL_AFTER;
        self.setup.phase.shutdown_begins(Instant::now() + Duration::from_millis(*new_connections_ms));
        self.process.signal(signal(*first));
        for further in further {
            sleep(SHUTDOWN_SIGNAL_PAUSE).await;
            self.process.signal(signal(*further));
        }
        let status = self.process.exit_status(kill_at.saturating_duration_since(Instant::now())).await;
        if status.is_none() {
            self.process.signal(Signal::KILL);
            let _ = self.process.exit_status(READY_LIMIT).await;
        }
        let bad_status = status.filter(|status| !status.success()).map(|status| status.to_string());
        let what = bad_status.into_iter().chain(self.process.panic_line().await);
        what.map(|what| Violation::Process { what }).collect()
    }
}

impl Peers {
    async fn start(list: &ListShape, endpoints: Arc<FaultyEndpoints>) -> Result<Peers, BenchError> {
        let agent = || DiscoveryAgent::start(EndpointList::new(list.clone()), false);
        let failed = |source| system_error("cannot listen for the agent", source);
        let agents = [agent().await.map_err(failed)?, agent().await.map_err(failed)?];
        let capacity = CounterCapacity { calls_per_second: COUNTER_CALLS_PER_SECOND, delay: COUNTER_DELAY };
        let counter = CounterService::start(capacity).await;
        let counter = counter.map_err(|source| system_error("cannot listen for the counter", source))?;
        Ok(Peers { endpoints, counter, agents })
    }

    /// Where the node finds its services, with this one of the agents.
    fn addresses(&self, agent: usize) -> PeerAddresses {
        PeerAddresses { agent: self.agents[agent].address(), counter: self.counter.address() }
    }
}

impl Configuration {
    /// Puts a file in its place that leads to these addresses.
    fn replace(&self, peers: PeerAddresses) -> Result<(), BenchError> {
        let list = EndpointList::new(self.list.clone()).snapshot();
        let next = configuration::write(&self.options, peers, list)?;
        let replaced = next.persist(self.file.path());
        replaced.map(drop).map_err(|error| self.file_error(error.error))
    }

    /// Makes the file one that can't be read.
    fn spoil(&self) -> Result<(), BenchError> {
        std::fs::write(self.file.path(), "{\"name\": ").map_err(|source| self.file_error(source))
    }

    fn file_error(&self, source: std::io::Error) -> BenchError {
        BenchError::File { path: self.file.path().display().to_string(), source }
    }
}

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
            endpoints.begin(fault);
            sleep_until(end).await;
            endpoints.end(fault);
        }
        FaultKind::CounterSilent => counter_fault(&counter, CounterMode::Silent, end).await,
        FaultKind::CounterReset => counter_fault(&counter, CounterMode::Resetting, end).await,
        FaultKind::CounterBusy => counter_fault(&counter, CounterMode::Busy, end).await,
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

async fn counter_fault(counter: &CounterService, mode: CounterMode, end: Instant) {
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

fn system_error(what: &'static str, source: std::io::Error) -> BenchError {
    BenchError::System { what, source }
}

/// Measures how late this process is.
struct LatenessMeter {
    greatest_us: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl LatenessMeter {
    fn start() -> LatenessMeter {
        let greatest_us = Arc::<AtomicU64>::default();
        let greatest = greatest_us.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + LATENESS_INTERVAL;
                sleep_until(due).await;
                greatest.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
        LatenessMeter { greatest_us, task }
    }

    fn greatest(self) -> Duration {
        self.task.abort();
        Duration::from_micros(self.greatest_us.load(Ordering::Relaxed))
    }
}
