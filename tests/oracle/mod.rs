//! An oracle for the selection of endpoints: a plain scan of the whole list, written from docs/design.md and
//! independently of the node's code. The oracle follows a node event by event and checks where each attempt
//! is sent. It does not model quotas and overload: whether a request is passed on at all is taken from the
//! node's actions.

pub mod checked_node;
mod failure_share;
mod selection;

use std::collections::{BTreeMap, VecDeque};

use edge_node::decision::{
    Action, DeduplicationScope, EndedAttempt, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind,
    Event, Idempotency, Micros, NewRequest, Outcome, RequestId, Settings,
};

use failure_share::FailureShare;
use selection::random_number;

/// Weight of a new response time in the mean of its endpoint; in the estimates over the fleet it is half.
const LATENCY_GAIN: f64 = 0.1;

/// A kind of failure that is tracked separately.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FailureKind {
    Class(usize),
    Plan(usize),
    Unanswered,
}

/// The zone and cell of an endpoint.
#[derive(Clone, Copy)]
struct Placement {
    zone: u32,
    cell: u32,
}

/// The state of an endpoint that the node is expected to keep.
#[derive(Clone, Default)]
struct ExpectedEndpoint {
    entry: EndpointEntry,
    started_at: Micros,
    /// When the attempts in flight were sent, the earliest first.
    in_flight: Vec<Micros>,
    /// Mean response time in microseconds.
    latency: f64,
    failures: BTreeMap<FailureKind, FailureShare>,
    last_response_at: Micros,
    consecutive_ejections: u32,
    connection_resets: u32,
    ejected_until: Micros,
    /// When an attempt was last sent to it while it was recovering.
    recovery_tested_at: Micros,
    /// Number of requests that it may be sent while it warms up, as of `slow_start_at` on the slow-start
    /// clock.
    slow_start_tokens: f64,
    slow_start_at: u64,
}

#[derive(Clone)]
struct Attempt {
    endpoint: EndpointId,
    placement: Placement,
    sent_at: Micros,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
struct PossibleRun {
    sent_at: Micros,
    placement: Placement,
}

#[derive(Clone)]
struct PendingRequest {
    class: usize,
    plan: usize,
    deadline: Micros,
    attempts: Vec<Attempt>,
    first_possible_run: Option<PossibleRun>,
}

/// How many attempts were checked and found to be sent to the expected endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckedAttempts {
    pub all: u32,
    /// Attempts that were sent beyond the subset.
    pub beyond_subset: u32,
    /// Repeats of keyed requests, which are bound to a deduplication group.
    pub bound_repeats: u32,
}

/// Follows a node and checks to which endpoints it sends attempts.
pub struct Oracle {
    settings: Settings,
    random_state: u64,
    now: Micros,
    endpoints: BTreeMap<EndpointId, ExpectedEndpoint>,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait, since no endpoint may be sent them for now.
    queued: VecDeque<RequestId>,
    /// Mean response time of the fleet in microseconds, and its mean deviation.
    latency: f64,
    latency_deviation: f64,
    failures: BTreeMap<FailureKind, FailureShare>,
    connection_resets: FailureShare,
    /// The slow-start clock: the requests that a warm endpoint of the subset was due, in millionths of a
    /// request.
    slow_start_clock: u64,
    retry_budget: f64,
    /// The budget of recovery tests by requests that are not safe.
    recovery_tests: f64,
    pub checked: CheckedAttempts,
}

impl Oracle {
    pub fn new(seed: u64, settings: Settings) -> Oracle {
        Oracle {
            settings,
            random_state: seed,
            now: 0,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            queued: VecDeque::new(),
            latency: 100e3,
            latency_deviation: 50e3,
            failures: BTreeMap::new(),
            connection_resets: FailureShare::default(),
            slow_start_clock: 0,
            retry_budget: 10.0,
            recovery_tests: 1.0,
            checked: CheckedAttempts::default(),
        }
    }

