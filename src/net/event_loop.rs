//! The event loop, which passes events to the decision engine and carries out the actions that it returns. It
//! owns the decision engine and the open requests, and nothing else calls the engine.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::decision::{
    Action, DecisionEngine, EndedAttempt, EndpointId, Event, Micros, NewRequest, Outcome, RequestId,
};
use crate::net::clock::Clock;
use crate::net::counter::CounterClient;
use crate::net::discovery::Discovery;
use crate::net::event_sink::EventSink;
use crate::net::open_requests::{AttemptRecord, OpenRequest, OpenRequests};
use crate::net::upstream::{AttemptOutcome, ForwardedRequest, Upstreams};

pub use crate::net::open_requests::{DuplicateRequestId, FinalResponse};

/// How long before its deadline a request without a final response is answered with 504, in microseconds.
///
/// This is less than `ATTEMPT_MARGIN` of the open requests, so attempts end first. A request whose endpoint
/// does not respond is answered with 502 or 503 by then, and only one that still waits for something else,
/// such as the counter service, is answered with 504.
const RESPONSE_MARGIN: Micros = 15_000;

/// The event loop of one edge node.
pub struct EventLoop {
    /// A weak reference to the event loop itself, from which the tasks that it starts get theirs.
    weak_self: Weak<EventLoop>,
    /// The clock of the node, from which all events get their time.
    pub clock: Clock,
    /// The connections to endpoints, over which attempts and probes are sent.
    pub upstreams: Rc<Upstreams>,
    counter: Rc<CounterClient>,
    discovery: Rc<Discovery>,
    /// The largest number of attempts of one request.
    max_attempts: usize,
    engine: RefCell<DecisionEngine>,
    open_requests: RefCell<OpenRequests>,
    /// The events that the engine has not handled yet, in the order in which they were sent.
    pending_events: RefCell<VecDeque<Event>>,
    /// Whether a call of `send` is handling the pending events.
    handling_events: Cell<bool>,
    /// Whether a graceful shutdown has begun.
    shutting_down: Cell<bool>,
    /// Whether the shutdown has failed the open requests. New requests fail immediately from then on.
    open_requests_failed: Cell<bool>,
}

impl EventLoop {
    /// Creates an event loop without open requests. Each request gets at most `max_attempts` attempts; 0
    /// counts as 1.
    pub fn new(
        engine: DecisionEngine,
        max_attempts: u32,
        upstreams: Rc<Upstreams>,
        counter: Rc<CounterClient>,
        discovery: Rc<Discovery>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| EventLoop {
            weak_self: weak_self.clone(),
            clock: Clock::start(),
            upstreams,
            counter,
            discovery,
            max_attempts: max_attempts.max(1) as usize,
            engine: RefCell::new(engine),
            open_requests: RefCell::default(),
            pending_events: RefCell::default(),
            handling_events: Cell::new(false),
            shutting_down: Cell::new(false),
            open_requests_failed: Cell::new(false),
        })
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Records that a graceful shutdown has begun. From then on each response closes its client connection.
    /// The decision engine is not notified here: [`Event::ShutdownStarted`] follows later, when the listener
    /// closes.
    pub fn start_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Returns whether a client still waits for the final response to its request.
    pub fn has_waiting_clients(&self) -> bool {
        self.open_requests.borrow().has_waiting_clients()
    }

    /// Fails all open requests now and all new requests from now on. Called at the end of a graceful
    /// shutdown.
    pub fn fail_open_requests(&self) {
        self.open_requests_failed.set(true);
        let ids = self.open_requests.borrow().ids();
        for id in ids {
            let responder = self.open_requests.borrow_mut().take_responder(&id);
            if let Some(responder) = responder {
                let _ = responder.send(FinalResponse::Failed);
                self.abandon(&id);
            }
        }
    }

