//! The workload: the decision engine of one node, and models of its clients, endpoints, counter service and
//! discovery on a simulated clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use edge_node::decision::{
    AccountId, Action, CounterKey, DecisionEngine, EndedAttempt, EndpointId, EndpointUpdateKind, Event,
    Micros, NewRequest, Outcome, RequestId,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::endpoint_list::EndpointList;
use super::options::Options;
use super::settings::{node_settings, MAX_UNITS, QUOTA_PLAN, TOTAL_TIMEOUT, UNLIMITED_PLAN};
use super::timing::{EventKind, Stopwatch, Timings};
use super::SECOND;
use crate::error::BenchError;

/// Simulated time at the start: late enough that endpoints can have started a day before.
const CLOCK_START: Micros = 100_000 * SECOND;
/// Time from a call to the counter service to its reply, and from the start of a probe to its end.
const COUNTER_AND_PROBE_DELAY: Micros = 1_000;
/// Range from which the ratio of an attempt's response time to the mean response time is drawn.
const RESPONSE_TIME_SPREAD: std::ops::Range<f64> = 0.5..1.5;
/// Class indices from which a request's class is drawn, each entry with the same probability.
const CLASS_MIX: [usize; 5] = [0, 0, 0, 1, 2];

/// An event scheduled on the simulated clock.
enum ModelEvent {
    RequestArrives,
    ListChanges,
    TimerFires(u64),
    CounterReplies { key: CounterKey, total: f64 },
    AttemptEnds { request: RequestId, number: u32, endpoint: EndpointId, sent_at: Micros, outcome: Outcome },
    ProbeCompletes(EndpointId),
}

/// Counts of what happened while the model was measured.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests that were served.
    pub served: u64,
    /// Attempts that the node cancelled.
    pub cancelled: u64,
    /// Calls to the counter service.
    pub counter_calls: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
}

/// The node's decision engine with models of everything around it.
pub struct Model<'a> {
    options: &'a Options,
    node_index: u32,
    engine: DecisionEngine,
    random: StdRng,
    stopwatch: Stopwatch,
    time_limit_at: Instant,
    now: Micros,
    /// Scheduled events by their time and, at the same time, in the order in which they were scheduled.
    queue: BTreeMap<(Micros, u64), ModelEvent>,
    /// Number of events scheduled so far.
    scheduled: u64,
    /// Whether new requests arrive and the list changes.
    under_load: bool,
    list: EndpointList,
    /// Totals that the counter service holds.
    counter_totals: BTreeMap<CounterKey, f64>,
    /// Number of attempts so far, by pending request.
    attempts: BTreeMap<RequestId, u32>,
    /// Number of requests that have arrived.
    requests: u64,
    /// Whether times and counts are recorded.
    measuring: bool,
    timings: Timings,
    counts: Counts,
    endpoints_used: BTreeSet<EndpointId>,
}

impl<'a> Model<'a> {
    /// Creates a node that has not received an endpoint list yet.
    pub fn new(options: &'a Options) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let drawn_index = random.random_range(0..options.nodes);
        let node_index = options.me.unwrap_or(drawn_index);
        let engine = DecisionEngine::new(options.seed, node_settings(options, node_index));
        let time_limit_at = Instant::now() + Duration::from_secs_f64(options.limit_s);
        let list = EndpointList::draw(&mut random, CLOCK_START, options.servers);
        Model {
            options,
            node_index,
            engine,
            random,
            stopwatch: Stopwatch::for_this_thread(),
            time_limit_at,
            now: CLOCK_START,
            queue: BTreeMap::new(),
            scheduled: 0,
            under_load: false,
            list,
            counter_totals: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests: 0,
            measuring: false,
            timings: Timings::default(),
            counts: Counts::default(),
            endpoints_used: BTreeSet::new(),
        }
    }

    /// Returns the index of the node within the fleet, from 0.
    pub fn node_index(&self) -> u32 {
        self.node_index
    }

    /// Returns the number of requests that have arrived since the start.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the counts of what happened while the model was measured.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of endpoints to which an attempt was sent while the model was measured.
    pub fn endpoints_used(&self) -> usize {
        self.endpoints_used.len()
    }

    /// Returns the times of the events that were handled while the model was measured.
    pub fn timings(&self) -> &Timings {
        &self.timings
    }

