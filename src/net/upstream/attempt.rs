//! One attempt of a request at an endpoint.

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

/// How long a response may take from its first byte to its last.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(250);

/// How an attempt ended.
pub struct AttemptOutcome {
    /// Its outcome, as the protocol's table has it.
    pub outcome: Outcome,
    /// The body of the response, if the request was served.
    pub body: Option<Bytes>,
}

impl AttemptOutcome {
    fn without_body(outcome: Outcome) -> Self {
        AttemptOutcome { outcome, body: None }
    }
}

/// How one use of a connection ended.
enum ConnectionUse {
    /// The attempt has ended.
    Ended(AttemptOutcome),
    /// Not a byte was written to an idle connection that turned out closed.
    StaleConnection(Box<Request<Full<Bytes>>>),
}

impl Upstreams {
    /// Makes one attempt, which ends at `ends_at` at the latest. `maybe_written` holds while some of the request may
    /// have been written.
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
                Ok(Err(AcquireError::NoDescriptor)) => return AttemptOutcome::without_body(Outcome::NotSent),
                // Nothing has been written.
                Ok(Err(_)) | Err(_) => return AttemptOutcome::without_body(Outcome::ConnectFailed),
            };
            let time_left_ms = ends_at.saturating_sub(clock.now()) / 1000;
            let message = match unwritten.take() {
                Some(message) => message,
                None => forwarded.message(connection.pool.host.clone(), time_left_ms),
            };
            match self.use_connection(endpoint, connection, message, deadline, maybe_written).await {
                ConnectionUse::Ended(result) => return result,
                // This is still the same attempt, on a new connection.
                ConnectionUse::StaleConnection(message) => {
                    unwritten = Some(*message);
                    choice = ConnectionChoice::NewOnly;
                    maybe_written.set(false);
                }
            }
        }
    }

    /// Sends a request on a connection, and keeps the connection if it can serve another one.
    async fn use_connection(
        &self,
        endpoint: EndpointId,
        pooled: PooledConnection,
        message: Request<Full<Bytes>>,
        deadline: Instant,
        maybe_written: &Cell<bool>,
    ) -> ConnectionUse {
        let PooledConnection { mut connection, pool, idle_for } = pooled;
        let response_start = connection.observe_response_start();
        maybe_written.set(true);
        let result = tokio::select! {
            biased;
            result = timeout_at(deadline, exchange(&mut connection, message)) => match result {
                Ok(result) => result,
                // Whether the last byte went out is not known here, so it may have run.
                Err(_) => return ConnectionUse::Ended(AttemptOutcome::without_body(Outcome::TimedOut)),
            },
            () = response_start.exceeds(MAX_RESPONSE_TIME) => Err(SendError::MalformedResponse),
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
