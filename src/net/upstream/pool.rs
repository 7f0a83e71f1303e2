//! The connections kept to endpoints, and new ones within the descriptor budget.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use tokio::time::{timeout, Instant};

use crate::decision::EndpointId;
use crate::net::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use crate::net::discovery::endpoints::Endpoint;
use crate::net::http_client::HttpConnection;
use crate::net::upstream::known_endpoints::KnownEndpoints;
use crate::net::upstream::reuse::ReuseLimit;

/// How long a connection stays unused after a response. A second copy of a response may come some milliseconds
/// behind it, and on a connection used again by then it would be matched to the next request. After that time it has
/// come, and its connection is closed for it.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// Why there is no connection to an endpoint.
#[derive(Debug, thiserror::Error)]
pub(super) enum AcquireError {
    /// The endpoint takes no new requests, or it was removed or moved while the connection was opened.
    #[error("the endpoint takes no new requests")]
    NotActive,
    /// No connection was established in time.
    #[error("no connection in time")]
    ConnectTimedOut,
    /// The connection failed.
    #[error("the connection failed")]
    ConnectFailed(#[source] io::Error),
    /// This process may hold no more descriptors.
    #[error("no descriptor is free")]
    NoDescriptor,
}

/// A connection that no request is open on.
pub(super) struct IdleConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

/// The connections of one endpoint, as long as they lead to it: with another address or start it gets another pool,
/// and what was opened for the old one is not kept.
pub(super) struct EndpointPool {
    address: SocketAddr,
    started_at_ms: u64,
    /// The `Host` header of requests on these connections.
    pub(super) host: HeaderValue,
    /// The one idle for longest first.
    idle: RefCell<Vec<IdleConnection>>,
}

impl EndpointPool {
    fn new(address: SocketAddr, started_at_ms: u64) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        EndpointPool {
            address,
            started_at_ms,
            host: host.unwrap_or(HeaderValue::from_static("localhost")),
            idle: RefCell::default(),
        }
    }

    fn leads_to(&self, endpoint: &Endpoint) -> bool {
        self.address == endpoint.address && self.started_at_ms == endpoint.attributes.started_at_ms
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.idle_since)
    }
}

/// A connection in use, and the pool that it was opened for.
pub(super) struct PooledConnection {
    pub(super) connection: HttpConnection,
    pub(super) pool: Rc<EndpointPool>,
    /// How long it stood idle; none if it is new.
    pub(super) idle_for: Option<Duration>,
}

/// The connection pools of all endpoints.
pub(super) struct ConnectionPools {
    /// Of those endpoints only that have an idle connection or an attempt in flight, or had one when last swept.
    by_endpoint: RefCell<BTreeMap<EndpointId, Rc<EndpointPool>>>,
    budget: Rc<DescriptorBudget>,
    max_idle: Duration,
    reuse: ReuseLimit,
}

impl ConnectionPools {
    /// No connections yet. Idle ones are kept for at most `max_idle`.
    pub(super) fn new(budget: Rc<DescriptorBudget>, max_idle: Duration) -> Self {
        ConnectionPools { by_endpoint: RefCell::default(), budget, max_idle, reuse: ReuseLimit::new() }
    }

    /// Closes idle connections that are of no use any more, and drops empty pools. To be called every second.
    pub(super) fn sweep(&self) {
        self.reuse.decay();
        self.by_endpoint.borrow_mut().retain(|_, pool| {
            let mut idle = pool.idle.borrow_mut();
            idle.retain(|connection| self.is_usable(connection));
            // An attempt in flight returns its connection to the pool that it knows.
            !idle.is_empty() || Rc::strong_count(pool) > 1
        });
    }

    /// A request ended on a connection that was idle for this long (none: a new one). `broke`: the connection broke
    /// before any byte of the response.
    pub(super) fn request_ended(&self, idle_for: Option<Duration>, broke: bool) {
        self.reuse.request_ended(idle_for, broke);
    }

    fn is_usable(&self, idle: &IdleConnection) -> bool {
        let idle_for = idle.idle_since.elapsed();
        idle_for < self.max_idle && self.reuse.allows(idle_for) && idle.connection.is_open()
    }

    /// Keeps no connection to these endpoints, also none that is in use.
    pub(super) fn discard(&self, endpoints: &[EndpointId]) {
        let mut pools = self.by_endpoint.borrow_mut();
        for endpoint in endpoints {
            if let Some(pool) = pools.remove(endpoint) {
                pool.close_idle();
            }
        }
    }