    /// Follows an event that the node has handled with these actions, and checks the actions.
    pub fn follow(&mut self, now: Micros, event: &Event, actions: &[Action]) {
        self.now = now;
        match event {
            Event::EndpointsUpdated { kind, entries } => self.update_endpoints(*kind, entries),
            Event::RequestReceived(request) => self.request_received(request, actions),
            Event::AttemptEnded(end) => self.attempt_ended(end, actions),
            Event::TimerFired { .. } => self.tick(actions),
            _ => {}
        }
    }

    fn update_endpoints(&mut self, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        if kind == EndpointUpdateKind::WatchLost {
            return;
        }
        if kind != EndpointUpdateKind::Delta {
            for endpoint in self.endpoints.values_mut() {
                endpoint.entry.state = EndpointState::Removed;
            }
        }
        for entry in entries {
            self.update_endpoint(entry);
        }
        self.endpoints.retain(|_, endpoint| {
            endpoint.entry.state != EndpointState::Removed || !endpoint.in_flight.is_empty()
        });
    }

    fn update_endpoint(&mut self, entry: &EndpointEntry) {
        let fresh = ExpectedEndpoint {
            started_at: entry.started_at,
            last_response_at: self.now,
            latency: self.latency,
            slow_start_tokens: random_number(&mut self.random_state),
            slow_start_at: self.slow_start_clock,
            ..ExpectedEndpoint::default()
        };
        let endpoint = self.endpoints.entry(entry.id).or_insert_with(|| fresh.clone());
        endpoint.entry = entry.clone();
        if entry.started_at > endpoint.started_at {
            // A restart keeps the attempts in flight, the shares of failures and the time of the last
            // response.
            *endpoint = ExpectedEndpoint {
                entry: entry.clone(),
                in_flight: std::mem::take(&mut endpoint.in_flight),
                failures: std::mem::take(&mut endpoint.failures),
                last_response_at: endpoint.last_response_at,
                ..fresh
            };
        }
    }

    fn request_received(&mut self, request: &NewRequest, actions: &[Action]) {
        let pending = PendingRequest {
            class: request.class,
            plan: request.plan,
            deadline: request.deadline,
            attempts: Vec::new(),
            first_possible_run: None,
        };
        self.requests.insert(request.id.clone(), pending);
        let subset_capacity: f64 =
            self.subset().iter().fold(0.0, |capacity, id| capacity + self.warm_fraction(&self.endpoints[id]));
        if self.check_dispatch(&request.id, actions) {
            self.slow_start_clock += (1e6 / subset_capacity.max(1.0)) as u64;
            self.recovery_tests = (self.recovery_tests + 0.1).min(2.0);
        }
    }

    fn tick(&mut self, actions: &[Action]) {
        for id in std::mem::take(&mut self.queued) {
            self.check_dispatch(&id, actions);
        }
        for action in actions {
            if let Action::CancelAttempt { request, attempt_number } = action {
                let attempt = &self.requests[request].attempts[*attempt_number as usize];
                self.eject(attempt.endpoint);
            }
        }
        let unresponsive: Vec<EndpointId> =
            self.endpoints.keys().copied().filter(|id| self.is_unresponsive(&self.endpoints[id])).collect();
        for id in unresponsive {
            self.eject(id);
        }
    }

    /// Checks where a request is sent. Returns whether the request was passed on or waits for an endpoint;
    /// false if the node has rejected or failed it.
    fn check_dispatch(&mut self, id: &RequestId, actions: &[Action]) -> bool {
        let has_final_response = actions.iter().any(|action| {
            matches!(action, Action::Reject { request, .. } | Action::Fail { request } if request == id)
        });
        if has_final_response {
            self.requests.remove(id);
            return false;
        }
        match self.select(id, None) {
            Some(endpoint) => self.check_attempt(id, endpoint, actions),
            None => self.queued.push_back(id.clone()),
        }
        true
    }

