//! The budget of file descriptors that client connections and endpoint connections share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

/// Descriptors reserved for the listener, all calls to discovery that may be in flight, the counter, the
/// runtime and the standard streams.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// The largest share of the permits that client connections may hold. An open request needs one permit
/// downstream and one upstream, so some permits have to remain for endpoint connections.
const DOWNSTREAM_SHARE: f64 = 0.6;
/// The smallest number of permits in total.
const MIN_PERMITS: usize = 4;
/// The smallest number of permits for client connections.
const MIN_DOWNSTREAM_PERMITS: usize = 2;
/// When memory is short, client connections that have sent requests are closed only if they have been idle for
/// this long: clients that go on sending keep their connections, and new ones are refused.
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// How long a connection may take to close after it was asked to, before the next one is asked as well.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// Issues one permit for each open connection and selects the connections that are closed when no permit is
/// left.
pub struct DescriptorBudget {
    /// The number of permits in total.
    max_permits: usize,
    /// The largest number of permits that client connections may hold.
    max_downstream_permits: usize,
    /// The number of permits in use. May exceed `max_permits` after `acquire_beyond_limit`.
    issued_permits: Cell<usize>,
    /// The number of permits that client connections hold.
    issued_downstream_permits: Cell<usize>,
    /// Notified when a permit is returned, when a connection becomes closable, and when a connection is
    /// classified.
    changed: Notify,
    /// The sequence number of the next registration.
    next_order: Cell<u64>,
    /// The number of client connections that are so new that their first request may still be unread.
    unclassified: Cell<usize>,
    /// The client connections without an open request, in the order in which they are asked to close.
    idle_downstream: RefCell<BTreeMap<IdleRegistration, IdleEntry>>,
    /// The client connections on which a request has arrived in part, in the order in which they may be asked
    /// to give it up.
    partial_requests: RefCell<BTreeMap<PartialRequestRegistration, Rc<Notify>>>,
}

/// An idle client connection.
struct IdleEntry {
    /// Notified to ask the connection to close.
    close: Rc<Notify>,
    /// When it became idle.
    since: Instant,
}

/// Identifies an idle client connection and gives its order among the idle ones.
///
/// Connections that have never sent a request come first, then those that have been idle for longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleRegistration {
    /// Whether the connection has sent a request since it was opened.
    has_sent_request: bool,
    /// Increases with each registration, so the lowest number has been idle for longest.
    idle_order: u64,
}

/// Identifies a client connection on which a request has arrived in part and gives its order among such
/// connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartialRequestRegistration {
    /// From when on the connection may be asked to give the request up.
    evictable_at: Instant,
    /// Distinguishes registrations with the same `evictable_at`.
    order: u64,
}

/// The side of the node that a connection belongs to.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Downstream,
    Upstream,
}

