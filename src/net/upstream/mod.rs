//! The app servers: where they are, the connections kept to each, attempts and their outcomes, probes.

pub mod reuse;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::{EndpointId, Micros, Outcome};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::{timeout, timeout_at, Instant};

use crate::net::clock::Clock;
use crate::net::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use crate::net::discovery::directory::{AppliedDelta, EndpointDirectory};
use crate::net::discovery::endpoints::{Endpoint, Endpoints, Places};
use crate::net::discovery::parser::{Entry, Faults};
use crate::net::http_client::{framed, read_body, BodyError, Broken, Connection};
use crate::net::upstream::reuse::Reuse;

/// Bodies hold at most this much.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// How long an answer may take from its first byte to its last.
const STALL: Duration = Duration::from_millis(250);
/// A connection has this long at least to come up.
const CONNECT_LEAST: Duration = Duration::from_millis(60);
/// How long a connection rests after an answer. Danger: a second copy of an answer may come some milliseconds
/// behind it, and on a connection used again by then it would be taken for the next request's. After that time
/// it has come, and its connection is closed for it.
const REST: Duration = Duration::from_millis(20);
/// How long a probe may take.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// The request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The key that lets app servers drop repeats.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the sender will wait, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// What goes on to an app server.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `X-Request-Id`.
    pub request_id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

struct Kept {
    connection: Connection,
    since: Instant,
}

/// The connections of one app server, as long as they lead to it: with another address or start it gets another
/// pool, and what was opened for the old one is not kept.
struct Pool {
    address: SocketAddr,
    since_ms: u64,
    host: HeaderValue,
    /// The one idle for longest first.
    idle: RefCell<Vec<Kept>>,
}

impl Pool {
    fn fits(&self, endpoint: &Endpoint) -> bool {
        self.address == endpoint.address && self.since_ms == endpoint.attributes.since_ms
    }
}

/// What is known of the app servers.
#[derive(Default)]
struct Known {
    now: Arc<Endpoints>,
    /// What was known before, while the decisions are still being told of the delta. Danger: until they have been
    /// told that an app server has gone they send to it, and would take it for one that has failed.
    before: Option<Arc<Endpoints>>,
}

impl Known {
    /// An app server as it is to be reached. What is known now counts first: one that drains or has moved does so
    /// at once.
    fn get(&self, server: EndpointId) -> Option<&Endpoint> {
        self.now.get(server).or_else(|| self.before.as_ref()?.get(server))
    }

    /// One that wants new work.
    fn open(&self, server: EndpointId) -> Option<&Endpoint> {
        self.get(server).filter(|e| e.up())
    }
}

/// All app servers that discovery has named.
pub struct Upstreams {
    known: RefCell<Known>,
    /// Of those only that have an idle connection or an attempt out, or had one when last swept.
    pools: RefCell<BTreeMap<EndpointId, Rc<Pool>>>,
    budget: Rc<DescriptorBudget>,
    connect_timeout: Duration,
    keep: Duration,
    reuse: Reuse,
}

/// A connection to an app server, and the pool that it was opened for.
struct Line {
    connection: Connection,
    pool: Rc<Pool>,
    /// For how long it stood idle, if it was kept.
    idle: Option<Duration>,
}

enum NoLine {
    /// No connection came up, or the app server wants nothing new.
    Failed,
    /// No descriptor was to be had.
    Shed,
}

