//! A fake of the counter service. It holds named counters with a lifetime and speaks RESP2.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::{sleep_until, Instant};

use super::listener::{accept, listen_on_loopback};
use super::lock;
use super::resp::{parse, read_call};
use super::traffic::{ByteCounts, MeteredStream, Traffic};

/// The longest lifetime of a counter, in milliseconds; a longer one is shortened to this.
const MAX_LIFETIME_MS: u64 = 60_000;
/// The longest name of a counter, in bytes; a call with a longer one gets an error.
const MAX_NAME_LENGTH: usize = 64;
/// The largest absolute amount of a call, in units; a call with a larger one gets an error.
const MAX_AMOUNT: f64 = 1e9;
/// Limit on open connections; further ones are closed as soon as they are accepted.
const MAX_CONNECTIONS: usize = 32;
/// Limit on the unwritten replies of a connection; at the limit, no further calls are read from it.
const MAX_PENDING_REPLIES: usize = 10_000;
/// Length of a burst: as many calls are accepted at once as the capacity allows in this many seconds.
const BURST_SECONDS: f64 = 0.1;
/// Expired counters are not removed while there are fewer counters than this.
const MIN_SWEEP_THRESHOLD: usize = 10_000;

/// The rate and the delay at which the service replies.
#[derive(Debug, Clone, Copy)]
pub struct CounterCapacity {
    /// `INCRTTL` calls that the service accepts per second; it rejects further ones with `-BUSY`.
    pub calls_per_second: f64,
    /// Time from the arrival of an `INCRTTL` call to its reply; replies to other commands are sent at once.
    pub delay: Duration,
}

/// How the service handles calls and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterMode {
    /// The service replies to every call.
    Serving,
    /// The service withholds its replies, and sends the withheld ones once it is serving or busy.
    Silent,
    /// The service rejects every valid `INCRTTL` call with `-BUSY`.
    Busy,
    /// The service closes its open connections as this mode begins, and resets each new one on accepting it.
    Resetting,
}

/// The number of `INCRTTL` calls since the service started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCounts {
    /// All calls, including those that got `-BUSY` or `-ERR`.
    pub calls: u64,
    /// Calls that got `-BUSY`.
    pub busy: u64,
}

struct Counter {
    total: f64,
    expires_at: Instant,
}

