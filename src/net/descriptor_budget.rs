//! The file descriptors that connections of clients and to endpoints share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

/// Descriptors reserved for the listener, discovery, the counter, the runtime and the standard streams.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// The share of the permits that clients may hold: every open request needs one on either side.
const DOWNSTREAM_SHARE: f64 = 0.6;
/// The fewest permits in all, and for clients.
const MIN_PERMITS: usize = 4;
const MIN_DOWNSTREAM_PERMITS: usize = 2;
/// How long a connection that was asked to close may take before the next one is asked.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// How many connections may be open, and how many are.
pub struct DescriptorBudget {
    max_connections: usize,
    max_downstream: usize,
    open_connections: Cell<usize>,
    open_downstream: Cell<usize>,
    /// Signalled when a permit was returned or a connection can be closed.
    changed: Notify,
    next_order: Cell<u64>,
    /// Client connections so new that their first request may still be unread.
    unclassified: Cell<usize>,
    /// Client connections without an open request, in the order in which they are closed.
    idle_downstream: RefCell<BTreeMap<IdleRegistration, Rc<Notify>>>,
    /// Client connections on which a request has arrived in part, in the order in which they may be aborted.
    partial_requests: RefCell<BTreeMap<PartialRequestRegistration, Rc<Notify>>>,
}

/// A client connection's place among the idle ones. Those that have never sent a request come first, then those idle
/// for longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleRegistration {
    has_sent_request: bool,
    /// Rises with each registration: the lowest has been idle for longest.
    idle_order: u64,
}

/// The place of a client connection on which a request has arrived in part among all such connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartialRequestRegistration {
    evictable_at: Instant,
    /// Distinguishes those of one time.
    order: u64,
}

/// Which side a connection belongs to.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Downstream,
    Upstream,
}

/// The permit of one open connection, returned when dropped.
pub struct DescriptorPermit {
    budget: Rc<DescriptorBudget>,
    side: Side,
}

