//! The schedule of a graceful shutdown, from SIGTERM on.
//!
//! Idle connections are closed twice: before the listener closes, so that their clients can connect anew elsewhere or
//! here, and again as it closes, for the connections opened in between. Once the listener has closed, the process exits
//! before the schedule's end as soon as the backlog is accepted, no client is connected or waits, and the counter's
//! calls have ended.

use std::time::Duration;

/// The process is killed this long after SIGTERM at the soonest: the longest total time-out of the settings' classes,
/// counted as three seconds where it is longer, and the kill margin. What has no response then is lost.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// New connections go on arriving for 0.4 s, so idle ones are closed after that. Clients whose request crosses the
/// close can still connect anew until the listener closes.
const CLOSE_IDLE_AT: Duration = Duration::from_millis(450);
/// When the listener closes, unless the kill follows too soon.
const CLOSE_LISTENER_AT: Duration = Duration::from_millis(900);
const CLOSE_LISTENER_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Open requests fail this long before the kill, and the process exits this long before it: the time between is for
/// responses still being written. With the shortest time-outs both follow the close of the listener directly.
const FAIL_REQUESTS_BEFORE_KILL: Duration = Duration::from_millis(400);
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The least time in which responses are still written after open requests have failed.
pub const MIN_FLUSH_TIME: Duration = Duration::from_millis(100);

/// When each step of a shutdown is due, as spans from SIGTERM.
pub struct ShutdownSchedule {
    /// Idle connections are closed.
    pub close_idle_at: Duration,
    /// The listener is closed.
    pub close_listener_at: Duration,
    /// Requests without a final response fail.
    pub fail_requests_at: Duration,
    /// The process exits, whatever is still being written.
    pub exit_at: Duration,
}

impl ShutdownSchedule {
    /// The schedule for settings whose classes have this longest total time-out.
    ///
    /// With short time-outs the times before the kill would precede the close of the listener, and the process would
    /// exit with responses unwritten; so each step follows the one before.
    pub fn new(longest_total_timeout: Duration) -> Self {
        let killed_at = longest_total_timeout.min(MAX_COUNTED_TIMEOUT) + KILL_MARGIN;
        let close_listener_at = CLOSE_LISTENER_AT.min(killed_at - CLOSE_LISTENER_BEFORE_KILL);
        let fail_requests_at = (killed_at - FAIL_REQUESTS_BEFORE_KILL).max(close_listener_at);
        let exit_at = (killed_at - EXIT_BEFORE_KILL).max(fail_requests_at + MIN_FLUSH_TIME);
        ShutdownSchedule { close_idle_at: CLOSE_IDLE_AT, close_listener_at, fail_requests_at, exit_at }
    }
}
