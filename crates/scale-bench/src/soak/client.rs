//! Clients that send requests one after another and keep their connection, and the text of their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::message::read_message;
use super::play_times::PlayTimes;
use super::rules::{Ending, RequestLog, RESPONSE_SLACK};
use crate::fakes::hash::mix;
use crate::node::configuration::{RequestClass, CLASSES, QUOTA_PLAN, UNLIMITED_PLAN};

/// Deadlines from which each request draws one: how long its client waits, in milliseconds.
const DEADLINES_MS: [u64; 4] = [300, 800, 1_500, 3_000];
/// Number of accounts of each plan to which requests are charged.
const ACCOUNTS: u64 = 8;
/// Share of requests whose client closes the connection before the response.
const EARLY_CLOSE_SHARE: f64 = 0.04;
/// Share of requests that are sent in pieces.
const SPLIT_SHARE: f64 = 0.05;
/// Pause after each piece of a request.
const PIECE_PAUSE: Duration = Duration::from_millis(30);
/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The properties that all clients of a play share.
pub struct ClientSetup {
    /// The address at which the node listens.
    pub address: SocketAddr,
    /// The seed of the play.
    pub seed: u64,
    /// Index of the class of all requests; `None` if the class of each request is drawn.
    pub only_class: Option<usize>,
    /// Mean pause of a client before each of its requests.
    pub pause: Duration,
    /// Log in which requests are recorded.
    pub request_log: Arc<RequestLog>,
    /// Times of the play's flood and shutdown, and whether the play has ended.
    pub times: Arc<PlayTimes>,
}

/// A client with a random number generator of its own.
pub struct Client {
    setup: Arc<ClientSetup>,
    number: u64,
    random: StdRng,
    /// Number of requests sent so far.
    sent: u64,
}

/// A connection to the node.
struct Connection {
    stream: BufReader<TcpStream>,
    /// Whether a response has been received on it before.
    was_used: bool,
}

/// A request whose properties are drawn before it is sent.
struct DrawnRequest {
    id: String,
    text: String,
    deadline: Duration,
    is_split: bool,
    /// Time between sending and the client's close; `None` if the client waits for the response.
    closes_after: Option<Duration>,
}

impl Client {
    /// Creates the client with this number, from which its random numbers and request ids are derived.
    pub fn new(setup: Arc<ClientSetup>, number: u64) -> Client {
        let random = StdRng::seed_from_u64(mix(setup.seed, 1_000 + number));
        Client { setup, number, random, sent: 0 }
    }

    /// Sends requests one after another until the play ends, or until no connection can be made during the
    /// shutdown. A connection is used as long as it stays open.
    pub async fn run(mut self) {
        let mut connection = None;
        while !self.setup.times.has_ended() {
            let pause = self.setup.pause.mul_f64(self.random.random_range(0.2..1.8));
            sleep(pause).await;
            if connection.is_none() {
                connection = self.connect().await;
            }
            if let Some(open) = connection.take() {
                connection = self.request(open).await;
            } else if self.setup.times.is_shutting_down() {
                return;
            }
        }
    }

    /// Connects and sends one request.
    pub async fn run_once(mut self) {
        if let Some(connection) = self.connect().await {
            self.request(connection).await;
        }
    }