impl Upstreams {
    /// No app servers yet. Idle connections are dropped at half the time after which the peer may do so: a
    /// request that crosses the peer's close could not be told from one that ran.
    pub fn new(budget: Rc<DescriptorBudget>, connect_timeout: Micros, conn_idle: Micros) -> Rc<Self> {
        let or = |value: Micros, default| if value > 0 { value } else { default };
        let servers = Rc::new(Upstreams {
            known: RefCell::default(),
            pools: RefCell::default(),
            budget,
            connect_timeout: Duration::from_micros(or(connect_timeout, 250_000)),
            keep: Duration::from_micros(or(conn_idle, 10_000_000) / 2),
            reuse: Reuse::new(),
        });
        let weak = Rc::downgrade(&servers);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                let Some(servers) = weak.upgrade() else { return };
                servers.sweep();
            }
        });
        servers
    }

    fn sweep(&self) {
        self.reuse.fade();
        self.pools.borrow_mut().retain(|_, pool| {
            let mut idle = pool.idle.borrow_mut();
            idle.retain(|k| self.usable(k));
            // Danger: an attempt that is out gives its connection back to the pool that it knows.
            !idle.is_empty() || Rc::strong_count(pool) > 1
        });
    }

    fn usable(&self, kept: &Kept) -> bool {
        let idle = kept.since.elapsed();
        idle < self.keep && self.reuse.allows(idle) && kept.connection.usable()
    }

    /// Whether what was known before can still be reached.
    pub fn replacing(&self) -> bool {
        self.known.borrow().before.is_some()
    }

    /// Keeps no connection of these, also none that is in use.
    fn let_go(&self, stale: &[EndpointId]) {
        let mut pools = self.pools.borrow_mut();
        for pool in stale.iter().filter_map(|server| pools.remove(server)) {
            pool.idle.borrow_mut().clear();
        }
    }

    /// Keeps the connections that lead to app servers which are known.
    fn keep_own(&self, known: &Known) {
        self.pools.borrow_mut().retain(|&server, pool| {
            let endpoint = known.get(server).filter(|e| pool.fits(e));
            if !endpoint.is_some_and(Endpoint::up) {
                pool.idle.borrow_mut().clear();
            }
            // Danger: a new app server may stand where one that has gone stood. Connections lead to the old one.
            let own = endpoint.is_some() && !known.now.shares(server, pool.address);
            if !own {
                pool.idle.borrow_mut().clear();
            }
            own
        });
    }

    /// Closes the connection that has been idle for longest, to free its descriptor.
    pub fn close_oldest_idle(&self) -> bool {
        let pools = self.pools.borrow();
        let longest = |pool: &Rc<Pool>| pool.idle.borrow().first().map(|kept| kept.since);
        let oldest = pools.values().filter_map(|p| Some((longest(p)?, p))).min_by_key(|&(since, _)| since);
        oldest.map(|(_, pool)| pool.idle.borrow_mut().remove(0)).is_some()
    }

    /// Makes one attempt and tells how it ended, as the protocol's table has it. With the body, if served.
    /// `begun` holds while some of it may have been written.
    pub async fn attempt(
        &self,
        clock: &Clock,
        server: EndpointId,
        forward: &ForwardedRequest,
        stop: Micros,
        begun: &Cell<bool>,
    ) -> (Outcome, Option<Bytes>) {
        let until = clock.instant(stop);
        let mut fresh_only = false;
        let mut request = None;
        loop {
            let line = match timeout_at(until, self.line(server, fresh_only, until - Instant::now())).await {
                Ok(Ok(line)) => line,
                // Nothing has been written.
                Err(_) | Ok(Err(NoLine::Failed)) => return (Outcome::ConnectFailed, None),
                Ok(Err(NoLine::Shed)) => return (Outcome::NotSent, None),
            };
            let left = stop.saturating_sub(clock.now()) / 1000;
            let Line { mut connection, pool, idle } = line;
            let message = request.take().unwrap_or_else(|| build(forward, pool.host.clone(), left));
            let heard = connection.heard();
            begun.set(true);
            let answer = tokio::select! {
                biased;
                answer = timeout_at(until, self.exchange(&mut connection, message)) => match answer {
                    Ok(answer) => answer,
                    // Danger: whether the last byte went out is not known here, so it may have run.
                    Err(_) => return (Outcome::TimedOut, None),
                },
                _ = heard.stalled(STALL) => Err(Broken::Spoilt),
            };
            if !matches!(answer, Err(Broken::Unwritten(_))) {
                self.reuse.ended(idle, matches!(answer, Err(Broken::Doubtful)) && !heard.begun());
            }
            match answer {
                Ok((outcome, body, reusable)) => {
                    if reusable {
                        self.give_back(server, connection, &pool);
                    }
                    return (outcome, body);
                }
                // Not a byte was written to a kept connection that turned out closed: this is still the same
                // attempt, on a new connection.
                Err(Broken::Unwritten(message)) if idle.is_some() => {
                    request = Some(*message);
                    fresh_only = true;
                    begun.set(false);
                }
                Err(Broken::Unwritten(_)) => return (Outcome::ConnectFailed, None),
                Err(Broken::Doubtful) => return (Outcome::Reset, None),
                // Danger: any app server may spoil an answer. It is alive and no worse than others, and an
                // ejection would take it from all.
                Err(Broken::Spoilt) => return (Outcome::Error, None),
            }
        }
    }

    /// Writes a request and reads its whole answer; tells too whether the connection can be kept.
    async fn exchange(
        &self,
        connection: &mut Connection,
        message: Request<Full<Bytes>>,
    ) -> Result<(Outcome, Option<Bytes>, bool), Broken> {
        let response = connection.send(message).await?;
        let status = response.status();
        if !framed(&response) {
            return Err(Broken::Spoilt);
        }
        let not_run = response.headers().get(NOT_RUN).is_some_and(|v| v == "1");
        let body = read_body(response.into_body(), MAX_BODY_BYTES).await;
        let turned_away = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
        Ok(match body {
            // The head alone says that it has not run, whatever became of the rest.
            body if turned_away && not_run => (Outcome::Rejected, None, body.is_ok()),
            Err(BodyError::ConnectionBroken) => (Outcome::Reset, None, false),
            Err(_) => return Err(Broken::Spoilt),
            Ok(body) if status == StatusCode::OK => (Outcome::Ok, Some(body), true),
            Ok(_) => (Outcome::Error, None, true),
        })
    }

    /// A kept connection or a new one.
    async fn line(&self, server: EndpointId, fresh_only: bool, left: Duration) -> Result<Line, NoLine> {
        // Danger: a machine that has vanished must not take the time in which another could still be asked.
        let patience = self.connect_timeout.min((left / 4).max(CONNECT_LEAST));
        let pool = self.pool(server).ok_or(NoLine::Failed)?;
        if !fresh_only {
            if let Some(kept) = self.rested(&pool) {
                let idle = Some(kept.since.elapsed());
                return Ok(Line { connection: kept.connection, pool, idle });
            }
        }
        let connect = async {
            let slot = self.slot().await;
            Connection::open(pool.address, slot).await.map_err(|e| is_descriptors(&e))
        };
        match timeout(patience, connect).await {
            Ok(Ok(connection)) => {
                // Danger: the list may have changed while the connection came up.
                let same = self.is_current(server, &pool);
                same.then_some(Line { connection, pool, idle: None }).ok_or(NoLine::Failed)
            }
            Ok(Err(true)) => Err(NoLine::Shed),
            Err(_) if self.budget.is_exhausted() => Err(NoLine::Shed),
            Ok(Err(false)) | Err(_) => Err(NoLine::Failed),
        }
    }

    /// The pool of an app server that wants new work.
    fn pool(&self, server: EndpointId) -> Option<Rc<Pool>> {
        let known = self.known.borrow();
        let Endpoint { address, attributes, .. } = known.open(server)?;
        let (address, since_ms) = (*address, attributes.since_ms);
        let new = || {
            let (host, idle) = (host_header(address), RefCell::default());
            Rc::new(Pool { address, since_ms, host, idle })
        };
        Some(self.pools.borrow_mut().entry(server).or_insert_with(new).clone())
    }

    /// Whether connections of this pool still lead to an app server that wants new work.
    fn is_current(&self, server: EndpointId, pool: &Rc<Pool>) -> bool {
        self.known.borrow().open(server).is_some()
            && self.pools.borrow().get(&server).is_some_and(|p| Rc::ptr_eq(p, pool))
    }

    /// The connection last used of those that have rested and are of use; others on the way to it are closed.
    fn rested(&self, pool: &Pool) -> Option<Kept> {
        let mut idle = pool.idle.borrow_mut();
        let rested = |kept: &Kept| kept.since.elapsed() >= REST;
        while let Some(place) = idle.iter().rposition(rested) {
            let kept = idle.remove(place);
            if self.usable(&kept) {
                return Some(kept);
            }
        }
        None
    }

    /// A place for one more connection. Guard: with none free, idle ones are closed first; what finds none
    /// within the connect time-out is shed.
    async fn slot(&self) -> DescriptorPermit {
        let close_one = || self.close_oldest_idle() || self.budget.close_idle_downstream();
        self.budget.acquire_or_evict(|| self.budget.try_acquire_upstream(), close_one).await
    }

    fn give_back(&self, server: EndpointId, connection: Connection, pool: &Rc<Pool>) {
        if self.is_current(server, pool) {
            pool.idle.borrow_mut().push(Kept { connection, since: Instant::now() });
            self.budget.notify_waiters();
        }
    }

    /// Asks an app server whether it is alive.
    pub async fn probe(&self, server: EndpointId) -> Outcome {
        let Ok(Line { mut connection, pool, .. }) = self.line(server, false, PROBE_WAIT).await else {
            return Outcome::ConnectFailed;
        };
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::from_static("/alive");
        request.headers_mut().insert(HOST, pool.host.clone());
        match timeout(PROBE_WAIT, self.exchange(&mut connection, request)).await {
            Ok(Ok((outcome, _, reusable))) => {
                if reusable {
                    self.give_back(server, connection, &pool);
                }
                outcome
            }
            Ok(Err(Broken::Unwritten(_))) => Outcome::ConnectFailed,
            Ok(Err(Broken::Doubtful)) => Outcome::Reset,
            Ok(Err(Broken::Spoilt)) => Outcome::Error,
            Err(_) => Outcome::TimedOut,
        }
    }
}

