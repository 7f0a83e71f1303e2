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
use crate::node::limits::MAX_LATENESS;
use crate::node::options::Options;

/// A response counts as in time up to this long after the deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);
/// The longest body of a response, in bytes.
const MAX_BODY_LENGTH: usize = 64 * 1024;

type Sender = SendRequest<Full<Bytes>>;

/// A complete response.
struct ReceivedResponse {
    status: u16,
    body: Bytes,
}

/// What one exchange took besides the response.
#[derive(Default)]
struct ExchangeCounts {
    resent: bool,
    connections_opened: u32,
}

/// What all clients share.
pub struct Clients {
    edge_address: SocketAddr,
    deadline: Duration,
    node_count: u32,
    node_index: u32,
    nodes_per_account: u32,
    seed: u64,
    request_body: Bytes,
    work: WorkModel,
    idle_connections: Mutex<Vec<Sender>>,
}

impl Clients {
    /// Creates clients without connections.
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

    /// Sends a request now and waits for its response.
    pub async fn send(&self, request: ScheduledRequest, load_start: Instant) -> RequestResult {
        let due_at = load_start + request.due;
        let sent_at = Instant::now();
        let mut counts = ExchangeCounts::default();
        let exchange = self.exchange(&request, &mut counts);
        let outcome = timeout_at(sent_at + self.deadline + MAX_LATENESS, exchange).await;
        let ended_at = Instant::now();
        let in_time = ended_at <= sent_at + self.deadline + DEADLINE_TOLERANCE;
        let end = match outcome {
            Err(_) => RequestEnd::Lost,
            Ok(None) => RequestEnd::ConnectionError,
            Ok(Some(_)) if !in_time => RequestEnd::Late,
            Ok(Some(response)) => self.end_of(&request, &response),
        };
        RequestResult {
            number: request.number,
            end,
            sent_late: sent_at - due_at,
            elapsed: ended_at - due_at,
            resent: counts.resent,
            connections_opened: counts.connections_opened,
        }
    }

    fn end_of(&self, request: &ScheduledRequest, response: &ReceivedResponse) -> RequestEnd {
        if response.status == 200 && response.body != self.work.response_body(request.number) {
            RequestEnd::WrongBody
        } else {
            RequestEnd::Status(response.status)
        }
    }

    /// Sends a request and reads the response, if there is one.
    async fn exchange(
        &self,
        request: &ScheduledRequest,
        counts: &mut ExchangeCounts,
    ) -> Option<ReceivedResponse> {
        if let Some(sender) = self.take_idle() {
            match self.send_over(sender, request).await? {
                Attempt::Responded(response) => return self.finish(response).await,
                // The connection was closed while the request was on its way: it is sent once more, on a new one.
                Attempt::NoResponse => counts.resent = true,
            }
        }
        counts.connections_opened += 1;
        let sender = self.connect().await?;
        match self.send_over(sender, request).await? {
            Attempt::Responded(response) => self.finish(response).await,
            Attempt::NoResponse => None,
        }
    }

    async fn send_over(&self, mut sender: Sender, request: &ScheduledRequest) -> Option<Attempt> {
        let message = self.message(request)?;
        match sender.send_request(message).await {
            Ok(response) => Some(Attempt::Responded(ResponseHead { response, sender })),
            Err(_) => Some(Attempt::NoResponse),
        }
    }

    /// Reads the body, and keeps the connection if it can be used again.
    async fn finish(&self, head: ResponseHead) -> Option<ReceivedResponse> {
        let ResponseHead { response, mut sender } = head;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_LENGTH).collect().await.ok()?;
        if sender.ready().await.is_ok() {
            self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        }
        Some(ReceivedResponse { status, body: body.to_bytes() })
    }

    /// Takes the connection that was used last, of those that are still open.
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
        // Where it can't be set requests are late, not wrong.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with its sender.
        tokio::spawn(connection);
        Some(sender)
    }

    fn message(&self, request: &ScheduledRequest) -> Option<Request<Full<Bytes>>> {
        let class = &CLASSES[request.class];
        let account = request.account;
        let plan = if request.has_quota { QUOTA_PLAN } else { UNLIMITED_PLAN };
        let spread = self.nodes_per_account;
        let first_node = self.first_node(account);
        let mut message = Request::builder()
            .method(if class.has_body { Method::POST } else { Method::GET })
            .uri(format!("/{}?key={account:016x}", class.name))
            .header("Host", "service.internal")
            .header("X-Request-Id", request_id(request.number))
            .header("X-Class", class.name)
            .header("X-Tariff", plan)
            .header("X-Deadline-Ms", self.deadline.as_millis().to_string())
            .header("X-Weight", format!("units=1,spread={spread},first={first_node}"));
        if class.has_key {
            message = message.header("Idempotency-Key", format!("{:032x}", request.number));
        }
        let body = if class.has_body { Full::new(self.request_body.clone()) } else { Full::default() };
        message.body(body).ok()
    }

    /// The first of the account's nodes, so that this node is at a random place among them.
    fn first_node(&self, account: u64) -> u64 {
        let node_count = u64::from(self.node_count);
        let place = mix(self.seed, account) % u64::from(self.nodes_per_account);
        (u64::from(self.node_index) + node_count - place) % node_count
    }
}

/// What became of a request on one connection.
enum Attempt {
    Responded(ResponseHead),
    NoResponse,
}

/// A response whose body is not read yet, and the connection that it came on.
struct ResponseHead {
    response: Response<Incoming>,
    sender: Sender,
}