/// The permit for one open connection. Dropping it returns it to the budget.
pub struct DescriptorPermit {
    budget: Rc<DescriptorBudget>,
    side: Side,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may hold `descriptors` file descriptors, `RESERVED_DESCRIPTORS`
    /// of which are kept for other uses.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let max_permits = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_PERMITS);
        let downstream_share = (max_permits as f64 * DOWNSTREAM_SHARE) as usize;
        Rc::new(DescriptorBudget {
            max_permits,
            max_downstream_permits: downstream_share.max(MIN_DOWNSTREAM_PERMITS),
            issued_permits: Cell::new(0),
            issued_downstream_permits: Cell::new(0),
            changed: Notify::new(),
            next_order: Cell::new(0),
            unclassified: Cell::new(0),
            idle_downstream: RefCell::default(),
            partial_requests: RefCell::default(),
        })
    }

    /// Returns a permit for a client connection. Returns `None` if all permits, or all of the clients' share,
    /// are in use.
    pub fn try_acquire_downstream(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.issued_downstream_permits.get() >= self.max_downstream_permits || self.is_exhausted() {
            return None;
        }
        Some(self.issue(Side::Downstream))
    }

    /// Returns a permit for a connection to an endpoint, or for one to the counter service that was replaced.
    /// Returns `None` if all permits are in use.
    pub fn try_acquire_upstream(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.is_exhausted() {
            return None;
        }
        Some(self.issue(Side::Upstream))
    }

    /// Returns a permit for a client connection even if the limits are reached. The connection may use one of
    /// the reserved descriptors.
    ///
    /// This is for connections in the backlog when the listener closes: if the node did not accept them, they
    /// would be reset.
    pub fn acquire_beyond_limit(self: &Rc<Self>) -> DescriptorPermit {
        self.issue(Side::Downstream)
    }

    fn issue(self: &Rc<Self>, side: Side) -> DescriptorPermit {
        self.issued_permits.set(self.issued_permits.get() + 1);
        if side == Side::Downstream {
            self.issued_downstream_permits.set(self.issued_downstream_permits.get() + 1);
        }
        DescriptorPermit { budget: self.clone(), side }
    }

    /// Returns whether all permits are in use, and not only the clients' share of them.
    pub fn is_exhausted(&self) -> bool {
        self.issued_permits.get() >= self.max_permits
    }

    /// Waits until `try_acquire` returns a permit, and calls `close_one` to have connections closed until
    /// then.
    ///
    /// Without closing connections, idle clients that hold permits would starve new ones. A connection that
    /// was asked to close gets `EVICTION_TIMEOUT` for it, during which no other connection is asked. If
    /// `close_one` returns `false`, there is no connection to close, and the call waits for the budget to
    /// change.
    pub async fn acquire_or_evict<P>(
        &self,
        try_acquire: impl Fn() -> Option<P>,
        close_one: impl Fn() -> bool,
    ) -> P {
        loop {
            let changed = self.changed.notified();
            if let Some(permit) = self.try_acquire_or_evict(&try_acquire, &close_one).await {
                return permit;
            }
            self.wait_for_eviction(changed).await;
        }
    }

    /// Does the same as [`acquire_or_evict`](Self::acquire_or_evict), but returns `None` if there is no
    /// connection to close.
    pub async fn try_acquire_or_evict<P>(
        &self,
        try_acquire: impl Fn() -> Option<P>,
        close_one: impl Fn() -> bool,
    ) -> Option<P> {
        loop {
            if let Some(permit) = try_acquire() {
                return Some(permit);
            }
            if !close_one() {
                return None;
            }
            if let Ok(permit) = timeout(EVICTION_TIMEOUT, self.wait_for_permit(&try_acquire)).await {
                return Some(permit);
            }
        }
    }

    /// Waits until the budget changes, or until the first connection with a partial request may be asked to
    /// give it up.
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

    async fn wait_for_permit<P>(&self, try_acquire: impl Fn() -> Option<P>) -> P {
        loop {
            let changed = self.changed.notified();
            match try_acquire() {
                Some(permit) => return permit,
                None => changed.await,
            }
        }
    }

    /// Wakes the tasks that wait for a permit, after a change that may free one.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Registers a client connection as idle. The budget notifies `close` to ask the connection to close.
    pub fn register_idle(&self, close: Rc<Notify>, has_sent_request: bool) -> IdleRegistration {
        let registration = IdleRegistration { has_sent_request, idle_order: self.next_order() };
        let entry = IdleEntry { close, since: Instant::now() };
        self.idle_downstream.borrow_mut().insert(registration, entry);
        self.notify_waiters();
        registration
    }

    /// Registers a client connection on which a request has arrived in part. From `evictable_at` on, the
    /// budget may notify `give_up`. The connection then ends, unless the request has arrived in full, or more
    /// of it is unread and its time is not over.
    pub fn register_partial_request(
        &self,
        give_up: Rc<Notify>,
        evictable_at: Instant,
    ) -> PartialRequestRegistration {
        let registration = PartialRequestRegistration { evictable_at, order: self.next_order() };
        self.partial_requests.borrow_mut().insert(registration, give_up);
        self.notify_waiters();
        registration
    }

    /// Removes the registration of a connection on which a further part or all of the request has arrived, or
    /// which is closed.
    pub fn unregister_partial_request(&self, registration: PartialRequestRegistration) {
        self.partial_requests.borrow_mut().remove(&registration);
    }

    fn next_order(&self) -> u64 {
        let order = self.next_order.get();
        self.next_order.set(order + 1);
        order
    }

    /// Removes the registration of a connection that is no longer idle or is closed.
    pub fn unregister_idle(&self, registration: IdleRegistration) {
        self.idle_downstream.borrow_mut().remove(&registration);
    }

    /// Counts a new client connection as unclassified: whether it sends a request is not known yet.
    pub fn add_unclassified(&self) {
        self.unclassified.set(self.unclassified.get() + 1);
    }

    /// Stops counting a client connection as unclassified: it has sent a request, has been without one for
    /// long enough to count as idle, or is closed.
    pub fn remove_unclassified(&self) {
        self.unclassified.set(self.unclassified.get() - 1);
        self.notify_waiters();
    }

    /// Asks one client connection to close or to give up its partial request. Returns `false` if there is no
    /// connection that may be asked.
    ///
    /// An idle connection that has never sent a request is closed first. If there is none, the connection
    /// whose partial request became evictable first is asked to give it up. If there is none of these either,
    /// the connection that has been idle for longest is closed.
    ///
    /// While the number of unclassified connections is at least half of the clients' share, idle connections
    /// that have sent requests are not closed: otherwise a flood of connections without requests would evict
    /// the connections in use. If fewer are unclassified, such idle connections are closed, because sparing
    /// them would keep new clients waiting.
    pub fn evict_downstream(&self) -> bool {
        self.evict_downstream_idle_for(Duration::ZERO)
    }

    /// Does the same as [`evict_downstream`](Self::evict_downstream), but spares the connections that have sent
    /// requests and have been idle for less than `min_idle`.
    pub fn evict_downstream_idle_for(&self, min_idle: Duration) -> bool {
        self.close_first_idle(|first, _| !first.has_sent_request)
            || self.give_up_partial_request()
            || self.close_first_idle(|_, since| {
                !self.is_flooded_by_new_connections() && since.elapsed() >= min_idle
            })
    }

    /// Returns whether the client connections with a partial request hold at least half of the clients'
    /// share.
    pub fn is_flooded_by_partial_requests(&self) -> bool {
        self.partial_requests.borrow().len() * 2 >= self.max_downstream_permits
    }

    /// Returns whether unclassified connections hold at least half of the clients' share.
    fn is_flooded_by_new_connections(&self) -> bool {
        self.unclassified.get() * 2 >= self.max_downstream_permits
    }

    fn close_first_idle(&self, may_close: impl Fn(&IdleRegistration, Instant) -> bool) -> bool {
        let mut idle = self.idle_downstream.borrow_mut();
        let first = idle.first_entry().filter(|first| may_close(first.key(), first.get().since));
        first.map(|first| first.remove().close.notify_one()).is_some()
    }

    fn give_up_partial_request(&self) -> bool {
        let now = Instant::now();
        let mut partial_requests = self.partial_requests.borrow_mut();
        let first = partial_requests.first_entry().filter(|first| first.key().evictable_at <= now);
        first.map(|first| first.remove().notify_one()).is_some()
    }

    /// Returns the number of open client connections.
    pub fn downstream_connections(&self) -> usize {
        self.issued_downstream_permits.get()
    }
}

impl DescriptorPermit {
    /// Wakes the tasks that wait for a permit, after a change that may free one.
    pub fn notify_waiters(&self) {
        self.budget.notify_waiters();
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.issued_permits.set(budget.issued_permits.get() - 1);
        if self.side == Side::Downstream {
            budget.issued_downstream_permits.set(budget.issued_downstream_permits.get() - 1);
        }
        budget.notify_waiters();
    }
}
