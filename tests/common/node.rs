//! A node under test, on a clock that the test moves.

use edge_node::decision::{
    AccountId, Action, DecisionEngine, EndedAttempt, EndpointEntry, EndpointId, EndpointState,
    EndpointUpdateKind, Event, Micros, NewRequest, Outcome, RequestId, Settings,
};

use super::actions::{started_attempts, CounterCall, StartedAttempt};
use super::{MILLISECOND, SECOND};

/// A request of account 7 that reached the node, and what the node did about it at once.
pub struct SentRequest {
    pub id: RequestId,
    pub actions: Vec<Action>,
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
