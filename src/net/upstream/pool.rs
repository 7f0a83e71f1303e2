//! The pools of idle connections to endpoints, and the opening of new connections within the descriptor
//! budget.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use tokio::time::{timeout, Instant};

use crate::decision::EndpointId;
use crate::net::connection_memory::ConnectionMemory;
use crate::net::descriptor_budget::{DescriptorBudget, MIN_IDLE_BEFORE_EVICTION};
use crate::net::discovery::endpoints::Endpoint;
use crate::net::http_client::{HttpConnection, RestingSocket};
use crate::net::upstream::endpoint_permit::EndpointPermit;
use crate::net::upstream::idle_connection::IdleConnection;
use crate::net::upstream::known_endpoints::KnownEndpoints;
use crate::net::upstream::reuse::ReuseLimit;

/// The minimum time for which a connection stays idle after a response.
///
/// A duplicate of a response may arrive some milliseconds after it. If the connection were reused by then,
/// the duplicate would be matched to the next request. By the end of this time the duplicate has arrived, and
/// the connection has been closed because of it.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// Why no connection to an endpoint is available.
#[derive(Debug, thiserror::Error)]
pub(super) enum AcquireError {
    /// The endpoint takes no new requests, or it was removed or moved while the connection was being opened.
    #[error("the endpoint takes no new requests")]
    NotActive,
    /// No connection was established within the connect timeout.
    #[error("no connection was established within the connect timeout")]
    ConnectTimedOut,
    /// The connection could not be established.
    #[error("could not connect to the endpoint")]
    ConnectFailed(#[source] io::Error),
    /// No file descriptor or no memory is available for one more connection.
    #[error("no file descriptor or memory is available")]
    NoCapacity,
}

/// A connection to an endpoint, with its permit.
pub(super) type EndpointConnection = HttpConnection<EndpointPermit>;

/// The idle connections to one endpoint with a certain address and start time.
///
/// When the endpoint's address or start time changes, it gets a new pool, and connections opened for the old
/// pool are not reused.
pub(super) struct EndpointPool {
    address: SocketAddr,
    /// When the endpoint last started, in milliseconds of Unix time; 0 if its list entry gives no time, which
    /// is treated as a start long ago.
    started_at_ms: u64,
    /// The `Host` header of requests on these connections.
    pub(super) host: HeaderValue,
    /// The idle connections, ordered by descending idle time.
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

    /// Returns whether the connections of this pool lead to `endpoint` at its listed address and start time.
    fn leads_to(&self, endpoint: &Endpoint) -> bool {
        self.address == endpoint.address && self.started_at_ms == endpoint.attributes.started_at_ms
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns since when the oldest idle connection has been idle; `None` if there is none.
    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(IdleConnection::idle_since)
    }
}

/// A connection in use and the pool that it was opened for.
pub(super) struct PooledConnection {
    pub(super) connection: EndpointConnection,
    pub(super) pool: Rc<EndpointPool>,
    /// How long the connection was idle before this use; `None` for a new connection.
    pub(super) idle_for: Option<Duration>,
}

/// The socket of a connection that was taken out of its pool.
struct IdleSocket {
    socket: RestingSocket<EndpointPermit>,
    /// How long the connection was idle.
    idle_for: Duration,
}

/// The connection pools of all endpoints.
pub(super) struct ConnectionPools {
    /// Contains only endpoints that have an idle connection or an attempt in flight, or had one at the last
    /// sweep.
    by_endpoint: RefCell<BTreeMap<EndpointId, Rc<EndpointPool>>>,
    budget: Rc<DescriptorBudget>,
    memory: Rc<ConnectionMemory>,
    /// The idle time at which a connection is closed.
    max_idle: Duration,
    reuse: ReuseLimit,
}

impl ConnectionPools {
    /// Creates pools without connections. Idle connections are kept for less than `max_idle`.
    pub(super) fn new(
        budget: Rc<DescriptorBudget>,
        memory: Rc<ConnectionMemory>,
        max_idle: Duration,
    ) -> Self {
        ConnectionPools {
            by_endpoint: RefCell::default(),
            budget,
            memory,
            max_idle,
            reuse: ReuseLimit::new(),
        }
    }

    /// Closes idle connections that must not be reused and drops empty pools. Must be called once a second,
    /// because the reuse limit decays with each call.
    pub(super) fn sweep(&self) {
        self.reuse.decay();
        self.by_endpoint.borrow_mut().retain(|_, pool| {
            let mut idle = pool.idle.borrow_mut();
            idle.retain(|connection| self.is_usable(connection));
            // An attempt in flight holds a reference to the pool and returns its connection there.
            !idle.is_empty() || Rc::strong_count(pool) > 1
        });
    }

    /// Records the end of a request for the reuse limit. `idle_for` is how long its connection had been idle
    /// (`None` for a new connection); `broke` is whether the connection broke before any byte of the response
    /// arrived.
    pub(super) fn request_ended(&self, idle_for: Option<Duration>, broke: bool) {
        self.reuse.request_ended(idle_for, broke);
    }

    /// Returns whether an idle connection may be used for another request.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        let idle_for = idle.idle_for();
        idle_for < self.max_idle && self.reuse.allows(idle_for) && idle.is_open()
    }

    /// Drops the pools of these endpoints. This closes their idle connections; connections in use are not
    /// returned to a pool afterwards.
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

