//! Reads the body of a message into one buffer.

use std::error::Error;
use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::net::http_body::memory::BodyReservation;

/// The maximum length of the body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

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

/// Returns how long a body may become, in bytes: its stated length, or [`MAX_BODY_BYTES`] if none is stated.
///
/// # Errors
/// If the stated length is more than [`MAX_BODY_BYTES`].
pub fn length_limit(body: &Incoming) -> Result<usize, BodyError> {
    match body.size_hint().exact() {
        Some(length) if length > MAX_BODY_BYTES as u64 => Err(BodyError::TooLong),
        Some(length) => Ok(length as usize),
        None => Ok(MAX_BODY_BYTES),
    }
}

/// Reads a complete body, which may be as long as its reservation. The reservation shrinks to the length of
/// the body and ends when the last copy of the returned bytes is dropped.
///
/// Each frame is copied and dropped at once: it is a slice of the connection's read buffer, and however short
/// it is, it would keep that whole buffer in memory.
///
/// # Errors
/// If the body is longer or malformed, or the connection breaks before its end.
pub async fn read_body(mut body: Incoming, reservation: BodyReservation) -> Result<Bytes, BodyError> {
    let mut buffer = Vec::with_capacity(reservation.bytes());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|error| body_error(&error))?.into_data() else { continue };
        if buffer.len() + data.len() > reservation.bytes() {
            return Err(BodyError::TooLong);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(reservation.hold(buffer))
}

/// Returns why reading a body failed: because it cannot be decoded, or because the connection broke.
fn body_error(error: &hyper::Error) -> BodyError {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData) => BodyError::Malformed,
        _ => BodyError::ConnectionBroken,
    }
}
