//! What is under way on one connection of a client, and whether it may be closed.
//!
//! Where descriptors run out, a connection may be closed while it is idle, and aborted while a request on it has
//! arrived in part: at once if the client has stopped sending, and at the latest some time after it began, or slow
//! and half-sent requests would keep all others out.

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

/// How long a request head may take, from connecting or from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Where descriptors run out, a request that has arrived in part is given up this long after its latest byte...
const PARTIAL_REQUEST_STALL: Duration = Duration::from_millis(200);
/// ... and at the latest this long after its first. A client that sends a request in pieces has this time...
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(750);
/// ... or this, while slow clients hold most of the descriptors: others wait for as many times this as the slow ones
/// fill the descriptors.
const FLOODED_PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The connection's place among those that may give way where descriptors run out.
#[derive(Clone, Copy)]
enum EvictionRegistration {
    Idle(IdleRegistration),
    PartialRequest(PartialRequestRegistration),
}

/// The state of one connection, shared by the task that serves it, its socket and the registry.
pub struct ConnectionState {
    budget: Rc<DescriptorBudget>,
    /// Notified by the descriptor budget when the connection is to close as soon as it is idle.
    close_requested: Rc<Notify>,
    abort_requested: Notify,
    /// Notified when a request that has arrived in part is to be given up, also by the descriptor budget.
    give_up_requested: Rc<Notify>,
    /// None while it may not give way: it is new, or a request that was read is in progress.
    eviction_registration: Cell<Option<EvictionRegistration>>,
    /// Whether the connection is so new that its first request may still be unread.
    is_new: Cell<bool>,
    has_sent_request: Cell<bool>,
    request_in_progress: Cell<bool>,
    /// Whether the body of the request in progress has not arrived in full.
    body_awaited: Cell<bool>,
    /// When the first byte arrived of the request that has arrived in part.
    partial_request_since: Cell<Option<Instant>>,
    /// Since when a request head has been arriving, or has been expected on a new connection.
    head_started_at: Cell<Option<Instant>>,
    pipeline: RefCell<Pipeline>,
    /// Whether the connection closes as soon as nothing is under way.
    closing: Cell<bool>,
}

impl ConnectionState {
    /// The state of a connection that was just accepted. It counts as new in the budget from here on.
    pub fn new(budget: Rc<DescriptorBudget>, closing: bool) -> Self {
        budget.connection_opened();
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
            pipeline: RefCell::new(Pipeline::new()),
            closing: Cell::new(closing),
        }
    }

    /// Notes bytes that were read from the socket.
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

    /// Notes that the head of a request was read, and returns how the request's body ends.
    pub fn request_started<B: Body>(&self, request: &Request<B>) -> BodyFraming {
        self.no_longer_new();
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

    /// Notes that the request in progress has arrived in full, or that the rest of it is not read.
    pub fn request_received(&self) {
        self.body_awaited.set(false);
        self.partial_request_since.set(None);
        self.deregister();
    }

    /// Notes that the request in progress has its response.
    pub fn request_completed(&self) {
        self.request_received();
        self.request_in_progress.set(false);
        if self.has_partial_request() {
            self.head_started_at.set(Some(Instant::now()));
        }
        self.register_waiting();
    }

    /// Notes that a new connection has had its time for a first request. Without one it counts as idle.
    pub fn first_request_timed_out(&self) {
        self.no_longer_new();
        if !self.has_sent_request.get() {
            self.register_waiting();
        }
    }

    /// Makes the connection close as soon as nothing is under way.
    pub fn start_closing(&self) {
        self.closing.set(true);
    }

    /// Whether the connection closes as soon as nothing is under way.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns once the descriptor budget asks the connection to close.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Ends the connection at once, whatever is under way.
    pub fn abort(&self) {
        self.abort_requested.notify_one();
    }

    /// Returns once the connection has to end at once.
    pub async fn abort_requested(&self) {
        self.abort_requested.notified().await;
    }

    /// Asks the connection to end unless the request that is arriving has arrived in full meanwhile.
    pub fn give_up_partial_request(&self) {
        self.give_up_requested.notify_one();
    }

    /// Returns once the request that has arrived in part is to be given up.
    pub async fn give_up_requested(&self) {
        self.give_up_requested.notified().await;
    }

    /// Whether the request that is arriving may be given up: it has not arrived in full, and it has had all its time
    /// or none of it is unread.
    pub fn may_give_up_partial_request(&self, has_unread_bytes: impl FnOnce() -> bool) -> bool {
        let is_received = self.request_in_progress.get() && !self.body_awaited.get();
        let since = self.partial_request_since.get();
        let is_overdue = since.is_some_and(|since| since.elapsed() >= self.partial_request_timeout());
        !is_received && (is_overdue || self.head_overdue() || !has_unread_bytes())
    }

    /// Whether a request has been read that has no response yet.
    pub fn request_in_progress(&self) -> bool {
        self.request_in_progress.get()
    }

    /// Whether no request is in progress, none was read in part, and none may be unread because the connection is new.
    pub fn nothing_under_way(&self) -> bool {
        !self.request_in_progress.get() && !self.pipeline.borrow().has_partial_request() && !self.is_new.get()
    }

    /// Whether a request head has been arriving for too long.
    pub fn head_overdue(&self) -> bool {
        let head_started_at = self.head_started_at.get();
        !self.request_in_progress.get()
            && head_started_at.is_some_and(|started_at| started_at.elapsed() > HEAD_TIMEOUT)
    }

    fn no_longer_new(&self) {
        if self.is_new.replace(false) {
            self.budget.connection_classified();
        }
    }

    /// Whether a request has arrived in part: of its head, or of its body.
    fn has_partial_request(&self) -> bool {
        if self.request_in_progress.get() {
            self.body_awaited.get()
        } else {
            self.pipeline.borrow().has_partial_request()
        }
    }

    /// Registers the connection, on which no request is in progress, as idle or with a partial request.
    fn register_waiting(&self) {
        if self.has_partial_request() {
            return self.register_partial_request();
        }
        self.deregister();
        let registration =
            self.budget.register_idle(self.close_requested.clone(), self.has_sent_request.get());
        self.eviction_registration.set(Some(EvictionRegistration::Idle(registration)));
    }

    fn partial_request_timeout(&self) -> Duration {
        if self.budget.is_flooded_by_partial_requests() {
            FLOODED_PARTIAL_REQUEST_TIMEOUT
        } else {
            PARTIAL_REQUEST_TIMEOUT
        }
    }

    /// Registers that a part of a request arrived just now, unless the connection is too new to give way.
    fn register_partial_request(&self) {
        let now = Instant::now();
        let since = self.partial_request_since.get().unwrap_or(now);
        self.partial_request_since.set(Some(since));
        if self.is_new.get() {
            return;
        }
        self.deregister();
        let evictable_at = (now + PARTIAL_REQUEST_STALL).min(since + self.partial_request_timeout());
        let registration = self.budget.register_partial_request(self.give_up_requested.clone(), evictable_at);
        self.eviction_registration.set(Some(EvictionRegistration::PartialRequest(registration)));
    }

    fn deregister(&self) {
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
        self.no_longer_new();
        self.deregister();
    }
}
