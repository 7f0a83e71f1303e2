//! Fakes of any number of endpoints (app servers).
//!
//! Each endpoint has a loopback address of its own. One listener accepts the connections to all these
//! addresses.

use std::collections::HashSet;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

use super::hash::fraction;
use super::listener::{accept, listen_on_all_loopback_addresses};
use super::lock;

/// The longest body of a request, in bytes; a request with a longer one gets status 400.
const MAX_BODY_LENGTH: usize = 64 * 1024;
/// The longest exponential work time, as a multiple of the mean.
const MAX_WORK_MULTIPLE: f64 = 20.0;
/// The shortest pause between two checks of whether a connection has been idle for too long.
const MIN_IDLE_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Number of hex digits of a request's id.
const ID_LENGTH: usize = 16;

/// The work times and responses of all endpoints.
#[derive(Debug, Clone, Copy)]
pub struct WorkModel {
    /// Seed of the work times; a request's work time depends on the seed and its number alone.
    pub seed: u64,
    /// The mean work time of a request.
    pub mean: Duration,
    /// Whether work times are exponentially distributed; if not, every one equals the mean.
    pub exponential: bool,
    /// Length of a response's body in bytes; the body is longer if the request's id does not fit in.
    pub body_length: usize,
    /// An endpoint closes a connection that has been idle for this long.
    pub idle_timeout: Duration,
}

impl WorkModel {
    /// Returns the work time of the request with this number.
    pub fn work_time(&self, number: u32) -> Duration {
        if !self.exponential {
            return self.mean;
        }
        let multiple = -(1.0 - fraction(self.seed, u64::from(number))).ln();
        self.mean.mul_f64(multiple.min(MAX_WORK_MULTIPLE))
    }

    /// Returns the body of the response to the request with this number: the request's id, padded with dots.
    pub fn response_body(&self, number: u32) -> Vec<u8> {
        let mut body = request_id(number).into_bytes();
        body.resize(self.body_length.max(body.len()), b'.');
        body
    }
}

/// Returns the id of the request with this number, as 16 hex digits.
pub fn request_id(number: u32) -> String {
    format!("{number:016x}")
}

/// What the endpoints have recorded about one request.
#[derive(Default)]
struct RequestRecord {
    attempts: AtomicU32,
    /// Service time of the latest attempt that got a response, in microseconds; 0 before the first response.
    service_time_us: AtomicU64,
}

/// What the endpoints have counted since they started.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointCounts {
    /// Connections that were accepted, each one after a TCP handshake.
    pub connections: u64,
    /// Attempts whose request arrived completely, with its body.
    pub attempts: u64,
    /// Probes that arrived: requests for `/alive` or `/metrics/load`.
    pub probes: u64,
    /// Requests that carry no id, or one that no client sends.
    pub unknown_requests: u64,
    /// Endpoints that received at least one attempt.
    pub endpoints_used: u64,
}

/// All fake endpoints, behind one listener.
pub struct Endpoints {
    port: u16,
    work: WorkModel,
    requests: Vec<RequestRecord>,
    used_addresses: Mutex<HashSet<Ipv4Addr>>,
    connections: AtomicU64,
    attempts: AtomicU64,
    probes: AtomicU64,
    unknown_requests: AtomicU64,
}

impl Endpoints {
    /// Starts an endpoint at every loopback address, all on the same free port.
    ///
    /// The endpoints serve requests numbered below `request_count`, and run until the runtime ends.
    ///
    /// # Errors
    /// Returns an error if the listener can't be bound to the loopback device only.
    pub fn start(work: WorkModel, request_count: u32) -> io::Result<Arc<Self>> {
        let listener = listen_on_all_loopback_addresses()?;
        let endpoints = Arc::new(Endpoints {
            port: listener.local_addr()?.port(),
            work,
            requests: (0..request_count).map(|_| RequestRecord::default()).collect(),
            used_addresses: Mutex::default(),
            connections: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            unknown_requests: AtomicU64::new(0),
        });
        tokio::spawn(endpoints.clone().serve(listener));
        Ok(endpoints)
    }

    /// Returns the port on which every endpoint listens.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Returns the counts since the endpoints started.
    pub fn counts(&self) -> EndpointCounts {
        EndpointCounts {
            connections: self.connections.load(Ordering::Relaxed),
            attempts: self.attempts.load(Ordering::Relaxed),
            probes: self.probes.load(Ordering::Relaxed),
            unknown_requests: self.unknown_requests.load(Ordering::Relaxed),
            endpoints_used: lock(&self.used_addresses).len() as u64,
        }
    }

