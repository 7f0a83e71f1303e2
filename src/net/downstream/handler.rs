//! Answers one client request: validates it, reads its body, submits it to the event loop and waits for the
//! final response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use crate::decision::{NewRequest, RequestId};
use crate::net::connection_memory::ConnectionMemory;
use crate::net::downstream::connection_state::ConnectionState;
use crate::net::downstream::framing::BodyFraming;
use crate::net::downstream::request::{RequestError, RequestRules};
use crate::net::downstream::response::{close_connection, ClientResponse};
use crate::net::downstream::socket;
use crate::net::event_loop::EventLoop;
use crate::net::http_body::{self, BodyError, BodyMemory, BodyReservation};
use crate::net::upstream::ForwardedRequest;
use crate::protocol::headers;

/// The path of the readiness check.
const READINESS_PATH: &str = "/up";
/// The response body of a node that is ready.
const READINESS_BODY: &[u8] = b"up\n";
/// How long a request body may take to arrive, counted from the validation of the head.
const BODY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers the requests of clients.
pub struct RequestHandler {
    event_loop: Rc<EventLoop>,
    rules: RequestRules,
    connection_memory: Rc<ConnectionMemory>,
    body_memory: Rc<BodyMemory>,
}

impl RequestHandler {
    /// Creates a handler that validates requests against `rules` and submits them to `event_loop`. The bodies
    /// of the requests take their memory from `body_memory`.
    pub fn new(
        event_loop: Rc<EventLoop>,
        rules: RequestRules,
        connection_memory: Rc<ConnectionMemory>,
        body_memory: Rc<BodyMemory>,
    ) -> Self {
        RequestHandler { event_loop, rules, connection_memory, body_memory }
    }

    /// Answers one request of the client at `stream`, and records in `connection` when the request has arrived
    /// in full.
    ///
    /// Dropping the future before it completes reports to the event loop that the client has disconnected.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        framing: BodyFraming,
        connection: &ConnectionState,
        stream: &TcpStream,
    ) -> Response<Full<Bytes>> {
        let client_response = match self.serve(request, framing, connection, stream).await {
            Ok(client_response) => client_response,
            Err(error) => ClientResponse::Invalid(error),
        };
        // The pipeline cannot tell where a chunked body ends within the bytes read ahead, so the connection
        // closes after a request with such a body.
        let closes = client_response.closes_connection()
            || framing == BodyFraming::Chunked
            || self.event_loop.is_shutting_down();
        let mut response = client_response.into_http();
        if closes {
            close_connection(&mut response);
        }
        response
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        framing: BodyFraming,
        connection: &ConnectionState,
        stream: &TcpStream,
    ) -> Result<ClientResponse, RequestError> {
        let received_at = self.event_loop.clock.now();
        let (head, body) = request.into_parts();
        if head.uri.path() == READINESS_PATH {
            return readiness(&head.method);
        }
        if framing == BodyFraming::Ambiguous {
            return Err(RequestError::AmbiguousFraming);
        }
        let new_request = self.rules.validate(&head, received_at)?;
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(RequestError::BodyOfGet);
        }
        let response_due = self.event_loop.final_response_by(new_request.deadline);
        let body_length = http_body::length_limit(&body).map_err(|_| RequestError::BodyTooLong)?;
        let Some(reservation) = self.reserve_memory(body_length, connection) else {
            return Ok(ClientResponse::NoMemory { is_body_unread: !body.is_end_stream() });
        };
        let mut forward = forwarded_request(&head)?;
        drop(head);
        forward.body = read_body(body, reservation, response_due).await?;
        connection.request_received();
        if forward.method != Method::GET && connection.body_may_be_truncated() {
            return Err(RequestError::BytesAfterBody);
        }
        if socket::may_hide_disconnect(stream) {
            return Ok(ClientResponse::TooMuchUnread);
        }
        self.final_response(new_request, forward, response_due).await
    }

    /// Reserves memory for the body of a request. Returns `None` if there is none, or if the client has sent
    /// further requests already while the node refuses connections for want of memory: one client's many
    /// requests would hold what others need for a long time.
    fn reserve_memory(&self, body_length: usize, connection: &ConnectionState) -> Option<BodyReservation> {
        if connection.has_further_request() && self.connection_memory.is_refusing() {
            return None;
        }
        self.body_memory.try_reserve_for_request(body_length)
    }

    /// Submits a request to the event loop and waits for its final response, until `response_due` at the
    /// latest.
    async fn final_response(
        &self,
        new_request: NewRequest,
        forward: ForwardedRequest,
        response_due: Instant,
    ) -> Result<ClientResponse, RequestError> {
        let request = new_request.id.clone();
        let response = self.event_loop.submit(new_request, forward).map_err(|_| RequestError::IdInUse)?;
        let _disconnect_guard = DisconnectGuard { event_loop: &self.event_loop, request: &request };
        Ok(match timeout_at(response_due, response).await {
            Ok(Ok(response)) => response.into(),
            // The event loop dropped the sender without a response. An attempt may have run, so this is not a
            // rejection.
            Ok(Err(_)) => ClientResponse::Failed,
            Err(_) => ClientResponse::TimedOut,
        })
    }
}

/// Reports on drop that the client of a request no longer waits. The event loop ignores the report if the
/// request has its final response by then.
struct DisconnectGuard<'a> {
    event_loop: &'a Rc<EventLoop>,
    request: &'a RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.event_loop.client_disconnected(self.request);
    }
}

fn readiness(method: &Method) -> Result<ClientResponse, RequestError> {
    if method == Method::GET {
        Ok(ClientResponse::Served(Bytes::from_static(READINESS_BODY)))
    } else {
        Err(RequestError::MethodNotAllowed)
    }
}

/// Reads a request's body within `BODY_TIMEOUT`, and before `response_due`.
async fn read_body(
    body: Incoming,
    reservation: BodyReservation,
    response_due: Instant,
) -> Result<Bytes, RequestError> {
    let body_due = response_due.min(Instant::now() + BODY_TIMEOUT);
    match timeout_at(body_due, http_body::read_body(body, reservation)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong)) => Err(RequestError::BodyTooLong),
        Ok(Err(BodyError::ConnectionBroken | BodyError::Malformed)) => Err(RequestError::BodyIncomplete),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}

/// Builds the request that is sent to endpoints, without its body.
///
/// What it takes from the head are copies. A slice of the head would keep the whole read buffer in which the
/// head has arrived for as long as the request is open.
fn forwarded_request(head: &Parts) -> Result<ForwardedRequest, RequestError> {
    let request_id = head.headers.get(headers::REQUEST_ID).ok_or(RequestError::NoRequestId)?;
    Ok(ForwardedRequest {
        method: head.method.clone(),
        uri: origin_form(&head.uri)?,
        request_id: copy_of(request_id),
        idempotency_key: head.headers.get(headers::IDEMPOTENCY_KEY).map(copy_of),
        body: Bytes::new(),
    })
}

/// Returns a copy with memory of its own; a clone would share that of the head.
fn copy_of(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Returns a copy of the path and query of a request target, which may be in absolute form.
fn origin_form(uri: &Uri) -> Result<Uri, RequestError> {
    let path_and_query = uri.path_and_query().ok_or(RequestError::NoPath)?;
    path_and_query.as_str().parse().map_err(|_| RequestError::NoPath)
}
