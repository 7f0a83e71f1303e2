//! A simulation of a fleet of decision engines that send to one model of the endpoints, some of which warm
//! up. It runs on simulated time and from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::common::{endpoint_entry, settings_without_quota, MILLISECOND, SECOND};
use edge_node::decision::{
    AccountId, Action, DecisionEngine, EndedAttempt, EndpointEntry, EndpointId, EndpointState,
    EndpointUpdateKind, Event, Micros, NewRequest, Outcome, RequestId, Settings, WarmUp,
};
use fastrand::Rng;

/// Requests of mean work that a warm endpoint serves per second.
const CAPACITY: f64 = 16.0;
/// When the nodes start.
const NODES_START: Micros = 100 * SECOND;
/// When the warming endpoints start. These are the endpoints that start and warm up during the run.
const WARM_UP_START: Micros = 110 * SECOND;
/// When the run ends.
const END: Micros = 130 * SECOND;
/// Time that a request takes in addition to its work.
const OVERHEAD: Micros = 60 * MILLISECOND;
/// Time before its deadline at which an attempt is given up, which leaves time for the response to arrive.
const RESPONSE_MARGIN: Micros = 25 * MILLISECOND;

/// An outage of seven in ten nodes: they are killed `after` the warming endpoints' start and restart when the
/// outage ends. During the outage the other nodes get their requests.
#[derive(Clone, Copy)]
pub struct NodeOutage {
    pub after: Micros,
    pub duration: Micros,
}

/// A scenario: the nodes, the endpoints that are warm, the endpoints that start during the run and warm up,
/// and the load as a share of the capacity of the warm endpoints.
pub struct Scenario {
    pub node_count: u32,
    pub warm_count: u32,
    pub warming_count: u32,
    pub load_before: f64,
    pub load_in_burst: f64,
    /// How long after the warming endpoints' start the burst begins.
    pub burst_after: Micros,
    pub outage: Option<NodeOutage>,
    pub warm_up: WarmUp,
}

impl Scenario {
    /// Returns a scenario without nodes, endpoints, load and outage, from which the others are derived.
    pub fn empty(warm_up: &WarmUp) -> Scenario {
        Scenario {
            node_count: 0,
            warm_count: 0,
            warming_count: 0,
            load_before: 0.0,
            load_in_burst: 0.0,
            burst_after: 0,
            outage: None,
            warm_up: warm_up.clone(),
        }
    }

    /// Returns how many nodes are not killed.
    fn survivor_count(&self) -> usize {
        (self.node_count as usize * 3).div_ceil(10)
    }

    fn is_down(&self, node: usize, now: Micros) -> bool {
        let is_during = |outage: NodeOutage| {
            let from = WARM_UP_START + outage.after;
            (from..from + outage.duration).contains(&now)
        };
        node >= self.survivor_count() && self.outage.is_some_and(is_during)
    }

    /// Returns whether an endpoint starts during the run and warms up.
    fn starts_during_run(&self, endpoint: u64) -> bool {
        endpoint >= u64::from(self.warm_count)
    }

    /// Returns the share of its full capacity that an endpoint has at the time `at`, 0 to 1.
    fn warm_fraction(&self, endpoint: u64, at: Micros) -> f64 {
        if !self.starts_during_run(endpoint) {
            return 1.0;
        }
        let progress = at.saturating_sub(WARM_UP_START) as f64 / self.warm_up.duration as f64;
        (self.warm_up.initial_fraction + (1.0 - self.warm_up.initial_fraction) * progress).min(1.0)
    }

    /// Returns the load as a share of the capacity of the warm endpoints.
    fn load(&self, now: Micros) -> f64 {
        if now < WARM_UP_START + self.burst_after {
            self.load_before
        } else {
            self.load_in_burst
        }
    }

    /// Returns the endpoint list before the warming endpoints start.
    fn warm_list(&self) -> Event {
        let entries = (0..self.warm_count).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect();
        Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries }
    }

    /// Returns the endpoint list from the start of the warming endpoints on.
    fn full_list(&self) -> Event {
        let entry = |id: u32| -> EndpointEntry {
            let started_at = if id < self.warm_count { 0 } else { WARM_UP_START };
            endpoint_entry(id, EndpointState::Active, started_at)
        };
        let entries = (0..self.warm_count + self.warming_count).map(entry).collect();
        Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries }
    }
}

enum Occurrence {
    /// A client may send a request to a node.
    Request { node: usize },
    /// An event for a node, which is handled only if the node has restarted `incarnation` times.
    Event { node: usize, incarnation: u32, event: Event },
    /// A killed node restarts and knows only its endpoint list.
    Restart { node: usize },
}

/// An occurrence and when it happens.
struct ScheduledOccurrence {
    at: Micros,
    occurrence: Occurrence,
}

/// The occurrences to come, in the order of time. Those at the same time come in the order in which they were
/// added.
#[derive(Default)]
struct Schedule {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    next_number: u64,
}