    /// Submits a request to the decision engine, and returns the receiver of its final response.
    ///
    /// # Errors
    /// Returns [`DuplicateRequestId`] if a request with the same id is still open, or may have run for a client
    /// that has left.
    pub fn submit(
        &self,
        request: NewRequest,
        forwarded: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalResponse>, DuplicateRequestId> {
        let (mut open_request, receiver) = OpenRequest::new(forwarded, request.deadline);
        // A request's body may be complete only after the shutdown has failed the open requests. An attempt
        // started then would be lost when the process exits.
        if self.open_requests_failed.get() {
            open_request.respond(FinalResponse::Failed);
            return Ok(receiver);
        }
        let now = self.clock.now();
        self.open_requests.borrow_mut().insert(request.id.clone(), open_request, now)?;
        self.send(Event::RequestReceived(request));
        Ok(receiver)
    }

    /// Returns when a request with this deadline is answered with 504 if it has no final response.
    pub fn final_response_by(&self, deadline: Micros) -> Instant {
        self.clock.instant(deadline.saturating_sub(RESPONSE_MARGIN))
    }

    /// Records that no client waits for this request any longer, because it has disconnected or the deadline
    /// has passed. Does nothing if the request already has its final response.
    pub fn client_disconnected(&self, id: &RequestId) {
        let was_waiting = self.open_requests.borrow_mut().client_left(id);
        if was_waiting {
            self.abandon(id);
        }
    }

    /// Reports to the decision engine that no client waits for a request, and ends the attempts that still
    /// wait for a connection or a descriptor.
    ///
    /// Such an attempt could get a descriptor at any later time, for example when clients disconnect at the
    /// end of a shutdown, and would then send a request that no client waits for.
    fn abandon(&self, id: &RequestId) {
        self.send(Event::ClientDisconnected { request: id.clone() });
        let unsent = self.open_requests.borrow().unsent_attempts(id);
        for attempt_number in unsent {
            self.end_without_response(id, attempt_number, Outcome::NotSent);
        }
    }

    /// Returns a shared reference to this event loop, which always exists since `new` returns an `Rc`.
    fn shared_self(&self) -> Rc<Self> {
        self.weak_self.upgrade().expect("an event loop in use is held by an `Rc`")
    }

    /// Carries out an action of the decision engine.
    fn perform(&self, action: Action) {
        match action {
            Action::StartAttempt { request, endpoint, timeout } => {
                self.start_attempt(request, endpoint, timeout)
            }
            Action::Reject { request, retry_after } => {
                self.complete(&request, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.complete(&request, FinalResponse::Failed),
            Action::CancelAttempt { request, attempt_number } => {
                self.end_without_response(&request, attempt_number as usize, Outcome::Cancelled);
            }
            Action::ProbeEndpoint { endpoint } => self.probe(endpoint),
            Action::IncrementCounter { key, amount, keep_for } => {
                self.counter.increment(self, key, amount, keep_for);
            }
            Action::SetTimer { id, after } => self.set_timer(id, after),
            Action::FetchEndpoints => self.discovery.fetch(self.shared_self()),
            // Discovery watches the endpoint list from the start of the node on.
            Action::WatchEndpoints => {}
        }
    }

    /// Probes an endpoint and reports the outcome to the decision engine.
    fn probe(&self, endpoint: EndpointId) {
        let event_loop = self.shared_self();
        spawn_local(async move {
            let outcome = event_loop.upstreams.probe(endpoint).await;
            event_loop.send(Event::ProbeCompleted { endpoint, outcome });
        });
    }

    /// Reports to the decision engine that a timer has fired, `after` microseconds from now.
    fn set_timer(&self, id: u64, after: Micros) {
        let event_loop = self.shared_self();
        spawn_local(async move {
            sleep(Duration::from_micros(after)).await;
            event_loop.send(Event::TimerFired { id });
        });
    }

    /// Sends the final response to a request, unless the request is completed.
    fn complete(&self, id: &RequestId, response: FinalResponse) {
        let mut open_requests = self.open_requests.borrow_mut();
        if let Some(request) = open_requests.get_mut(id) {
            request.respond(response);
        }
        open_requests.remove_if_settled(id);
    }

    /// Starts an attempt of a request at an endpoint, which ends after `timeout` microseconds (0 means no
    /// timeout of its own). If an open request is completed or has no attempts or time left, the attempt is
    /// reported as not sent. If the request is no longer open, the action is logged and dropped.
    fn start_attempt(&self, id: RequestId, endpoint: EndpointId, timeout: Micros) {
        let now = self.clock.now();
        let mut open_requests = self.open_requests.borrow_mut();
        let Some(request) = open_requests.get_mut(&id) else {
            eprintln!("edge-node: request {}: dropped an attempt: request already completed", id.0);
            return;
        };
        let attempt_number = request.attempts.len();
        if request.may_start_attempt(now, self.max_attempts) {
            let ends_at = request.attempt_ends_at(now, timeout);
            let maybe_written = Rc::new(Cell::new(false));
            let sending = SendingAttempt {
                request: id,
                attempt_number,
                endpoint,
                forwarded: request.forwarded.clone(),
                ends_at,
                maybe_written: maybe_written.clone(),
            };
            let task = spawn_local(sending.run(self.shared_self())).abort_handle();
            request.attempts.push(AttemptRecord {
                endpoint,
                started_at: now,
                task: Some(task),
                maybe_written,
            });
            return;
        }
        request.attempts.push(AttemptRecord::not_sent(endpoint, now));
        let request_completed = request.is_completed();
        drop(open_requests);
        self.send(Event::AttemptEnded(EndedAttempt {
            request: id,
            attempt_number: attempt_number as u32,
            endpoint,
            outcome: Outcome::NotSent,
            elapsed: 0,
            request_completed,
            final_units: None,
        }));
    }

    /// Ends an attempt whose endpoint has not responded.
    fn end_without_response(&self, id: &RequestId, attempt_number: usize, outcome: Outcome) {
        self.report_attempt_end(id, attempt_number, AttemptOutcome { outcome, body: None });
    }

    /// Reports the end of an attempt to the decision engine, and responds to the request if the attempt has
    /// returned a body. Does nothing if the attempt has already ended.
    fn report_attempt_end(&self, id: &RequestId, attempt_number: usize, result: AttemptOutcome) {
        let AttemptOutcome { outcome, body } = result;
        let mut open_requests = self.open_requests.borrow_mut();
        let Some(request) = open_requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_number) else { return };
        let Some(task) = attempt.task.take() else { return };
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            // Aborting the task drops its connection, if it has one. The endpoint learns of the cancellation
            // from the close.
            task.abort();
        }
        let endpoint = attempt.endpoint;
        let elapsed = self.clock.now().saturating_sub(attempt.started_at);
        if let Some(body) = body {
            request.respond(FinalResponse::Served(body));
        }
        let request_completed = request.is_completed();
        drop(open_requests);
        self.send(Event::AttemptEnded(EndedAttempt {
            request: id.clone(),
            attempt_number: attempt_number as u32,
            endpoint,
            outcome,
            elapsed,
            request_completed,
            final_units: None,
        }));
    }
}

impl EventSink for EventLoop {
    /// Carrying out an action may send further events. They wait until all actions of the earlier event have
    /// been carried out, since the decision engine must not be called recursively.
    fn send(&self, event: Event) {
        self.pending_events.borrow_mut().push_back(event);
        if self.handling_events.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.pending_events.borrow_mut().pop_front() else { break };
            let to_settle = request_to_settle(&event);
            self.engine.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if let Some(id) = to_settle {
                self.open_requests.borrow_mut().remove_if_settled(&id);
            }
        }
        self.handling_events.set(false);
    }
}

