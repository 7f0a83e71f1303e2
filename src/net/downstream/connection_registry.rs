//! The registry of open client connections, which aborts those whose request head does not arrive in time and
//! those whose client does not read a response in time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::time::sleep;

use crate::net::downstream::connection_state::ConnectionState;

/// The interval at which the connections are checked for an overdue request head or response.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The open client connections, in the order in which they were registered.
pub struct ConnectionRegistry {
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
}

/// The registration of one connection. Dropping it removes the connection from the registry.
pub struct ConnectionRegistration {
    registry: Rc<ConnectionRegistry>,
    number: u64,
}

impl ConnectionRegistry {
    /// Creates an empty registry and starts the task that checks its connections. The task ends after the
    /// registry is dropped.
    pub fn new() -> Rc<Self> {
        let registry =
            Rc::new(ConnectionRegistry { connections: RefCell::default(), next_number: Cell::default() });
        tokio::task::spawn_local(give_up_overdue_periodically(Rc::downgrade(&registry)));
        registry
    }

    /// Adds a connection to the registry until the returned registration is dropped.
    pub fn register(self: &Rc<Self>, state: &Rc<ConnectionState>) -> ConnectionRegistration {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        ConnectionRegistration { registry: self.clone(), number }
    }

    /// Asks each connection whose request head is overdue to give the request up, and aborts each whose client
    /// has not read a response in time.
    fn give_up_overdue(&self) {
        for state in self.connections.borrow().values() {
            if state.head_overdue() {
                state.give_up_partial_request();
            }
            if state.response_overdue() {
                state.abort();
            }
        }
    }
}

impl Drop for ConnectionRegistration {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.number);
    }
}

async fn give_up_overdue_periodically(registry: Weak<ConnectionRegistry>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(registry) = registry.upgrade() else { return };
        registry.give_up_overdue();
    }
}
