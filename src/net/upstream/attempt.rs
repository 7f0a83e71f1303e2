//! Makes one attempt of a request at an endpoint.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::{timeout_at, Instant};

use crate::decision::{EndpointId, Micros, Outcome};
use crate::net::clock::Clock;
use crate::net::http_client::SendError;
use crate::net::upstream::exchange::{exchange, outcome_of, Exchange};
use crate::net::upstream::pool::{AcquireError, PooledConnection};
use crate::net::upstream::request::ForwardedRequest;
use crate::net::upstream::upstreams::{ConnectionChoice, Upstreams};

/// The maximum time from the first byte of a response to its last.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(250);

/// How an attempt ended.
pub struct AttemptOutcome {
    /// The outcome of the attempt; see [`Outcome`].
    pub outcome: Outcome,
    /// The body of the response; `None` unless the request was served.
    pub body: Option<Bytes>,
}

impl AttemptOutcome {
    fn without_body(outcome: Outcome) -> Self {
        AttemptOutcome { outcome, body: None }
    }
}

/// The result of sending a request on one connection.
enum ConnectionUse {
    /// The attempt has ended.
    Ended(AttemptOutcome),
    /// The idle connection turned out to be closed before any byte was written. Holds the request.
    StaleConnection(Box<Request<Full<Bytes>>>),
}

impl Upstreams {
    /// Makes one attempt and returns its outcome at `ends_at` at the latest, in microseconds of Unix time.
    ///
    /// `maybe_written` is set while some of the request may have been written: a caller that cancels the
    /// attempt learns from it whether the request may have run.
    pub async fn attempt(
        &self,
        clock: &Clock,
        endpoint: EndpointId,
        forwarded: &ForwardedRequest,
        ends_at: Micros,
        maybe_written: &Cell<bool>,
    ) -> AttemptOutcome {
        let deadline = clock.instant(ends_at);
        let mut choice = ConnectionChoice::IdleOrNew;
        let mut unwritten = None;
        loop {
            let acquire = self.acquire(endpoint, choice, deadline - Instant::now());
            let connection = match timeout_at(deadline, acquire).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(AcquireError::NoCapacity)) => return AttemptOutcome::without_body(Outcome::NotSent),
                // Nothing was written, so the request did not run.
                Ok(Err(_)) | Err(_) => return AttemptOutcome::without_body(Outcome::ConnectFailed),
            };
            let time_left_ms = ends_at.saturating_sub(clock.now()) / 1000;
            let message = match unwritten.take() {
                Some(message) => message,
                None => forwarded.message(connection.pool.host.clone(), time_left_ms),
            };
            match self.use_connection(endpoint, connection, message, deadline, maybe_written).await {
                ConnectionUse::Ended(result) => return result,
                // The same attempt continues on a new connection, since the request was not written.
                ConnectionUse::StaleConnection(message) => {
                    unwritten = Some(*message);
                    choice = ConnectionChoice::NewOnly;
                    maybe_written.set(false);
                }
            }
        }
    }

    /// Sends the request on `pooled` and reads the response. Returns the connection to its pool if it can be
    /// reused.
    async fn use_connection(
        &self,
        endpoint: EndpointId,
        pooled: PooledConnection,
        message: Request<Full<Bytes>>,
        deadline: Instant,
        maybe_written: &Cell<bool>,
    ) -> ConnectionUse {
        let PooledConnection { mut connection, pool, idle_for } = pooled;
        let response_start = connection.reset_response_start();
        maybe_written.set(true);
        let result = tokio::select! {
            biased;
            result = timeout_at(deadline, exchange(&mut connection, message, &self.body_memory)) => match result {
                Ok(result) => result,
                // The request may have run, since it is not known here whether its last byte was sent.
                Err(_) => return ConnectionUse::Ended(AttemptOutcome::without_body(Outcome::TimedOut)),
            },
            () = response_start.wait_until_overdue(MAX_RESPONSE_TIME) => Err(SendError::UnusableResponse),
        };
        if !matches!(result, Err(SendError::NotWritten(_))) {
            let broke_before_response =
                matches!(result, Err(SendError::ConnectionBroken)) && !response_start.has_begun();
            self.pools.request_ended(idle_for, broke_before_response);
        }
        match result {
            Ok(Exchange { outcome, body, is_reusable }) => {
                if is_reusable {
                    self.keep(endpoint, connection, &pool);
                }
                ConnectionUse::Ended(AttemptOutcome { outcome, body })
            }
            Err(SendError::NotWritten(message)) if idle_for.is_some() => {
                ConnectionUse::StaleConnection(message)
            }
            Err(error) => ConnectionUse::Ended(AttemptOutcome::without_body(outcome_of(&error))),
        }
    }
}
