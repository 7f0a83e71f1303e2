//! Converts final responses to HTTP: status, headers and body.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::decision::Micros;
use crate::net::downstream::request::RequestError;
use crate::net::event_loop::FinalResponse;

/// The response to a client's request.
pub enum ClientResponse {
    /// The body of an endpoint's response, with status 200.
    Served(Bytes),
    /// The request was rejected, and the client can retry it safely. The status is 429 if `retry_after` is
    /// set, else 503.
    Rejected {
        /// How long the client should wait before it retries, in microseconds; 0 means no advice.
        retry_after: Micros,
    },
    /// The node has no memory for the request. It was not handed to the decision engine. The status is 503.
    NoMemory {
        /// Whether the request has a body, which was not read.
        is_body_unread: bool,
    },
    /// The client has sent so much behind the request that the node could not tell if it disconnected. The
    /// request was not handed to the decision engine. The status is 503.
    TooMuchUnread,
    /// The request failed, but an attempt may have run. The status is 502.
    Failed,
    /// There was no final response in time. The status is 504.
    TimedOut,
    /// The request is invalid and was not handed to the decision engine.
    Invalid(RequestError),
}

impl From<FinalResponse> for ClientResponse {
    fn from(response: FinalResponse) -> Self {
        match response {
            FinalResponse::Served(body) => ClientResponse::Served(body),
            FinalResponse::Rejected { retry_after } => ClientResponse::Rejected { retry_after },
            FinalResponse::Failed => ClientResponse::Failed,
        }
    }
}

impl ClientResponse {
    /// Returns whether the connection must close after the response.
    ///
    /// It closes after an invalid request, because the bytes after it may be another request that its sender
    /// has hidden there. A duplicate id does not close the connection, since the request is otherwise valid. It
    /// also closes if the body was not read: the next request would only come after it; and if too much was
    /// unread, since each of the requests behind it would be rejected.
    pub fn closes_connection(&self) -> bool {
        match self {
            ClientResponse::Invalid(error) => *error != RequestError::IdInUse,
            ClientResponse::NoMemory { is_body_unread } => *is_body_unread,
            ClientResponse::TooMuchUnread => true,
            ClientResponse::Served(_)
            | ClientResponse::Rejected { .. }
            | ClientResponse::Failed
            | ClientResponse::TimedOut => false,
        }
    }

    /// Converts the response to the HTTP response that is sent to the client.
    pub fn into_http(self) -> Response<Full<Bytes>> {
        match self {
            ClientResponse::Served(body) => with_status(StatusCode::OK, body),
            ClientResponse::Rejected { retry_after: 0 }
            | ClientResponse::NoMemory { .. }
            | ClientResponse::TooMuchUnread => with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            ClientResponse::Rejected { retry_after } => too_many_requests(retry_after),
            ClientResponse::Failed => with_status(StatusCode::BAD_GATEWAY, Bytes::new()),
            ClientResponse::TimedOut => with_status(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
            ClientResponse::Invalid(error) => with_status(error.status(), format!("{error}\n").into()),
        }
    }
}

/// Adds the header `Connection: close`, after which hyper closes the connection.
pub fn close_connection(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Returns a response with status 429 and a `Retry-After` header: `retry_after`, which is in microseconds, in
/// seconds rounded up to the millisecond.
fn too_many_requests(retry_after: Micros) -> Response<Full<Bytes>> {
    let mut response = with_status(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
    let milliseconds = retry_after.div_ceil(1000);
    let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
