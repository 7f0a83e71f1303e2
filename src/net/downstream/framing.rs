//! Determines how the end of a request's body is found.

use hyper::header::TRANSFER_ENCODING;
use hyper::HeaderMap;

use crate::net::downstream::pipeline::LengthHeader;

/// How the end of a request's body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By the `Content-Length`, or there is no body.
    Length,
    /// By the last chunk of a chunked body.
    Chunked,
    /// The end is ambiguous. A chunked body with a `Content-Length` may hide another request, and an endpoint
    /// would read a body in another transfer encoding differently.
    Ambiguous,
}

impl BodyFraming {
    /// Returns the framing of a request with these headers. `length_header` is read from the bytes of the
    /// head, because hyper removes the `Content-Length` of a chunked body.
    pub fn of(headers: &HeaderMap, length_header: LengthHeader) -> Self {
        let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
        let Some(encoding) = encodings.next() else { return BodyFraming::Length };
        let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if is_chunked && encodings.next().is_none() && length_header == LengthHeader::Absent {
            BodyFraming::Chunked
        } else {
            BodyFraming::Ambiguous
        }
    }
}
