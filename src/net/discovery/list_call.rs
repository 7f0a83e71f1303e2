//! The kinds of calls to discovery, and how far a call has come.

use std::fmt;
use std::time::Duration;

use crate::net::discovery::call_times::{
    FULL_LIST_OVERDUE_AFTER, FULL_LIST_TIME_LIMIT, WATCH_OVERDUE_AFTER, WATCH_TIME_LIMIT, WATCH_WAIT_MS,
};

/// The path at which discovery serves the endpoint list.
const LIST_PATH: &str = "/discovery/hosts";

/// A call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListCall {
    /// Requests the full list.
    FullList,
    /// Waits for the changes since this version.
    ChangesSince(u64),
}

impl ListCall {
    /// Returns the path and query of the request.
    pub fn path(self) -> String {
        match self {
            ListCall::FullList => LIST_PATH.to_owned(),
            ListCall::ChangesSince(version) => format!("{LIST_PATH}?after={version}&wait_ms={WATCH_WAIT_MS}"),
        }
    }

    /// Returns the time after which a further call begins if this one has no response.
    pub fn overdue_after(self) -> Duration {
        match self {
            ListCall::FullList => FULL_LIST_OVERDUE_AFTER,
            ListCall::ChangesSince(_) => WATCH_OVERDUE_AFTER,
        }
    }

    /// Returns the time after which this call is given up.
    pub fn time_limit(self) -> Duration {
        match self {
            ListCall::FullList => FULL_LIST_TIME_LIMIT,
            ListCall::ChangesSince(_) => WATCH_TIME_LIMIT,
        }
    }
}

impl fmt::Display for ListCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListCall::FullList => formatter.write_str("full list"),
            ListCall::ChangesSince(version) => write!(formatter, "changes since {version}"),
        }
    }
}

/// What a call is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CallStage {
    /// The connection has not been established.
    #[default]
    Connecting,
    /// The request was sent, and no response has arrived.
    AwaitingResponse,
    /// The response has begun to arrive. Holds the number of bytes of its body that have arrived.
    ReadingBody(usize),
}

impl fmt::Display for CallStage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallStage::Connecting => formatter.write_str("not connected"),
            CallStage::AwaitingResponse => formatter.write_str("no response"),
            CallStage::ReadingBody(bytes) => write!(formatter, "{bytes} bytes of the list"),
        }
    }
}
