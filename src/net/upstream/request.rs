//! The requests that the node sends to endpoints.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Uri};

use crate::protocol::headers::{DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};

/// The parts of a client's request that are forwarded to an endpoint.
pub struct ForwardedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The value of the header `X-Request-Id`.
    pub request_id: HeaderValue,
    /// The value of the header `Idempotency-Key`; `None` if the client sent none.
    pub idempotency_key: Option<HeaderValue>,
    /// The body; empty if the request has none.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Builds the HTTP request of one attempt. `host` is the value of the `Host` header, and `time_left_ms`
    /// is the time until the attempt's deadline, in milliseconds.
    pub(super) fn message(&self, host: HeaderValue, time_left_ms: u64) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.uri.clone();
        let headers = message.headers_mut();
        headers.insert(HOST, host);
        headers.insert(REQUEST_ID, self.request_id.clone());
        headers.insert(DEADLINE, HeaderValue::from(time_left_ms));
        if let Some(key) = &self.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        message
    }
}
