//! The times of calls to discovery: when a call that has no response is followed by a further one, and when
//! it is given up.
//!
//! The two are far apart. A call that seems lost is repeated soon, because a lost call gets no response at
//! all. It stays open beside its repetition, because a slow discovery may respond to it after the repetition
//! has begun; a node that gave it up then would never hear a discovery slower than that.

use std::cell::Cell;
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
/// The time left for the response to a node's first call before the list counts as notified.
pub const FIRST_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// How long discovery holds a long poll open while there is no change, in milliseconds.
pub(super) const WATCH_WAIT_MS: u64 = 4_000;
const WATCH_WAIT: Duration = Duration::from_millis(WATCH_WAIT_MS);
/// The time after the end of its wait at which a long poll without a response is overdue.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// When a long poll without a response is overdue. This is less than [`NOTIFIED_AFTER`], so that a further
/// call is made before the changes that a long poll on a dead connection misses count as notified.
pub const WATCH_OVERDUE_AFTER: Duration = WATCH_WAIT.saturating_add(WATCH_GRACE);
/// When a request for the full list without a response is overdue. Several such calls fit into
/// [`NOTIFIED_AFTER_MOVE`].
pub const FULL_LIST_OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// The longest pause within a response that postpones the time at which the call is overdue. On a busy core a
/// long list takes a long time to arrive, and a further call would take that time again.
pub const MAX_RESPONSE_PAUSE: Duration = Duration::from_millis(250);
/// The longest time by which a call is overdue later because its response is arriving. Even with it, the first
/// call after a move is overdue within [`NOTIFIED_AFTER_MOVE`].
pub const MAX_POSTPONEMENT: Duration = Duration::from_millis(2_500);

/// The time after which a request for the full list is given up. A response that is in time for a change that
/// discovery had when the call began arrives before.
pub const FULL_LIST_TIME_LIMIT: Duration = NOTIFIED_AFTER;
/// The time after which a long poll is given up. A response that is in time for a change at the end of
/// its wait arrives before.
pub const WATCH_TIME_LIMIT: Duration = WATCH_WAIT.saturating_add(NOTIFIED_AFTER);
/// The time after which the one call that waits longest is given up. With it, a node hears a discovery that
/// responds later than changes count as notified: too late, but not never.
pub const LONGEST_TIME_LIMIT: Duration = Duration::from_secs(60);
/// The additional time for work whose deadline has passed. If the thread was busy for longer than the
/// timeout, the timeout expires before data that has already arrived is read.
const LATE_READ_TIME: Duration = Duration::from_millis(10);

/// Tells when a call is overdue, so that a further one begins. This is later while its response arrives.
pub struct OverdueTimer {
    deadline: Instant,
    /// The longest postponement. If a further call began later than that, its response would arrive too late:
    /// its changes would already count as notified.
    max_postponement: Duration,
    current_deadline: Cell<Instant>,
}

impl OverdueTimer {
    /// Creates the timer of a call that began at `began_at` and is overdue after `wait` without a response.
    pub fn new(began_at: Instant, wait: Duration) -> Self {
        let time_left = NOTIFIED_AFTER.saturating_sub(RETRY_RESPONSE_TIME + wait);
        let deadline = began_at + wait;
        OverdueTimer {
            deadline,
            max_postponement: MAX_POSTPONEMENT.min(time_left),
            current_deadline: Cell::new(deadline),
        }
    }

    /// Returns when the call is overdue if nothing more of its response arrives.
    pub fn deadline(&self) -> Instant {
        self.current_deadline.get()
    }

    /// Postpones the deadline, since a part of the response has arrived at `arrived_at`.
    pub fn bytes_arrived(&self, arrived_at: Instant) {
        let postponed = self.deadline.max(arrived_at + MAX_RESPONSE_PAUSE);
        self.current_deadline.set(postponed.min(self.deadline + self.max_postponement));
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