impl Schedule {
    fn add(&mut self, at: Micros, occurrence: Occurrence) {
        self.order.push(Reverse((at, self.next_number)));
        self.occurrences.insert(self.next_number, occurrence);
        self.next_number += 1;
    }

    fn take(&mut self) -> Option<ScheduledOccurrence> {
        let Reverse((at, number)) = self.order.pop()?;
        self.occurrences.remove(&number).map(|occurrence| ScheduledOccurrence { at, occurrence })
    }
}

/// The result of a run.
pub struct WarmUpOutcome {
    /// The greatest number of attempts that any warming endpoint got within one window, relative to the
    /// number that it survives plus an allowance for random arrivals.
    pub peak_window_load: f64,
    /// The share of all attempts since the start of the warming endpoints that went to them, 0 to 1.
    pub warming_share: f64,
}

/// The nodes, the endpoints and the clients of one run.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    settings: Settings,
    random: Rng,
    schedule: Schedule,
    nodes: Vec<DecisionEngine>,
    incarnations: Vec<u32>,
    request_count: u64,
    deadlines: BTreeMap<RequestId, Micros>,
    /// For each request, when its attempts were sent.
    attempts: BTreeMap<RequestId, Vec<Micros>>,
    /// For each endpoint, when it has completed the attempts in its queue.
    busy_until: BTreeMap<u64, Micros>,
    /// For each endpoint, when attempts arrived.
    arrivals: BTreeMap<u64, Vec<Micros>>,
}