impl EndpointDirectory for Upstreams {
    fn endpoints(&self) -> Arc<Endpoints> {
        self.known.borrow().now.clone()
    }

    fn is_current(&self, endpoints: &Arc<Endpoints>) -> bool {
        Arc::ptr_eq(&self.known.borrow().now, endpoints)
    }

    fn apply_delta(&self, entries: &[Entry], places: &Places) -> AppliedDelta {
        let mut known = self.known.borrow_mut();
        let endpoints = Arc::make_mut(&mut known.now);
        let mut stale = Vec::new();
        let mut faults = Faults::default();
        let changed =
            entries.iter().filter_map(|entry| endpoints.change(entry, places, &mut stale, &mut faults));
        let entries = changed.collect();
        self.let_go(&stale);
        let pools = self.pools.borrow();
        for (&server, pool) in pools.iter() {
            if known.open(server).is_none() {
                pool.idle.borrow_mut().clear();
            }
        }
        AppliedDelta { entries, faults }
    }

    fn replace(&self, endpoints: Endpoints, stale: &[EndpointId]) {
        self.let_go(stale);
        let mut known = self.known.borrow_mut();
        let before = std::mem::replace(&mut known.now, Arc::new(endpoints));
        known.before = Some(before);
        self.keep_own(&known);
    }

    fn finish_replacement(&self) -> Option<Arc<Endpoints>> {
        let mut known = self.known.borrow_mut();
        let before = known.before.take();
        self.keep_own(&known);
        before
    }
}

fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("localhost"))
}

/// Whether a connection failed because this process may hold no more descriptors.
fn is_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

fn build(forward: &ForwardedRequest, host: HeaderValue, left_ms: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(REQUEST_ID, forward.request_id.clone());
    headers.insert(DEADLINE, HeaderValue::from(left_ms));
    if let Some(key) = &forward.idempotency_key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    request
}
