//! A decision engine under test, with a clock that the test moves.

use edge_node::decision::{
    AccountId, Action, DecisionEngine, EndedAttempt, EndpointEntry, EndpointId, EndpointState,
    EndpointUpdateKind, Event, Micros, NewRequest, Outcome, RequestId, Settings,
};

use super::actions::{started_attempts, CounterIncrement, StartedAttempt};
use super::{MILLISECOND, SECOND};

/// A request of account 7 that was sent to the node, and the actions that the node returned for it.
pub struct SentRequest {
    pub id: RequestId,
    pub actions: Vec<Action>,
}

/// A node whose clock the test moves.
pub struct NodeUnderTest {
    /// The time of the node's clock. It starts at 100 s.
    pub now: Micros,
    /// The decision engine of the node.
    pub engine: DecisionEngine,
    /// Number of requests sent so far; the number of a request is part of its id.
    request_count: u32,
}

impl NodeUnderTest {
    /// Starts a node whose endpoint list has `endpoint_count` endpoints, all of them active and warm.
    pub fn new(settings: Settings, endpoint_count: u32) -> NodeUnderTest {
        let mut node =
            NodeUnderTest { now: 100 * SECOND, engine: DecisionEngine::new(5, settings), request_count: 0 };
        let entries = (0..endpoint_count).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect();
        node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
        node
    }

    /// Passes an event to the node at the current time and returns the resulting actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        actions
    }

    /// Moves the clock forward by `span`.
    pub fn advance(&mut self, span: Micros) {
        self.now += span;
    }

    /// Fires timer 0 and returns the resulting actions.
    pub fn fire_timer(&mut self) -> Vec<Action> {
        self.event(Event::TimerFired { id: 0 })
    }

    /// Sends the node a delta of the endpoint list with this entry and returns the resulting actions.
    pub fn update_endpoint(&mut self, entry: EndpointEntry) -> Vec<Action> {
        self.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries: vec![entry] })
    }

    /// Sends the node a request that is not marked as a retry.
    pub fn request(&mut self, class: usize, units: f64) -> SentRequest {
        self.request_of_client(class, units, false)
    }

    /// Sends the node a request that the client marks as a retry.
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

    /// Sends the node a request of one unit and returns its attempt. Panics if the node does not start an
    /// attempt at once.
    pub fn start_attempt(&mut self, class: usize) -> StartedAttempt {
        started_attempts(&self.request(class, 1.0).actions).pop().expect("the node started no attempt")
    }

    /// Ends an attempt 50 ms after its start and returns the resulting actions. `number` is the number of the
    /// attempt within its request, from 0.
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

    /// Ends the first attempt of a request with success and returns the resulting actions.
    pub fn complete(&mut self, attempt: &StartedAttempt) -> Vec<Action> {
        self.end_attempt(attempt, 0, Outcome::Ok)
    }

    /// Ends a call to the counter service and returns the resulting actions. `total` is the counter's total
    /// after the call, in units.
    pub fn end_counter_call(&mut self, call: CounterIncrement, outcome: Outcome, total: f64) -> Vec<Action> {
        self.event(Event::CounterReplied { key: call.key, outcome, total })
    }
}

/// Returns an entry of the endpoint list with weight 1. Endpoints with an even id are in cell 0, those with
/// an odd id in cell 1.
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