impl<'a> Simulation<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64) -> Simulation<'a> {
        let settings = Settings {
            node_count: scenario.node_count,
            warm_up: scenario.warm_up.clone(),
            ..settings_without_quota()
        };
        let mut simulation = Simulation {
            scenario,
            seed,
            settings,
            random: Rng::with_seed(seed),
            schedule: Schedule::default(),
            nodes: Vec::new(),
            incarnations: vec![0; scenario.node_count as usize],
            request_count: 0,
            deadlines: BTreeMap::new(),
            attempts: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        };
        for node in 0..scenario.node_count {
            simulation.nodes.push(simulation.engine(node, 0));
        }
        for node in 0..scenario.node_count as usize {
            simulation.schedule_external_events(node);
        }
        simulation
    }

    fn engine(&self, node_index: u32, seed_offset: u64) -> DecisionEngine {
        let seed = self.seed * 1_000 + seed_offset + u64::from(node_index);
        DecisionEngine::new(seed, Settings { node_index, ..self.settings.clone() })
    }

    /// Schedules what happens to a node from outside: its endpoint lists, the first request and a restart.
    fn schedule_external_events(&mut self, node: usize) {
        let warm_list = Occurrence::Event { node, incarnation: 0, event: self.scenario.warm_list() };
        let full_list = Occurrence::Event { node, incarnation: 0, event: self.scenario.full_list() };
        self.schedule.add(NODES_START, warm_list);
        self.schedule.add(WARM_UP_START, full_list);
        self.schedule.add(NODES_START + 1, Occurrence::Request { node });
        if let Some(outage) = self.scenario.outage.filter(|_| node >= self.scenario.survivor_count()) {
            let back_at = WARM_UP_START + outage.after + outage.duration;
            self.schedule.add(back_at, Occurrence::Restart { node });
        }
    }

    pub fn run(mut self) -> WarmUpOutcome {
        while let Some(scheduled) = self.schedule.take().filter(|scheduled| scheduled.at < END) {
            let now = scheduled.at;
            match scheduled.occurrence {
                Occurrence::Event { node, incarnation, event } => {
                    if incarnation == self.incarnations[node] && !self.scenario.is_down(node, now) {
                        self.handle(node, now, event);
                    }
                }
                Occurrence::Restart { node } => {
                    self.incarnations[node] += 1;
                    self.nodes[node] = self.engine(node as u32, 500);
                    self.handle(node, now, self.scenario.full_list());
                }
                Occurrence::Request { node } => self.request(node, now),
            }
        }
        WarmUpOutcome { peak_window_load: self.peak_window_load(), warming_share: self.warming_share() }
    }

    /// Sends a client's request to a node and schedules the next one. Requests are scheduled at the higher of
    /// the two loads and randomly dropped down to the present load, so that a burst begins exactly on time.
    fn request(&mut self, node: usize, now: Micros) {
        let scenario = self.scenario;
        let highest_load = scenario.load_before.max(scenario.load_in_burst);
        let rate = highest_load * CAPACITY * f64::from(scenario.warm_count) / f64::from(scenario.node_count);
        let gap = -(1.0 - self.random.f64()).ln() / rate * 1e6;
        self.schedule.add(now + gap.max(1.0) as Micros, Occurrence::Request { node });
        if self.random.f64() >= scenario.load(now) / highest_load {
            return;
        }
        self.request_count += 1;
        let id = RequestId::from(self.request_count.to_string().as_str());
        let deadline = now + 2 * SECOND;
        self.deadlines.insert(id.clone(), deadline);
        let request = NewRequest {
            id,
            account: AccountId(self.request_count),
            class: 0,
            plan: 0,
            units: 1.0,
            first_account_node: 0,
            account_node_count: 1,
            is_retry: false,
            deadline,
        };
        let is_down = scenario.is_down(node, now);
        let node = if is_down { self.random.usize(..scenario.survivor_count()) } else { node };
        self.handle(node, now, Event::RequestReceived(request));
    }

    /// Has a node handle an event and executes its actions.
    fn handle(&mut self, node: usize, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { id, after } => {
                    self.add_event(now + after, node, Event::TimerFired { id });
                }
                Action::StartAttempt { request, endpoint, .. } => {
                    self.start_attempt(node, now, request, endpoint);
                }
                Action::CancelAttempt { request, attempt_number } => {
                    self.cancel_attempt(node, now, request, attempt_number);
                }
                _ => {}
            }
        }
    }

    fn add_event(&mut self, at: Micros, node: usize, event: Event) {
        let incarnation = self.incarnations[node];
        self.schedule.add(at, Occurrence::Event { node, incarnation, event });
    }

    /// Adds an attempt to the queue of its endpoint, which serves it at the speed that the endpoint has when
    /// the attempt arrives. An attempt that would be done too late is given up and takes none of the
    /// endpoint's time.
    fn start_attempt(&mut self, node: usize, now: Micros, request: RequestId, endpoint: EndpointId) {
        self.arrivals.entry(endpoint.0).or_default().push(now);
        let work = (1e6 / (CAPACITY * self.scenario.warm_fraction(endpoint.0, now))) as Micros;
        let busy_until = self.busy_until.entry(endpoint.0).or_default();
        let done_at = (*busy_until).max(now) + work;
        let give_up_at = self.deadlines[&request] - RESPONSE_MARGIN;
        let is_in_time = done_at + OVERHEAD < give_up_at;
        if done_at < give_up_at {
            *busy_until = done_at;
        }
        let end_at = (done_at + OVERHEAD).min(give_up_at.max(now + 1));
        let attempts = self.attempts.entry(request.clone()).or_default();
        attempts.push(now);
        let end = EndedAttempt {
            request,
            attempt_number: attempts.len() as u32 - 1,
            endpoint,
            outcome: if is_in_time { Outcome::Ok } else { Outcome::TimedOut },
            elapsed: end_at - now,
            request_completed: is_in_time,
            final_units: None,
        };
        self.add_event(end_at, node, Event::AttemptEnded(end));
    }

    fn cancel_attempt(&mut self, node: usize, now: Micros, request: RequestId, attempt_number: u32) {
        let sent_at = self.attempts[&request][attempt_number as usize];
        let end = EndedAttempt {
            request,
            attempt_number,
            // The node knows the endpoint of the attempt and does not read this field.
            endpoint: EndpointId::default(),
            outcome: Outcome::Cancelled,
            elapsed: now - sent_at,
            request_completed: false,
            final_units: None,
        };
        self.add_event(now, node, Event::AttemptEnded(end));
    }

    /// Returns the greatest number of attempts that any warming endpoint got within a window of
    /// `overload_duration` while it was warming up, relative to the number that it survives plus an allowance
    /// for random arrivals.
    fn peak_window_load(&self) -> f64 {
        let scenario = self.scenario;
        let rules = &scenario.warm_up;
        let mut peak = 0.0f64;
        for (&endpoint, arrivals) in self.arrivals.iter().filter(|(id, _)| scenario.starts_during_run(**id)) {
            for (last, &until) in arrivals.iter().enumerate() {
                let from = until.saturating_sub(rules.overload_duration).max(WARM_UP_START);
                let warm_fraction = scenario.warm_fraction(endpoint, from);
                if warm_fraction >= 1.0 {
                    break;
                }
                let count = arrivals[..=last].iter().filter(|&&at| at >= from).count() as f64;
                let survivable =
                    rules.overload_multiple * warm_fraction * CAPACITY * rules.overload_duration as f64 / 1e6;
                peak = peak.max(count / (survivable + 2.0 * survivable.sqrt() + 2.0));
            }
        }
        peak
    }

    /// Returns the share of all attempts since the start of the warming endpoints that went to them.
    fn warming_share(&self) -> f64 {
        let mut to_warming = 0;
        let mut to_all = 0;
        for (&endpoint, arrivals) in &self.arrivals {
            let count = arrivals.iter().filter(|&&at| at >= WARM_UP_START).count();
            to_all += count;
            if self.scenario.starts_during_run(endpoint) {
                to_warming += count;
            }
        }
        to_warming as f64 / to_all.max(1) as f64
    }
}
