//! Clients that send requests over a shared pool of connections.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::results::{RequestEnd, RequestResult};
use super::schedule::ScheduledRequest;
use crate::fakes::endpoints::{request_id, WorkModel};
use crate::fakes::hash::mix;
use crate::node::configuration::{CLASSES, QUOTA_PLAN, UNLIMITED_PLAN};
use crate::node::limits::LATE_RESPONSE_WAIT;
use crate::node::options::Options;

/// A response that arrives up to this long after the deadline still counts as in time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);
/// Maximum length of a response body, in bytes.
const MAX_BODY_LENGTH: usize = 64 * 1024;

/// The client side of an open connection.
type Sender = SendRequest<Full<Bytes>>;

/// A response that was received completely.
struct ReceivedResponse {
    status: u16,
    body: Bytes,
}

/// Whether one request was sent a second time, and how many connections were opened for it.
#[derive(Default)]
struct ExchangeCounts {
    /// Whether the request was sent a second time, on a new connection.
    resent: bool,
    connections_opened: u32,
}

/// The clients, which share a pool of connections to the edge node.
pub struct Clients {
    edge_address: SocketAddr,
    deadline: Duration,
    node_count: u32,
    /// Index of the measured node, from 0.
    node_index: u32,
    /// Number of nodes that receive an account's requests.
    nodes_per_account: u32,
    seed: u64,
    request_body: Bytes,
    work: WorkModel,
    /// Open connections without a request. The most recently used one is last.
    idle_connections: Mutex<Vec<Sender>>,
}

impl Clients {
    /// Creates clients that hold no connections yet.
    pub fn new(edge_address: SocketAddr, options: &Options, work: WorkModel) -> Self {
        Clients {
            edge_address,
            deadline: Duration::from_millis(options.deadline_ms),
            node_count: options.nodes,
            node_index: options.me,
            nodes_per_account: options.spread,
            seed: options.seed,
            request_body: Bytes::from(vec![b'.'; options.request_bytes]),
            work,
            idle_connections: Mutex::default(),
        }
    }

    /// Sends a request now and returns how it ended. Waits for the response until [`LATE_RESPONSE_WAIT`]
    /// after the deadline, and then counts the request as lost.
    pub async fn send(&self, request: ScheduledRequest, load_start: Instant) -> RequestResult {
        let due_at = load_start + request.due;
        let sent_at = Instant::now();
        let mut counts = ExchangeCounts::default();
        let exchange = self.exchange(&request, &mut counts);
        let outcome = timeout_at(sent_at + self.deadline + LATE_RESPONSE_WAIT, exchange).await;
        let ended_at = Instant::now();
        let in_time = ended_at <= sent_at + self.deadline + DEADLINE_TOLERANCE;
        let end = match outcome {
            Err(_) => RequestEnd::Lost,
            Ok(None) => RequestEnd::ConnectionError,
            Ok(Some(_)) if !in_time => RequestEnd::Late,
            Ok(Some(response)) => self.classify_response(&request, &response),
        };
        RequestResult {
            number: request.number,
            end,
            send_delay: sent_at - due_at,
            elapsed: ended_at - due_at,
            resent: counts.resent,
            connections_opened: counts.connections_opened,
        }
    }

    fn classify_response(&self, request: &ScheduledRequest, response: &ReceivedResponse) -> RequestEnd {
        if response.status == 200 && response.body != self.work.response_body(request.number) {
            RequestEnd::WrongBody
        } else {
            RequestEnd::Status(response.status)
        }
    }

    /// Sends a request and returns its response. Returns `None` if connecting or reading the response fails,
    /// or if a new connection ends without a response.
    async fn exchange(
        &self,
        request: &ScheduledRequest,
        counts: &mut ExchangeCounts,
    ) -> Option<ReceivedResponse> {
        if let Some(sender) = self.take_idle() {
            match self.send_over(sender, request).await? {
                SendOutcome::Responded(response) => return self.read_response(response).await,
                // The idle connection was closed before a response came, so the request is sent again on a
                // new one.
                SendOutcome::NoResponse => counts.resent = true,
            }
        }
        counts.connections_opened += 1;
        let sender = self.connect().await?;
        match self.send_over(sender, request).await? {
            SendOutcome::Responded(response) => self.read_response(response).await,
            SendOutcome::NoResponse => None,
        }
    }

    /// Sends a request over an open connection and waits for the head of its response. Returns `None` if the
    /// request can't be built.
    async fn send_over(&self, mut sender: Sender, request: &ScheduledRequest) -> Option<SendOutcome> {
        let request_message = self.build_message(request)?;
        match sender.send_request(request_message).await {
            Ok(response) => Some(SendOutcome::Responded(ResponseHead { response, sender })),
            Err(_) => Some(SendOutcome::NoResponse),
        }
    }

    /// Reads the body of a response, and returns the connection to the pool if it can be used again. Returns
    /// `None` if the body is longer than [`MAX_BODY_LENGTH`] or can't be read.
    async fn read_response(&self, head: ResponseHead) -> Option<ReceivedResponse> {
        let ResponseHead { response, mut sender } = head;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_LENGTH).collect().await.ok()?;
        if sender.ready().await.is_ok() {
            self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        }
        Some(ReceivedResponse { status, body: body.to_bytes() })
    }

    /// Takes the most recently used connection that is still open out of the pool. Returns `None` if there is
    /// no open one.
    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = TcpStream::connect(self.edge_address).await.ok()?;
        // If this option can't be set, requests may be delayed, but none goes wrong.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // The task ends once its sender is dropped.
        tokio::spawn(connection);
        Some(sender)
    }

    fn build_message(&self, request: &ScheduledRequest) -> Option<Request<Full<Bytes>>> {
        let class = &CLASSES[request.class];
        let account = request.account;
        let plan = if request.has_quota { QUOTA_PLAN } else { UNLIMITED_PLAN };
        let spread = self.nodes_per_account;
        let first_node = self.first_node(account);
        let mut request_message = Request::builder()
            .method(if class.has_body { Method::POST } else { Method::GET })
            .uri(format!("/{}?key={account:016x}", class.name))
            .header("Host", "service.internal")
            .header("X-Request-Id", request_id(request.number))
            .header("X-Class", class.name)
            .header("X-Tariff", plan)
            .header("X-Deadline-Ms", self.deadline.as_millis().to_string())
            .header("X-Weight", format!("units=1,spread={spread},first={first_node}"));
        if class.has_key {
            request_message = request_message.header("Idempotency-Key", format!("{:032x}", request.number));
        }
        let body = if class.has_body { Full::new(self.request_body.clone()) } else { Full::default() };
        request_message.body(body).ok()
    }

    /// Returns the index of the first of the nodes that receive the account's requests. The account's nodes
    /// have consecutive indexes modulo the number of nodes, and the measured node is at a position among them
    /// that depends on the seed and the account.
    fn first_node(&self, account: u64) -> u64 {
        let node_count = u64::from(self.node_count);
        let position = mix(self.seed, account) % u64::from(self.nodes_per_account);
        (u64::from(self.node_index) + node_count - position) % node_count
    }
}

/// What happened to a request on one connection.
enum SendOutcome {
    Responded(ResponseHead),
    /// The connection ended before a response came.
    NoResponse,
}

/// A response whose body has not been read yet, and the connection that carries it.
struct ResponseHead {
    response: Response<Incoming>,
    sender: Sender,
}