    /// Checks that the node has sent a request to this endpoint, and records the attempt.
    fn check_attempt(&mut self, id: &RequestId, endpoint: EndpointId, actions: &[Action]) {
        let sent_to = actions.iter().find_map(|action| match action {
            Action::StartAttempt { request, endpoint, .. } if request == id => Some(*endpoint),
            _ => None,
        });
        assert_eq!(sent_to, Some(endpoint), "endpoint to which the node sends {id:?} at {}", self.now);
        let is_in_subset = self.subset().contains(&endpoint);
        let is_recovery_test = self.is_recovering(&self.endpoints[&endpoint]);
        let warm_fraction = self.warm_fraction(&self.endpoints[&endpoint]);
        let request = self.requests.get_mut(id).expect("expected the request to be pending");
        let idempotency = self.settings.classes[request.class].idempotency;
        let is_keyed = idempotency == Idempotency::Keyed;
        self.checked.all += 1;
        self.checked.beyond_subset += u32::from(!is_in_subset);
        self.checked.bound_repeats += u32::from(is_keyed && request.first_possible_run.is_some());
        let budget_change = if request.attempts.is_empty() { 0.2 } else { -1.0 };
        self.retry_budget = (self.retry_budget + budget_change).min(20.0);
        let state = self.endpoints.get_mut(&endpoint).expect("expected the endpoint to be known");
        let placement = Placement { zone: state.entry.zone, cell: state.entry.cell };
        request.attempts.push(Attempt { endpoint, placement, sent_at: self.now });
        state.in_flight.push(self.now);
        if is_recovery_test {
            state.recovery_tested_at = self.now;
            let withdrawn = if idempotency == Idempotency::Safe { 0.0 } else { 1.0 };
            self.recovery_tests = (self.recovery_tests - withdrawn).max(0.0);
        }
        let due_requests = (self.slow_start_clock - state.slow_start_at) as f64 / 1e6;
        state.slow_start_tokens = (state.slow_start_tokens + warm_fraction * due_requests).min(1.5) - 1.0;
        state.slow_start_at = self.slow_start_clock;
    }

    fn attempt_ended(&mut self, end: &EndedAttempt, actions: &[Action]) {
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let attempt = request.attempts[end.attempt_number as usize].clone();
        let may_have_run =
            !matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        let is_first = request.first_possible_run.is_none_or(|first| attempt.sent_at < first.sent_at);
        if may_have_run && is_first {
            let run = PossibleRun { sent_at: attempt.sent_at, placement: attempt.placement };
            request.first_possible_run = Some(run);
        }
        let class = request.class;
        let plan = request.plan;
        self.record_failures(end, &attempt, class, plan);
        self.record_health(end, &attempt);
        if !end.request_completed && end.outcome != Outcome::NotSent && self.may_retry(&end.request) {
            let elsewhere = self.select(&end.request, Some(attempt.endpoint));
            // Another process, of another group, may listen at the address of a connection that was reset.
            let settings = &self.settings.classes[class];
            let is_bound = settings.idempotency == Idempotency::Keyed
                && settings.deduplication_scope != DeduplicationScope::All;
            let may_repeat_there = !(is_bound && end.outcome == Outcome::Reset);
            let there = |oracle: &mut Self| {
                if may_repeat_there {
                    oracle.select(&end.request, None)
                } else {
                    None
                }
            };
            match elsewhere.or_else(|| there(self)) {
                Some(next) => return self.check_attempt(&end.request, next, actions),
                None => {
                    let is_sent = actions.iter().any(|action| matches!(action, Action::StartAttempt { .. }));
                    assert!(!is_sent, "a request was sent again though no endpoint may be sent it");
                }
            }
        }
        self.requests.remove(&end.request);
    }

