//! What is known of each request of a play, and the rules that it is checked by.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::plan::Behaviour;
use crate::fakes::lock;

/// A request may get its answer this long after its deadline.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// No attempt begins this long after its client has closed. Beyond the rule of 0.1 s it holds what a play may be late.
const ATTEMPT_AFTER_CLOSE: Duration = Duration::from_millis(150);

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A request was not answered in time.
    #[error("{id}: no answer in {time_ms} ms, {attempts} attempts")]
    NoAnswer {
        /// The request.
        id: String,
        /// Its deadline and the slack, in milliseconds.
        time_ms: u64,
        /// Its attempts.
        attempts: usize,
    },
    /// A connection was closed over a request that was read.
    #[error("{id}: its connection was closed without an answer, {attempts} attempts")]
    ClosedWithoutAnswer {
        /// The request.
        id: String,
        /// Its attempts.
        attempts: usize,
    },
    /// An answer was cut off.
    #[error("{id}: its answer is incomplete")]
    IncompleteAnswer {
        /// The request.
        id: String,
    },
    /// A body is not that of an endpoint's response to the request.
    #[error("{id}: the body is another's: {body}")]
    WrongBody {
        /// The request.
        id: String,
        /// The first bytes of the body.
        body: String,
    },
    /// An attempt began after its client had closed.
    #[error("{id}: an attempt began {after_ms} ms after its client had closed")]
    AttemptAfterClose {
        /// The request.
        id: String,
        /// How long after.
        after_ms: u64,
    },
    /// A non-idempotent request that may have run was sent again.
    #[error("{id}: sent {attempts} times though an earlier attempt may have run")]
    SentTwice {
        /// The request.
        id: String,
        /// Its attempts.
        attempts: usize,
    },
    /// Service did not come back after the last fault.
    #[error("nothing served within {within_ms} ms after the last fault")]
    NotRecovered {
        /// How long was waited.
        within_ms: u64,
    },
    /// A client that never completed its request was not given up.
    #[error("{clients} clients with half a request were neither answered nor closed")]
    BadClientsHeld {
        /// How many.
        clients: usize,
    },
    /// The process panicked, crashed or ended with an error.
    #[error("the node: {what}")]
    Process {
        /// What happened.
        what: String,
    },
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With this status and body.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The connection ended without a byte of an answer. It is excused if the node may close it then.
    Closed {
        /// Whether the request may have been left unread.
        may_be_unread: bool,
    },
    /// The connection ended within the answer.
    Incomplete,
    /// Not in time.
    Late,
    /// The client closed first, at this time.
    Left {
        /// When.
        at: Instant,
    },
}

/// An attempt as its endpoint saw it.
#[derive(Debug, Clone, Copy)]
struct SeenAttempt {
    at: Instant,
    behaviour: Behaviour,
}

/// A request as its client sent it.
#[derive(Debug)]
struct SentRequest {
    is_idempotent: bool,
    deadline: Duration,
    sent_at: Instant,
    ending: Option<Ending>,
}

#[derive(Default)]
struct Records {
    requests: HashMap<String, SentRequest>,
    attempts: HashMap<String, Vec<SeenAttempt>>,
}

/// All requests of a play and their attempts.
#[derive(Default)]
pub struct Ledger {
    records: Mutex<Records>,
}

/// How many requests ended in each way.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// All that were sent.
    pub requests: usize,
    /// With status 200.
    pub served: usize,
    /// With another status.
    pub not_served: usize,
    /// Whose connection was closed when it may be.
    pub excused: usize,
    /// Whose client left.
    pub left: usize,
}

impl Ledger {
    /// A client begins to send a request.
    pub fn sent(&self, id: &str, is_idempotent: bool, deadline: Duration) {
        let request = SentRequest { is_idempotent, deadline, sent_at: Instant::now(), ending: None };
        lock(&self.records).requests.insert(id.to_owned(), request);
    }

    /// A request has ended for its client.
    pub fn ended(&self, id: &str, ending: Ending) {
        if let Some(request) = lock(&self.records).requests.get_mut(id) {
            request.ending = Some(ending);
        }
    }

    /// An attempt has arrived at an endpoint.
    pub fn attempted(&self, id: &str, behaviour: Behaviour) {
        let attempt = SeenAttempt { at: Instant::now(), behaviour };
        lock(&self.records).attempts.entry(id.to_owned()).or_default().push(attempt);
    }

    /// Whether a request sent at `since` or later was served.
    pub fn has_served_since(&self, since: Instant) -> bool {
        let is_served = |request: &SentRequest| {
            request.sent_at >= since && matches!(request.ending, Some(Ending::Answered { status: 200, .. }))
        };
        lock(&self.records).requests.values().any(is_served)
    }

    /// How the requests ended.
    pub fn counts(&self) -> Counts {
        let records = lock(&self.records);
        let mut counts = Counts { requests: records.requests.len(), ..Counts::default() };
        for request in records.requests.values() {
            match &request.ending {
                Some(Ending::Answered { status: 200, .. }) => counts.served += 1,
                Some(Ending::Answered { .. }) => counts.not_served += 1,
                Some(Ending::Closed { .. }) => counts.excused += 1,
                Some(Ending::Left { .. }) => counts.left += 1,
                Some(Ending::Incomplete | Ending::Late) | None => {}
            }
        }
        counts
    }

    /// The rules that requests broke, in the order of their ids.
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

fn ending_violation(id: &str, request: &SentRequest, attempts: &[SeenAttempt]) -> Option<Violation> {
    let id = id.to_owned();
    let attempts = attempts.len();
    match request.ending.as_ref()? {
        Ending::Answered { status: 200, body } if !body.starts_with(id.as_bytes()) => {
            let body = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
            Some(Violation::WrongBody { id, body })
        }
        // What was sent on was read.
        Ending::Closed { may_be_unread } if !may_be_unread || attempts > 0 => {
            Some(Violation::ClosedWithoutAnswer { id, attempts })
        }
        Ending::Incomplete => Some(Violation::IncompleteAnswer { id }),
        Ending::Late => {
            let time_ms = (request.deadline + ANSWER_SLACK).as_millis() as u64;
            Some(Violation::NoAnswer { id, time_ms, attempts })
        }
        Ending::Answered { .. } | Ending::Closed { .. } | Ending::Left { .. } => None,
    }
}

fn repeat_violation(id: &str, request: &SentRequest, attempts: &[SeenAttempt]) -> Option<Violation> {
    let earlier = attempts.split_last().map_or(&[][..], |(_, earlier)| earlier);
    let may_have_run = earlier.iter().any(|attempt| attempt.behaviour.may_have_run());
    (!request.is_idempotent && may_have_run)
        .then(|| Violation::SentTwice { id: id.to_owned(), attempts: attempts.len() })
}

fn late_attempt_violation(id: &str, request: &SentRequest, attempts: &[SeenAttempt]) -> Option<Violation> {
    let Some(Ending::Left { at }) = request.ending else { return None };
    let latest = attempts.iter().map(|attempt| attempt.at).max()?;
    let after = latest.saturating_duration_since(at);
    (after > ATTEMPT_AFTER_CLOSE)
        .then(|| Violation::AttemptAfterClose { id: id.to_owned(), after_ms: after.as_millis() as u64 })
}
