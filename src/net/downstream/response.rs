//! The form of each final response on the wire: status, headers and body.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::decision::Micros;
use crate::net::downstream::request::RequestError;
use crate::net::event_loop::FinalResponse;

/// What a client gets in response to a request.
pub enum ClientResponse {
    /// The body of an endpoint's response, with status 200.
    Served(Bytes),
    /// Rejected; a retry by the client is harmless.
    Rejected {
        /// When the client should come back, from now; 0 means no advice.
        retry_after: Micros,
    },
    /// Failed: the request may have run.
    Failed,
    /// No final response in time.
    TimedOut,
    /// The request itself is not acceptable.
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
    /// Whether the connection must close after it: behind a request that can't be trusted may be another that its
    /// sender hid there.
    pub fn closes_connection(&self) -> bool {
        match self {
            ClientResponse::Invalid(error) => *error != RequestError::IdInUse,
            ClientResponse::Served(_)
            | ClientResponse::Rejected { .. }
            | ClientResponse::Failed
            | ClientResponse::TimedOut => false,
        }
    }

    /// The response as it is sent to the client.
    pub fn into_http(self) -> Response<Full<Bytes>> {
        match self {
            ClientResponse::Served(body) => with_status(StatusCode::OK, body),
            ClientResponse::Rejected { retry_after: 0 } => {
                with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
            }
            ClientResponse::Rejected { retry_after } => too_many_requests(retry_after),
            ClientResponse::Failed => with_status(StatusCode::BAD_GATEWAY, Bytes::new()),
            ClientResponse::TimedOut => with_status(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
            ClientResponse::Invalid(error) => with_status(error.status(), format!("{error}\n").into()),
        }
    }
}

/// Marks the connection to close after this response.
pub fn close_connection(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// A rejection with a `Retry-After` time in seconds, rounded up to the millisecond.
fn too_many_requests(retry_after: Micros) -> Response<Full<Bytes>> {
    let mut response = with_status(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
    let milliseconds = retry_after.div_ceil(1000);
    let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