    /// Removes the attempt from those in flight and records its failures by kind.
    fn record_failures(&mut self, end: &EndedAttempt, attempt: &Attempt, class: usize, plan: usize) {
        let latency_bound = self.latency_bound();
        let endpoint = self
            .endpoints
            .get_mut(&attempt.endpoint)
            .expect("an endpoint is kept while attempts are in flight");
        let index = endpoint.in_flight.iter().position(|&sent_at| sent_at == attempt.sent_at);
        endpoint.in_flight.remove(index.expect("expected an attempt in flight, got none"));
        let succeeded = end.outcome == Outcome::Ok;
        let refused = matches!(end.outcome, Outcome::Error | Outcome::Rejected);
        let unanswered = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled)
            && endpoint.last_response_at < attempt.sent_at
            && end.elapsed as f64 > latency_bound;
        let kinds = [
            (FailureKind::Class(class), refused),
            (FailureKind::Plan(plan), refused),
            (FailureKind::Unanswered, unanswered),
        ];
        for (kind, failed) in kinds {
            if failed || succeeded {
                endpoint.failures.entry(kind).or_default().record(self.now, failed);
                self.failures.entry(kind).or_default().record(self.now, failed);
            }
        }
    }

    /// Records the outcome in the response times and the health of the endpoint and the fleet.
    fn record_health(&mut self, end: &EndedAttempt, attempt: &Attempt) {
        let endpoint = self.endpoints.get_mut(&attempt.endpoint).expect("expected the endpoint to be known");
        let unanswered_since_ejection =
            endpoint.last_response_at < attempt.sent_at && attempt.sent_at >= endpoint.ejected_until;
        let fleet_resets = self.connection_resets.value(self.now, 0.0);
        match end.outcome {
            Outcome::Reset => {
                self.connection_resets.record(self.now, true);
                endpoint.connection_resets += 1;
            }
            Outcome::Ok | Outcome::Error | Outcome::Rejected => {
                self.connection_resets.record(self.now, false);
                endpoint.connection_resets = 0;
            }
            _ => {}
        }
        let resets_are_unusual =
            endpoint.connection_resets >= 3 || fleet_resets.powi(endpoint.connection_resets as i32) < 0.01;
        match end.outcome {
            Outcome::Ok => {
                let sample = end.elapsed as f64;
                self.latency_deviation +=
                    ((sample - self.latency).abs() - self.latency_deviation) * LATENCY_GAIN / 2.0;
                self.latency += (sample - self.latency) * LATENCY_GAIN / 2.0;
                endpoint.latency += (sample - endpoint.latency) * LATENCY_GAIN;
                endpoint.last_response_at = self.now;
                endpoint.consecutive_ejections = 0;
                endpoint.ejected_until = endpoint.ejected_until.min(self.now);
            }
            Outcome::Error => endpoint.last_response_at = self.now,
            Outcome::ConnectFailed => self.eject(attempt.endpoint),
            Outcome::Reset if resets_are_unusual => self.eject(attempt.endpoint),
            Outcome::TimedOut | Outcome::Cancelled if unanswered_since_ejection => {
                self.eject(attempt.endpoint);
            }
            _ => {}
        }
    }

    fn may_retry(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let may_repeat = match (class.idempotency, request.first_possible_run) {
            (Idempotency::Safe, _) | (_, None) => true,
            (Idempotency::Keyed, Some(run)) => {
                self.now + self.settings.limits.connect_timeout < run.sent_at + class.deduplication_window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        may_repeat
            && request.attempts.len() < self.settings.limits.max_attempts as usize
            && self.retry_budget >= 1.0
            && self.now + self.latency as Micros / 2 < request.deadline
    }

    fn eject(&mut self, id: EndpointId) {
        let endpoint = self.endpoints.get_mut(&id).expect("expected the endpoint to be known");
        if endpoint.ejected_until <= self.now {
            endpoint.ejected_until = self.now + ejection_time(endpoint.consecutive_ejections);
            endpoint.consecutive_ejections += 1;
        }
    }

    /// Returns the latency bound in microseconds: an attempt that is in flight for longer takes more time
    /// than the fleet usually needs.
    fn latency_bound(&self) -> f64 {
        self.latency + 4.0 * self.latency_deviation
    }
}

/// Returns for how long an endpoint is ejected after this many ejections since its last success.
fn ejection_time(earlier_ejections: u32) -> Micros {
    (400_000 << earlier_ejections.min(8)).min(6_400_000)
}
