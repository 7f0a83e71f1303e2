//! Sends a request on a connection to an endpoint, reads the response and derives the [`Outcome`] from it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Request, StatusCode};

use crate::decision::Outcome;
use crate::net::http_body::{length_limit, read_body, BodyError, BodyMemory};
use crate::net::http_client::{has_unambiguous_length, ResponseStart, SendError};
use crate::net::upstream::pool::EndpointConnection;
use crate::net::upstream::truncation::may_be_truncated;
use crate::protocol::headers::NOT_RUN;

/// The result of a request whose response head was read.
pub(super) struct Exchange {
    /// The outcome of the request.
    pub(super) outcome: Outcome,
    /// The body of the response; `None` unless the request was served.
    pub(super) body: Option<Bytes>,
    /// Whether the connection can be used for another request.
    pub(super) is_reusable: bool,
}

impl Exchange {
    fn without_body(outcome: Outcome, is_reusable: bool) -> Self {
        Exchange { outcome, body: None, is_reusable }
    }
}

/// Writes a request and reads its complete response, whose body takes its memory from `body_memory`.
///
/// # Errors
/// If no response head arrives, or the response is malformed, its body is too long or its stated length may
/// be too small.
pub(super) async fn exchange(
    connection: &mut EndpointConnection,
    message: Request<Full<Bytes>>,
    body_memory: &BodyMemory,
) -> Result<Exchange, SendError> {
    let response = connection.send(message).await?;
    if !has_unambiguous_length(&response) {
        return Err(SendError::UnusableResponse);
    }
    let status = response.status();
    let is_rejection = status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT;
    let has_stated_length = response.headers().contains_key(CONTENT_LENGTH);
    let did_not_run = response.headers().get(NOT_RUN).is_some_and(|value| value == "1");
    let body = read_response_body(response.into_body(), body_memory, connection.response_start()).await;
    if is_rejection && did_not_run {
        // The head is enough to know that the request did not run, even if the body could not be read.
        return Ok(Exchange::without_body(Outcome::Rejected, body.is_ok()));
    }
    match body {
        Err(BodyError::ConnectionBroken) => Ok(Exchange::without_body(Outcome::Reset, false)),
        Err(BodyError::TooLong | BodyError::Malformed) => Err(SendError::UnusableResponse),
        Ok(body) if has_stated_length && may_be_truncated(&body, connection.bytes_after_response()) => {
            Err(SendError::UnusableResponse)
        }
        Ok(body) if status == StatusCode::OK => {
            Ok(Exchange { outcome: Outcome::Ok, body: Some(body), is_reusable: true })
        }
        Ok(_) => Ok(Exchange::without_body(Outcome::Error, true)),
    }
}

/// Reads the body of a response once there is memory for it. The wait does not count as time of the response,
/// since the endpoint does not cause it.
async fn read_response_body(
    body: Incoming,
    body_memory: &BodyMemory,
    response_start: &ResponseStart,
) -> Result<Bytes, BodyError> {
    let reserve = body_memory.reserve_for_response(length_limit(&body)?);
    let reservation = response_start.pause_until(reserve).await;
    read_body(body, reservation).await
}

/// Returns the outcome of a request without a valid response.
pub(super) fn outcome_of(error: &SendError) -> Outcome {
    match error {
        SendError::NotWritten(_) => Outcome::ConnectFailed,
        SendError::ConnectionBroken => Outcome::Reset,
        // Any endpoint may send an unusable response. The endpoint is alive and no worse than others, so it
        // must not be ejected, which would make it unavailable to all requests.
        SendError::UnusableResponse => Outcome::Error,
    }
}
