//! App servers at any number of loopback addresses, behind one listener.

use std::collections::HashSet;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

use super::{accept, fraction, held};

const BACKLOG: i32 = 1024;
/// Bodies hold no more than this.
const BODY_MOST: usize = 64 * 1024;
/// Of exponential work times none is longer than so many times their mean.
const WORK_MOST: f64 = 20.0;

/// How app servers work.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Gives each request its work time.
    pub seed: u64,
    /// The mean.
    pub mean: Duration,
    /// Whether work times are exponential; they are all the same if not.
    pub exponential: bool,
    /// Bytes of an answer's body, or as many as its request's id has if that is more.
    pub body: usize,
    /// A connection that has been idle for so long is closed.
    pub idle: Duration,
}

impl Work {
    /// The work time of a request.
    pub fn time(&self, number: u32) -> Duration {
        if !self.exponential {
            return self.mean;
        }
        let lot = -(1.0 - fraction(self.seed, u64::from(number))).ln();
        self.mean.mul_f64(lot.min(WORK_MOST))
    }

    /// The body of the answer to a request: its id, and filler.
    pub fn answer(&self, number: u32) -> Vec<u8> {
        let mut body = id(number).into_bytes();
        body.resize(self.body.max(body.len()), b'.');
        body
    }
}

/// The id of a request.
pub fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// What app servers know of a request.
#[derive(Default)]
struct Seen {
    attempts: AtomicU32,
    /// How long the latest attempt that was answered took there, in microseconds.
    own_us: AtomicU64,
}

/// What the app servers have counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Connections accepted, each one a handshake.
    pub connections: u64,
    /// Attempts that have arrived whole.
    pub attempts: u64,
    /// Probes.
    pub probes: u64,
    /// Requests with an id that no client has sent, or none.
    pub strange: u64,
    /// App servers that got an attempt.
    pub used: u64,
}

/// The app servers.
pub struct AppServers {
    work: Work,
    requests: Vec<Seen>,
    used: Mutex<HashSet<Ipv4Addr>>,
    connections: AtomicU64,
    attempts: AtomicU64,
    probes: AtomicU64,
    strange: AtomicU64,
}

impl AppServers {
    /// App servers at every loopback address, at one port, for requests numbered below `requests`; served as long
    /// as the runtime lives.
    pub fn start(work: Work, requests: u32) -> io::Result<(Arc<Self>, u16)> {
        let listener = everywhere()?;
        let port = listener.local_addr()?.port();
        let servers = Arc::new(AppServers {
            work,
            requests: (0..requests).map(|_| Seen::default()).collect(),
            used: Mutex::default(),
            connections: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            strange: AtomicU64::new(0),
        });
        tokio::spawn(servers.clone().serve(listener));
        Ok((servers, port))
    }

    /// What they have counted by now.
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.connections.load(Ordering::Relaxed),
            attempts: self.attempts.load(Ordering::Relaxed),
            probes: self.probes.load(Ordering::Relaxed),
            strange: self.strange.load(Ordering::Relaxed),
            used: held(&self.used).len() as u64,
        }
    }

    /// How long an app server took for the request, from its last byte to its answer; zero if none has had it.
    pub fn own_time(&self, number: u32) -> Duration {
        let seen = self.requests.get(number as usize);
        Duration::from_micros(seen.map_or(0, |s| s.own_us.load(Ordering::Relaxed)))
    }

    /// How many attempts of the request have arrived.
    pub fn attempts(&self, number: u32) -> u32 {
        self.requests.get(number as usize).map_or(0, |s| s.attempts.load(Ordering::Relaxed))
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            let Ok(SocketAddr::V4(at)) = stream.local_addr() else { continue };
            self.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve_line(stream, *at.ip()));
        }
    }

    async fn serve_line(self: Arc<Self>, stream: TcpStream, server: Ipv4Addr) {
        let (busy, begun) = (AtomicU32::new(0), Instant::now());
        // When the last request ended, in microseconds from the start.
        let quiet_since = AtomicU64::new(0);
        let service = service_fn(|request| async {
            busy.fetch_add(1, Ordering::Relaxed);
            let response = self.answer(request, server).await;
            quiet_since.store(begun.elapsed().as_micros() as u64, Ordering::Relaxed);
            busy.fetch_sub(1, Ordering::Relaxed);
            Ok::<_, Infallible>(response)
        });
        let line = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut line = std::pin::pin!(line);
        loop {
            let quiet =
                begun.elapsed().saturating_sub(Duration::from_micros(quiet_since.load(Ordering::Relaxed)));
            let rest = self.work.idle.saturating_sub(quiet);
            tokio::select! {
                // It ends in an error where the edge node gives an attempt up.
                _ = line.as_mut() => return,
                () = sleep(rest.max(Duration::from_millis(100))) => {
                    if rest.is_zero() && busy.load(Ordering::Relaxed) == 0 {
                        return;
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>, server: Ipv4Addr) -> Response<Full<Bytes>> {
        let mut response = Response::default();
        if matches!(request.uri().path(), "/alive" | "/metrics/load") {
            self.probes.fetch_add(1, Ordering::Relaxed);
            return response;
        }
        let known = request.headers().get("x-request-id").map(|id| {
            let number = id.to_str().ok().filter(|id| id.len() == 16);
            number
                .and_then(|id| u32::from_str_radix(id, 16).ok())
                .filter(|n| (*n as usize) < self.requests.len())
        });
        let Some(Some(number)) = known else {
            self.strange.fetch_add(1, Ordering::Relaxed);
            *response.status_mut() =
                if known.is_some() { StatusCode::BAD_REQUEST } else { StatusCode::NOT_FOUND };
            return response;
        };
        if Limited::new(request.into_body(), BODY_MOST).collect().await.is_err() {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        }
        let came = Instant::now();
        let seen = &self.requests[number as usize];
        seen.attempts.fetch_add(1, Ordering::Relaxed);
        self.attempts.fetch_add(1, Ordering::Relaxed);
        held(&self.used).insert(server);
        sleep(self.work.time(number)).await;
        *response.body_mut() = Full::new(Bytes::from(self.work.answer(number)));
        // The time that it really took: timers are late by up to a millisecond.
        seen.own_us.store(came.elapsed().as_micros() as u64, Ordering::Relaxed);
        response
    }
}

/// A listener at every address of this machine that takes only what comes over its loopback device.
fn everywhere() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Danger: without this the listener would be there for other machines, too.
    socket.bind_device(Some(b"lo"))?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from((IpAddr::from(Ipv4Addr::UNSPECIFIED), 0)).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
