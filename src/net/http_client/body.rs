//! Reads the body of a message, and checks that the head of a response defines where its body ends.

use std::error::Error;
use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
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

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// The body cannot be decoded.
    #[error("the body is malformed")]
    Malformed,
    /// The connection broke before the end of the body.
    #[error("the connection broke before the end of the body")]
    ConnectionBroken,
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
/// If the body is longer or malformed, or the connection breaks before its end.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(error) if is_decoding_error(error.as_ref()) => Err(BodyError::Malformed),
        Err(_) => Err(BodyError::ConnectionBroken),
    }
}

/// Returns whether reading a body failed because it cannot be decoded, and not because the connection broke.
fn is_decoding_error(error: &(dyn Error + 'static)) -> bool {
    let cause = error.downcast_ref::<hyper::Error>().and_then(Error::source);
    let kind = cause.and_then(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}
