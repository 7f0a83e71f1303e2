//! Probes, which check whether an endpoint is alive.

use std::time::Duration;

use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Uri};
use tokio::time::timeout;

use crate::decision::{EndpointId, Outcome};
use crate::net::upstream::exchange::{exchange, outcome_of};
use crate::net::upstream::pool::PooledConnection;
use crate::net::upstream::upstreams::{ConnectionChoice, Upstreams};

/// The maximum time of a probe's request and response. Opening the connection may take at most a quarter of
/// it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl Upstreams {
    /// Sends a probe to an endpoint and returns its outcome.
    pub async fn probe(&self, endpoint: EndpointId) -> Outcome {
        let Ok(pooled) = self.acquire(endpoint, ConnectionChoice::IdleOrNew, PROBE_TIMEOUT).await else {
            return Outcome::ConnectFailed;
        };
        let PooledConnection { mut connection, pool, .. } = pooled;
        let mut message = Request::new(Full::default());
        *message.uri_mut() = Uri::from_static("/alive");
        message.headers_mut().insert(HOST, pool.host.clone());
        let response = exchange(&mut connection, message, &self.body_memory);
        match timeout(PROBE_TIMEOUT, response).await {
            Ok(Ok(response)) => {
                if response.is_reusable {
                    self.keep(endpoint, connection, &pool);
                }
                response.outcome
            }
            Ok(Err(error)) => outcome_of(&error),
            Err(_) => Outcome::TimedOut,
        }
    }
}
