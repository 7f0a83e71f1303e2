//! Assigns the bytes that are read from a client connection to successive requests.
//!
//! Bytes that were read ahead, after the end of a request, are neither in the socket nor part of a request
//! that was started. Closing the connection in this state would lose the request that begins with them.

use bytes::{Buf, BytesMut};
use hyper::Method;

use crate::net::http_head::head_end;

/// The largest number of bytes kept that belong to no request yet. Bytes beyond it are not kept: with that
/// many, a further request has begun in any case.
const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;

/// The methods that a request line may begin with: those of RFC 9110 and PATCH of RFC 5789.
const METHODS: [Method; 9] = [
    Method::GET,
    Method::POST,
    Method::PUT,
    Method::DELETE,
    Method::HEAD,
    Method::OPTIONS,
    Method::CONNECT,
    Method::PATCH,
    Method::TRACE,
];

/// Whether the head of a request has a `Content-Length`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LengthHeader {
    /// The head has none.
    Absent,
    /// The head has one, or may have one because its end is not known.
    Possible,
}

/// Separates the bytes of the request in progress from those of the requests after it.
#[derive(Default)]
pub struct Pipeline {
    /// The bytes that were read and do not belong to a request that was started.
    read_ahead: BytesMut,
    /// The number of bytes of the current request's body that are still to arrive. `None` if the end of the
    /// body is unknown.
    body_remaining: Option<usize>,
}

impl Pipeline {
    /// Creates the pipeline of a connection on which nothing has been received.
    pub fn new() -> Self {
        Pipeline { read_ahead: BytesMut::new(), body_remaining: Some(0) }
    }

    /// Records bytes that were read from the connection.
    pub fn bytes_received(&mut self, bytes: &[u8]) {
        let Some(body_remaining) = &mut self.body_remaining else { return };
        let body_bytes = bytes.len().min(*body_remaining);
        *body_remaining -= body_bytes;
        let bytes_after_body = &bytes[body_bytes..];
        let capacity = MAX_READ_AHEAD_BYTES.saturating_sub(self.read_ahead.len());
        self.read_ahead.extend_from_slice(&bytes_after_body[..bytes_after_body.len().min(capacity)]);
    }

    /// Records that the next request was started with a body of `body_length` bytes, and returns whether its
    /// head has a `Content-Length`. The caller needs this because hyper removes the `Content-Length` of a
    /// chunked body.
    ///
    /// `body_length` is `None` if the end of the body is unknown; no further request is served on the
    /// connection then.
    pub fn request_started(&mut self, body_length: Option<usize>) -> LengthHeader {
        self.skip_empty_lines();
        let head_end = head_end(&self.read_ahead);
        let length_header = match head_end {
            Some(end) if !has_content_length(&self.read_ahead[..end]) => LengthHeader::Absent,
            _ => LengthHeader::Possible,
        };
        self.read_ahead.advance(head_end.unwrap_or(self.read_ahead.len()));
        self.body_remaining = body_length.map(|length| self.skip_body(length));
        length_header
    }

    /// Returns whether at least one byte of a further request was read ahead; the request may be complete.
    /// Empty lines before it don't count.
    pub fn has_read_ahead(&self) -> bool {
        !self.without_empty_lines().is_empty()
    }

    /// Returns whether the body of the current request, which was read up to its stated length, may lack its
    /// end: bytes were read behind it that cannot be a further request or its beginning.
    pub fn body_may_be_truncated(&self) -> bool {
        let has_stated_length = self.body_remaining.is_some();
        let bytes_behind = self.without_empty_lines();
        has_stated_length && !METHODS.iter().any(|method| may_begin_with(bytes_behind, method))
    }

    /// Returns the bytes that were read ahead, without the empty lines before a further request.
    fn without_empty_lines(&self) -> &[u8] {
        &self.read_ahead[self.empty_line_bytes()..]
    }

    /// Returns the length of the empty lines that were read ahead before a further request, in bytes.
    fn empty_line_bytes(&self) -> usize {
        self.read_ahead.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
    }

    /// Discards the bytes of a body of this length that were read ahead, and returns how many of its bytes
    /// are still to arrive.
    fn skip_body(&mut self, length: usize) -> usize {
        let already_read = self.read_ahead.len().min(length);
        self.read_ahead.advance(already_read);
        length - already_read
    }

    fn skip_empty_lines(&mut self) {
        self.read_ahead.advance(self.empty_line_bytes());
    }
}

/// Returns whether `bytes`, of which only a part may have arrived, begin with this method and a space.
fn may_begin_with(bytes: &[u8], method: &Method) -> bool {
    let method_and_space = method.as_str().bytes().chain([b' ']);
    bytes.iter().copied().zip(method_and_space).all(|(byte, expected)| byte == expected)
}

/// Returns whether a line of this head is a `Content-Length` header. The colon has to follow the name
/// directly, since hyper rejects a space before it.
fn has_content_length(head: &[u8]) -> bool {
    const PREFIX: &[u8] = b"content-length:";
    head.split(|&byte| byte == b'\n')
        .any(|line| line.get(..PREFIX.len()).is_some_and(|name| name.eq_ignore_ascii_case(PREFIX)))
}
