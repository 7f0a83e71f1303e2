//! Clients that keep their connection, and what they send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::message::read_message;
use super::phase::Phase;
use super::rules::{Ending, Ledger, ANSWER_SLACK};
use crate::fakes::hash::mix;
use crate::node::configuration::{RequestClass, CLASSES, QUOTA_PLAN, UNLIMITED_PLAN};

/// How long clients wait, in milliseconds; each request draws one.
const DEADLINES_MS: [u64; 4] = [300, 800, 1_500, 3_000];
/// Accounts that requests are charged to, of either plan.
const ACCOUNTS: u64 = 8;
/// The share of requests whose client closes before their answer, and of those sent in pieces.
const LEAVING_SHARE: f64 = 0.04;
const PIECES_SHARE: f64 = 0.05;
/// Pause between the pieces of a request.
const PIECE_PAUSE: Duration = Duration::from_millis(30);
/// Pause after a connection could not be made.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What all clients of a play have in common.
pub struct ClientSetup {
    /// Where the node listens.
    pub address: SocketAddr,
    /// The seed of the play.
    pub seed: u64,
    /// The class of all requests; none if they have all classes.
    pub only_class: Option<usize>,
    /// Mean pause between two requests of a client.
    pub pause: Duration,
    /// Where requests are recorded.
    pub ledger: Arc<Ledger>,
    /// How far the play is.
    pub phase: Arc<Phase>,
}

/// A client, and its own random numbers.
pub struct Client {
    setup: Arc<ClientSetup>,
    number: u64,
    random: StdRng,
    sent: u64,
}

/// A connection and what was seen on it.
struct Connection {
    stream: BufReader<TcpStream>,
    has_answered: bool,
}

/// A request that is about to be sent.
struct DrawnRequest {
    id: String,
    text: String,
    deadline: Duration,
    in_pieces: bool,
    leaves_after: Option<Duration>,
}

impl Client {
    /// The client of this number.
    pub fn new(setup: Arc<ClientSetup>, number: u64) -> Client {
        let random = StdRng::seed_from_u64(mix(setup.seed, 1_000 + number));
        Client { setup, number, random, sent: 0 }
    }

    /// Sends requests one after another until the play ends, on one connection as long as that is open.
    pub async fn run(mut self) {
        let mut connection = None;
        while !self.setup.phase.has_ended() {
            let pause = self.setup.pause.mul_f64(self.random.random_range(0.2..1.8));
            sleep(pause).await;
            if connection.is_none() {
                connection = self.connect().await;
            }
            if let Some(open) = connection.take() {
                connection = self.request(open).await;
            } else if self.setup.phase.is_shutting_down() {
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

    async fn connect(&self) -> Option<Connection> {
        if !self.setup.phase.allows_new_connections() {
            return None;
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.setup.address)).await {
            Ok(Ok(stream)) => {
                // Where it can't be set requests are late, not wrong.
                let _ = stream.set_nodelay(true);
                Some(Connection { stream: BufReader::new(stream), has_answered: false })
            }
            _ => {
                sleep(RECONNECT_PAUSE).await;
                None
            }
        }
    }

    /// Sends a request and records how it ends. Returns the connection if it can be used again.
    async fn request(&mut self, mut connection: Connection) -> Option<Connection> {
        let class = self.setup.only_class.unwrap_or_else(|| self.random.random_range(0..CLASSES.len()));
        let class = &CLASSES[class];
        let request = self.draw(class);
        let may_be_unread = connection.has_answered || self.setup.phase.may_close_unread();
        self.setup.ledger.sent(&request.id, class.is_idempotent(), request.deadline);
        let (ending, is_reusable) = exchange(&mut connection, &request, may_be_unread).await;
        // The node may have begun to close connections meanwhile.
        let ending = match ending {
            Ending::Closed { may_be_unread } => {
                Ending::Closed { may_be_unread: may_be_unread || self.setup.phase.may_close_unread() }
            }
            other => other,
        };
        self.setup.ledger.ended(&request.id, ending);
        connection.has_answered = true;
        is_reusable.then_some(connection)
    }

    fn draw(&mut self, class: &RequestClass) -> DrawnRequest {
        self.sent += 1;
        let id = format!("c{}-{}", self.number, self.sent);
        let deadline_ms = DEADLINES_MS[self.random.random_range(0..DEADLINES_MS.len())];
        let has_quota = self.random.random_bool(0.5);
        let plan = if has_quota { QUOTA_PLAN } else { UNLIMITED_PLAN };
        let account = self.random.random_range(0..ACCOUNTS) + if has_quota { ACCOUNTS } else { 0 };
        let leaves = self.random.random_bool(LEAVING_SHARE);
        DrawnRequest {
            text: request_text(class, &id, plan, account, deadline_ms),
            id,
            deadline: Duration::from_millis(deadline_ms),
            in_pieces: self.random.random_bool(PIECES_SHARE),
            leaves_after: leaves.then(|| Duration::from_millis(self.random.random_range(0..200))),
        }
    }
}

/// A request as sent.
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

/// Sends a request and waits for its answer. Returns how it ended, and whether the connection can be used again.
async fn exchange(
    connection: &mut Connection,
    request: &DrawnRequest,
    may_be_unread: bool,
) -> (Ending, bool) {
    if send(connection, request).await.is_err() {
        return (Ending::Closed { may_be_unread }, false);
    }
    let answer_due = Instant::now() + request.deadline + ANSWER_SLACK;
    let answer = answer(connection, may_be_unread);
    match request.leaves_after {
        Some(leaves_after) => match timeout(leaves_after, answer).await {
            Ok(ended) => ended,
            Err(_) => (Ending::Left { at: Instant::now() }, false),
        },
        None => timeout_at(answer_due, answer).await.unwrap_or((Ending::Late, false)),
    }
}

async fn send(connection: &mut Connection, request: &DrawnRequest) -> std::io::Result<()> {
    let stream = connection.stream.get_mut();
    if !request.in_pieces {
        return stream.write_all(request.text.as_bytes()).await;
    }
    for piece in request.text.as_bytes().chunks(request.text.len().div_ceil(3)) {
        stream.write_all(piece).await?;
        sleep(PIECE_PAUSE).await;
    }
    Ok(())
}

async fn answer(connection: &mut Connection, may_be_unread: bool) -> (Ending, bool) {
    // An error before the first byte is the end of the connection, too.
    let has_begun = connection.stream.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty());
    if !has_begun {
        return (Ending::Closed { may_be_unread }, false);
    }
    match read_message(&mut connection.stream).await {
        Ok(Some(message)) => match message.status() {
            Some(status) => {
                let is_reusable = message.header("connection") != Some("close");
                (Ending::Answered { status, body: message.body }, is_reusable)
            }
            None => (Ending::Incomplete, false),
        },
        Ok(None) | Err(_) => (Ending::Incomplete, false),
    }
}
