//! The client of the counter service. It distributes calls over a few connections by their key: all calls for
//! one key use the same connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::decision::{CounterKey, Event, Micros, Outcome};
use crate::net::counter::connection::{CounterConnection, QueuedCall};
use crate::net::counter::connection_task::ConnectionTask;
use crate::net::counter::resp::Increment;
use crate::net::counter::result_sink::ResultSink;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::event_sink::EventSink;

/// The number of connections to the counter service. If a part of the service is slow, it delays only the
/// keys that share a connection with the keys of that part.
const CONNECTION_COUNT: u64 = 4;
/// The maximum number of calls queued for one connection.
const MAX_QUEUED_CALLS: usize = 4096;
/// The longest time for which the counter service keeps a key, in milliseconds.
const MAX_KEEP_MS: u64 = 60_000;
/// The largest amount that the counter service adds in one call, in units.
const MAX_AMOUNT: f64 = 1e9;

/// A node's client of the counter service.
pub struct CounterClient {
    address: Cell<Option<SocketAddr>>,
    call_timeout: Duration,
    connections: RefCell<Vec<Rc<CounterConnection>>>,
    /// The number of calls whose outcome has not been reported yet.
    open_calls: Rc<Cell<usize>>,
    budget: Rc<DescriptorBudget>,
}

impl CounterClient {
    /// Creates a client of the counter service at `address`; with `None` there is no counter service, and
    /// every call fails. A call times out if no reply arrives within `call_timeout`, in microseconds (at
    /// least 1). Connections that are kept for late replies have permits of `budget`.
    pub fn new(address: Option<SocketAddr>, call_timeout: Micros, budget: Rc<DescriptorBudget>) -> Rc<Self> {
        Rc::new(CounterClient {
            address: Cell::new(address),
            call_timeout: Duration::from_micros(call_timeout.max(1)),
            connections: RefCell::new(new_connections()),
            open_calls: Rc::default(),
            budget,
        })
    }

    /// Adds `amount` units to the counter `key`. `keep_for` is the lifetime, in microseconds, of a counter
    /// that this call creates. It is limited to the range from 1 ms to `MAX_KEEP_MS`, and the amount to
    /// +/-`MAX_AMOUNT`.
    ///
    /// The outcome is sent to `events` as [`Event::CounterReplied`]. The call fails at once with
    /// [`Outcome::ConnectFailed`] if there is no counter service, if `amount` is not finite, or if the queue
    /// of the key's connection is full.
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

    /// Returns whether the outcome of every call has been reported.
    pub fn has_no_open_calls(&self) -> bool {
        self.open_calls.get() == 0
    }

    /// Sets the address of the counter service. Does nothing if it is the current one.
    ///
    /// Calls in flight stay with the previous address; queued calls are sent to the new one. With `None`
    /// queued calls fail with [`Outcome::ConnectFailed`].
    pub fn set_address(&self, events: &Rc<dyn EventSink>, address: Option<SocketAddr>) {
        if self.address.replace(address) == address {
            return;
        }
        let retired = self.connections.replace(new_connections());
        let mut unsent = Vec::new();
        for (from, to) in retired.iter().zip(self.connections.borrow().iter()) {
            let queued = from.queue.take();
            match address {
                Some(_) => *to.queue.borrow_mut() = queued,
                None => unsent.extend(queued),
            }
            from.retired.set(true);
            from.wake.notify_one();
        }
        self.start(events);
        let results = self.result_sink(events);
        for call in unsent {
            results.report(call.increment.key, Outcome::ConnectFailed, 0.0);
        }
    }

    /// Starts one task per connection that sends the queued calls. Does nothing if there is no counter
    /// service.
    pub fn start(&self, events: &Rc<dyn EventSink>) {
        let Some(address) = self.address.get() else { return };
        for connection in self.connections.borrow().iter() {
            let task = ConnectionTask {
                connection: connection.clone(),
                results: self.result_sink(events),
                budget: self.budget.clone(),
                address,
                call_timeout: self.call_timeout,
            };
            spawn_local(task.run());
        }
    }

    fn result_sink(&self, events: &Rc<dyn EventSink>) -> ResultSink {
        ResultSink { events: events.clone(), open_calls: self.open_calls.clone() }
    }
}

fn new_connections() -> Vec<Rc<CounterConnection>> {
    (0..CONNECTION_COUNT).map(|_| Rc::default()).collect()
}
