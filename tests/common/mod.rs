//! A node under test and short-hands for its events.
#![allow(dead_code)]

use edge_node::decision::DecisionEngine;
use edge_node::decision::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MS,
        total_timeout: 2 * SECOND,
        priority_weight: 1.0,
        deduplication_window: SECOND,
        deduplication_scope: DeduplicationScope::Cell,
        idempotency: effect,
        ..RequestClass::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        node_count: 3,
        batch_interval: 2 * MS,
        max_request_units: 6.0,
        classes: vec![class(Idempotency::Safe), class(Idempotency::Keyed), class(Idempotency::NonIdempotent)],
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
            connect_timeout: 100 * MS,
        },
        counter: CounterSettings { enabled: true, timeout: 30 * MS },
        warm_up: WarmUp {
            initial_fraction: 0.2,
            duration: 15 * SECOND,
            overload_multiple: 2.5,
            overload_duration: 1_500 * MS,
        },
        ..Settings::default()
    }
}

pub struct Node {
    pub now: Micros,
    pub node: DecisionEngine,
    next: u32,
}

impl Node {
    pub fn new(set: Settings, servers: u32) -> Node {
        let mut n = Node { now: 100 * SECOND, node: DecisionEngine::new(5, set), next: 0 };
        let entries = (0..servers).map(|i| member(i, EndpointState::Active, 0)).collect();
        n.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
        n
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.node.handle(self.now, event, &mut out);
        out
    }

    pub fn wait(&mut self, span: Micros) {
        self.now += span;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.event(Event::TimerFired { id: 0 })
    }

    pub fn ask(&mut self, class: usize, units: f64) -> (RequestId, Vec<Action>) {
        self.ask_as(class, units, false)
    }

    pub fn ask_as(&mut self, class: usize, units: f64, marked_retry: bool) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId::from(format!("r{}", self.next).as_str());
        let request = NewRequest {
            id: id.clone(),
            account: AccountId(7),
            class,
            plan: 0,
            units,
            first_account_node: 0,
            account_node_count: 3,
            is_retry: marked_retry,
            deadline: self.now + 2 * SECOND,
        };
        (id, self.event(Event::RequestReceived(request)))
    }

    pub fn end(&mut self, id: &RequestId, attempt: u32, server: EndpointId, outcome: Outcome) -> Vec<Action> {
        self.event(Event::AttemptEnded(EndedAttempt {
            request: id.clone(),
            attempt_number: attempt,
            endpoint: server,
            outcome,
            elapsed: 50 * MS,
            request_completed: outcome == Outcome::Ok,
            final_units: None,
        }))
    }

    pub fn counted(&mut self, name: CounterKey, outcome: Outcome, total: f64) -> Vec<Action> {
        self.event(Event::CounterReplied { key: name, outcome, total })
    }
}

pub fn member(server: u32, state: EndpointState, started: Micros) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(server.into()),
        cell: server % 2,
        state,
        started_at: started,
        weight: 1.0,
        ..EndpointEntry::default()
    }
}

pub fn call(actions: &[Action]) -> Option<(CounterKey, f64)> {
    actions.iter().find_map(|a| match a {
        Action::IncrementCounter { key: name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

pub fn sent(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    let pick = |a: &Action| match a {
        Action::StartAttempt { request: id, endpoint: server, .. } => Some((id.clone(), *server)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Settings without any quota, so that only servers and attempts decide.
pub fn open() -> Settings {
    let mut set = settings();
    set.plans[0] = Plan { weight_factor: 1.0, ..Plan::default() };
    set
}

/// One request that is passed on at once, and the server it went to.
pub fn send_one(n: &mut Node, class: usize) -> (RequestId, EndpointId) {
    let (_, actions) = n.ask(class, 1.0);
    sent(&actions).pop().expect("an attempt")
}

/// A counter that keeps one number, for tests.
#[derive(Default)]
pub struct Counter(pub std::collections::BTreeMap<CounterKey, f64>);

impl Counter {
    pub fn add(&mut self, name: CounterKey, amount: f64) -> f64 {
        let total = self.0.entry(name).or_default();
        *total += amount;
        *total
    }
}

/// Answers every call at once until none is left; gives all actions.
pub fn settle(n: &mut Node, counter: &mut Counter, mut actions: Vec<Action>) -> Vec<Action> {
    let mut all = actions.clone();
    while let Some((name, amount)) = call(&actions) {
        let total = counter.add(name, amount);
        actions = n.counted(name, Outcome::Ok, total);
        all.extend(actions.clone());
    }
    all
}
