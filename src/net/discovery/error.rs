//! Why a call to discovery failed.

use std::error::Error;
use std::fmt;
use std::io;

use hyper::StatusCode;
use tokio::task::JoinError;

use crate::net::http_client::SendError;

/// Most bytes of a list: twice that of 46,000 endpoints with long names, indented.
pub const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;

/// Why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// Nothing, or nothing more, arrived in time.
    #[error("no response in time")]
    TimedOut,
    /// No connection was established.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The request cannot be written as HTTP.
    #[error("invalid request")]
    InvalidRequest(#[source] hyper::http::Error),
    /// There was no head of a response.
    #[error("the request failed")]
    Send(#[source] SendError),
    /// The connection failed within the body.
    #[error("the connection failed")]
    Body(#[source] hyper::Error),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is no list.
    #[error("malformed list")]
    Malformed(#[source] serde_json::Error),
    /// The list cannot be applied.
    #[error("malformed list: no entry can be read")]
    NoReadableEntry,
    /// The list is longer than allowed.
    #[error("a list of more than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// The thread that prepares long lists failed.
    #[error("a long list could not be prepared")]
    Worker(#[source] JoinError),
}

/// An error with the errors that caused it, in one line.
pub(super) struct WithCauses<'a>(pub(super) &'a dyn Error);

impl fmt::Display for WithCauses<'_> {
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
