//! The open connections of clients, so that those whose request head does not arrive in time are ended.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::time::sleep;

use crate::net::downstream::connection_state::ConnectionState;

/// How often connections are checked for a request head that takes too long.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The open connections, in the order in which they were registered.
pub struct ConnectionRegistry {
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
}

/// A connection's place in the registry, which it leaves when this is dropped.
pub struct ConnectionRegistration {
    registry: Rc<ConnectionRegistry>,
    number: u64,
}

impl ConnectionRegistry {
    /// An empty registry, and the task that checks its connections for as long as it exists.
    pub fn new() -> Rc<Self> {
        let registry =
            Rc::new(ConnectionRegistry { connections: RefCell::default(), next_number: Cell::default() });
        tokio::task::spawn_local(give_up_overdue_periodically(Rc::downgrade(&registry)));
        registry
    }

    /// Registers a connection.
    pub fn register(self: &Rc<Self>, state: &Rc<ConnectionState>) -> ConnectionRegistration {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        ConnectionRegistration { registry: self.clone(), number }
    }

    fn give_up_overdue(&self) {
        for state in self.connections.borrow().values() {
            if state.head_overdue() {
                state.give_up_partial_request();
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
        sleep(HEAD_CHECK_INTERVAL).await;
        let Some(registry) = registry.upgrade() else { return };
        registry.give_up_overdue();
    }
}
