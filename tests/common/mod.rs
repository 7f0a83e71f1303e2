//! A node under test, on a clock that the test moves, and helpers for its events and actions.
#![allow(dead_code, reason = "each test file that includes this uses a part of it")]

use std::collections::BTreeMap;

use edge_node::decision::{
    AccountId, Action, CounterKey, CounterSettings, DecisionEngine, DeduplicationScope, EndedAttempt,
    EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event, Idempotency, Limits, Micros,
    NewRequest, Outcome, Plan, RequestClass, RequestId, Settings, WarmUp,
};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The classes of [`settings_with_quota`], by index.
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

/// A class whose repeats are dropped within a cell for a second.
pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MILLISECOND,
        total_timeout: 2 * SECOND,
        priority_weight: 1.0,
        deduplication_window: SECOND,
        deduplication_scope: DeduplicationScope::Cell,
        idempotency,
        ..RequestClass::default()
    }
}

/// Settings of a fleet of three nodes, with one plan of 2 units a second and a burst of 12.
pub fn settings_with_quota() -> Settings {
    Settings {
        node_count: 3,
        batch_interval: 2 * MILLISECOND,
        max_request_units: 6.0,
        classes: vec![
            request_class(Idempotency::Safe),
            request_class(Idempotency::Keyed),
            request_class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan {
            quota_units_per_second: 2.0,
            burst_units: 12.0,
            over_quota_cost: 1.0,
            weight_factor: 1.0,
            ..Plan::default()
        }],
        limits: Limits {
            cancel_allowed: true,
            probes_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 2 * SECOND,
            max_attempts: 4,
            connect_timeout: 100 * MILLISECOND,
        },
        counter: CounterSettings { enabled: true, timeout: 30 * MILLISECOND },
        warm_up: WarmUp {
            initial_fraction: 0.2,
            duration: 15 * SECOND,
            overload_multiple: 2.5,
            overload_duration: 1_500 * MILLISECOND,
        },
        ..Settings::default()
    }
}

/// Settings without any quota, so that only endpoints and attempts decide.
pub fn settings_without_quota() -> Settings {
    let mut settings = settings_with_quota();
    settings.plans[0] = Plan { weight_factor: 1.0, ..Plan::default() };
    settings
}

/// A request of account 7 that reached the node, and what the node did about it at once.
pub struct SentRequest {
    pub id: RequestId,
    pub actions: Vec<Action>,
}

/// An attempt that the node started.
#[derive(Debug, Clone, PartialEq)]
pub struct StartedAttempt {
    pub request: RequestId,
    pub endpoint: EndpointId,
}

/// A call of the node to the counter service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterCall {
    pub key: CounterKey,
    pub amount: f64,
}

/// A node, its clock and the number of requests so far.
pub struct NodeUnderTest {
    pub now: Micros,
    pub node: DecisionEngine,
    request_count: u32,
}

impl NodeUnderTest {
    /// A node that knows so many endpoints, all active and warm.
    pub fn new(settings: Settings, endpoint_count: u32) -> NodeUnderTest {
        let mut node =
            NodeUnderTest { now: 100 * SECOND, node: DecisionEngine::new(5, settings), request_count: 0 };
        let entries = (0..endpoint_count).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect();
        node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
        node
    }

    /// Handles an event now and returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        actions
    }

    /// Moves the clock.
    pub fn advance(&mut self, span: Micros) {
        self.now += span;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.event(Event::TimerFired { id: 0 })
    }

    /// Changes entries of the endpoint list.
    pub fn update_endpoint(&mut self, entry: EndpointEntry) -> Vec<Action> {
        self.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries: vec![entry] })
    }

    /// A client sends a first request.
    pub fn request(&mut self, class: usize, units: f64) -> SentRequest {
        self.request_of_client(class, units, false)
    }

    /// A client sends a request that it marks as a retry.
    pub fn retry(&mut self, class: usize, units: f64) -> SentRequest {
        self.request_of_client(class, units, true)
    }

    fn request_of_client(&mut self, class: usize, units: f64, is_retry: bool) -> SentRequest {
        self.request_count += 1;
        let id = RequestId::from(format!("r{}", self.request_count).as_str());
        let request = NewRequest {
            id: id.clone(),
            account: AccountId(7),
            class,
            plan: 0,
            units,
            first_account_node: 0,
            account_node_count: 3,
            is_retry,
            deadline: self.now + 2 * SECOND,
        };
        SentRequest { id, actions: self.event(Event::RequestReceived(request)) }
    }

    /// A client sends a request that is passed on to an endpoint at once.
    pub fn request_started(&mut self, class: usize) -> StartedAttempt {
        started_attempts(&self.request(class, 1.0).actions).pop().expect("an attempt")
    }

    /// Ends an attempt 50 ms after its start.
    pub fn end_attempt(&mut self, attempt: &StartedAttempt, number: u32, outcome: Outcome) -> Vec<Action> {
        self.event(Event::AttemptEnded(EndedAttempt {
            request: attempt.request.clone(),
            attempt_number: number,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: 50 * MILLISECOND,
            request_completed: outcome == Outcome::Ok,
            final_units: None,
        }))
    }

    /// Ends the first attempt of a request with success.
    pub fn complete(&mut self, attempt: &StartedAttempt) -> Vec<Action> {
        self.end_attempt(attempt, 0, Outcome::Ok)
    }

    /// Ends a call to the counter service.
    pub fn end_counter_call(&mut self, call: CounterCall, outcome: Outcome, total: f64) -> Vec<Action> {
        self.event(Event::CounterReplied { key: call.key, outcome, total })
    }
}

/// An entry of the endpoint list. Even ids are in cell 0, odd ones in cell 1.
pub fn endpoint_entry(id: u32, state: EndpointState, started_at: Micros) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(id.into()),
        cell: id % 2,
        state,
        started_at,
        weight: 1.0,
        ..EndpointEntry::default()
    }
}

/// The first call to the counter service among the actions.
pub fn counter_call(actions: &[Action]) -> Option<CounterCall> {
    actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, amount, .. } => Some(CounterCall { key: *key, amount: *amount }),
        _ => None,
    })
}

/// The attempts among the actions.
pub fn started_attempts(actions: &[Action]) -> Vec<StartedAttempt> {
    let attempt = |action: &Action| match action {
        Action::StartAttempt { request, endpoint, .. } => {
            Some(StartedAttempt { request: request.clone(), endpoint: *endpoint })
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// The `Retry-After` time of the first rejection among the actions; 0 if it has none.
pub fn rejection(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

/// Whether a request has failed.
pub fn has_failure(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// A counter service that replies at once.
#[derive(Default)]
pub struct FakeCounter {
    totals: BTreeMap<CounterKey, f64>,
}

impl FakeCounter {
    /// Adds to a counter and returns its total.
    pub fn add(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }

    /// Drops all counters, as a restart of the service does.
    pub fn flush(&mut self) {
        self.totals.clear();
    }

    /// Replies to every call until none is left. Returns all actions, with the given ones.
    pub fn reply_to_all(&mut self, node: &mut NodeUnderTest, mut actions: Vec<Action>) -> Vec<Action> {
        let mut all_actions = actions.clone();
        while let Some(call) = counter_call(&actions) {
            let total = self.add(call.key, call.amount);
            actions = node.end_counter_call(call, Outcome::Ok, total);
            all_actions.extend(actions.clone());
        }
        all_actions
    }
}
