//! The state of one client connection: which requests are in progress or arriving, and whether it may be
//! closed.
//!
//! When descriptors run out, an idle connection may be closed, and a connection on which a request has
//! arrived in part may be aborted: soon after the client has stopped sending, and in any case some time after
//! the request began. Otherwise slow and half-sent requests would hold all descriptors and block all other
//! clients.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Body;
use hyper::Request;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::net::descriptor_budget::{DescriptorBudget, IdleRegistration, PartialRequestRegistration};
use crate::net::downstream::framing::BodyFraming;
use crate::net::downstream::pipeline::Pipeline;

/// How long a request head may take to arrive, counted from the connect, from the head's first byte or, if
/// that byte was read ahead, from the previous response. The registry checks this every
/// `CHECK_INTERVAL`.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a response may wait for its client to read. It is held in memory meanwhile. The registry checks
/// this every `CHECK_INTERVAL`.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// When descriptors run out, a request that has arrived in part may be given up this long after its latest
/// byte.
const PARTIAL_REQUEST_STALL: Duration = Duration::from_millis(200);
/// When descriptors run out, a request that has arrived in part may be given up this long after its first
/// byte, even if the client goes on sending.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(750);
/// Replaces `PARTIAL_REQUEST_TIMEOUT` while partial requests hold at least half of the clients' share of
/// descriptors. If slow clients wait in the backlog as well, each round of evictions takes this long, so it
/// is shorter than the usual timeout.
const FLOODED_PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The registration of a connection that may be closed or aborted when descriptors run out.
#[derive(Clone, Copy)]
enum EvictionRegistration {
    Idle(IdleRegistration),
    PartialRequest(PartialRequestRegistration),
}

/// The state of one client connection, shared by the task that serves it, its socket and the registry.
pub struct ConnectionState {
    budget: Rc<DescriptorBudget>,
    /// Notified by the descriptor budget when the connection has to close as soon as it is idle.
    close_requested: Rc<Notify>,
    /// Notified when the connection has to end immediately.
    abort_requested: Notify,
    /// Notified, by the registry or the descriptor budget, when a request that has arrived in part has to be
    /// given up.
    give_up_requested: Rc<Notify>,
    /// `None` while the connection must not be evicted: it is new, or a request that has arrived in full is
    /// in progress.
    eviction_registration: Cell<Option<EvictionRegistration>>,
    /// Whether the connection is so new that its first request may still be unread.
    is_new: Cell<bool>,
    /// Whether the head of a request was read on this connection.
    has_sent_request: Cell<bool>,
    /// Whether the head of a request was read whose response is not ready yet.
    request_in_progress: Cell<bool>,
    /// Whether a part of the body of the request in progress is still to arrive.
    body_awaited: Cell<bool>,
    /// When the first byte of the request that has arrived in part was read. `None` if there is no such
    /// request.
    partial_request_since: Cell<Option<Instant>>,
    /// Since when a request head has been arriving, or has been expected on a new connection. `None` at other
    /// times.
    head_started_at: Cell<Option<Instant>>,
    /// Since when bytes of a response wait for the client to read. `None` if all of them were written.
    response_blocked_since: Cell<Option<Instant>>,
    pipeline: RefCell<Pipeline>,
    /// Whether the connection closes as soon as no request is in progress, read in part or unread.
    closing: Cell<bool>,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted, and counts it as unclassified in the budget.
    /// If `closing` is set, the connection closes after its first response.
    pub fn new(budget: Rc<DescriptorBudget>, closing: bool) -> Self {
        budget.add_unclassified();
        ConnectionState {
            budget,
            close_requested: Rc::default(),
            abort_requested: Notify::new(),
            give_up_requested: Rc::default(),
            eviction_registration: Cell::new(None),
            is_new: Cell::new(true),
            has_sent_request: Cell::new(false),
            request_in_progress: Cell::new(false),
            body_awaited: Cell::new(false),
            partial_request_since: Cell::new(None),
            head_started_at: Cell::new(Some(Instant::now())),
            response_blocked_since: Cell::new(None),
            pipeline: RefCell::new(Pipeline::new()),
            closing: Cell::new(closing),
        }
    }