struct Counters {
    by_name: HashMap<Vec<u8>, Counter>,
    /// Expired counters are removed once there are this many counters.
    sweep_threshold: usize,
    /// Number of calls that would be accepted at once, as of `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

/// A reply and the earliest time at which it is sent.
struct Reply {
    send_at: Instant,
    text: Vec<u8>,
}

/// A fake counter service on a loopback port.
pub struct CounterService {
    address: SocketAddr,
    capacity: CounterCapacity,
    counters: Mutex<Counters>,
    mode: watch::Sender<CounterMode>,
    traffic: Arc<Traffic>,
    connections: Arc<Semaphore>,
    calls: AtomicU64,
    busy: AtomicU64,
}

impl CounterService {
    /// Starts a service on a free port of 127.0.0.1. It runs until the runtime ends.
    ///
    /// # Errors
    /// Returns an error if the service can't listen on the port.
    pub async fn start(capacity: CounterCapacity) -> io::Result<Arc<Self>> {
        let listener = listen_on_loopback().await?;
        let service = Arc::new(CounterService {
            address: listener.local_addr()?,
            capacity,
            counters: Mutex::new(Counters::new(&capacity)),
            mode: watch::channel(CounterMode::Serving).0,
            traffic: Arc::default(),
            connections: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            calls: AtomicU64::new(0),
            busy: AtomicU64::new(0),
        });
        tokio::spawn(service.clone().serve(listener));
        Ok(service)
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes that the service has received and sent since it started.
    pub fn byte_counts(&self) -> ByteCounts {
        self.traffic.byte_counts()
    }

    /// Returns the number of `INCRTTL` calls since the service started.
    pub fn call_counts(&self) -> CallCounts {
        CallCounts { calls: self.calls.load(Ordering::Relaxed), busy: self.busy.load(Ordering::Relaxed) }
    }

    /// Sets the mode to [`CounterMode::Silent`], or to [`CounterMode::Serving`] if `silent` is false.
    pub fn set_silent(&self, silent: bool) {
        self.set_mode(if silent { CounterMode::Silent } else { CounterMode::Serving });
    }

    /// Sets how the service handles calls and connections from now on.
    pub fn set_mode(&self, mode: CounterMode) {
        self.mode.send_replace(mode);
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            if *self.mode.borrow() == CounterMode::Resetting {
                // If the option can't be set, dropping the stream closes the connection without a reset.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            let Ok(permit) = self.connections.clone().try_acquire_owned() else { continue };
            let service = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                let mut mode = service.mode.subscribe();
                tokio::select! {
                    () = service.serve_connection(stream) => {}
                    _ = mode.wait_for(|mode| *mode == CounterMode::Resetting) => {}
                }
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let stream = MeteredStream { stream, traffic: self.traffic.clone() };
        let (read_half, write_half) = tokio::io::split(stream);
        let (replies, pending) = mpsc::channel(MAX_PENDING_REPLIES);
        let writer = tokio::spawn(write_replies(write_half, pending, self.mode.subscribe()));
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(words)) = read_call(&mut reader).await {
            if replies.send(self.reply(&words)).await.is_err() {
                break;
            }
        }
        writer.abort();
    }

    fn reply(&self, words: &[Vec<u8>]) -> Reply {
        let now = Instant::now();
        let command = words.first().map(|word| word.to_ascii_uppercase()).unwrap_or_default();
        let at_once = |text: &[u8]| Reply { send_at: now, text: text.to_vec() };
        match (command.as_slice(), words.len()) {
            (b"PING", 1) => at_once(b"+PONG\r\n"),
            (b"CLIENT" | b"SELECT", _) => at_once(b"+OK\r\n"),
            (b"INCRTTL", 4) => {
                self.calls.fetch_add(1, Ordering::Relaxed);
                let text = self.increment(&words[1], &words[2], &words[3], now);
                Reply { send_at: now + self.capacity.delay, text }
            }
            _ => at_once(b"-ERR no such call\r\n"),
        }
    }

    fn increment(&self, name: &[u8], amount: &[u8], lifetime: &[u8], now: Instant) -> Vec<u8> {
        let amount = parse::<f64>(amount).filter(|amount| amount.is_finite() && amount.abs() <= MAX_AMOUNT);
        let lifetime_ms = parse::<u64>(lifetime).filter(|lifetime_ms| *lifetime_ms > 0);
        let (Some(amount), Some(lifetime_ms), 1..=MAX_NAME_LENGTH) = (amount, lifetime_ms, name.len()) else {
            return b"-ERR a name, an amount or a life out of bounds\r\n".to_vec();
        };
        let mut counters = lock(&self.counters);
        if *self.mode.borrow() == CounterMode::Busy || !counters.take_token(&self.capacity, now) {
            self.busy.fetch_add(1, Ordering::Relaxed);
            return b"-BUSY\r\n".to_vec();
        }
        let lifetime = Duration::from_millis(lifetime_ms.min(MAX_LIFETIME_MS));
        let total = counters.add(name, amount, lifetime, now).to_string();
        format!("${}\r\n{total}\r\n", total.len()).into_bytes()
    }
}

impl Counters {
    fn new(capacity: &CounterCapacity) -> Self {
        Counters {
            by_name: HashMap::new(),
            sweep_threshold: MIN_SWEEP_THRESHOLD,
            tokens: capacity.burst(),
            refilled_at: Instant::now(),
        }
    }

    /// Takes the token of one call. Returns false if no token is left.
    fn take_token(&mut self, capacity: &CounterCapacity, now: Instant) -> bool {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * capacity.calls_per_second;
        self.tokens = (self.tokens + refill).min(capacity.burst());
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds to a counter and returns its new total. A counter that does not exist or has expired starts at 0.
    fn add(&mut self, name: &[u8], amount: f64, lifetime: Duration, now: Instant) -> f64 {
        if self.by_name.len() >= self.sweep_threshold {
            self.by_name.retain(|_, counter| counter.expires_at > now);
            self.sweep_threshold = (self.by_name.len() * 2).max(MIN_SWEEP_THRESHOLD);
        }
        let new_counter = || Counter { total: 0.0, expires_at: now + lifetime };
        let counter = self.by_name.entry(name.to_vec()).or_insert_with(new_counter);
        if counter.expires_at <= now {
            *counter = new_counter();
        }
        counter.total += amount;
        counter.total
    }
}

impl CounterCapacity {
    /// Returns the number of calls that are accepted at once, at least 1.
    fn burst(&self) -> f64 {
        (self.calls_per_second * BURST_SECONDS).max(1.0)
    }
}

/// Writes the replies in the order of the calls, each one once it is due and the service is not silent.
async fn write_replies(
    mut connection: impl AsyncWrite + Unpin,
    mut pending: mpsc::Receiver<Reply>,
    mut mode: watch::Receiver<CounterMode>,
) {
    while let Some(reply) = pending.recv().await {
        sleep_until(reply.send_at).await;
        // Waiting fails only if the service has been dropped.
        let _ = mode.wait_for(|mode| *mode != CounterMode::Silent).await;
        if connection.write_all(&reply.text).await.is_err() {
            return;
        }
    }
}
