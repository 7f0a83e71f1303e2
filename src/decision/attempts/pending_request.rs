//! The requests that have no final response yet, or whose attempt is still in flight.

use std::collections::{BTreeMap, VecDeque};

use crate::decision::balancer::Placement;
use crate::decision::{EndedAttempt, EndpointId, Micros, NewRequest, RequestId};

/// An attempt of a request.
#[derive(Clone, Copy)]
pub(in crate::decision) struct Attempt {
    pub endpoint: EndpointId,
    /// Zone and cell of the endpoint: a repeat may have to stay there when the endpoint is not known any
    /// more.
    pub placement: Placement,
    pub sent_at: Micros,
}

/// The state of a request.
pub(in crate::decision) struct PendingRequest {
    /// What the client sent, with a finite number of units.
    pub request: NewRequest,
    pub arrived_at: Micros,
    /// Units drawn from the account's quota.
    pub drawn_units: f64,
    /// How many attempts began.
    pub attempts: u32,
    /// The attempt that is in flight: never two at once.
    pub in_flight: Option<Attempt>,
    /// The first attempt that may have run.
    pub first_possible_run: Option<Attempt>,
    /// It is in its account's queue for the reply of the counter.
    pub waits_for_counter: bool,
    /// The request has its final response, or nobody waits for it.
    pub needs_no_response: bool,
    /// A part of the response was sent to the client.
    pub response_started: bool,
}

impl PendingRequest {
    /// A request that arrives now.
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

    /// Takes in the end of the attempt that is in flight. Returns that attempt; none if the event is about
    /// another one.
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
    /// Requests that wait for an endpoint that can take them.
    without_endpoint: VecDeque<RequestId>,
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

    /// All requests in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &PendingRequest)> {
        self.by_id.iter()
    }

    pub fn insert(&mut self, pending: PendingRequest) {
        self.by_id.insert(pending.request.id.clone(), pending);
    }

    pub fn remove(&mut self, id: &RequestId) {
        self.by_id.remove(id);
    }

    /// Has a request wait for an endpoint.
    pub fn wait_for_endpoint(&mut self, id: RequestId) {
        self.without_endpoint.push_back(id);
    }

    /// Takes out all requests that wait for an endpoint, in the order of their arrival.
    pub fn take_waiting_for_endpoint(&mut self) -> VecDeque<RequestId> {
        std::mem::take(&mut self.without_endpoint)
    }

    /// Takes a request out of those that wait for an endpoint.
    pub fn stop_waiting_for_endpoint(&mut self, id: &RequestId) {
        self.without_endpoint.retain(|waiting| waiting != id);
    }
}
