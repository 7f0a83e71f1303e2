//! Assigns the bytes that are read from a client connection to successive requests.
//!
//! Bytes that were read ahead, after the end of a request, are neither in the socket nor part of a request
//! that was started. Closing the connection in this state would lose the request that begins with them.

use std::mem;

use hyper::Method;

use crate::net::downstream::head_scanner::HeadScanner;

pub use crate::net::downstream::head_scanner::LengthHeader;

/// How many bytes may be read at once beyond the body of the request in progress. Most heads are shorter. What
/// is read ahead is held twice until its request is started: here and in the buffer of the connection.
const MAX_READ_BYTES_BEHIND_BODY: u64 = 4 * 1024;
/// The largest number of bytes kept behind a head that was read ahead. Bytes beyond it are not kept: with that
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

/// Separates the bytes of the request in progress from those of the requests after it.
///
/// The head that is arriving is not kept: the connection has it in its read buffer, and clients may leave many
/// long heads incomplete.
#[derive(Default)]
pub struct Pipeline {
    /// The number of bytes of the current request's body that are still to arrive. `None` if the end of the
    /// body is unknown.
    body_remaining: Option<usize>,
    /// The head behind that body.
    next_head: HeadScanner,
    /// The bytes behind that head. How many of them are its body is known once its request is started.
    behind_next_head: Vec<u8>,
}

impl Pipeline {
    /// Creates the pipeline of a connection on which nothing has been received.
    pub fn new() -> Self {
        Pipeline { body_remaining: Some(0), ..Pipeline::default() }
    }

    /// Returns how many bytes may be read from the connection at once. There is no limit if the end of the body
    /// is unknown, since no further request is served then.
    pub fn max_read_bytes(&self) -> u64 {
        self.body_remaining
            .map_or(u64::MAX, |remaining| MAX_READ_BYTES_BEHIND_BODY.saturating_add(remaining as u64))
    }

    /// Records bytes that were read from the connection.
    pub fn bytes_received(&mut self, bytes: &[u8]) {
        let Some(body_remaining) = &mut self.body_remaining else { return };
        let body_bytes = bytes.len().min(*body_remaining);
        *body_remaining -= body_bytes;
        let bytes = &bytes[body_bytes..];
        let bytes = &bytes[self.next_head.scan(bytes)..];
        let capacity = MAX_READ_AHEAD_BYTES.saturating_sub(self.behind_next_head.len());
        self.behind_next_head.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
    }

    /// Records that the next request was started with a body of `body_length` bytes, and returns whether its
    /// head has a `Content-Length`. The caller needs this because hyper removes the `Content-Length` of a
    /// chunked body.
    ///
    /// `body_length` is `None` if the end of the body is unknown; no further request is served on the
    /// connection then.
    pub fn request_started(&mut self, body_length: Option<usize>) -> LengthHeader {
        let head = mem::take(&mut self.next_head);
        let behind_head = mem::take(&mut self.behind_next_head);
        self.body_remaining = body_length;
        self.bytes_received(&behind_head);
        head.length_header()
    }

    /// Returns whether at least one byte of a further request was read ahead; the request may be complete.
    /// Empty lines before it don't count.
    pub fn has_read_ahead(&self) -> bool {
        self.next_head.has_begun()
    }

    /// Returns whether the body of the current request, which was read up to its stated length, may lack its
    /// end: bytes were read behind it that cannot be a further request or its beginning.
    pub fn body_may_be_truncated(&self) -> bool {
        let has_stated_length = self.body_remaining.is_some();
        let start = self.next_head.start();
        has_stated_length && !METHODS.iter().any(|method| may_begin_with(start, method))
    }
}

/// Returns whether `bytes`, of which only a part may have arrived, begin with this method and a space.
fn may_begin_with(bytes: &[u8], method: &Method) -> bool {
    let method_and_space = method.as_str().bytes().chain([b' ']);
    bytes.iter().copied().zip(method_and_space).all(|(byte, expected)| byte == expected)
}
