//! The pending requests: those without a final response, and those whose attempt is still in flight.

use std::collections::{BTreeMap, VecDeque};

use crate::decision::balancer::Placement;
use crate::decision::{EndedAttempt, EndpointId, Micros, NewRequest, RequestId};

/// An attempt of a request.
#[derive(Clone, Copy)]
pub(in crate::decision) struct Attempt {
    pub endpoint: EndpointId,
    /// Zone and cell of the endpoint. A retry may have to stay within one of them even if the endpoint is no
    /// longer known.
    pub placement: Placement,
    pub sent_at: Micros,
}

/// The state of a pending request.
pub(in crate::decision) struct PendingRequest {
    /// The request as the client sent it, except that its number of units is finite and at least 0.
    pub request: NewRequest,
    pub arrived_at: Micros,
    /// Units drawn from the account's quota.
    pub drawn_units: f64,
    /// Number of attempts that have started.
    pub attempts: u32,
    /// The attempt that is in flight. A request never has two at once.
    pub in_flight: Option<Attempt>,
    /// The first ended attempt that may have run.
    pub first_possible_run: Option<Attempt>,
    /// Whether the request is in its account's queue for the reply of the counter.
    pub waits_for_counter: bool,
    /// Whether the request has its final response or no client waits for it.
    pub needs_no_response: bool,
    /// Whether a part of the response was sent to the client.
    pub response_started: bool,
}

impl PendingRequest {
    /// Creates the state of a request that arrives at `now`.
    pub fn new(request: NewRequest, now: Micros) -> Self {
        PendingRequest {
            request,
            arrived_at: now,
            drawn_units: 0.0,
            attempts: 0,
            in_flight: None,
            first_possible_run: None,
            waits_for_counter: false,
            needs_no_response: false,
            response_started: false,
        }
    }

    /// Records the end of the attempt that is in flight and returns that attempt. Returns `None` if the event
    /// is about another attempt.
    pub fn end_attempt(&mut self, end: &EndedAttempt) -> Option<Attempt> {
        let is_latest = self.attempts.checked_sub(1) == Some(end.attempt_number);
        let attempt = self.in_flight.take_if(|_| is_latest)?;
        if end.outcome.may_have_run() {
            self.first_possible_run.get_or_insert(attempt);
        }
        self.needs_no_response |= end.request_completed;
        Some(attempt)
    }
}

/// All pending requests of the node.
#[derive(Default)]
pub(in crate::decision) struct PendingRequests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for an endpoint that can take them, in the order in which they began to wait.
    waiting_for_endpoint: VecDeque<RequestId>,
}

impl PendingRequests {
    pub fn contains(&self, id: &RequestId) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn get(&self, id: &RequestId) -> Option<&PendingRequest> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(id)
    }

    /// Returns all requests in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &PendingRequest)> {
        self.by_id.iter()
    }

    pub fn insert(&mut self, pending: PendingRequest) {
        self.by_id.insert(pending.request.id.clone(), pending);
    }

    pub fn remove(&mut self, id: &RequestId) {
        self.by_id.remove(id);
    }

    /// Adds a request to those that wait for an endpoint.
    pub fn wait_for_endpoint(&mut self, id: RequestId) {
        self.waiting_for_endpoint.push_back(id);
    }

    /// Removes and returns all requests that wait for an endpoint, in the order in which they began to wait.
    pub fn take_waiting_for_endpoint(&mut self) -> VecDeque<RequestId> {
        std::mem::take(&mut self.waiting_for_endpoint)
    }

    /// Removes a request from those that wait for an endpoint.
    pub fn stop_waiting_for_endpoint(&mut self, id: &RequestId) {
        self.waiting_for_endpoint.retain(|waiting| waiting != id);
    }
}
