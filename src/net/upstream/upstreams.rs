//! The endpoints on the endpoint list and the connections to them.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::decision::{EndpointId, Micros};
use crate::net::connection_memory::ConnectionMemory;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::endpoints::{AppliedEntries, Endpoints};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::ListEntry;
use crate::net::http_body::BodyMemory;
use crate::net::upstream::known_endpoints::KnownEndpoints;
use crate::net::upstream::pool::{
    AcquireError, ConnectionPools, EndpointConnection, EndpointPool, PooledConnection,
};

/// The lower bound of the connect timeout that is derived from the time left for a request.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// How often idle connections are checked and closed if they must not be reused.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Which connections a request may be sent on.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionChoice {
    /// An idle connection, or a new one if none can be reused.
    IdleOrNew,
    /// A new connection.
    NewOnly,
}

/// The endpoints on the endpoint list and the connections to them.
pub struct Upstreams {
    known: RefCell<KnownEndpoints>,
    pub(super) pools: ConnectionPools,
    pub(super) body_memory: Rc<BodyMemory>,
    connect_timeout: Duration,
}

impl Upstreams {
    /// Creates the upstream side without endpoints, and starts the task that sweeps idle connections. Both
    /// times are in microseconds. The bodies of responses take their memory from `body_memory`.
    ///
    /// An endpoint may close a connection that has been idle for `endpoint_idle_timeout`; the node closes it
    /// at half of that time. If a request crossed the endpoint's close, the node could not distinguish it
    /// from a request that ran.
    pub fn new(
        budget: Rc<DescriptorBudget>,
        connection_memory: Rc<ConnectionMemory>,
        body_memory: Rc<BodyMemory>,
        connect_timeout: Micros,
        endpoint_idle_timeout: Micros,
    ) -> Rc<Self> {
        let upstreams = Rc::new(Upstreams {
            known: RefCell::default(),
            pools: ConnectionPools::new(
                budget,
                connection_memory,
                Duration::from_micros(endpoint_idle_timeout / 2),
            ),
            body_memory,
            connect_timeout: Duration::from_micros(connect_timeout),
        });
        let weak = Rc::downgrade(&upstreams);
        spawn_local(async move {
            loop {
                sleep(SWEEP_INTERVAL).await;
                let Some(upstreams) = weak.upgrade() else { return };
                upstreams.pools.sweep();
            }
        });
        upstreams
    }

    /// Returns whether the endpoint list is being replaced and the previous endpoints can still be reached.
    pub fn is_replacing_endpoints(&self) -> bool {
        self.known.borrow().previous.is_some()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor. Returns `false` if no
    /// connection is idle.
    pub fn close_oldest_idle(&self) -> bool {
        self.pools.close_oldest_idle()
    }

    /// Takes or opens a connection to an endpoint for a request with `time_left` until its deadline.
    ///
    /// # Errors
    /// If the endpoint takes no new requests, or no connection could be established.
    pub(super) async fn acquire(
        &self,
        endpoint: EndpointId,
        choice: ConnectionChoice,
        time_left: Duration,
    ) -> Result<PooledConnection, AcquireError> {
        // Connecting to an endpoint whose machine is gone must not use up the time in which another endpoint
        // can still be tried.
        let connect_timeout = self.connect_timeout.min((time_left / 4).max(MIN_CONNECT_TIMEOUT));
        let pool = self.pool_of_active(endpoint).ok_or(AcquireError::NotActive)?;
        if choice == ConnectionChoice::IdleOrNew {
            if let Some(idle) = self.pools.take_idle(&pool).await {
                return Ok(idle);
            }
        }
        let connection = self.pools.connect(&pool, connect_timeout).await?;
        // The endpoint list may have changed while the connection was being opened.
        if self.leads_to_active(endpoint, &pool) {
            Ok(connection)
        } else {
            Err(AcquireError::NotActive)
        }
    }

    /// Returns the pool of an endpoint; `None` if the endpoint takes no new requests.
    fn pool_of_active(&self, id: EndpointId) -> Option<Rc<EndpointPool>> {
        let known = self.known.borrow();
        let endpoint = known.get_active(id)?;
        Some(self.pools.pool_of(id, endpoint))
    }

    /// Returns whether connections of `pool` lead to the endpoint and it takes new requests.
    fn leads_to_active(&self, id: EndpointId, pool: &Rc<EndpointPool>) -> bool {
        self.known.borrow().get_active(id).is_some() && self.pools.is_pool_of(id, pool)
    }

    /// Returns a connection to its pool if it still leads to an endpoint that takes new requests. Closes it
    /// otherwise.
    pub(super) fn keep(&self, id: EndpointId, connection: EndpointConnection, pool: &Rc<EndpointPool>) {
        if self.leads_to_active(id, pool) {
            self.pools.keep(connection, pool);
        }
    }
}

impl EndpointDirectory for Upstreams {
    fn endpoints(&self) -> Arc<Endpoints> {
        self.known.borrow().current.clone()
    }

    fn is_current(&self, endpoints: &Arc<Endpoints>) -> bool {
        Arc::ptr_eq(&self.known.borrow().current, endpoints)
    }

    fn apply_delta(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedEntries {
        let mut known = self.known.borrow_mut();
        let applied = Arc::make_mut(&mut known.current).apply_entries(entries, labels);
        self.pools.discard(&applied.stale);
        self.pools.close_idle_of_inactive(&known);
        applied
    }

    fn replace(&self, endpoints: Endpoints, stale: &[EndpointId]) {
        self.pools.discard(stale);
        let mut known = self.known.borrow_mut();
        let previous = std::mem::replace(&mut known.current, Arc::new(endpoints));
        known.previous = Some(previous);
        self.pools.retain_known(&known);
    }

    fn finish_replacement(&self) -> Option<Arc<Endpoints>> {
        let mut known = self.known.borrow_mut();
        let previous = known.previous.take();
        self.pools.retain_known(&known);
        previous
    }
}
