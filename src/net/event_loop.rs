//! The event loop: the one place where events enter the decisions and actions leave them. It owns the decisions and
//! the open requests.

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
use crate::net::open_requests::{Attempt, OpenRequest, OpenRequests};
use crate::net::upstream::{AttemptOutcome, ForwardedRequest, Upstreams};

pub use crate::net::open_requests::{DuplicateRequestId, FinalResponse};

/// A request without a final response this long before the client stops waiting is answered 504. This is less than
/// `ATTEMPT_MARGIN` of the open requests: attempts end first, so a request that hangs at an endpoint is answered 502
/// or 503 before, and 504 is left for one that still waits for something else, such as the counter.
const RESPONSE_MARGIN: Micros = 15_000;

/// One edge node's event loop.
pub struct EventLoop {
    /// Itself, for the tasks that it starts.
    own: Weak<EventLoop>,
    /// The node's clock.
    pub clock: Clock,
    /// The endpoints.
    pub upstreams: Rc<Upstreams>,
    counter: Rc<CounterClient>,
    discovery: Rc<Discovery>,
    max_attempts: usize,
    engine: RefCell<DecisionEngine>,
    open_requests: RefCell<OpenRequests>,
    pending_events: RefCell<VecDeque<Event>>,
    handling_events: Cell<bool>,
    shutting_down: Cell<bool>,
    /// The shutdown has failed what was open: no attempt is started any more.
    requests_closed: Cell<bool>,
}

impl EventLoop {
    /// An event loop without open requests. A request gets at most `max_attempts`, and at least one.
    pub fn new(
        engine: DecisionEngine,
        max_attempts: u32,
        upstreams: Rc<Upstreams>,
        counter: Rc<CounterClient>,
        discovery: Rc<Discovery>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|own| EventLoop {
            own: own.clone(),
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
            requests_closed: Cell::new(false),
        })
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Begins a graceful shutdown.
    pub fn start_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Whether a client still waits for its final response.
    pub fn has_waiting_clients(&self) -> bool {
        self.open_requests.borrow().has_waiting_clients()
    }

    /// Fails all open requests, and from now on each new one. For the end of a shutdown.
    pub fn fail_open_requests(&self) {
        self.requests_closed.set(true);
        let ids = self.open_requests.borrow().ids();
        for id in ids {
            let responder = self.open_requests.borrow_mut().take_responder(&id);
            if let Some(responder) = responder {
                let _ = responder.send(FinalResponse::Failed);
                self.abandon(&id);
            }
        }
    }

