//! Checks that the head of a response defines where its body ends.

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// Returns whether the head of a response defines unambiguously where the response ends.
///
/// If the head has both a `Content-Length` and a `Transfer-Encoding`, neither can be trusted. If it has
/// neither, the body ends with the close of the connection, which is accepted only if the head announces it
/// with `Connection: close`: otherwise a broken connection could not be distinguished from the end of the
/// body. A 204 needs no length, because it has no body. An informational response with a length is refused.
pub fn has_unambiguous_length(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let status = response.status();
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_encoding = headers.contains_key(TRANSFER_ENCODING);
    match (has_length, has_encoding) {
        (true, true) => false,
        (false, false) => announces_close(response) || status == StatusCode::NO_CONTENT,
        (true, false) | (false, true) => !status.is_informational(),
    }
}

/// Returns whether the response has a header `Connection: close`.
fn announces_close(response: &Response<Incoming>) -> bool {
    let values = response.headers().get_all(CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