impl DescriptorBudget {
    /// A budget for a process that may hold this many descriptors.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_PERMITS);
        let downstream_share = (max_connections as f64 * DOWNSTREAM_SHARE) as usize;
        Rc::new(DescriptorBudget {
            max_connections,
            max_downstream: downstream_share.max(MIN_DOWNSTREAM_PERMITS),
            open_connections: Cell::new(0),
            open_downstream: Cell::new(0),
            changed: Notify::new(),
            next_order: Cell::new(0),
            unclassified: Cell::new(0),
            idle_downstream: RefCell::default(),
            partial_requests: RefCell::default(),
        })
    }

    /// A permit for a client connection, if one is free.
    pub fn try_acquire_downstream(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.open_downstream.get() >= self.max_downstream || self.is_exhausted() {
            return None;
        }
        Some(self.issue(Side::Downstream))
    }

    /// A permit for a connection to an endpoint, if one is free.
    pub fn try_acquire_upstream(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.is_exhausted() {
            return None;
        }
        Some(self.issue(Side::Upstream))
    }

    /// A permit for a client connection beyond the limits, out of the reserved descriptors: for what the kernel has
    /// accepted when the listener closes, which nobody else will serve.
    pub fn acquire_beyond_limit(self: &Rc<Self>) -> DescriptorPermit {
        self.issue(Side::Downstream)
    }

    fn issue(self: &Rc<Self>, side: Side) -> DescriptorPermit {
        self.open_connections.set(self.open_connections.get() + 1);
        if side == Side::Downstream {
            self.open_downstream.set(self.open_downstream.get() + 1);
        }
        DescriptorPermit { budget: self.clone(), side }
    }

    /// Whether all permits are in use, and not just the clients' share.
    pub fn is_exhausted(&self) -> bool {
        self.open_connections.get() >= self.max_connections
    }

    /// Waits for a permit, closing one connection after the other to free it.
    ///
    /// Waiting alone would starve new clients while those with permits are idle. What is asked to close takes a
    /// little time, in which no other connection must be closed in its place.
    pub async fn acquire_or_evict(
        &self,
        try_acquire: impl Fn() -> Option<DescriptorPermit>,
        close_one: impl Fn() -> bool,
    ) -> DescriptorPermit {
        loop {
            let changed = self.changed.notified();
            if let Some(permit) = try_acquire() {
                return permit;
            }
            if !close_one() {
                self.wait_for_eviction(changed).await;
                continue;
            }
            if let Ok(permit) = timeout(EVICTION_TIMEOUT, self.wait_for_permit(&try_acquire)).await {
                return permit;
            }
        }
    }

    /// Waits for a change, or until a connection with a partial request may be aborted.
    async fn wait_for_eviction(&self, changed: impl Future<Output = ()>) {
        let evictable_at = self.partial_requests.borrow().keys().next().map(|first| first.evictable_at);
        match evictable_at {
            Some(evictable_at) => tokio::select! {
                () = changed => {}
                () = sleep_until(evictable_at) => {}
            },
            None => changed.await,
        }
    }

    async fn wait_for_permit(&self, try_acquire: impl Fn() -> Option<DescriptorPermit>) -> DescriptorPermit {
        loop {
            let changed = self.changed.notified();
            match try_acquire() {
                Some(permit) => return permit,
                None => changed.await,
            }
        }
    }

    /// A connection can be closed now: wakes those that wait for a permit.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// A client connection is idle; it may be asked to close through `close`.
    pub fn register_idle(&self, close: Rc<Notify>, has_sent_request: bool) -> IdleRegistration {
        let registration = IdleRegistration { has_sent_request, idle_order: self.next_order() };
        self.idle_downstream.borrow_mut().insert(registration, close);
        self.notify_waiters();
        registration
    }

    /// A request has arrived in part on a client connection; from `evictable_at` on the connection may be ended
    /// through `abort`.
    pub fn register_partial_request(
        &self,
        abort: Rc<Notify>,
        evictable_at: Instant,
    ) -> PartialRequestRegistration {
        let registration = PartialRequestRegistration { evictable_at, order: self.next_order() };
        self.partial_requests.borrow_mut().insert(registration, abort);
        self.notify_waiters();
        registration
    }

    /// The request has arrived in full or a further part of it has, or its connection is closed.
    pub fn unregister_partial_request(&self, registration: PartialRequestRegistration) {
        self.partial_requests.borrow_mut().remove(&registration);
    }

    fn next_order(&self) -> u64 {
        let order = self.next_order.get();
        self.next_order.set(order + 1);
        order
    }

    /// The connection with this registration is in use, or closed.
    pub fn unregister_idle(&self, registration: IdleRegistration) {
        self.idle_downstream.borrow_mut().remove(&registration);
    }

    /// A client has connected; whether it sends a request is not known yet.
    pub fn connection_opened(&self) {
        self.unclassified.set(self.unclassified.get() + 1);
    }

    /// Whether a new client connection has a request or stays without one is known by now.
    pub fn connection_classified(&self) {
        self.unclassified.set(self.unclassified.get() - 1);
        self.notify_waiters();
    }

    /// Asks a client connection to close: the first that has been without a request from its start; or else the one
    /// whose partial request may be given up for longest; or else the one that has been idle for longest. False if
    /// there is none.
    ///
    /// While at least half of the clients' share is not classified yet, idle connections that have sent requests are
    /// not closed: a flood of connections without a request would push out those in use. With fewer, waiting for them
    /// would keep out new clients.
    pub fn close_idle_downstream(&self) -> bool {
        self.close_first_idle(|first| !first.has_sent_request)
            || self.abort_partial_request()
            || self.close_first_idle(|_| !self.is_flooded())
    }

    /// Whether client connections with a partial request hold at least half of the clients' share.
    pub fn is_flooded_by_partial_requests(&self) -> bool {
        self.partial_requests.borrow().len() * 2 >= self.max_downstream
    }

    fn is_flooded(&self) -> bool {
        self.unclassified.get() * 2 >= self.max_downstream
    }

    fn close_first_idle(&self, may_close: impl Fn(&IdleRegistration) -> bool) -> bool {
        let mut idle = self.idle_downstream.borrow_mut();
        let first = idle.first_entry().filter(|first| may_close(first.key()));
        first.map(|first| first.remove().notify_one()).is_some()
    }

    fn abort_partial_request(&self) -> bool {
        let now = Instant::now();
        let mut partial_requests = self.partial_requests.borrow_mut();
        let first = partial_requests.first_entry().filter(|first| first.key().evictable_at <= now);
        first.map(|first| first.remove().notify_one()).is_some()
    }

    /// How many clients are connected.
    pub fn downstream_connections(&self) -> usize {
        self.open_downstream.get()
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.open_connections.set(budget.open_connections.get() - 1);
        if self.side == Side::Downstream {
            budget.open_downstream.set(budget.open_downstream.get() - 1);
        }
        budget.notify_waiters();
    }
}