    /// Submits a request; its final response comes through the receiver.
    ///
    /// # Errors
    /// If a request with this id is still open.
    pub fn submit(
        &self,
        request: NewRequest,
        forwarded: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalResponse>, DuplicateRequestId> {
        let (mut open_request, receiver) = OpenRequest::new(forwarded, request.deadline);
        // A body may end after the shutdown has failed what was open. An attempt started then would be lost with
        // the process.
        if self.requests_closed.get() {
            open_request.respond(FinalResponse::Failed);
            return Ok(receiver);
        }
        self.open_requests.borrow_mut().insert(request.id.clone(), open_request)?;
        self.send(Event::RequestReceived(request));
        Ok(receiver)
    }

    /// When a request with this deadline has to have its final response.
    pub fn final_response_by(&self, deadline: Micros) -> Instant {
        self.clock.instant(deadline.saturating_sub(RESPONSE_MARGIN))
    }

    /// Nobody waits for this request any more: its client has disconnected or its deadline has
    /// passed.
    pub fn client_disconnected(&self, id: &RequestId) {
        let responder = self.open_requests.borrow_mut().take_responder(id);
        if responder.is_some() {
            self.abandon(id);
        }
    }

    /// Reports that nobody waits for a request, and ends its attempts that still wait for a connection or a
    /// descriptor. They get one at any later time, also as clients leave at the end of a shutdown, and would then
    /// send what nobody waits for.
    fn abandon(&self, id: &RequestId) {
        self.send(Event::ClientDisconnected { request: id.clone() });
        let unsent = self.open_requests.borrow().unsent_attempts(id);
        for attempt_number in unsent {
            self.end_attempt(id, attempt_number, Outcome::NotSent);
        }
    }

    /// The shared handle of this event loop. It is only ever created behind one.
    fn own(&self) -> Rc<Self> {
        self.own.upgrade().expect("an event loop in use is held by its handle")
    }

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
                self.end_attempt(&request, attempt_number as usize, Outcome::Cancelled);
            }
            Action::ProbeEndpoint { endpoint } => self.probe(endpoint),
            Action::IncrementCounter { key, amount, keep_for } => {
                self.counter.increment(self, key, amount, keep_for);
            }
            Action::SetTimer { id, after } => self.set_timer(id, after),
            Action::FetchEndpoints => self.discovery.fetch(self.own()),
            // The list is watched from the start on.
            Action::WatchEndpoints => {}
        }
    }

    fn probe(&self, endpoint: EndpointId) {
        let event_loop = self.own();
        spawn_local(async move {
            let outcome = event_loop.upstreams.probe(endpoint).await;
            event_loop.send(Event::ProbeCompleted { endpoint, outcome });
        });
    }

    fn set_timer(&self, id: u64, after: Micros) {
        let event_loop = self.own();
        spawn_local(async move {
            sleep(Duration::from_micros(after)).await;
            event_loop.send(Event::TimerFired { id });
        });
    }

    /// Gives the final response to a request.
    fn complete(&self, id: &RequestId, response: FinalResponse) {
        let mut open_requests = self.open_requests.borrow_mut();
        if let Some(request) = open_requests.get_mut(id) {
            request.respond(response);
        }
        open_requests.remove_if_settled(id);
    }

    /// Sends a request to an endpoint, unless it is completed, has no attempt left or no time.
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
            let task = spawn_local(sending.run(self.own())).abort_handle();
            request.attempts.push(Attempt { endpoint, started_at: now, task: Some(task), maybe_written });
            return;
        }
        request.attempts.push(Attempt::not_sent(endpoint, now));
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

    /// Ends an attempt before its endpoint has responded.
    fn end_attempt(&self, id: &RequestId, attempt_number: usize, outcome: Outcome) {
        self.finish_attempt(id, attempt_number, AttemptOutcome { outcome, body: None });
    }

    /// Reports the end of an attempt; a second end of the same one is dropped. With a body, the request is served.
    fn finish_attempt(&self, id: &RequestId, attempt_number: usize, result: AttemptOutcome) {
        let AttemptOutcome { outcome, body } = result;
        let mut open_requests = self.open_requests.borrow_mut();
        let Some(request) = open_requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_number) else { return };
        let Some(task) = attempt.task.take() else { return };
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            // Closes the connection too: that is how an endpoint learns of it.
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
    /// Actions may cause events at once. These wait until the actions of the earlier event are all carried out, or
    /// the decisions would be entered twice.
    fn send(&self, event: Event) {
        self.pending_events.borrow_mut().push_back(event);
        if self.handling_events.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.pending_events.borrow_mut().pop_front() else { break };
            let ended_request = request_ended_by(&event);
            self.engine.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if let Some(id) = ended_request {
                self.open_requests.borrow_mut().remove_if_settled(&id);
            }
        }
        self.handling_events.set(false);
    }
}

/// An attempt that is about to be sent.
struct SendingAttempt {
    request: RequestId,
    attempt_number: usize,
    endpoint: EndpointId,
    forwarded: Rc<ForwardedRequest>,
    ends_at: Micros,
    maybe_written: Rc<Cell<bool>>,
}

impl SendingAttempt {
    async fn run(self, event_loop: Rc<EventLoop>) {
        let upstreams = &event_loop.upstreams;
        let clock = &event_loop.clock;
        let attempt =
            upstreams.attempt(clock, self.endpoint, &self.forwarded, self.ends_at, &self.maybe_written);
        let result = attempt.await;
        event_loop.finish_attempt(&self.request, self.attempt_number, result);
    }
}

/// The request that may be settled once this event is handled.
fn request_ended_by(event: &Event) -> Option<RequestId> {
    match event {
        Event::AttemptEnded(ended) => Some(ended.request.clone()),
        Event::ClientDisconnected { request } => Some(request.clone()),
        _ => None,
    }
}