/// An attempt whose task is about to start.
struct SendingAttempt {
    request: RequestId,
    attempt_number: usize,
    endpoint: EndpointId,
    forwarded: Rc<ForwardedRequest>,
    /// When the attempt is ended if it has not ended before, in microseconds of Unix time.
    ends_at: Micros,
    /// Set once any byte of the request may have been written to the endpoint.
    maybe_written: Rc<Cell<bool>>,
}

impl SendingAttempt {
    /// Sends the request to the endpoint and reports how the attempt has ended.
    async fn run(self, event_loop: Rc<EventLoop>) {
        let upstreams = &event_loop.upstreams;
        let clock = &event_loop.clock;
        let attempt =
            upstreams.attempt(clock, self.endpoint, &self.forwarded, self.ends_at, &self.maybe_written);
        let result = attempt.await;
        event_loop.report_attempt_end(&self.request, self.attempt_number, result);
    }
}

/// Returns the request that the event may have settled, which means that it is completed and has no attempt
/// in flight. Returns `None` if the event settles no request.
fn request_to_settle(event: &Event) -> Option<RequestId> {
    match event {
        Event::AttemptEnded(ended) => Some(ended.request.clone()),
        Event::ClientDisconnected { request } => Some(request.clone()),
        _ => None,
    }
}
