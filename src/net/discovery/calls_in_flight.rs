//! The calls of a watch that are in flight, each on a connection of its own.

use std::future::pending;
use std::rc::Rc;

use tokio::task::JoinSet;

use crate::net::discovery::call_times::LONGEST_TIME_LIMIT;
use crate::net::discovery::error::CallError;
use crate::net::discovery::list_call::ListCall;
use crate::net::discovery::list_client::{CallProgress, ListClient, ListResponse};
use crate::net::http_client::HttpConnection;

/// The largest number of calls in flight. Each holds one of the descriptors reserved for discovery.
pub const MAX_CALLS_IN_FLIGHT: usize = 8;

/// The position of a call in the order in which a watch begins its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct CallNumber(u64);

/// A call that has begun.
pub(super) struct BegunCall {
    pub(super) number: CallNumber,
    pub(super) progress: Rc<CallProgress>,
}

/// A call that has ended.
pub(super) struct EndedCall {
    pub(super) number: CallNumber,
    pub(super) progress: Rc<CallProgress>,
    pub(super) result: Result<ListResponse, CallError>,
}

/// The calls in flight. Dropping this ends them and closes their connections.
pub(super) struct CallsInFlight {
    client: Rc<ListClient>,
    tasks: JoinSet<EndedCall>,
    latest: CallNumber,
    /// The call that may stay in flight for [`LONGEST_TIME_LIMIT`], if one is.
    longest_waiting: Option<CallNumber>,
}

impl CallsInFlight {
    pub(super) fn new(client: Rc<ListClient>) -> Self {
        CallsInFlight { client, tasks: JoinSet::new(), latest: CallNumber::default(), longest_waiting: None }
    }

    /// Returns whether a further call may begin.
    pub(super) fn has_room(&self) -> bool {
        self.tasks.len() < MAX_CALLS_IN_FLIGHT
    }

    /// Begins a call, on `kept` if that connection is open, or else on a new one.
    pub(super) fn begin(&mut self, call: ListCall, kept: Option<HttpConnection>) -> BegunCall {
        self.latest = CallNumber(self.latest.0 + 1);
        let number = self.latest;
        let time_limit = match self.longest_waiting {
            Some(_) => call.time_limit(),
            None => LONGEST_TIME_LIMIT,
        };
        self.longest_waiting.get_or_insert(number);
        let progress = Rc::new(CallProgress::new(call));
        let client = self.client.clone();
        let shared_progress = progress.clone();
        self.tasks.spawn_local(async move {
            let result = client.call(kept, &shared_progress, time_limit).await;
            EndedCall { number, progress: shared_progress, result }
        });
        BegunCall { number, progress }
    }

    /// Waits until a call ends; for ever if none is in flight.
    pub(super) async fn next_ended(&mut self) -> EndedCall {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(ended)) => {
                    self.longest_waiting.take_if(|number| *number == ended.number);
                    return ended;
                }
                // The task has panicked; its call has no response.
                Some(Err(_)) => {}
                None => return pending().await,
            }
        }
    }
}
