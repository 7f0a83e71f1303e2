//! The rules of the service that a play checks, each a variant of [`Violation`]. Records the requests of a
//! play and their attempts, and checks them against the rules that concern a single request.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::plan::Behaviour;
use crate::fakes::lock;

/// Time after a request's deadline within which its response may still arrive.
pub const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// An attempt that arrives later than this after its client has closed is a violation. The rule itself allows
/// 0.1 s; the rest is the lateness that a play may have.
const MAX_ATTEMPT_DELAY_AFTER_CLOSE: Duration = Duration::from_millis(150);

/// A violation of a rule of the service. Each variant is one rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A request got no response in time.
    #[error("{id}: no response within {time_ms} ms, {attempts} attempts")]
    NoAnswer {
        /// Id of the request.
        id: String,
        /// The request's deadline plus `RESPONSE_SLACK`, in milliseconds.
        time_ms: u64,
        /// Number of attempts of the request that arrived at endpoints.
        attempts: usize,
    },
    /// The node closed a connection without a response to a request that it had read, or had to read.
    #[error("{id}: the node closed the connection without a response, {attempts} attempts")]
    ClosedWithoutAnswer {
        /// Id of the request.
        id: String,
        /// Number of attempts of the request that arrived at endpoints.
        attempts: usize,
    },
    /// A response was cut off or malformed.
    #[error("{id}: the response is incomplete")]
    IncompleteAnswer {
        /// Id of the request.
        id: String,
    },
    /// The body of a response with status 200 is not the one that an endpoint sends for the request.
    #[error("{id}: the body does not belong to this request: {body}")]
    WrongBody {
        /// Id of the request.
        id: String,
        /// The first 40 bytes of the body, at most.
        body: String,
    },
    /// An attempt began too long after the request's client had closed its connection.
    #[error("{id}: an attempt began {after_ms} ms after the client had closed the connection")]
    AttemptAfterClose {
        /// Id of the request.
        id: String,
        /// Time from the client's close to the latest attempt, in milliseconds.
        after_ms: u64,
    },
    /// A non-idempotent request was sent again although an earlier attempt may have run.
    #[error("{id}: non-idempotent but sent {attempts} times although an earlier attempt may have run")]
    SentTwice {
        /// Id of the request.
        id: String,
        /// Number of attempts of the request that arrived at endpoints.
        attempts: usize,
    },
    /// No request was served in time after the last fault.
    #[error("no request was served within {within_ms} ms after the last fault")]
    NotRecovered {
        /// Time within which a request had to be served, in milliseconds.
        within_ms: u64,
    },
    /// The node kept the connections of clients that sent a part of a request and no more.
    #[error("{clients} clients sent a part of a request, but got neither a response nor a close in time")]
    BadClientsHeld {
        /// Number of these clients.
        clients: usize,
    },
    /// The node's process panicked, crashed or ended with an error.
    #[error("the node: {what}")]
    Process {
        /// The exit status, or the line of the log that reports the panic.
        what: String,
    },
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The response was received completely.
    Responded {
        /// The status of the response.
        status: u16,
        /// The body of the response.
        body: Vec<u8>,
    },
    /// The connection ended before the first byte of a response.
    Closed {
        /// Whether the node was permitted to close the connection without having read the request.
        may_close_unread: bool,
    },
    /// The connection ended in the middle of the response, or the response was malformed.
    Incomplete,
    /// No complete response was received in time.
    TimedOut,
    /// The client closed the connection before the response.
    ClosedByClient {
        /// When the client closed it.
        at: Instant,
    },
}

/// An attempt that arrived at an endpoint.
#[derive(Debug, Clone, Copy)]
struct ReceivedAttempt {
    /// When the attempt arrived.
    at: Instant,
    /// What the endpoint does with it.
    behaviour: Behaviour,
}

/// A request as its client sent it.
#[derive(Debug)]
struct SentRequest {
    is_idempotent: bool,
    deadline: Duration,
    sent_at: Instant,
    /// How the request ended; `None` until then.
    ending: Option<Ending>,
}

/// Requests and their attempts, by request id.
#[derive(Default)]
struct Records {
    requests: HashMap<String, SentRequest>,
    attempts: HashMap<String, Vec<ReceivedAttempt>>,
}

/// Log of all requests of a play and their attempts.
#[derive(Default)]
pub struct RequestLog {
    records: Mutex<Records>,
}

/// Number of requests by the way in which they ended. Requests without a complete response in time are
/// counted in `requests` only, unless their connection was closed before the response.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that got a response with status 200.
    pub served: usize,
    /// Requests that got a response with another status.
    pub not_served: usize,
    /// Requests whose connection was closed without a response. Closes that violate a rule are counted here,
    /// too.
    pub excused: usize,
    /// Requests whose client closed the connection before the response.
    pub left: usize,
}

