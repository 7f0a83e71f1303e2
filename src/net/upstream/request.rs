//! The requests that are sent to endpoints.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Uri};

use crate::protocol::headers::{DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};

/// Most bytes in the body of a request or a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What of a client's request is sent to an endpoint.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `X-Request-Id`.
    pub request_id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// The message of one attempt: to this host, with this much time left.
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
