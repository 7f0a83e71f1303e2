//! How the body of a request ends.

use hyper::header::TRANSFER_ENCODING;
use hyper::HeaderMap;

use crate::net::downstream::pipeline::LengthHeader;

/// How the body of a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length; or there is no body.
    Length,
    /// By its last chunk.
    Chunked,
    /// Unknown: a chunked body that has a length as well may hide another request, and a body in another encoding is
    /// not what an endpoint would read.
    Ambiguous,
}

impl BodyFraming {
    /// The framing of the request with these headers. `length_header` comes from the bytes of the head, since hyper
    /// drops the `Content-Length` of a chunked body.
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
