//! The workload: one node's decision engine, and all that it meets on a simulated clock.

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

/// The clock at the start: late enough that endpoints can have started a day ago.
const CLOCK_START: Micros = 100_000 * SECOND;
/// The counter service replies, and a probe ends, after this time.
const COUNTER_DELAY: Micros = 1_000;
/// An endpoint's response takes this many times the mean response time.
const RESPONSE_TIME_SPREAD: std::ops::Range<f64> = 0.5..1.5;
/// A request's class is drawn from these indices.
const CLASS_MIX: [usize; 5] = [0, 0, 0, 1, 2];

/// What happens next on the simulated clock.
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
    /// Requests that were answered.
    pub answered: u64,
    /// Attempts that the node cancelled.
    pub cancelled: u64,
    /// Calls to the counter service.
    pub counter_calls: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
}

/// The node and all that it meets.
pub struct Model<'a> {
    options: &'a Options,
    node_index: u32,
    engine: DecisionEngine,
    random: StdRng,
    stopwatch: Stopwatch,
    time_limit_at: Instant,
    now: Micros,
    /// By time, and then in the order in which they were scheduled.
    queue: BTreeMap<(Micros, u64), ModelEvent>,
    scheduled: u64,
    /// Whether requests and list changes go on.
    under_load: bool,
    list: EndpointList,
    counter_totals: BTreeMap<CounterKey, f64>,
    /// By pending request, its attempts so far.
    attempts: BTreeMap<RequestId, u32>,
    requests: u64,
    /// Whether times and counts are recorded.
    measuring: bool,
    timings: Timings,
    counts: Counts,
    endpoints_used: BTreeSet<EndpointId>,
}

impl<'a> Model<'a> {
    /// Creates a node that knows no endpoint yet.
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

    /// The index of the node.
    pub fn node_index(&self) -> u32 {
        self.node_index
    }

    /// Requests so far.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Counts of what happened while the model was measured.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Endpoints that an attempt was sent to while the model was measured.
    pub fn endpoints_used(&self) -> usize {
        self.endpoints_used.len()
    }

    /// The times of events while the model was measured.
    pub fn timings(&self) -> &Timings {
        &self.timings
    }

    /// Whether times are without what the thread waited for a processor.
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

    /// Starts requests and list changes.
    pub fn start_load(&mut self) {
        self.under_load = true;
        self.schedule(0, ModelEvent::RequestArrives);
        if self.options.changes_per_s > 0.0 {
            let gap = self.draw_gap(self.options.changes_per_s);
            self.schedule(gap, ModelEvent::ListChanges);
        }
    }

    /// Ends requests and list changes; what is in flight goes on.
    pub fn stop_load(&mut self) {
        self.under_load = false;
    }

    /// Lets simulated time pass.
    ///
    /// # Errors
    /// If the run has taken longer than its time limit.
    pub fn advance(&mut self, span: Micros) -> Result<(), BenchError> {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.happen(event);
            if Instant::now() > self.time_limit_at {
                let text = format!("the run took longer than --limit-s {}", self.options.limit_s);
                return Err(BenchError::Argument(text));
            }
        }
        self.now = until;
        Ok(())
    }

    /// Gives the node the list change that comes next.
    pub fn change_list(&mut self) {
        let entries = vec![self.list.next_change(&mut self.random, self.now)];
        let event = Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries };
        self.handle_timed(EventKind::ListChange, event);
    }

    /// Gives the node the whole list.
    pub fn send_whole_list(&mut self, kind: EventKind) {
        let entries = self.list.entries().to_vec();
        self.handle_timed(kind, Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    }

    /// Replaces all endpoints; the node does not know it yet.
    pub fn replace_list(&mut self) {
        self.list.replace_all(&mut self.random, self.now, self.options.servers);
    }

    fn schedule(&mut self, after: Micros, event: ModelEvent) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), event);
    }

    /// Draws the time to the next event of a Poisson process with `rate` events a second.
    fn draw_gap(&mut self, rate: f64) -> Micros {
        let drawn: f64 = self.random.random();
        (-(1.0 - drawn).ln() / rate * SECOND as f64) as Micros
    }

    fn happen(&mut self, event: ModelEvent) {
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
                self.perform_all(actions);
            }
        }
    }

    fn draw_request(&mut self) -> NewRequest {
        self.requests += 1;
        let under_quota = self.random.random_bool(self.options.quota_share);
        let account = self.random.random_range(0..u64::from(self.options.customers));
        NewRequest {
            id: RequestId::from(format!("r{}", self.requests).as_str()),
            // Accounts under a quota and those under none are different ones.
            account: AccountId(2 * account + u64::from(under_quota)),
            class: CLASS_MIX[self.random.random_range(0..CLASS_MIX.len())],
            plan: if under_quota { QUOTA_PLAN } else { UNLIMITED_PLAN },
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
            self.counts.answered += 1;
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

    /// Hands the node an event, records the time that it takes and carries out its actions.
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
        self.perform_all(handled.actions);
    }

    fn handle(&mut self, event: Event) -> Handled {
        let mut actions = Vec::new();
        let started = self.stopwatch.start();
        self.engine.handle(self.now, event, &mut actions);
        Handled { time: self.stopwatch.stop(started), actions }
    }

    fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
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
                self.schedule(COUNTER_DELAY, ModelEvent::CounterReplies { key, total });
            }
            Action::SetTimer { id, after } => self.schedule(after, ModelEvent::TimerFires(id)),
            Action::ProbeEndpoint { endpoint } => {
                self.schedule(COUNTER_DELAY, ModelEvent::ProbeCompletes(endpoint));
            }
            // The node gets the whole list at the start, and its changes as they happen.
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

    /// The attempt's response may still be scheduled; the node then knows that the attempt has ended.
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

/// What the engine made of an event.
struct Handled {
    time: Duration,
    actions: Vec<Action>,
}
