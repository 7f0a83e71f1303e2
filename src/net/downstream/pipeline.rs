//! Which bytes of a connection belong to which request.
//!
//! Bytes that were read ahead with one request are neither in the socket nor part of a request that was opened; a
//! connection closed over them would lose the request that they begin.

use bytes::{Buf, BytesMut};

/// Most bytes kept that belong to no request yet. With more, a request has begun in any case.
const MAX_BYTES_AHEAD: usize = 128 * 1024;

/// Whether the head of a request has a `Content-Length`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LengthHeader {
    /// It has none.
    Absent,
    /// It has one, or may have: the end of the head is not known.
    Possible,
}

/// Separates the bytes of the request in progress from those of the next ones.
#[derive(Default)]
pub struct Pipeline {
    /// Bytes that were read and belong to no request that was started.
    bytes_ahead: BytesMut,
    /// How many bytes of the current request's body are still to come; none if the body's end is unknown.
    body_remaining: Option<usize>,
}

impl Pipeline {
    /// A connection on which nothing was received.
    pub fn new() -> Self {
        Pipeline { bytes_ahead: BytesMut::new(), body_remaining: Some(0) }
    }

    /// Notes bytes that were read from the connection.
    pub fn bytes_received(&mut self, bytes: &[u8]) {
        let Some(body_remaining) = &mut self.body_remaining else { return };
        let of_body = bytes.len().min(*body_remaining);
        *body_remaining -= of_body;
        let behind_body = &bytes[of_body..];
        let capacity = MAX_BYTES_AHEAD.saturating_sub(self.bytes_ahead.len());
        self.bytes_ahead.extend_from_slice(&behind_body[..behind_body.len().min(capacity)]);
    }

    /// Notes that the next request was started, with a body of this many bytes; none if its end is unknown, after which
    /// no further request is served. Returns whether its head has a `Content-Length`: hyper drops that of a chunked
    /// body.
    pub fn request_started(&mut self, body_length: Option<usize>) -> LengthHeader {
        self.skip_empty_lines();
        let head_end = head_end(&self.bytes_ahead);
        let length_header = match head_end {
            Some(end) if !has_content_length(&self.bytes_ahead[..end]) => LengthHeader::Absent,
            _ => LengthHeader::Possible,
        };
        self.bytes_ahead.advance(head_end.unwrap_or(self.bytes_ahead.len()));
        self.body_remaining = body_length.map(|length| self.skip_body(length));
        length_header
    }

    /// Whether some bytes of a further request were received. Empty lines before it don't count.
    pub fn has_partial_request(&self) -> bool {
        self.bytes_ahead.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Drops what was read ahead of a body, and returns how many of its bytes are still to come.
    fn skip_body(&mut self, length: usize) -> usize {
        let read_ahead = self.bytes_ahead.len().min(length);
        self.bytes_ahead.advance(read_ahead);
        length - read_ahead
    }

    fn skip_empty_lines(&mut self) {
        let line_ends = self.bytes_ahead.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.bytes_ahead.advance(line_ends);
    }
}

/// Where a head ends, behind its empty line. Line ends may lack the carriage return.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let mut line_ends = bytes.iter().enumerate().filter(|(_, &byte)| byte == b'\n').map(|(at, _)| at);
    line_ends.find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

/// Whether a line of this head is a `Content-Length`. Names end at their colon: hyper rejects a space before it.
fn has_content_length(head: &[u8]) -> bool {
    const PREFIX: &[u8] = b"content-length:";
    head.split(|&byte| byte == b'\n')
        .any(|line| line.get(..PREFIX.len()).is_some_and(|name| name.eq_ignore_ascii_case(PREFIX)))
}
