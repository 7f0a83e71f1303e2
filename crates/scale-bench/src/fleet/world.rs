//! The simulated world: clients and their front, hollow nodes, endpoints, the counter service and the
//! endpoint list.
//!
//! The hollow nodes run in one process but share no state. A node's decision engine receives only the
//! information that a real node's process would receive; all other state of tries, endpoints and lists
//! belongs to the model.
//!
//! The submodules handle the events: [`front`] those of clients and the front, [`node_actions`] those of
//! nodes and the actions of their engines, [`attempts`] the sending and the end of attempts,
//! [`counter_calls`] calls to the counter service, [`upstream`] events at endpoints, [`discovery`] changes of
//! the endpoint list, and [`failures`] the failure.

use std::collections::HashMap;

use edge_node::decision::{DecisionEngine, EndpointId, EndpointState, Event, Micros, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::accounts::{self, Account, Population};
use super::counter::CounterService;
use super::endpoint::{EndpointModel, ModelEndpoint, ProcessState};
use super::endpoint_list::EndpointListHistory;
use super::event_queue::EventQueue;
use super::failure::FailurePlan;
use super::measurements::Measurements;
use super::network::Network;
use super::node::{EndpointIndex, HollowNode, NodeIndex, NodeProcess};
use super::random::poisson_gap;
use super::request::PendingTry;
use super::scenario::{Scenario, CLOCK_START};

mod attempts;
mod counter_calls;
mod discovery;
mod event;
mod failures;
mod front;
mod node_actions;
mod setup;
mod upstream;

use event::WorldEvent;

/// Time over which the starts of the nodes' first processes are spread.
const STARTUP_SPREAD: Micros = 1_000_000;
/// Odd factor that spreads the seeds of the nodes' engines over all 64 bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The state of one simulation run.
pub struct World {
    /// The arguments of the run.
    pub scenario: Scenario,
    /// The nodes, by index.
    pub nodes: Vec<HollowNode>,
    /// The endpoints by index: first those that are up from the start, then those that only stale lists name,
    /// then those that start during the run.
    pub endpoints: Vec<ModelEndpoint>,
    /// The accounts, by index.
    pub accounts: Vec<Account>,
    /// The counts so far.
    pub measurements: Measurements,
    /// Number of endpoint starts during the run, restarts included.
    pub cold_starts: u64,
    queue: EventQueue<WorldEvent>,
    random: StdRng,
    network: Network,
    counter: CounterService,
    list: EndpointListHistory,
    failure_plan: FailurePlan,
    settings: Settings,
    endpoint_model: EndpointModel,
    /// The index of each endpoint, by its id.
    endpoint_index: HashMap<u64, EndpointIndex>,
    /// Dead endpoints that only stale lists name.
    stale_endpoints: Vec<EndpointIndex>,
    /// Tries for which events can still arrive, by try number.
    pending_tries: HashMap<u64, PendingTry>,
    /// Number of the latest try; the first is 1.
    last_try_number: u64,
    /// Number of the latest counter call; the first is 1.
    last_counter_call_number: u64,
}

impl World {
    /// Creates a world with warm endpoints, in which nodes and clients have not been started yet.
    pub fn new(scenario: &Scenario) -> Self {
        let mut random = StdRng::seed_from_u64(scenario.seed);
        let population = accounts::populate(&mut random, &setup::account_mix(scenario), CLOCK_START);
        let Population { accounts, plans } = population;
        let endpoints = setup::draw_endpoints(scenario, &mut random);
        let endpoint_index =
            endpoints.iter().enumerate().map(|(index, endpoint)| (endpoint.id.0, index)).collect();
        World {
            scenario: scenario.clone(),
            nodes: Vec::new(),
            endpoints,
            accounts,
            measurements: Measurements::new(scenario),
            cold_starts: 0,
            queue: EventQueue::new(CLOCK_START),
            random,
            network: Network::new(scenario),
            counter: CounterService::new(
                scenario.counter_rate(),
                scenario.counter_parts as usize,
                scenario.counter_queue,
            ),
            list: EndpointListHistory::default(),
            failure_plan: FailurePlan::new(scenario),
            settings: setup::shared_settings(scenario, plans),
            endpoint_model: setup::endpoint_model(scenario),
            endpoint_index,
            stale_endpoints: Vec::new(),
            pending_tries: HashMap::new(),
            last_try_number: 0,
            last_counter_call_number: 0,
        }
    }

    /// Starts the nodes and the clients, and schedules the failure.
    pub fn start(&mut self) {
        let active = self.endpoints.iter().map(|endpoint| endpoint.list_entry(EndpointState::Active));
        self.list = EndpointListHistory::new(active.collect());
        for node in 0..self.scenario.nodes as usize {
            self.start_first_process(node);
        }
        for account in 0..self.accounts.len() {
            let gap = poisson_gap(&mut self.random, self.accounts[account].rate);
            self.queue.schedule(CLOCK_START + STARTUP_SPREAD + gap, WorldEvent::AccountSends(account));
        }
        self.queue.schedule(self.scenario.measured_from(), WorldEvent::WarmUpEnds);
        for scheduled in self.failure_plan.schedule(&mut self.random, self.endpoints.len()) {
            self.queue.schedule(scheduled.at, WorldEvent::FailureStep(scheduled.step));
        }
        self.add_stale_endpoints();
    }

    /// Handles the events until the warm-up ends, which has to be before `until`.
    pub fn run_warm_up(&mut self, until: Micros) {
        while let Some(event) = self.next_before(until) {
            if matches!(event, WorldEvent::WarmUpEnds) {
                return;
            }
            self.handle(event);
        }
    }

    /// Handles all events before `until`. This ends the simulation, because the first event that is not
    /// before `until` is dropped.
    pub fn run(&mut self, until: Micros) {
        while let Some(event) = self.next_before(until) {
            self.handle(event);
        }
    }

    /// Returns the number of endpoints that each node knows, by node index.
    pub fn endpoints_known_by_node(&self) -> Vec<f64> {
        self.nodes.iter().map(|node| node.engine.retained_entries().endpoints as f64).collect()
    }

    /// Returns the number of endpoints to which each node sent attempts in the measured time, by node index.
    /// If a failure has started, only attempts since then count.
    pub fn endpoints_used_by_node(&self) -> Vec<f64> {
        self.nodes.iter().map(|node| node.endpoints_used.len() as f64).collect()
    }

    /// Returns the number of idle connections of all nodes together.
    pub fn idle_connections(&self) -> usize {
        let oldest = self.oldest_idle_since();
        self.nodes.iter().map(|node| node.idle_connections.count_since(oldest)).sum()
    }

    /// Takes out the next event. Returns `None` if there is none. If the event is not before `until`, drops
    /// it and returns `None`, so this must not be called again.
    fn next_before(&mut self, until: Micros) -> Option<WorldEvent> {
        let event = self.queue.pop()?;
        (self.queue.now() < until).then_some(event)
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::AccountSends(account) => self.send_new_request(account),
            WorldEvent::RetryReachesFront(request) => self.submit(*request),
            WorldEvent::TimerFires { process, id } => {
                self.deliver_to_process(process, Event::TimerFired { id });
            }
            WorldEvent::DeltaReachesNode { node, revision } => self.deliver_delta(node, revision),
            WorldEvent::SnapshotReachesNode(process) => self.deliver_snapshot(process),
            WorldEvent::AttemptReachesEndpoint { process, attempt, work } => {
                self.attempt_arrived(process, attempt, work);
            }
            WorldEvent::EndpointWakesUp { endpoint, wake_up_number } => {
                self.endpoint_woke_up(endpoint, wake_up_number);
            }
            WorldEvent::AttemptEnds { attempt, outcome, origin } => {
                self.attempt_ended(attempt, outcome, origin);
            }
            WorldEvent::AttemptTimesOut(attempt) => self.attempt_timed_out(attempt),
            WorldEvent::ResponseDeadline(number) => self.response_deadline_passed(number),
            WorldEvent::ClientDeadline(number) => self.client_deadline_passed(number),
            WorldEvent::CounterCallArrives { call, key, amount, keep_for } => {
                self.counter_call_arrived(call, key, amount, keep_for);
            }
            WorldEvent::CounterReplyArrives { call, outcome, total } => {
                self.counter_reply_arrived(call, outcome, total);
            }
            WorldEvent::CounterCallTimesOut(call) => self.counter_call_timed_out(call),
            WorldEvent::CounterConnectionCheck(call) => self.check_counter_connection(call),
            WorldEvent::ProbeCompletes { process, endpoint, outcome } => {
                self.deliver_to_process(process, Event::ProbeCompleted { endpoint, outcome });
            }
            WorldEvent::NodeStarts(node) => self.start_node(node),
            WorldEvent::EndpointLossDetected(process) => self.endpoint_loss_detected(process),
            WorldEvent::FailureStep(step) => self.apply_failure_step(step),
            WorldEvent::WarmUpEnds => {}
        }
    }

    fn start_first_process(&mut self, node: NodeIndex) {
        let zone = node as u32 % self.scenario.zones;
        let engine = self.new_engine(node, 0);
        self.nodes.push(HollowNode::new(engine, zone));
        // If all nodes started at the same time, their periodic work would coincide, unlike that of real
        // nodes.
        let at = CLOCK_START + self.random.random_range(0..STARTUP_SPREAD);
        self.queue.schedule(at, WorldEvent::SnapshotReachesNode(NodeProcess { node, incarnation: 0 }));
    }

    /// Adds dead endpoints that occur only in the stale lists of restarted nodes.
    fn add_stale_endpoints(&mut self) {
        let count = (self.scenario.old_list_share * f64::from(self.scenario.servers)).round() as u32;
        for number in 0..count {
            let id = EndpointId(self.random.random());
            let mut endpoint = ModelEndpoint::new(id, number % self.scenario.zones, 0, 0);
            endpoint.take_down(ProcessState::Dead);
            let index = self.add_endpoint(endpoint);
            self.stale_endpoints.push(index);
        }
    }

    fn add_endpoint(&mut self, endpoint: ModelEndpoint) -> EndpointIndex {
        let index = self.endpoints.len();
        self.endpoint_index.insert(endpoint.id.0, index);
        self.endpoints.push(endpoint);
        index
    }

    fn new_engine(&self, node: NodeIndex, incarnation: u32) -> DecisionEngine {
        let node_index = node as u32;
        let seed = self.scenario.seed ^ (u64::from(node_index) << 20) ^ (u64::from(incarnation) << 52);
        let zone = node_index % self.scenario.zones;
        let settings = Settings { node_index, zone, ..self.settings.clone() };
        DecisionEngine::new(seed.wrapping_mul(SEED_MULTIPLIER), settings)
    }

    /// Returns whether this process is the current one of its node and runs.
    fn is_running(&self, process: NodeProcess) -> bool {
        let node = &self.nodes[process.node];
        node.is_up() && node.incarnation == process.incarnation
    }

    /// Returns whether the network connects a node and an endpoint.
    fn reachable(&self, node: NodeIndex, endpoint: EndpointIndex) -> bool {
        self.network.reachable(self.nodes[node].zone, self.endpoints[endpoint].zone)
    }

    /// Returns the one-way delay between a node and an endpoint, in microseconds.
    fn delay(&self, node: NodeIndex, endpoint: EndpointIndex) -> Micros {
        self.network.delay(self.nodes[node].zone, self.endpoints[endpoint].zone)
    }

    /// Returns the earliest time since which a connection that is still open can have been idle.
    fn oldest_idle_since(&self) -> Micros {
        self.queue.now().saturating_sub(self.scenario.idle_close_ms * 1_000)
    }
}