    /// Closes the idle connections to endpoints that take no new requests.
    pub(super) fn close_idle_of_inactive(&self, known: &KnownEndpoints) {
        for (&endpoint, pool) in self.by_endpoint.borrow().iter() {
            if known.get_active(endpoint).is_none() {
                pool.close_idle();
            }
        }
    }

    /// Keeps only connections that lead to known endpoints, and idle ones only to those that take new requests.
    pub(super) fn retain_known(&self, known: &KnownEndpoints) {
        self.by_endpoint.borrow_mut().retain(|&id, pool| {
            let endpoint = known.get(id).filter(|endpoint| pool.leads_to(endpoint));
            // A new endpoint may stand at the address of one that was removed. Connections lead to the old one.
            let is_kept = endpoint.is_some() && !known.address_is_shared(id, pool.address);
            if !is_kept || !endpoint.is_some_and(Endpoint::is_active) {
                pool.close_idle();
            }
            is_kept
        });
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; false if there is none.
    pub(super) fn close_oldest_idle(&self) -> bool {
        let pools = self.by_endpoint.borrow();
        let with_idle = pools.values().filter_map(|pool| Some((pool.oldest_idle_since()?, pool)));
        let Some((_, pool)) = with_idle.min_by_key(|&(idle_since, _)| idle_since) else { return false };
        pool.idle.borrow_mut().remove(0);
        true
    }

    /// The pool of this endpoint.
    pub(super) fn pool_of(&self, id: EndpointId, endpoint: &Endpoint) -> Rc<EndpointPool> {
        let new_pool = || Rc::new(EndpointPool::new(endpoint.address, endpoint.attributes.started_at_ms));
        self.by_endpoint.borrow_mut().entry(id).or_insert_with(new_pool).clone()
    }

    /// Whether this is still the pool of the endpoint.
    pub(super) fn is_pool_of(&self, id: EndpointId, pool: &Rc<EndpointPool>) -> bool {
        self.by_endpoint.borrow().get(&id).is_some_and(|current| Rc::ptr_eq(current, pool))
    }

    /// Takes the connection used last of those that have been idle for long enough and are of use; others on the way
    /// to it are closed.
    pub(super) fn take_idle(&self, pool: &Rc<EndpointPool>) -> Option<PooledConnection> {
        let mut idle = pool.idle.borrow_mut();
        let may_be_reused =
            |connection: &IdleConnection| connection.idle_since.elapsed() >= MIN_IDLE_BEFORE_REUSE;
        while let Some(position) = idle.iter().rposition(may_be_reused) {
            let candidate = idle.remove(position);
            if self.is_usable(&candidate) {
                return Some(PooledConnection {
                    connection: candidate.connection,
                    pool: pool.clone(),
                    idle_for: Some(candidate.idle_since.elapsed()),
                });
            }
        }
        None
    }

    /// Opens a connection within the budget, or fails at this time-out.
    pub(super) async fn connect(
        &self,
        pool: &Rc<EndpointPool>,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, AcquireError> {
        let connect = async {
            let permit = self.acquire_permit().await;
            HttpConnection::open(pool.address, permit).await
        };
        match timeout(connect_timeout, connect).await {
            Ok(Ok(connection)) => Ok(PooledConnection { connection, pool: pool.clone(), idle_for: None }),
            Ok(Err(error)) if is_out_of_descriptors(&error) => Err(AcquireError::NoDescriptor),
            Ok(Err(error)) => Err(AcquireError::ConnectFailed(error)),
            Err(_) if self.budget.is_exhausted() => Err(AcquireError::NoDescriptor),
            Err(_) => Err(AcquireError::ConnectTimedOut),
        }
    }

    /// A permit for one more connection. With none free, idle connections are closed first.
    async fn acquire_permit(&self) -> DescriptorPermit {
        let close_one = || self.close_oldest_idle() || self.budget.close_idle_downstream();
        self.budget.acquire_or_evict(|| self.budget.try_acquire_upstream(), close_one).await
    }

    /// Keeps a connection after a response that was read to its end.
    pub(super) fn keep(&self, connection: HttpConnection, pool: &EndpointPool) {
        pool.idle.borrow_mut().push(IdleConnection { connection, idle_since: Instant::now() });
        self.budget.notify_waiters();
    }
}

/// Whether a connection failed because this process or the machine may hold no more descriptors.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
