//! The client of the counter: spreads calls over a few connections, each key always on the same one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::decision::{CounterKey, Event, Micros, Outcome};
use crate::net::counter::connection::{CounterConnection, QueuedCall, ResultSink};
use crate::net::counter::resp::Increment;
use crate::net::event_sink::EventSink;

/// How many connections there are: a slow part of the counter delays only the keys that share a connection with its
/// own.
const CONNECTION_COUNT: u64 = 4;
/// Most calls that may be queued for one connection.
const MAX_QUEUED_CALLS: usize = 4096;
/// The counter keeps no key for longer, in milliseconds, and adds no more in one call, in units.
const MAX_KEEP_MS: u64 = 60_000;
const MAX_AMOUNT: f64 = 1e9;

/// A node's client of the counter service.
pub struct CounterClient {
    address: Cell<Option<SocketAddr>>,
    call_timeout: Duration,
    connections: RefCell<Vec<Rc<CounterConnection>>>,
    /// Calls whose outcome is still to be reported.
    open_calls: Rc<Cell<usize>>,
}

impl CounterClient {
    /// A client of the counter at this address, if the site has one. A call without a reply times out after
    /// `call_timeout`, in microseconds.
    pub fn new(address: Option<SocketAddr>, call_timeout: Micros) -> Rc<Self> {
        Rc::new(CounterClient {
            address: Cell::new(address),
            call_timeout: Duration::from_micros(call_timeout.max(1)),
            connections: RefCell::new(new_connections()),
            open_calls: Rc::default(),
        })
    }

    /// Adds to a counter; the outcome comes as an event.
    pub fn increment(&self, events: &dyn EventSink, key: CounterKey, amount: f64, keep_for: Micros) {
        let connection = self.connections.borrow()[(key.0 % CONNECTION_COUNT) as usize].clone();
        let is_queue_full = connection.queue.borrow().len() >= MAX_QUEUED_CALLS;
        if self.address.get().is_none() || !amount.is_finite() || is_queue_full {
            events.send(Event::CounterReplied { key, outcome: Outcome::ConnectFailed, total: 0.0 });
            return;
        }
        let increment = Increment {
            key,
            amount: amount.clamp(-MAX_AMOUNT, MAX_AMOUNT),
            keep_ms: (keep_for / 1000).clamp(1, MAX_KEEP_MS),
        };
        connection.queue.borrow_mut().push_back(QueuedCall { increment, made_at: Instant::now() });
        self.open_calls.set(self.open_calls.get() + 1);
        connection.wake.notify_one();
    }

    /// Whether the outcome of every call has been reported.
    pub fn is_settled(&self) -> bool {
        self.open_calls.get() == 0
    }

    /// Makes further calls at this address. Calls in flight to the old one end there; queued ones move along.
    pub fn move_to(&self, events: &Rc<dyn EventSink>, address: Option<SocketAddr>) {
        if self.address.replace(address) == address {
            return;
        }
        let retired = self.connections.replace(new_connections());
        let mut unserved = Vec::new();
        for (from, to) in retired.iter().zip(self.connections.borrow().iter()) {
            let queued = from.queue.take();
            match address {
                Some(_) => *to.queue.borrow_mut() = queued,
                None => unserved.extend(queued),
            }
            from.retired.set(true);
            from.wake.notify_one();
        }
        self.start(events);
        let results = self.result_sink(events);
        for call in unserved {
            results.report(call.increment.key, Outcome::ConnectFailed, 0.0);
        }
    }

    /// Serves the calls from now on.
    pub fn start(&self, events: &Rc<dyn EventSink>) {
        let Some(address) = self.address.get() else { return };
        for connection in self.connections.borrow().iter() {
            let connection = connection.clone();
            let results = self.result_sink(events);
            let call_timeout = self.call_timeout;
            spawn_local(async move { connection.run(&results, address, call_timeout).await });
        }
    }

    fn result_sink(&self, events: &Rc<dyn EventSink>) -> ResultSink {
        ResultSink { events: events.clone(), open_calls: self.open_calls.clone() }
    }
}

fn new_connections() -> Vec<Rc<CounterConnection>> {
    (0..CONNECTION_COUNT).map(|_| Rc::default()).collect()
}
