//! A node, the oracle that checks it, and the random events of the tests of endpoint selection.

use std::collections::BTreeMap;

use edge_node::decision::{
    AccountId, DecisionEngine, DeduplicationScope, EndedAttempt, EndpointEntry, EndpointId, EndpointState,
    EndpointUpdateKind, Event, Idempotency, Micros, NewRequest, Outcome, RequestClass, RequestId, Settings,
};

use super::Oracle;
use crate::common::{request_class, settings_without_quota, started_attempts, NodeUnderTest, SECOND};

/// Returns the settings of one of `node_count` nodes. A class whose repeats are bound to a zone is added to
/// the usual three.
pub fn settings_of_node(node_index: u32, node_count: u32) -> Settings {
    let mut settings =
        Settings { node_index, node_count, zone: 1, cross_zone_cost: 0.2, ..settings_without_quota() };
    let bound_to_zone =
        RequestClass { deduplication_scope: DeduplicationScope::Zone, ..request_class(Idempotency::Keyed) };
    settings.classes.push(bound_to_zone);
    settings
}

/// Returns the list entry of the endpoint with this number. The ids are spread over their range, and
/// neighbours on the ring are in different zones and cells.
pub fn entry(number: u64, state: EndpointState, started_at: Micros) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1),
        zone: (number % 5) as u32,
        cell: (number % 97) as u32,
        state,
        started_at,
        weight: 1.0 + (number % 3) as f64,
        ..EndpointEntry::default()
    }
}

pub fn active_entry(number: u64) -> EndpointEntry {
    entry(number, EndpointState::Active, 0)
}

pub fn snapshot(numbers: impl Iterator<Item = u64>) -> Event {
    Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        entries: numbers.map(active_entry).collect(),
    }
}

pub fn delta(entries: Vec<EndpointEntry>) -> Event {
    Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries }
}

pub struct AttemptInFlight {
    request: RequestId,
    attempt_number: u32,
    endpoint: EndpointId,
    sent_at: Micros,
}

/// A node and the oracle that follows it through events drawn from a seed.
pub struct CheckedNode {
    pub node: NodeUnderTest,
    pub oracle: Oracle,
    pub random: fastrand::Rng,
    settings: Settings,
    /// The numbers of the endpoints on the endpoint list.
    listed: Vec<u64>,
    pub in_flight: Vec<AttemptInFlight>,
    attempt_counts: BTreeMap<RequestId, u32>,
}

impl CheckedNode {
    pub fn new(seed: u64, endpoint_count: u64, settings: Settings) -> CheckedNode {
        let mut node = NodeUnderTest::new(settings.clone(), 0);
        node.engine = DecisionEngine::new(seed, settings.clone());
        let mut checked = CheckedNode {
            node,
            oracle: Oracle::new(seed, settings.clone()),
            random: fastrand::Rng::with_seed(seed),
            settings,
            listed: (0..endpoint_count).collect(),
            in_flight: Vec::new(),
            attempt_counts: BTreeMap::new(),
        };
        checked.event(snapshot(0..endpoint_count));
        checked
    }

    pub fn event(&mut self, event: Event) {
        let actions = self.node.event(event.clone());
        self.oracle.follow(self.node.now, &event, &actions);
        for started in started_attempts(&actions) {
            let attempt_count = self.attempt_counts.entry(started.request.clone()).or_default();
            self.in_flight.push(AttemptInFlight {
                request: started.request,
                attempt_number: *attempt_count,
                endpoint: started.endpoint,
                sent_at: self.node.now,
            });
            *attempt_count += 1;
        }
    }

    pub fn request(&mut self) {
        let id = format!("r{}", self.random.u64(..)).as_str().into();
        let class = self.random.usize(..4);
        self.event(Event::RequestReceived(NewRequest {
            id,
            account: AccountId(1),
            class,
            plan: 0,
            units: 1.0,
            first_account_node: 0,
            account_node_count: 1,
            is_retry: false,
            deadline: self.node.now + 2 * SECOND,
        }));
    }

    /// Ends one of the attempts in flight. During an outage, a third of the endpoints fail half of their
    /// attempts. In addition, one attempt in twenty fails at any time.
    pub fn end_attempt(&mut self, is_outage: bool) {
        let attempt = self.in_flight.swap_remove(self.random.usize(..self.in_flight.len()));
        let failures =
            [Outcome::ConnectFailed, Outcome::TimedOut, Outcome::Reset, Outcome::Error, Outcome::Rejected];
        let is_hit = is_outage && attempt.endpoint.0.is_multiple_of(3) && self.random.bool();
        let fails = is_hit || self.random.u32(..20) == 0;
        let outcome = if fails { failures[self.random.usize(..5)] } else { Outcome::Ok };
        self.event(Event::AttemptEnded(EndedAttempt {
            request: attempt.request,
            attempt_number: attempt.attempt_number,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: self.node.now - attempt.sent_at,
            request_completed: outcome == Outcome::Ok,
            final_units: None,
        }));
    }

    /// Sends a delta with one change: a restart, a drain, a return to service, a removal, a new endpoint or
    /// the removal of an endpoint that the node does not know.
    pub fn change_an_endpoint(&mut self) {
        let now = self.node.now;
        let number = self.listed[self.random.usize(..self.listed.len())];
        let changed = match self.random.u32(..6) {
            0 => entry(number, EndpointState::Active, now - self.random.u64(..SECOND)),
            1 => entry(number, EndpointState::Draining, 0),
            2 => active_entry(number),
            3 => {
                self.listed.retain(|&listed| listed != number);
                entry(number, EndpointState::Removed, 0)
            }
            4 => {
                let new = 1 << 40 | now;
                self.listed.push(new);
                entry(new, EndpointState::Active, now)
            }
            _ => entry(1 << 50 | now, EndpointState::Removed, 0),
        };
        self.event(delta(vec![changed]));
    }

    /// Restarts `count` adjacent endpoints at the same time, from this node's first position on the ring on.
    pub fn restart_neighbours(&mut self, count: usize) {
        let now = self.node.now;
        let mut ring: Vec<EndpointEntry> =
            self.listed.iter().map(|&number| entry(number, EndpointState::Active, now)).collect();
        ring.sort_by_key(|entry| entry.id);
        let first = self.settings.node_index as usize * ring.len() / self.settings.node_count as usize;
        ring.rotate_left(first);
        ring.truncate(count);
        self.event(delta(ring));
    }

    /// Sends a snapshot that lacks one endpoint in fifty and has the others in a random order.
    pub fn shrink_by_snapshot(&mut self) {
        let mut numbers = self.listed.clone();
        self.random.shuffle(&mut numbers);
        numbers.truncate(numbers.len() - numbers.len() / 50);
        self.listed = numbers.clone();
        self.event(snapshot(numbers.into_iter()));
    }
}