    /// Returns whether the times exclude the time for which the thread waited for a processor.
    pub fn times_exclude_waiting(&self) -> bool {
        self.stopwatch.excludes_waiting()
    }

    /// Starts recording times and counts.
    pub fn start_measuring(&mut self) {
        self.measuring = true;
    }

    /// Stops recording times and counts.
    pub fn stop_measuring(&mut self) {
        self.measuring = false;
    }

    /// Starts the arrival of requests and the list changes.
    pub fn start_load(&mut self) {
        self.under_load = true;
        self.schedule(0, ModelEvent::RequestArrives);
        if self.options.changes_per_s > 0.0 {
            let gap = self.draw_gap(self.options.changes_per_s);
            self.schedule(gap, ModelEvent::ListChanges);
        }
    }

    /// Ends the arrival of requests and the list changes. Requests in flight continue.
    pub fn stop_load(&mut self) {
        self.under_load = false;
    }

    /// Advances the simulated clock by `span` and processes all events that are due.
    ///
    /// # Errors
    /// Returns an error if the run has taken longer than its time limit, in real time.
    pub fn advance(&mut self, span: Micros) -> Result<(), BenchError> {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.process_event(event);
            if Instant::now() > self.time_limit_at {
                let text = format!("the run took longer than --limit-s {}", self.options.limit_s);
                return Err(BenchError::Argument(text));
            }
        }
        self.now = until;
        Ok(())
    }

    /// Makes the next change of the list and notifies the node of it.
    pub fn change_list(&mut self) {
        let entries = vec![self.list.next_change(&mut self.random, self.now)];
        let event = Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries };
        self.handle_timed(EventKind::ListChange, event);
    }

    /// Sends the whole list to the node, and records its time under this kind.
    pub fn send_whole_list(&mut self, kind: EventKind) {
        let entries = self.list.entries().to_vec();
        self.handle_timed(kind, Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    }

    /// Replaces all endpoints without notifying the node.
    pub fn replace_list(&mut self) {
        self.list.replace_all(&mut self.random, self.now, self.options.servers);
    }

    fn schedule(&mut self, after: Micros, event: ModelEvent) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), event);
    }

    /// Draws the time to the next event of a Poisson process with a mean of `rate` events per second.
    fn draw_gap(&mut self, rate: f64) -> Micros {
        let drawn: f64 = self.random.random();
        (-(1.0 - drawn).ln() / rate * SECOND as f64) as Micros
    }

    fn process_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::RequestArrives if self.under_load => {
                let gap = self.draw_gap(self.options.rate);
                self.schedule(gap, ModelEvent::RequestArrives);
                let request = self.draw_request();
                self.handle_timed(EventKind::Request, Event::RequestReceived(request));
            }
            ModelEvent::ListChanges if self.under_load => {
                let gap = self.draw_gap(self.options.changes_per_s);
                self.schedule(gap, ModelEvent::ListChanges);
                self.change_list();
            }
            ModelEvent::RequestArrives | ModelEvent::ListChanges => {}
            ModelEvent::TimerFires(id) => self.handle_timed(EventKind::Timer, Event::TimerFired { id }),
            ModelEvent::CounterReplies { key, total } => {
                let replied = Event::CounterReplied { key, outcome: Outcome::Ok, total };
                self.handle_timed(EventKind::CounterReply, replied);
            }
            ModelEvent::AttemptEnds { request, number, endpoint, sent_at, outcome } => {
                self.end_attempt(request, number, endpoint, sent_at, outcome);
            }
            ModelEvent::ProbeCompletes(endpoint) => {
                let actions = self.handle(Event::ProbeCompleted { endpoint, outcome: Outcome::Ok }).actions;
                self.carry_out_all(actions);
            }
        }
    }

    fn draw_request(&mut self) -> NewRequest {
        self.requests += 1;
        let has_quota = self.random.random_bool(self.options.quota_share);
        let account = self.random.random_range(0..u64::from(self.options.customers));
        NewRequest {
            id: RequestId::from(format!("r{}", self.requests).as_str()),
            // Accounts with a quota have odd ids and accounts without one even ids, so they never overlap.
            account: AccountId(2 * account + u64::from(has_quota)),
            class: CLASS_MIX[self.random.random_range(0..CLASS_MIX.len())],
            plan: if has_quota { QUOTA_PLAN } else { UNLIMITED_PLAN },
            units: f64::from(self.random.random_range(1..=MAX_UNITS)),
            first_account_node: 0,
            account_node_count: 2,
            is_retry: false,
            deadline: self.now + TOTAL_TIMEOUT,
        }
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        number: u32,
        endpoint: EndpointId,
        sent_at: Micros,
        outcome: Outcome,
    ) {
        let request_completed = outcome == Outcome::Ok;
        if request_completed && self.attempts.remove(&request).is_some() && self.measuring {
            self.counts.served += 1;
        }
        let ended = EndedAttempt {
            request,
            attempt_number: number,
            endpoint,
            outcome,
            elapsed: self.now - sent_at,
            request_completed,
            final_units: None,
        };
        self.handle_timed(EventKind::AttemptEnd, Event::AttemptEnded(ended));
    }

    /// Passes an event to the engine, records the time taken and carries out the returned actions.
    ///
    /// A request or counter reply that starts attempts also counts as a decision, with its time divided by
    /// the number of attempts.
    fn handle_timed(&mut self, kind: EventKind, event: Event) {
        let handled = self.handle(event);
        if self.measuring {
            self.timings.record(kind, handled.time);
            let starts = |action: &&Action| matches!(action, Action::StartAttempt { .. });
            let attempts = handled.actions.iter().filter(starts).count() as u32;
            if attempts > 0 && matches!(kind, EventKind::Request | EventKind::CounterReply) {
                self.timings.record(EventKind::Decision, handled.time / attempts);
            }
        }
        self.carry_out_all(handled.actions);
    }

    /// Passes an event to the engine and returns the time taken and the actions.
    fn handle(&mut self, event: Event) -> HandledEvent {
        let mut actions = Vec::new();
        let started = self.stopwatch.start();
        self.engine.handle(self.now, event, &mut actions);
        HandledEvent { time: self.stopwatch.stop(started), actions }
    }

    fn carry_out_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request, endpoint, .. } => self.start_attempt(request, endpoint),
            Action::Reject { request, .. } => {
                self.count(|counts| &mut counts.rejected);
                self.attempts.remove(&request);
            }
            Action::Fail { request } => {
                self.count(|counts| &mut counts.failed);
                self.attempts.remove(&request);
            }
            Action::CancelAttempt { request, attempt_number } => {
                self.count(|counts| &mut counts.cancelled);
                self.cancel_attempt(request, attempt_number);
            }
            Action::IncrementCounter { key, amount, .. } => {
                self.count(|counts| &mut counts.counter_calls);
                let total = self.counter_totals.entry(key).or_default();
                *total += amount;
                let total = *total;
                self.schedule(COUNTER_AND_PROBE_DELAY, ModelEvent::CounterReplies { key, total });
            }
            Action::SetTimer { id, after } => self.schedule(after, ModelEvent::TimerFires(id)),
            Action::ProbeEndpoint { endpoint } => {
                self.schedule(COUNTER_AND_PROBE_DELAY, ModelEvent::ProbeCompletes(endpoint));
            }
            // The model sends the whole list at the start and each change as it happens, without a request.
            Action::FetchEndpoints | Action::WatchEndpoints => {}
        }
    }

    fn count(&mut self, counter: impl Fn(&mut Counts) -> &mut u64) {
        if self.measuring {
            *counter(&mut self.counts) += 1;
        }
    }

    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId) {
        if self.measuring {
            self.endpoints_used.insert(endpoint);
        }
        let attempts = self.attempts.entry(request.clone()).or_default();
        let number = *attempts;
        *attempts += 1;
        let mean = self.options.answer_ms * 1_000.0;
        let response_time = mean * self.random.random_range(RESPONSE_TIME_SPREAD);
        let sent_at = self.now;
        let outcome = Outcome::Ok;
        let end = ModelEvent::AttemptEnds { request, number, endpoint, sent_at, outcome };
        self.schedule(response_time as Micros, end);
    }

    /// Reports the attempt to the node as cancelled. The attempt's response may still be in the event queue.
    /// When that is reported later, the node already knows that the attempt has ended.
    fn cancel_attempt(&mut self, request: RequestId, number: u32) {
        let end = ModelEvent::AttemptEnds {
            request,
            number,
            endpoint: EndpointId::default(),
            sent_at: self.now,
            outcome: Outcome::Cancelled,
        };
        self.schedule(0, end);
    }
}

/// The result of passing an event to the engine.
struct HandledEvent {
    /// Time that the engine took.
    time: Duration,
    actions: Vec<Action>,
}
