//! The node: it owns the decisions and all open requests, and is the one place where events enter the
//! decisions and actions leave them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use crate::decision::DecisionEngine;
use crate::decision::*;
use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::net::clock::Clock;
use crate::net::counter::CounterClient;
use crate::net::discovery::Discovery;
use crate::net::event_sink::EventSink;
use crate::net::upstream::{ForwardedRequest, Upstreams};

/// Attempts are given up this long before the client gives up, so that the answer still reaches it.
const STOP_BEFORE: Micros = 25_000;
/// What is unanswered this long before the client gives up has failed.
const FAIL_BEFORE: Micros = 15_000;

/// The one final answer to a request.
pub enum FinalResponse {
    /// An app server's answer.
    Served(Bytes),
    /// Rejected without effect, so that a retry is harmless.
    Rejected {
        /// When the client should come back, from now; 0 means no advice.
        retry_after: Micros,
    },
    /// Failed, nothing promised.
    Failed,
}

struct Attempt {
    server: EndpointId,
    sent: Micros,
    /// Its task, while the attempt is out.
    task: Option<AbortHandle>,
    /// Whether it may have been written, in whole or in part.
    begun: Rc<Cell<bool>>,
}

struct Open {
    /// Where the final answer goes; none once it has been given or the client has gone.
    answer: Option<oneshot::Sender<FinalResponse>>,
    forward: Rc<ForwardedRequest>,
    /// Attempts are given up at this time.
    stop: Micros,
    attempts: Vec<Attempt>,
}

/// One edge node.
pub struct EventLoop {
    /// Itself, for the tasks that it starts.
    own: Weak<EventLoop>,
    /// The node's clock.
    pub clock: Clock,
    /// The app servers.
    pub upstreams: Rc<Upstreams>,
    counter: Rc<CounterClient>,
    discovery: Rc<Discovery>,
    try_limit: usize,
    controller: RefCell<DecisionEngine>,
    open: RefCell<BTreeMap<RequestId, Open>>,
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    stopping: Cell<bool>,
    /// The last moment of a planned stop has come: nothing more is begun.
    over: Cell<bool>,
}

/// A request under an id that is still in work.
pub struct DuplicateRequestId;