impl RequestLog {
    /// Records that a client begins to send a request, with the time that its client waits.
    pub fn record_sent(&self, id: &str, is_idempotent: bool, deadline: Duration) {
        let request = SentRequest { is_idempotent, deadline, sent_at: Instant::now(), ending: None };
        lock(&self.records).requests.insert(id.to_owned(), request);
    }

    /// Records how a request has ended for its client.
    pub fn record_ending(&self, id: &str, ending: Ending) {
        if let Some(request) = lock(&self.records).requests.get_mut(id) {
            request.ending = Some(ending);
        }
    }

    /// Records that an attempt has arrived at an endpoint, and what the endpoint does with it.
    pub fn record_attempt(&self, id: &str, behaviour: Behaviour) {
        let attempt = ReceivedAttempt { at: Instant::now(), behaviour };
        lock(&self.records).attempts.entry(id.to_owned()).or_default().push(attempt);
    }

    /// Returns whether a request that was sent at `since` or later got a response with status 200.
    pub fn has_served_since(&self, since: Instant) -> bool {
        let is_served = |request: &SentRequest| {
            request.sent_at >= since && matches!(request.ending, Some(Ending::Responded { status: 200, .. }))
        };
        lock(&self.records).requests.values().any(is_served)
    }

    /// Returns the number of requests by the way in which they ended.
    pub fn counts(&self) -> Counts {
        let records = lock(&self.records);
        let mut counts = Counts { requests: records.requests.len(), ..Counts::default() };
        for request in records.requests.values() {
            match &request.ending {
                Some(Ending::Responded { status: 200, .. }) => counts.served += 1,
                Some(Ending::Responded { .. }) => counts.not_served += 1,
                Some(Ending::Closed { .. }) => counts.excused += 1,
                Some(Ending::ClosedByClient { .. }) => counts.left += 1,
                Some(Ending::Incomplete | Ending::TimedOut) | None => {}
            }
        }
        counts
    }

    /// Returns the violations by requests, in the order of the requests' ids.
    pub fn violations(&self) -> Vec<Violation> {
        let records = lock(&self.records);
        let mut ids: Vec<&String> = records.requests.keys().collect();
        ids.sort();
        ids.into_iter().flat_map(|id| records.violations_of(id)).collect()
    }
}

impl Records {
    fn violations_of(&self, id: &str) -> Vec<Violation> {
        let request = &self.requests[id];
        let attempts = self.attempts.get(id).map_or(&[][..], Vec::as_slice);
        let ending = ending_violation(id, request, attempts);
        let repeat = repeat_violation(id, request, attempts);
        let late = late_attempt_violation(id, request, attempts);
        [ending, repeat, late].into_iter().flatten().collect()
    }
}

/// Checks how the request ended for its client.
fn ending_violation(id: &str, request: &SentRequest, attempts: &[ReceivedAttempt]) -> Option<Violation> {
    let id = id.to_owned();
    let attempts = attempts.len();
    match request.ending.as_ref()? {
        Ending::Responded { status: 200, body } if !body.starts_with(id.as_bytes()) => {
            let body = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
            Some(Violation::WrongBody { id, body })
        }
        // A request with an attempt was read by the node, so closing its connection is never permitted.
        Ending::Closed { may_close_unread } if !may_close_unread || attempts > 0 => {
            Some(Violation::ClosedWithoutAnswer { id, attempts })
        }
        Ending::Incomplete => Some(Violation::IncompleteAnswer { id }),
        Ending::TimedOut => {
            let time_ms = (request.deadline + RESPONSE_SLACK).as_millis() as u64;
            Some(Violation::NoAnswer { id, time_ms, attempts })
        }
        Ending::Responded { .. } | Ending::Closed { .. } | Ending::ClosedByClient { .. } => None,
    }
}

/// Checks that a non-idempotent request was not sent again after an attempt that may have run.
fn repeat_violation(id: &str, request: &SentRequest, attempts: &[ReceivedAttempt]) -> Option<Violation> {
    let earlier = attempts.split_last().map_or(&[][..], |(_, earlier)| earlier);
    let may_have_run = earlier.iter().any(|attempt| attempt.behaviour.may_have_run());
    (!request.is_idempotent && may_have_run)
        .then(|| Violation::SentTwice { id: id.to_owned(), attempts: attempts.len() })
}

/// Checks that no attempt began too long after the client had closed its connection.
fn late_attempt_violation(
    id: &str,
    request: &SentRequest,
    attempts: &[ReceivedAttempt],
) -> Option<Violation> {
    let Some(Ending::ClosedByClient { at }) = request.ending else { return None };
    let latest = attempts.iter().map(|attempt| attempt.at).max()?;
    let after = latest.saturating_duration_since(at);
    (after > MAX_ATTEMPT_DELAY_AFTER_CLOSE)
        .then(|| Violation::AttemptAfterClose { id: id.to_owned(), after_ms: after.as_millis() as u64 })
}
