//! The requests that wait for their final response or have an attempt in flight.

use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::decision::{EndpointId, Micros, RequestId};
use crate::net::upstream::ForwardedRequest;

/// Attempts are cancelled this long before the client stops waiting, so that the final response still reaches it.
/// This is more than the event loop's `RESPONSE_MARGIN`: an attempt ends first, so a request that hangs at an endpoint
/// is answered 502 or 503, and 504 is left for one that still waits for something else, such as the counter.
const ATTEMPT_MARGIN: Micros = 25_000;

/// The one final response to a request.
pub enum FinalResponse {
    /// The body of an endpoint's response.
    Served(Bytes),
    /// Rejected; a retry by the client is harmless.
    Rejected {
        /// When the client should come back, from now; 0 means no advice.
        retry_after: Micros,
    },
    /// Failed; the request may have run.
    Failed,
}

/// A request with the id of one that is still open.
#[derive(Debug, thiserror::Error)]
#[error("a request with this id is still open")]
pub struct DuplicateRequestId;

/// One attempt of a request, in flight or ended.
pub(super) struct Attempt {
    /// The endpoint that it was sent to.
    pub(super) endpoint: EndpointId,
    /// When it was started.
    pub(super) started_at: Micros,
    /// Its task; none once it has ended.
    pub(super) task: Option<AbortHandle>,
    /// Whether any of it may have been written.
    pub(super) maybe_written: Rc<Cell<bool>>,
}

impl Attempt {
    /// An attempt that ended before it was sent.
    pub(super) fn not_sent(endpoint: EndpointId, now: Micros) -> Self {
        Attempt { endpoint, started_at: now, task: None, maybe_written: Rc::default() }
    }

    fn is_unsent(&self) -> bool {
        self.task.is_some() && !self.maybe_written.get()
    }
}

/// An open request.
pub(super) struct OpenRequest {
    /// Where the final response goes; none once it was given or the client has disconnected.
    responder: Option<oneshot::Sender<FinalResponse>>,
    /// What is sent to endpoints.
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// Attempts are cancelled at this time.
    attempts_end_at: Micros,
    /// Its attempts, by number.
    pub(super) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// A request without attempts, and the receiver of its final response.
    pub(super) fn new(
        forwarded: ForwardedRequest,
        deadline: Micros,
    ) -> (Self, oneshot::Receiver<FinalResponse>) {
        let (responder, receiver) = oneshot::channel();
        let request = OpenRequest {
            responder: Some(responder),
            forwarded: Rc::new(forwarded),
            attempts_end_at: deadline.saturating_sub(ATTEMPT_MARGIN),
            attempts: Vec::new(),
        };
        (request, receiver)
    }

    /// Whether its final response was given or its client has disconnected.
    pub(super) fn is_completed(&self) -> bool {
        self.responder.is_none()
    }

    /// Whether one more attempt may be sent now.
    pub(super) fn may_start_attempt(&self, now: Micros, max_attempts: usize) -> bool {
        !self.is_completed() && self.attempts.len() < max_attempts && now < self.attempts_end_at
    }

    /// When an attempt ends that is started now with this time limit, in microseconds; 0 means no limit of its own.
    pub(super) fn attempt_ends_at(&self, now: Micros, timeout: Micros) -> Micros {
        if timeout > 0 {
            self.attempts_end_at.min(now + timeout)
        } else {
            self.attempts_end_at
        }
    }

    /// Gives the final response, unless there was one. A client that has just disconnected is reported by its
    /// connection.
    pub(super) fn respond(&mut self, response: FinalResponse) {
        if let Some(responder) = self.responder.take() {
            let _ = responder.send(response);
        }
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.task.is_some())
    }
}

/// All open requests of a node.
#[derive(Default)]
pub(super) struct OpenRequests {
    by_id: BTreeMap<RequestId, OpenRequest>,
}

impl OpenRequests {
    /// Adds a request.
    ///
    /// # Errors
    /// If one with this id is still open: entered again, a request that may not run twice would.
    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) -> Result<(), DuplicateRequestId> {
        match self.by_id.entry(id) {
            Entry::Occupied(_) => Err(DuplicateRequestId),
            Entry::Vacant(place) => {
                place.insert(request);
                Ok(())
            }
        }
    }

    /// The request with this id.
    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(id)
    }

    /// The ids of all open requests, in order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().cloned().collect()
    }

    /// Whether a client still waits for its final response.
    pub(super) fn has_waiting_clients(&self) -> bool {
        self.by_id.values().any(|request| !request.is_completed())
    }

    /// Takes the place where the final response goes; none if it was given already.
    pub(super) fn take_responder(&mut self, id: &RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        self.by_id.get_mut(id)?.responder.take()
    }

    /// The numbers of the attempts that still wait for a connection or a descriptor.
    pub(super) fn unsent_attempts(&self, id: &RequestId) -> Vec<usize> {
        let Some(request) = self.by_id.get(id) else { return Vec::new() };
        let attempts = request.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.is_unsent()).map(|(number, _)| number).collect()
    }

    /// Removes a request that is completed and has no attempt in flight.
    pub(super) fn remove_if_settled(&mut self, id: &RequestId) {
        let is_settled = |request: &OpenRequest| request.is_completed() && !request.has_attempt_in_flight();
        if self.by_id.get(id).is_some_and(is_settled) {
            self.by_id.remove(id);
        }
    }
}
