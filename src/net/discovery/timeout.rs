//! How long a call to discovery waits for its response.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::{timeout, timeout_at, Instant};

/// From this time on after discovery has a change, a change that the node missed counts against the node, whether or
/// not it has arrived. So no spread of calls is longer, however many the nodes.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The same after a move: from this time on after SIGHUP, a change that the new address has and the node missed counts
/// against the node.
pub const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// How long the response takes to a call that is made again after one that failed. What that one missed counts
/// against the node from [`NOTIFIED_AFTER`] after it began, so the pause ends this much earlier.
pub const RETRY_RESPONSE_TIME: Duration = Duration::from_millis(400);
/// How long a watch waits at discovery for a change, in milliseconds.
pub(super) const WATCH_WAIT_MS: u64 = 4_000;
/// How much later the response to a watch counts as lost.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// How long a watch may be without a response in all: less than [`NOTIFIED_AFTER`], so that a watch on a dead
/// connection ends before the changes that it misses count against the node.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS).saturating_add(WATCH_GRACE);
/// How long a fetch of the full list may be without a response.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a call for the first list, at the start or after a move, may be without a response. Several such calls
/// fit into [`NOTIFIED_AFTER_MOVE`].
pub const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// A response that has begun to arrive may pass these time-outs while no pause in it is longer than this. A long list
/// on a busy core takes its time, and a call that is ended and made again takes it twice.
pub const MAX_RESPONSE_PAUSE: Duration = Duration::from_millis(250);
/// By how much a response may pass the time-outs at most. The first response after a move has arrived within
/// [`NOTIFIED_AFTER_MOVE`] even so.
pub const MAX_TIMEOUT_EXTENSION: Duration = Duration::from_millis(2_500);
/// Where the thread was busy for longer than a time-out, the time-out passes before what has arrived is read. The
/// work gets this much more time then.
const LATE_READ_TIME: Duration = Duration::from_millis(10);

/// The time-out of one call, which is extended while its response arrives.
#[derive(Clone, Copy)]
pub struct WatchTimeout {
    deadline: Instant,
    /// By how much a response that is arriving may pass the deadline. A call that ended any later than leaves time
    /// for the response to the next one would miss changes that count against the node by then.
    max_extension: Duration,
}

impl WatchTimeout {
    /// For a call begun at this time that may be without a response for `wait`.
    pub fn new(began_at: Instant, wait: Duration) -> Self {
        let time_left = NOTIFIED_AFTER.saturating_sub(RETRY_RESPONSE_TIME + wait);
        WatchTimeout { deadline: began_at + wait, max_extension: MAX_TIMEOUT_EXTENSION.min(time_left) }
    }

    /// When the call ends if nothing arrives.
    pub fn deadline(self) -> Instant {
        self.deadline
    }

    /// When the call ends if some of the response has arrived at this time and nothing more does.
    pub fn deadline_after_bytes(self, arrived_at: Instant) -> Instant {
        let extended = self.deadline.max(arrived_at + MAX_RESPONSE_PAUSE);
        extended.min(self.deadline + self.max_extension)
    }
}

/// The result of some work, unless it is not done by the deadline.
pub(super) async fn finish_by<F: Future>(deadline: Instant, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    match timeout_at(deadline, work.as_mut()).await {
        Ok(result) => Some(result),
        Err(_) => timeout(LATE_READ_TIME, work).await.ok(),
    }
}