impl EventLoop {
    /// A node that knows nothing yet.
    pub fn new(
        controller: DecisionEngine,
        try_limit: u32,
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
            try_limit: try_limit.max(1) as usize,
            controller: RefCell::new(controller),
            open: RefCell::default(),
            events: RefCell::default(),
            busy: Cell::new(false),
            stopping: Cell::new(false),
            over: Cell::new(false),
        })
    }

    /// Whether a planned stop has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.stopping.get()
    }

    /// Begins a planned stop.
    pub fn start_shutdown(&self) {
        self.stopping.set(true);
    }

    /// Whether a client still waits for an answer.
    pub fn has_waiting_clients(&self) -> bool {
        self.open.borrow().values().any(|o| o.answer.is_some())
    }

    /// The last moment of a planned stop: what is still unanswered has failed, and so has what still comes.
    pub fn fail_open_requests(&self) {
        self.over.set(true);
        let left: Vec<_> = self.open.borrow().keys().cloned().collect();
        for id in left {
            let waited = self.open.borrow_mut().get_mut(&id).and_then(|o| o.answer.take());
            if let Some(sender) = waited {
                let _ = sender.send(FinalResponse::Failed);
                self.send(Event::ClientDisconnected { request: id.clone() });
                self.call_back(&id);
            }
        }
    }

    /// The shared handle of this event loop. It is only ever created behind one.
    fn own(&self) -> Rc<Self> {
        self.own.upgrade().expect("an event loop in use is held by its handle")
    }

    fn perform(&self, action: Action) {
        match action {
            Action::StartAttempt { request: id, endpoint: server, timeout } => {
                self.start_attempt(id, server, timeout)
            }
            Action::Reject { request: id, retry_after } => {
                self.finish(&id, FinalResponse::Rejected { retry_after })
            }
            Action::Fail { request: id } => self.finish(&id, FinalResponse::Failed),
            Action::CancelAttempt { request: id, attempt_number: attempt } => {
                self.end(&id, attempt as usize, Outcome::Cancelled, None)
            }
            Action::ProbeEndpoint { endpoint: server } => {
                let node = self.own();
                tokio::task::spawn_local(async move {
                    let outcome = node.upstreams.probe(server).await;
                    node.send(Event::ProbeCompleted { endpoint: server, outcome });
                });
            }
            Action::IncrementCounter { key: name, amount, keep_for } => {
                self.counter.add(self, name, amount, keep_for)
            }
            Action::SetTimer { id, after } => {
                let node = self.own();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    node.send(Event::TimerFired { id });
                });
            }
            Action::FetchEndpoints => self.discovery.fetch(self.own()),
            // The list is watched from the start on.
            Action::WatchEndpoints => {}
        }
    }

    /// Takes a request; its answer comes through the receiver. Danger: an id that is still in work must not
    /// be entered again, or a request that may not run twice would.
    pub fn submit(
        &self,
        request: NewRequest,
        forward: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalResponse>, DuplicateRequestId> {
        let (sender, receiver) = oneshot::channel();
        // Danger: a body may end at the last moment, and what is begun then is lost with the node.
        if self.over.get() {
            let _ = sender.send(FinalResponse::Failed);
            return Ok(receiver);
        }
        let open = Open {
            answer: Some(sender),
            forward: Rc::new(forward),
            stop: request.deadline.saturating_sub(STOP_BEFORE),
            attempts: Vec::new(),
        };
        match self.open.borrow_mut().entry(request.id.clone()) {
            std::collections::btree_map::Entry::Occupied(_) => return Err(DuplicateRequestId),
            std::collections::btree_map::Entry::Vacant(place) => place.insert(open),
        };
        self.send(Event::RequestReceived(request));
        Ok(receiver)
    }

    /// When a request that is due at this time has to be answered.
    pub fn final_response_by(&self, due: Micros) -> Instant {
        self.clock.instant(due.saturating_sub(FAIL_BEFORE))
    }

    /// Nobody waits for this request any more: its client has gone, or it has just been told that it failed.
    pub fn client_disconnected(&self, id: &RequestId) {
        let waited = self.open.borrow_mut().get_mut(id).and_then(|o| o.answer.take());
        if waited.is_some() {
            self.send(Event::ClientDisconnected { request: id.clone() });
            self.call_back(id);
        }
    }

    /// Ends the attempts that still wait for a connection or a descriptor. Danger: these come up at any later
    /// time, as clients leave at the end of a stop, too, and what nobody waits for would be sent then.
    fn call_back(&self, id: &RequestId) {
        let open = self.open.borrow();
        let attempts = open.get(id).into_iter().flat_map(|o| o.attempts.iter().enumerate());
        let unsent = attempts.filter(|(_, a)| a.task.is_some() && !a.begun.get()).map(|(number, _)| number);
        let unsent: Vec<_> = unsent.collect();
        drop(open);
        unsent.into_iter().for_each(|number| self.end(id, number, Outcome::NotSent, None));
    }

    fn finish(&self, id: &RequestId, answer: FinalResponse) {
        if let Some(sender) = self.open.borrow_mut().get_mut(id).and_then(|o| o.answer.take()) {
            // A client that has just gone is told of by its connection.
            let _ = sender.send(answer);
        }
        self.forget(id);
    }

    /// Drops a request once it has its answer and no attempt is out.
    fn forget(&self, id: &RequestId) {
        let mut open = self.open.borrow_mut();
        if open.get(id).is_some_and(|o| o.answer.is_none() && o.attempts.iter().all(|a| a.task.is_none())) {
            open.remove(id);
        }
    }

    fn start_attempt(&self, id: RequestId, server: EndpointId, timeout: Micros) {
        let now = self.clock.now();
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(&id) else {
            eprintln!("edge-node: an attempt for a request that is over");
            return;
        };
        let number = open.attempts.len();
        let mut attempt = Attempt { server, sent: now, task: None, begun: Rc::default() };
        if open.answer.is_none() || number >= self.try_limit || now >= open.stop {
            open.attempts.push(attempt);
            let finished = open.answer.is_none();
            drop(requests);
            let outcome = Outcome::NotSent;
            let attempt = number as u32;
            return self.send(Event::AttemptEnded(EndedAttempt {
                request: id,
                attempt_number: attempt,
                endpoint: server,
                outcome,
                elapsed: 0,
                request_completed: finished,
                final_units: None,
            }));
        }
        let stop = if timeout > 0 { open.stop.min(now + timeout) } else { open.stop };
        let (node, forward, begun) = (self.own(), open.forward.clone(), attempt.begun.clone());
        let key = id.clone();
        let task = tokio::task::spawn_local(async move {
            let (outcome, body) = node.upstreams.attempt(&node.clock, server, &forward, stop, &begun).await;
            node.end(&key, number, outcome, body);
        });
        attempt.task = Some(task.abort_handle());
        open.attempts.push(attempt);
    }

    /// An attempt is over; a second end of the same one is dropped. With a body, it has served the request.
    fn end(&self, id: &RequestId, number: usize, outcome: Outcome, body: Option<Bytes>) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(id) else { return };
        let Some(attempt) = open.attempts.get_mut(number) else { return };
        let Some(task) = attempt.task.take() else { return };
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            // Closes the connection too: that is how an app server learns of it.
            task.abort();
        }
        let (server, spent) = (attempt.server, self.clock.now().saturating_sub(attempt.sent));
        if let Some(body) = body {
            if let Some(sender) = open.answer.take() {
                let _ = sender.send(FinalResponse::Served(body));
            }
        }
        let finished = open.answer.is_none();
        drop(requests);
        let attempt = number as u32;
        self.send(Event::AttemptEnded(EndedAttempt {
            request: id.clone(),
            attempt_number: attempt,
            endpoint: server,
            outcome,
            elapsed: spent,
            request_completed: finished,
            final_units: None,
        }));
    }
}

impl EventSink for EventLoop {
    /// Actions may cause events at once; these wait until the actions of the earlier event are all done, or the
    /// decisions would be entered twice.
    fn send(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let over = match &event {
                Event::AttemptEnded(e) => Some(e.request.clone()),
                Event::ClientDisconnected { request: id } => Some(id.clone()),
                _ => None,
            };
            self.controller.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if let Some(id) = over {
                self.forget(&id);
            }
        }
        self.busy.set(false);
    }
}
