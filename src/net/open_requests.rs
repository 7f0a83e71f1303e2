//! The open requests of a node: those that wait for their final response or have an attempt in flight.

use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::decision::{EndpointId, Micros, RequestId};
use crate::net::departed_requests::DepartedRequests;
use crate::net::upstream::ForwardedRequest;

/// How long before the request's deadline its attempts end, in microseconds. The final response needs this
/// time to reach the client.
///
/// This is more than the event loop's `RESPONSE_MARGIN`, so attempts end first. A request whose endpoint does
/// not respond is answered with 502 or 503, and only one that still waits for something else, such as the
/// counter service, is answered with 504.
const ATTEMPT_MARGIN: Micros = 25_000;

/// The final response to a request.
pub enum FinalResponse {
    /// The body of an endpoint's response.
    Served(Bytes),
    /// The request was rejected, and the client can retry it safely.
    Rejected {
        /// How long the client should wait before it retries, in microseconds; 0 means no advice.
        retry_after: Micros,
    },
    /// The request failed, but an attempt may have run.
    Failed,
}

/// The error for a request that has the id of a request that is still open, or that may have run for a client
/// that has left.
#[derive(Debug, thiserror::Error)]
#[error("a request with this id is still open or may have run for a client that has left")]
pub struct DuplicateRequestId;

/// The record of one attempt of a request, in flight or ended.
pub(super) struct AttemptRecord {
    /// The endpoint of the attempt.
    pub(super) endpoint: EndpointId,
    /// When the attempt was started, in microseconds of Unix time.
    pub(super) started_at: Micros,
    /// The task that carries out the attempt; `None` once the attempt has ended.
    pub(super) task: Option<AbortHandle>,
    /// Whether any byte of the request may have been written to the endpoint.
    pub(super) maybe_written: Rc<Cell<bool>>,
}

impl AttemptRecord {
    /// Creates the record of an attempt that has ended without being sent.
    pub(super) fn not_sent(endpoint: EndpointId, now: Micros) -> Self {
        AttemptRecord { endpoint, started_at: now, task: None, maybe_written: Rc::default() }
    }

    /// Returns whether the attempt is in flight but still waits for a connection or a descriptor.
    fn is_unsent(&self) -> bool {
        self.task.is_some() && !self.maybe_written.get()
    }
}

/// An open request.
pub(super) struct OpenRequest {
    /// The sender of the final response; `None` once the response was sent or the client has disconnected.
    responder: Option<oneshot::Sender<FinalResponse>>,
    /// The request as it is sent to endpoints.
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// Until when the client waits, in microseconds of Unix time.
    deadline: Micros,
    /// Whether the client has disconnected, or has got no response in time.
    client_has_left: bool,
    /// When attempts in flight time out, in microseconds of Unix time.
    attempts_end_at: Micros,
    /// The attempts of the request, by attempt number.
    pub(super) attempts: Vec<AttemptRecord>,
}

impl OpenRequest {
    /// Creates a request without attempts, and returns it with the receiver of its final response.
    pub(super) fn new(
        forwarded: ForwardedRequest,
        deadline: Micros,
    ) -> (Self, oneshot::Receiver<FinalResponse>) {
        let (responder, receiver) = oneshot::channel();
        let request = OpenRequest {
            responder: Some(responder),
            forwarded: Rc::new(forwarded),
            deadline,
            client_has_left: false,
            attempts_end_at: deadline.saturating_sub(ATTEMPT_MARGIN),
            attempts: Vec::new(),
        };
        (request, receiver)
    }

    /// Returns whether the final response was sent or the client has disconnected.
    pub(super) fn is_completed(&self) -> bool {
        self.responder.is_none()
    }

    /// Returns whether one more attempt may be started at the time `now`.
    pub(super) fn may_start_attempt(&self, now: Micros, max_attempts: usize) -> bool {
        !self.is_completed() && self.attempts.len() < max_attempts && now < self.attempts_end_at
    }

    /// Returns when an attempt that starts at `now` has to end, in microseconds of Unix time. `timeout` is
    /// the limit of this attempt in microseconds; 0 means that only the request's limit applies.
    pub(super) fn attempt_ends_at(&self, now: Micros, timeout: Micros) -> Micros {
        if timeout > 0 {
            self.attempts_end_at.min(now + timeout)
        } else {
            self.attempts_end_at
        }
    }

    /// Sends the final response, unless one was sent before or the client has disconnected. An error of the
    /// send is ignored: the connection reports a client that has just disconnected.
    pub(super) fn respond(&mut self, response: FinalResponse) {
        if let Some(responder) = self.responder.take() {
            let _ = responder.send(response);
        }
    }

    /// Returns whether the client has left, and a further request with this id could take effect a second time.
    /// Only requests of safe classes use `GET`.
    fn must_not_run_again(&self) -> bool {
        let may_have_run = self.attempts.iter().any(|attempt| attempt.maybe_written.get());
        self.client_has_left && may_have_run && self.forwarded.method != Method::GET
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.task.is_some())
    }
}

/// All open requests of a node.
#[derive(Default)]
pub(super) struct OpenRequests {
    by_id: BTreeMap<RequestId, OpenRequest>,
    departed: DepartedRequests,
}

impl OpenRequests {
    /// Adds a request at the time `now`.
    ///
    /// # Errors
    /// Returns [`DuplicateRequestId`] if a request with this id is still open, or may have run for a client
    /// that has left. If it were added again, a request that must not run twice could.
    pub(super) fn insert(
        &mut self,
        id: RequestId,
        request: OpenRequest,
        now: Micros,
    ) -> Result<(), DuplicateRequestId> {
        if self.departed.contains(&id, now) {
            return Err(DuplicateRequestId);
        }
        match self.by_id.entry(id) {
            Entry::Occupied(_) => Err(DuplicateRequestId),
            Entry::Vacant(entry) => {
                entry.insert(request);
                Ok(())
            }
        }
    }

    /// Returns the request with this id. Returns `None` if no such request is open.
    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(id)
    }

    /// Returns the ids of all open requests in ascending order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns whether a client still waits for the final response to its request.
    pub(super) fn has_waiting_clients(&self) -> bool {
        self.by_id.values().any(|request| !request.is_completed())
    }

    /// Takes the sender of the final response out of the request, which completes the request. Returns `None`
    /// if the request is not open or is already completed.
    pub(super) fn take_responder(&mut self, id: &RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        self.by_id.get_mut(id)?.responder.take()
    }

    /// Completes the request because its client has left. Returns `false` if it is not open or is already
    /// completed.
    pub(super) fn client_left(&mut self, id: &RequestId) -> bool {
        let Some(request) = self.by_id.get_mut(id) else { return false };
        let is_waiting = request.responder.take().is_some();
        request.client_has_left |= is_waiting;
        is_waiting
    }

    /// Returns the numbers of the request's attempts that still wait for a connection or a descriptor.
    pub(super) fn unsent_attempts(&self, id: &RequestId) -> Vec<usize> {
        let Some(request) = self.by_id.get(id) else { return Vec::new() };
        let attempts = request.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.is_unsent()).map(|(number, _)| number).collect()
    }

    /// Removes the request if it is completed and has no attempt in flight.
    pub(super) fn remove_if_settled(&mut self, id: &RequestId) {
        let is_settled = |request: &OpenRequest| request.is_completed() && !request.has_attempt_in_flight();
        let Some(request) = self.by_id.get(id).filter(|request| is_settled(request)) else { return };
        if request.must_not_run_again() {
            self.departed.add(id.clone(), request.deadline);
        }
        self.by_id.remove(id);
    }
}