    /// Drops the pools whose connections no longer lead to a known endpoint, and closes the idle
    /// connections to endpoints that take no new requests.
    pub(super) fn retain_known(&self, known: &KnownEndpoints) {
        self.by_endpoint.borrow_mut().retain(|&id, pool| {
            let endpoint = known.get(id).filter(|endpoint| pool.leads_to(endpoint));
            // A new endpoint may be listed at the address of a removed one. The connections of this pool lead
            // to the removed one.
            let is_kept = endpoint.is_some() && !known.is_address_shared(id, pool.address);
            if !is_kept || !endpoint.is_some_and(Endpoint::is_active) {
                pool.close_idle();
            }
            is_kept
        });
    }

    /// Closes the connection that has been idle for longest, to free its descriptor. Returns `false` if no
    /// connection is idle.
    pub(super) fn close_oldest_idle(&self) -> bool {
        let pools = self.by_endpoint.borrow();
        let with_idle = pools.values().filter_map(|pool| Some((pool.oldest_idle_since()?, pool)));
        let Some((_, pool)) = with_idle.min_by_key(|&(idle_since, _)| idle_since) else { return false };
        pool.idle.borrow_mut().remove(0);
        true
    }

    /// Returns the pool of the endpoint, and creates it if there is none.
    pub(super) fn pool_of(&self, id: EndpointId, endpoint: &Endpoint) -> Rc<EndpointPool> {
        let new_pool = || Rc::new(EndpointPool::new(endpoint.address, endpoint.attributes.started_at_ms));
        self.by_endpoint.borrow_mut().entry(id).or_insert_with(new_pool).clone()
    }

    /// Returns whether `pool` is the current pool of the endpoint.
    pub(super) fn is_pool_of(&self, id: EndpointId, pool: &Rc<EndpointPool>) -> bool {
        self.by_endpoint.borrow().get(&id).is_some_and(|current| Rc::ptr_eq(current, pool))
    }

    /// Takes a connection for reuse: the most recently used one that has been idle for
    /// [`MIN_IDLE_BEFORE_REUSE`] and is usable. Closes the unusable connections that it encounters. Returns
    /// `None` if no connection can be reused.
    pub(super) async fn take_idle(&self, pool: &Rc<EndpointPool>) -> Option<PooledConnection> {
        let IdleSocket { socket, idle_for } = self.take_idle_socket(pool)?;
        if !self.try_resume(socket.permit()) {
            return None;
        }
        let connection = HttpConnection::resume(socket).await.ok()?;
        Some(PooledConnection { connection, pool: pool.clone(), idle_for: Some(idle_for) })
    }

    /// Takes the memory for a request on a resting connection, and closes others if there is too little.
    fn try_resume(&self, permit: &EndpointPermit) -> bool {
        loop {
            if permit.try_resume() {
                return true;
            }
            if !self.close_oldest_idle() {
                return false;
            }
        }
    }

    /// Takes the socket of the connection that [`take_idle`](Self::take_idle) reuses out of the pool.
    fn take_idle_socket(&self, pool: &EndpointPool) -> Option<IdleSocket> {
        let mut idle = pool.idle.borrow_mut();
        let may_be_reused = |connection: &IdleConnection| connection.idle_for() >= MIN_IDLE_BEFORE_REUSE;
        while let Some(position) = idle.iter().rposition(may_be_reused) {
            let candidate = idle.remove(position);
            let idle_for = candidate.idle_for();
            let is_usable = self.is_usable(&candidate);
            if let Some(socket) = candidate.into_socket().filter(|_| is_usable) {
                return Some(IdleSocket { socket, idle_for });
            }
        }
        None
    }

    /// Opens a connection within the descriptor budget.
    ///
    /// # Errors
    /// If no descriptor or no memory is available, or the connection is not established within `connect_timeout`.
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
            Ok(Err(error)) if is_out_of_descriptors(&error) => Err(AcquireError::NoCapacity),
            Ok(Err(error)) => Err(AcquireError::ConnectFailed(error)),
            Err(_) if !self.has_room() => Err(AcquireError::NoCapacity),
            Err(_) => Err(AcquireError::ConnectTimedOut),
        }
    }

    /// Returns whether there are a descriptor and memory for one more connection.
    fn has_room(&self) -> bool {
        !self.budget.is_exhausted() && self.memory.has_room_for_endpoint()
    }

    /// Waits for a permit for one more connection. If none is free, idle connections are closed to free one.
    async fn acquire_permit(&self) -> EndpointPermit {
        let try_acquire = || {
            let memory = self.memory.try_reserve_for_endpoint()?;
            let descriptor = self.budget.try_acquire_upstream()?;
            Some(EndpointPermit::new(memory, descriptor))
        };
        self.budget.acquire_or_evict(try_acquire, || self.make_room()).await
    }

    /// Closes idle connections to endpoints until there is room for one more connection, or asks a client
    /// connection to close if there are none. Returns `false` if no connection is closed.
    fn make_room(&self) -> bool {
        let mut has_closed = false;
        while !self.has_room() && self.close_oldest_idle() {
            has_closed = true;
        }
        has_closed || self.evict_downstream()
    }

    fn evict_downstream(&self) -> bool {
        if self.budget.is_exhausted() {
            self.budget.evict_downstream()
        } else {
            self.budget.evict_downstream_idle_for(MIN_IDLE_BEFORE_EVICTION)
        }
    }

    /// Adds a connection to its pool after a response was read completely.
    pub(super) fn keep(&self, connection: EndpointConnection, pool: &EndpointPool) {
        pool.idle.borrow_mut().push(IdleConnection::new(connection));
        self.budget.notify_waiters();
    }
}

/// Returns whether connecting failed because the process or the machine has no free file descriptor.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