    /// Records bytes that were read from the socket.
    pub fn bytes_received(&self, bytes: &[u8]) {
        self.pipeline.borrow_mut().bytes_received(bytes);
        let head_expected = !self.request_in_progress.get() && self.head_started_at.get().is_none();
        if head_expected && !bytes.is_empty() {
            self.head_started_at.set(Some(Instant::now()));
        }
        if self.has_partial_request() {
            self.register_partial_request();
        }
    }

    /// Returns how many bytes may be read from the socket at once.
    pub fn max_read_bytes(&self) -> u64 {
        self.pipeline.borrow().max_read_bytes()
    }

    /// Records that the head of a request was read, and returns how the end of its body is determined.
    pub fn request_started<B: Body>(&self, request: &Request<B>) -> BodyFraming {
        self.mark_classified();
        self.has_sent_request.set(true);
        self.request_in_progress.set(true);
        self.head_started_at.set(None);
        let body_length = request.body().size_hint().exact();
        let body_length = body_length.and_then(|length| usize::try_from(length).ok());
        let length_header = self.pipeline.borrow_mut().request_started(body_length);
        self.body_awaited.set(!request.body().is_end_stream());
        if self.body_awaited.get() {
            self.register_partial_request();
        } else {
            self.request_received();
        }
        BodyFraming::of(request.headers(), length_header)
    }

    /// Records that the request in progress has arrived in full, or that the rest of it is not going to be
    /// read.
    pub fn request_received(&self) {
        self.body_awaited.set(false);
        self.partial_request_since.set(None);
        self.unregister();
    }

    /// Returns whether the body of the request in progress may lack its end; see
    /// [`Pipeline::body_may_be_truncated`]. The request has been recorded as received.
    pub fn body_may_be_truncated(&self) -> bool {
        self.pipeline.borrow().body_may_be_truncated()
    }

    /// Returns whether bytes of a further request have been read behind the request in progress.
    pub fn has_further_request(&self) -> bool {
        self.pipeline.borrow().has_read_ahead()
    }

    /// Records that the response to the request in progress is ready.
    pub fn request_completed(&self) {
        self.request_received();
        self.request_in_progress.set(false);
        if self.has_partial_request() {
            self.head_started_at.set(Some(Instant::now()));
        }
        self.register_for_eviction();
    }

    /// Records that the time for the first request of a new connection is over. A connection without one
    /// counts as idle.
    pub fn first_request_timed_out(&self) {
        self.mark_classified();
        if !self.has_sent_request.get() {
            self.register_for_eviction();
        }
    }

    /// Marks the connection to close as soon as no request is in progress, read in part or unread.
    pub fn start_closing(&self) {
        self.closing.set(true);
    }

    /// Returns whether the connection closes as soon as no request is in progress, read in part or unread.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until the descriptor budget asks the connection to close.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Asks the connection to end immediately, even if a request is in progress.
    pub fn abort(&self) {
        self.abort_requested.notify_one();
    }

    /// Waits until the connection is asked to end immediately.
    pub async fn abort_requested(&self) {
        self.abort_requested.notified().await;
    }

    /// Asks the connection to give up the request that has arrived in part. The request is not given up if it
    /// has arrived in full by the time the connection acts on this.
    pub fn give_up_partial_request(&self) {
        self.give_up_requested.notify_one();
    }

    /// Waits until the connection is asked to give up the request that has arrived in part.
    pub async fn give_up_requested(&self) {
        self.give_up_requested.notified().await;
    }

    /// Returns whether the request that is arriving may be given up: it has not arrived in full, and either
    /// its time is over or the socket holds no unread bytes of it.
    pub fn may_give_up_partial_request(&self, has_unread_bytes: impl FnOnce() -> bool) -> bool {
        let is_received = self.request_in_progress.get() && !self.body_awaited.get();
        let since = self.partial_request_since.get();
        let is_overdue = since.is_some_and(|since| since.elapsed() >= self.partial_request_timeout());
        !is_received && (is_overdue || self.head_overdue() || !has_unread_bytes())
    }

