//! The counter: named numbers with a life, over RESP2.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::{sleep_until, Instant};

use super::{accept, held, loopback_listener, Metered, Traffic};

/// The longest life of a name.
const LIFE_MOST_MS: u64 = 60_000;
const NAME_MOST: usize = 64;
const AMOUNT_MOST: f64 = 1e9;
/// Connections that it holds; further ones are closed at once.
const CONNECTIONS_MOST: usize = 32;
/// Words of a call, and their length.
const WORDS_MOST: usize = 8;
const WORD_MOST: usize = 512;
/// Answers that may wait on a connection; nothing more is read from it until they are written.
const QUEUE_MOST: usize = 10_000;
/// How much of a second's calls it takes in at once.
const BURST_S: f64 = 0.1;
/// Names over which those that have died are dropped.
const SWEEP_FROM: usize = 10_000;

/// How the counter serves.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Calls that it takes a second; further ones get `-BUSY`.
    pub per_s: f64,
    /// How long each answer takes.
    pub delay: Duration,
}

struct Number {
    total: f64,
    dies: Instant,
}

struct Numbers {
    numbers: HashMap<Vec<u8>, Number>,
    sweep_at: usize,
    /// Calls that may come at once, as of `refilled`.
    tokens: f64,
    refilled: Instant,
}

/// The counter.
pub struct Counter {
    service: Service,
    numbers: Mutex<Numbers>,
    silent: watch::Sender<bool>,
    traffic: Arc<Traffic>,
    connections: Arc<Semaphore>,
    calls: AtomicU64,
    busy: AtomicU64,
}

impl Counter {
    /// A counter on a port of its own, served as long as the runtime lives.
    pub async fn start(service: Service) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = loopback_listener().await?;
        let address = listener.local_addr()?;
        let numbers = Numbers {
            numbers: HashMap::new(),
            sweep_at: SWEEP_FROM,
            tokens: (service.per_s * BURST_S).max(1.0),
            refilled: Instant::now(),
        };
        let counter = Arc::new(Counter {
            service,
            numbers: Mutex::new(numbers),
            silent: watch::channel(false).0,
            traffic: Arc::default(),
            connections: Arc::new(Semaphore::new(CONNECTIONS_MOST)),
            calls: AtomicU64::new(0),
            busy: AtomicU64::new(0),
        });
        tokio::spawn(counter.clone().serve(listener));
        Ok((counter, address))
    }

    /// The bytes that it has received and sent.
    pub fn traffic(&self) -> super::Bytes {
        self.traffic.now()
    }

    /// Calls that have come, and those of them that were turned away.
    pub fn calls(&self) -> (u64, u64) {
        (self.calls.load(Ordering::Relaxed), self.busy.load(Ordering::Relaxed))
    }

    /// Whether nothing is answered. What comes then is answered once it is over.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            let Ok(place) = self.connections.clone().try_acquire_owned() else { continue };
            let counter = self.clone();
            tokio::spawn(async move {
                let _place = place;
                let stream = Metered { stream, traffic: counter.traffic.clone() };
                let (reading, mut writing) = tokio::io::split(stream);
                let (answers, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE_MOST);
                let silent = counter.silent.subscribe();
                let writer = tokio::spawn(async move {
                    let mut silent = silent;
                    while let Some((due, text)) = waiting.recv().await {
                        sleep_until(due).await;
                        let _ = silent.wait_for(|silent| !silent).await;
                        if writing.write_all(&text).await.is_err() {
                            return;
                        }
                    }
                });
                let mut reading = BufReader::new(reading);
                while let Ok(Some(words)) = read_call(&mut reading).await {
                    if answers.send(counter.answer(&words)).await.is_err() {
                        break;
                    }
                }
                writer.abort();
            });
        }
    }

    /// When a call is answered, and what.
    fn answer(&self, words: &[Vec<u8>]) -> (Instant, Vec<u8>) {
        let now = Instant::now();
        let command = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        let free = |text: &[u8]| (now, text.to_vec());
        match (command.as_slice(), words.len()) {
            (b"PING", 1) => free(b"+PONG\r\n"),
            (b"CLIENT" | b"SELECT", _) => free(b"+OK\r\n"),
            (b"INCRTTL", 4) => {
                self.calls.fetch_add(1, Ordering::Relaxed);
                (now + self.service.delay, self.add(&words[1], &words[2], &words[3], now))
            }
            _ => free(b"-ERR no such call\r\n"),
        }
    }

    fn add(&self, name: &[u8], amount: &[u8], life: &[u8], now: Instant) -> Vec<u8> {
        let amount = number::<f64>(amount).filter(|a| a.is_finite() && a.abs() <= AMOUNT_MOST);
        let life = number::<u64>(life).filter(|ms| *ms > 0);
        let (Some(amount), Some(life), 1..=NAME_MOST) = (amount, life, name.len()) else {
            return b"-ERR a name, an amount or a life out of bounds\r\n".to_vec();
        };
        let mut held = held(&self.numbers);
        let grown = now.duration_since(held.refilled).as_secs_f64() * self.service.per_s;
        held.tokens = (held.tokens + grown).min((self.service.per_s * BURST_S).max(1.0));
        held.refilled = now;
        if held.tokens < 1.0 {
            self.busy.fetch_add(1, Ordering::Relaxed);
            return b"-BUSY\r\n".to_vec();
        }
        held.tokens -= 1.0;
        if held.numbers.len() >= held.sweep_at {
            held.numbers.retain(|_, n| n.dies > now);
            held.sweep_at = (held.numbers.len() * 2).max(SWEEP_FROM);
        }
        let fresh = || Number { total: 0.0, dies: now + Duration::from_millis(life.min(LIFE_MOST_MS)) };
        let entry = held.numbers.entry(name.to_vec()).or_insert_with(fresh);
        if entry.dies <= now {
            *entry = fresh();
        }
        entry.total += amount;
        let text = entry.total.to_string();
        format!("${}\r\n{text}\r\n", text.len()).into_bytes()
    }
}

fn number<T: std::str::FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// Reads one call; none at the connection's end.
async fn read_call(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_length(reader, b'*', WORDS_MOST).await? else { return Ok(None) };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let length = read_length(reader, b'$', WORD_MOST).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).await?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

/// Reads a line such as `*4`; none at the connection's end.
async fn read_length(
    reader: &mut (impl AsyncBufRead + Unpin),
    mark: u8,
    most: usize,
) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    // Longer than any such line may be.
    let read = reader.take(32).read_until(b'\n', &mut line).await?;
    if read == 0 {
        return Ok(None);
    }
    let length = line.strip_prefix(&[mark]).and_then(|rest| number(rest.trim_ascii_end()));
    length.filter(|length| *length <= most).map(Some).ok_or_else(|| io::ErrorKind::InvalidData.into())
}
