//! Limits how long a call to discovery waits for its response.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::{timeout, timeout_at, Instant};

/// The time after which a change of the endpoint list counts as notified at the latest, counted from when
/// discovery has the change and can be reached.
///
/// From then on the change binds the node, even if it has not arrived at the node: to send a request to an
/// endpoint that the change has removed or drained is an error of the node. The calls of all nodes are
/// therefore spread over at most this time, however many nodes there are.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The time after which the changes that discovery at the new address has count as notified after a move,
/// counted from SIGHUP (see [`NOTIFIED_AFTER`]).
pub const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The time allowed for the response to the retry of a failed call. A change that the failed call missed may
/// count as notified [`NOTIFIED_AFTER`] after that call began, so the pause before the retry ends earlier by
/// this time.
pub const RETRY_RESPONSE_TIME: Duration = Duration::from_millis(400);
/// How long discovery holds a long poll open while there is no change, in milliseconds.
pub(super) const WATCH_WAIT_MS: u64 = 4_000;
/// The time after [`WATCH_WAIT_MS`] at which the response to a long poll is considered lost.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// How long a long poll may remain without a response in total. This is less than [`NOTIFIED_AFTER`], so that
/// a long poll on a dead connection ends before the changes that it misses count as notified.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS).saturating_add(WATCH_GRACE);
/// How long a fetch of the full list may remain without a response.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a call for the first list after a move may remain without a response. Several such calls fit into
/// [`NOTIFIED_AFTER_MOVE`].
pub const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest pause within a response that extends a timeout: a response that has begun to arrive may exceed
/// its timeout while no pause in it is longer than this. On a busy core a long list takes a long time to
/// arrive, and a call that is ended and retried takes that time twice.
pub const MAX_RESPONSE_PAUSE: Duration = Duration::from_millis(250);
/// The longest extension of a timeout. Even with it, the first response after a move arrives within
/// [`NOTIFIED_AFTER_MOVE`].
pub const MAX_TIMEOUT_EXTENSION: Duration = Duration::from_millis(2_500);
/// The additional time for work whose deadline has passed. If the thread was busy for longer than the
/// timeout, the timeout expires before data that has already arrived is read.
const LATE_READ_TIME: Duration = Duration::from_millis(10);

/// The timeout of one call, which is extended while its response arrives.
#[derive(Clone, Copy)]
pub struct CallTimeout {
    deadline: Instant,
    /// The longest extension of the deadline while a response is arriving. If a call ended later than that,
    /// the response to the next call would arrive too late: its changes would already count as notified.
    max_extension: Duration,
}

impl CallTimeout {
    /// Creates the timeout of a call that began at `began_at` and may remain without a response for `wait`.
    pub fn new(began_at: Instant, wait: Duration) -> Self {
        let time_left = NOTIFIED_AFTER.saturating_sub(RETRY_RESPONSE_TIME + wait);
        CallTimeout { deadline: began_at + wait, max_extension: MAX_TIMEOUT_EXTENSION.min(time_left) }
    }

    /// Returns when the call ends if no response arrives.
    pub fn deadline(self) -> Instant {
        self.deadline
    }

    /// Returns when the call ends if a part of the response has arrived at `arrived_at` and nothing more
    /// follows.
    pub fn deadline_after_bytes(self, arrived_at: Instant) -> Instant {
        let extended = self.deadline.max(arrived_at + MAX_RESPONSE_PAUSE);
        extended.min(self.deadline + self.max_extension)
    }
}

/// Returns the result of `work`, or `None` if it is not complete within [`LATE_READ_TIME`] after the deadline
/// has expired.
pub(super) async fn finish_by<F: Future>(deadline: Instant, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    match timeout_at(deadline, work.as_mut()).await {
        Ok(result) => Some(result),
        Err(_) => timeout(LATE_READ_TIME, work).await.ok(),
    }
}