    /// Returns whether the head of a request was read whose response is not ready yet.
    pub fn request_in_progress(&self) -> bool {
        self.request_in_progress.get()
    }

    /// Returns whether no request is in progress, none was read in part, and the connection is not so new
    /// that its first request may still be unread.
    pub fn has_no_request(&self) -> bool {
        !self.request_in_progress.get() && !self.pipeline.borrow().has_read_ahead() && !self.is_new.get()
    }

    /// Returns whether a request head has been arriving, or expected on a new connection, for longer than
    /// `HEAD_TIMEOUT`.
    pub fn head_overdue(&self) -> bool {
        let head_started_at = self.head_started_at.get();
        !self.request_in_progress.get()
            && head_started_at.is_some_and(|started_at| started_at.elapsed() > HEAD_TIMEOUT)
    }

    /// Records that the socket takes no further bytes of a response, because the client does not read.
    pub fn response_blocked(&self) {
        if self.response_blocked_since.get().is_none() {
            self.response_blocked_since.set(Some(Instant::now()));
        }
    }

    /// Records that all bytes of the responses so far were written to the socket.
    pub fn responses_written(&self) {
        self.response_blocked_since.set(None);
    }

    /// Returns whether a response has waited for its client to read for longer than `RESPONSE_WRITE_TIMEOUT`.
    pub fn response_overdue(&self) -> bool {
        let blocked_since = self.response_blocked_since.get();
        blocked_since.is_some_and(|since| since.elapsed() > RESPONSE_WRITE_TIMEOUT)
    }

    /// Stops counting the connection as unclassified in the budget, unless this was done before.
    fn mark_classified(&self) {
        if self.is_new.replace(false) {
            self.budget.remove_unclassified();
        }
    }

    /// Returns whether a request has arrived in part: only some of its head, or only some of its body.
    fn has_partial_request(&self) -> bool {
        if self.request_in_progress.get() {
            self.body_awaited.get()
        } else {
            self.pipeline.borrow().has_read_ahead()
        }
    }

    /// Registers the connection as idle or as having a partial request, so that it may be evicted. No request
    /// is in progress on it.
    fn register_for_eviction(&self) {
        if self.has_partial_request() {
            return self.register_partial_request();
        }
        self.unregister();
        let registration =
            self.budget.register_idle(self.close_requested.clone(), self.has_sent_request.get());
        self.eviction_registration.set(Some(EvictionRegistration::Idle(registration)));
    }

    /// Returns how long after its first byte a partial request may be given up when descriptors run out.
    fn partial_request_timeout(&self) -> Duration {
        if self.budget.is_flooded_by_partial_requests() {
            FLOODED_PARTIAL_REQUEST_TIMEOUT
        } else {
            PARTIAL_REQUEST_TIMEOUT
        }
    }

    /// Registers the connection as having a partial request whose latest byte has just arrived. A connection
    /// that still counts as new is not registered, since it must not be evicted.
    fn register_partial_request(&self) {
        let now = Instant::now();
        let since = self.partial_request_since.get().unwrap_or(now);
        self.partial_request_since.set(Some(since));
        if self.is_new.get() {
            return;
        }
        self.unregister();
        let evictable_at = (now + PARTIAL_REQUEST_STALL).min(since + self.partial_request_timeout());
        let registration = self.budget.register_partial_request(self.give_up_requested.clone(), evictable_at);
        self.eviction_registration.set(Some(EvictionRegistration::PartialRequest(registration)));
    }

    /// Removes the connection from those that may be evicted.
    fn unregister(&self) {
        match self.eviction_registration.take() {
            Some(EvictionRegistration::Idle(registration)) => self.budget.unregister_idle(registration),
            Some(EvictionRegistration::PartialRequest(registration)) => {
                self.budget.unregister_partial_request(registration);
            }
            None => {}
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.mark_classified();
        self.unregister();
    }
}