    /// Connects to the node. Returns `None`, after a pause, if that fails, and `None` at once if clients
    /// may make no new connections.
    async fn connect(&self) -> Option<Connection> {
        if !self.setup.times.allows_new_connections() {
            return None;
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.setup.address)).await {
            Ok(Ok(stream)) => {
                // An error is ignored: without this option requests are delayed but still correct.
                let _ = stream.set_nodelay(true);
                Some(Connection { stream: BufReader::new(stream), was_used: false })
            }
            _ => {
                sleep(RECONNECT_PAUSE).await;
                None
            }
        }
    }

    /// Draws and sends a request and records how it ends. Returns the connection if it can be used again.
    async fn request(&mut self, mut connection: Connection) -> Option<Connection> {
        let class = self.setup.only_class.unwrap_or_else(|| self.random.random_range(0..CLASSES.len()));
        let class = &CLASSES[class];
        let request = self.draw(class);
        // The node may close an idle connection that was kept open, just as the next request is sent on it.
        let may_close_unread = connection.was_used || self.setup.times.may_close_unread();
        self.setup.request_log.record_sent(&request.id, class.is_idempotent(), request.deadline);
        let (ending, is_reusable) = exchange(&mut connection, &request, may_close_unread).await;
        // The node may have begun to close connections while the request was under way.
        let ending = match ending {
            Ending::Closed { may_close_unread } => {
                Ending::Closed { may_close_unread: may_close_unread || self.setup.times.may_close_unread() }
            }
            other => other,
        };
        self.setup.request_log.record_ending(&request.id, ending);
        connection.was_used = true;
        is_reusable.then_some(connection)
    }

    /// Draws the next request of this class.
    fn draw(&mut self, class: &RequestClass) -> DrawnRequest {
        self.sent += 1;
        let id = format!("c{}-{}", self.number, self.sent);
        let deadline_ms = DEADLINES_MS[self.random.random_range(0..DEADLINES_MS.len())];
        let has_quota = self.random.random_bool(0.5);
        let plan = if has_quota { QUOTA_PLAN } else { UNLIMITED_PLAN };
        let account = self.random.random_range(0..ACCOUNTS) + if has_quota { ACCOUNTS } else { 0 };
        let closes_early = self.random.random_bool(EARLY_CLOSE_SHARE);
        DrawnRequest {
            text: request_text(class, &id, plan, account, deadline_ms),
            id,
            deadline: Duration::from_millis(deadline_ms),
            is_split: self.random.random_bool(SPLIT_SHARE),
            closes_after: closes_early.then(|| Duration::from_millis(self.random.random_range(0..200))),
        }
    }
}

/// Returns the text of a request with its headers and body.
pub fn request_text(class: &RequestClass, id: &str, plan: &str, account: u64, deadline_ms: u64) -> String {
    let method = if class.has_body { "POST" } else { "GET" };
    let key = if class.has_key { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    let (length, body) = if class.has_body { ("Content-Length: 5\r\n", "body!") } else { ("", "") };
    let name = class.name;
    format!(
        "{method} /{name}?key={account:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\n\
         X-Class: {name}\r\nX-Tariff: {plan}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         X-Weight: units=1,spread=1,first=0\r\n{key}{length}\r\n{body}"
    )
}

/// Sends a request and waits for its response. Returns how the request ended, and whether the connection can
/// be used again. `may_close_unread` says whether the node may close the connection without having read the
/// request.
async fn exchange(
    connection: &mut Connection,
    request: &DrawnRequest,
    may_close_unread: bool,
) -> (Ending, bool) {
    if send(connection, request).await.is_err() {
        return (Ending::Closed { may_close_unread }, false);
    }
    let response_due = Instant::now() + request.deadline + RESPONSE_SLACK;
    let response = read_response(connection, may_close_unread);
    match request.closes_after {
        Some(closes_after) => match timeout(closes_after, response).await {
            Ok(ended) => ended,
            Err(_) => (Ending::ClosedByClient { at: Instant::now() }, false),
        },
        None => timeout_at(response_due, response).await.unwrap_or((Ending::TimedOut, false)),
    }
}

async fn send(connection: &mut Connection, request: &DrawnRequest) -> std::io::Result<()> {
    let stream = connection.stream.get_mut();
    if !request.is_split {
        return stream.write_all(request.text.as_bytes()).await;
    }
    for piece in request.text.as_bytes().chunks(request.text.len().div_ceil(3)) {
        stream.write_all(piece).await?;
        sleep(PIECE_PAUSE).await;
    }
    Ok(())
}

/// Reads the response to a request. Returns how the request ended, and whether the connection can be used
/// again.
async fn read_response(connection: &mut Connection, may_close_unread: bool) -> (Ending, bool) {
    // An error before the first byte counts as a close of the connection.
    let has_response_begun = connection.stream.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty());
    if !has_response_begun {
        return (Ending::Closed { may_close_unread }, false);
    }
    match read_message(&mut connection.stream).await {
        Ok(Some(message)) => match message.status() {
            Some(status) => {
                let is_reusable = message.header("connection") != Some("close");
                (Ending::Responded { status, body: message.body }, is_reusable)
            }
            None => (Ending::Incomplete, false),
        },
        Ok(None) | Err(_) => (Ending::Incomplete, false),
    }
}
