//! What is under way on one connection of a client, and whether it may be closed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Body;
use hyper::Request;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::net::descriptor_budget::{DescriptorBudget, IdleRegistration};
use crate::net::downstream::framing::BodyFraming;
use crate::net::downstream::pipeline::Pipeline;

/// How long a request head may take, from connecting or from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The state of one connection, shared by the task that serves it, its socket and the registry.
pub struct ConnectionState {
    budget: Rc<DescriptorBudget>,
    /// Notified by the descriptor budget when the connection is to close as soon as it is idle.
    close_requested: Rc<Notify>,
    abort_requested: Notify,
    /// The connection's place among the idle ones, while it is idle.
    idle_registration: Cell<Option<IdleRegistration>>,
    /// Whether the connection is so new that its first request may still be unread.
    is_new: Cell<bool>,
    has_sent_request: Cell<bool>,
    request_in_progress: Cell<bool>,
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
            idle_registration: Cell::new(None),
            is_new: Cell::new(true),
            has_sent_request: Cell::new(false),
            request_in_progress: Cell::new(false),
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
        self.deregister_idle();
        BodyFraming::of(request.headers(), length_header)
    }

    /// Notes that the request in progress has its response.
    pub fn request_completed(&self) {
        self.request_in_progress.set(false);
        if self.pipeline.borrow().has_partial_request() {
            self.head_started_at.set(Some(Instant::now()));
        }
        self.register_idle();
    }

    /// Notes that a new connection has had its time for a first request. Without one it counts as idle.
    pub fn first_request_timed_out(&self) {
        self.no_longer_new();
        if !self.has_sent_request.get() {
            self.register_idle();
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

    /// Whether a request has been read that has no response yet.
    pub fn request_in_progress(&self) -> bool {
        self.request_in_progress.get()
    }

    /// Whether the connection counts as idle in the descriptor budget.
    pub fn is_registered_idle(&self) -> bool {
        self.idle_registration.get().is_some()
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

    fn register_idle(&self) {
        self.deregister_idle();
        let registration =
            self.budget.register_idle(self.close_requested.clone(), self.has_sent_request.get());
        self.idle_registration.set(Some(registration));
    }

    fn deregister_idle(&self) {
        if let Some(registration) = self.idle_registration.take() {
            self.budget.unregister_idle(registration);
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.no_longer_new();
        self.deregister_idle();
    }
}
