//! Errors of calls to discovery.

use std::error::Error;
use std::fmt;
use std::io;
use std::time::Duration;

use hyper::StatusCode;
use tokio::task::JoinError;

use crate::net::discovery::list_call::{CallStage, ListCall};
use crate::net::discovery::response_bytes::MAX_RESPONSE_BYTES;
use crate::net::http_client::SendError;

/// Maximum length of a list in bytes: twice that of an indented list of 46,000 endpoints with long names.
pub const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;

/// A call to discovery that failed.
#[derive(Debug, thiserror::Error)]
#[error("{call} after {} ms", elapsed.as_millis())]
pub(super) struct CallError {
    /// The call.
    pub(super) call: ListCall,
    /// The time from the call's begin to its failure.
    pub(super) elapsed: Duration,
    /// Why the call failed.
    #[source]
    pub(super) source: DiscoveryError,
}

/// The reason for which a call to discovery failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// The response has not arrived, or not completely.
    #[error("no complete response ({0})")]
    Incomplete(CallStage),
    /// The connection could not be established.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The request cannot be represented in HTTP.
    #[error("invalid request")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The connection failed before the head of the response arrived.
    #[error("no response head received")]
    Send(#[source] SendError),
    /// The connection failed while the body of the response was read.
    #[error("connection failed while reading the response body")]
    Body(#[source] hyper::Error),
    /// The response has a status other than 200.
    #[error("expected status 200, got {0}")]
    Status(StatusCode),
    /// The body of the response is not a valid list.
    #[error("malformed list")]
    Malformed(#[source] serde_json::Error),
    /// The list cannot be applied, because it has no readable entry.
    #[error("malformed list: no readable entry")]
    NoReadableEntry,
    /// The list is longer than [`MAX_LIST_BYTES`].
    #[error("list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// The responses that are being received are together longer than [`MAX_RESPONSE_BYTES`].
    #[error("responses that arrive at one time are together longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLongTogether,
    /// The thread that parses or prepares a long list failed.
    #[error("the thread that prepares long lists failed")]
    Worker(#[source] JoinError),
}

/// Displays an error and its chain of causes on one line.
pub(super) struct ErrorChain<'a>(pub(super) &'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(formatter, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}