    /// Returns how long an endpoint took for the request, from the arrival of its last byte to its response.
    ///
    /// If several attempts got a response, returns the time of the latest one; if none did, returns zero.
    pub fn service_time(&self, number: u32) -> Duration {
        let record = self.requests.get(number as usize);
        Duration::from_micros(record.map_or(0, |record| record.service_time_us.load(Ordering::Relaxed)))
    }

    /// Returns the number of attempts of the request that arrived.
    pub fn attempts(&self, number: u32) -> u32 {
        let record = self.requests.get(number as usize);
        record.map_or(0, |record| record.attempts.load(Ordering::Relaxed))
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            let Ok(SocketAddr::V4(address)) = stream.local_addr() else { continue };
            self.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve_connection(stream, *address.ip()));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, endpoint: Ipv4Addr) {
        let activity = Activity::new();
        let service = service_fn(|request| async {
            activity.request_started();
            let response = self.respond(request, endpoint).await;
            activity.request_ended();
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        loop {
            let time_left = self.work.idle_timeout.saturating_sub(activity.idle_time());
            tokio::select! {
                // An error here means that the edge node closed the connection early; there is nothing to do.
                _ = connection.as_mut() => return,
                () = sleep(time_left.max(MIN_IDLE_CHECK_PAUSE)) => {
                    if time_left.is_zero() && activity.is_idle() {
                        return;
                    }
                }
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>, endpoint: Ipv4Addr) -> Response<Full<Bytes>> {
        if matches!(request.uri().path(), "/alive" | "/metrics/load") {
            self.probes.fetch_add(1, Ordering::Relaxed);
            return Response::default();
        }
        let Some(id) = request.headers().get("x-request-id") else {
            self.unknown_requests.fetch_add(1, Ordering::Relaxed);
            return empty_response(StatusCode::NOT_FOUND);
        };
        let Some(number) = self.known_number(id) else {
            self.unknown_requests.fetch_add(1, Ordering::Relaxed);
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if Limited::new(request.into_body(), MAX_BODY_LENGTH).collect().await.is_err() {
            return empty_response(StatusCode::BAD_REQUEST);
        }
        Response::new(self.work_on(number, endpoint).await)
    }

    /// Records an attempt, waits for the work time of its request and returns the body of the response.
    async fn work_on(&self, number: u32, endpoint: Ipv4Addr) -> Full<Bytes> {
        let arrived_at = Instant::now();
        let record = &self.requests[number as usize];
        record.attempts.fetch_add(1, Ordering::Relaxed);
        self.attempts.fetch_add(1, Ordering::Relaxed);
        lock(&self.used_addresses).insert(endpoint);
        sleep(self.work.work_time(number)).await;
        let body = Full::new(Bytes::from(self.work.response_body(number)));
        // The measured time is stored, not the work time, because timers are late by up to a millisecond.
        record.service_time_us.store(arrived_at.elapsed().as_micros() as u64, Ordering::Relaxed);
        body
    }

    /// Returns the number of the request with this id, or `None` if no client sends such an id.
    fn known_number(&self, id: &HeaderValue) -> Option<u32> {
        let id = id.to_str().ok().filter(|id| id.len() == ID_LENGTH)?;
        let number = u32::from_str_radix(id, 16).ok()?;
        ((number as usize) < self.requests.len()).then_some(number)
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}

/// Tracks whether a connection is idle, and since when.
struct Activity {
    opened_at: Instant,
    requests_in_progress: AtomicU32,
    /// Time at which the last request ended, in microseconds since the connection was opened; 0 before that.
    idle_since_us: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Activity {
            opened_at: Instant::now(),
            requests_in_progress: AtomicU32::new(0),
            idle_since_us: AtomicU64::new(0),
        }
    }

    fn request_started(&self) {
        self.requests_in_progress.fetch_add(1, Ordering::Relaxed);
    }

    fn request_ended(&self) {
        let since_opened = self.opened_at.elapsed().as_micros() as u64;
        self.idle_since_us.store(since_opened, Ordering::Relaxed);
        self.requests_in_progress.fetch_sub(1, Ordering::Relaxed);
    }

    fn is_idle(&self) -> bool {
        self.requests_in_progress.load(Ordering::Relaxed) == 0
    }

    /// Returns the time since the last request ended, or since the connection was opened if none has.
    fn idle_time(&self) -> Duration {
        let idle_since = Duration::from_micros(self.idle_since_us.load(Ordering::Relaxed));
        self.opened_at.elapsed().saturating_sub(idle_since)
    }
}
