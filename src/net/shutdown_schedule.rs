//! The schedule of a graceful shutdown, counted from SIGTERM.
//!
//! Idle connections are closed twice: first before the listener closes, so that their clients can connect
//! again to this or another node, and then when the listener closes, for the connections that were opened in
//! between. After the listener has closed, the process exits before the end of the schedule as soon as the
//! backlog is accepted, no client is connected or waits, and the calls to the counter service have ended.

use std::time::Duration;

/// The upper limit for the longest total timeout in the computation of the kill.
///
/// The process is killed, at the earliest, this long after SIGTERM: the longest total timeout of the request
/// classes in the settings, limited to `MAX_COUNTED_TIMEOUT`, plus `KILL_MARGIN`. Requests without a response
/// by then are lost.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between the counted timeout and the kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// When idle connections are closed. New connections arrive until 0.4 s after SIGTERM, so this is later.
/// Clients whose request is on its way when the connection closes can connect again until the listener
/// closes.
const CLOSE_IDLE_AT: Duration = Duration::from_millis(450);
/// When the listener closes, unless this is less than `CLOSE_LISTENER_BEFORE_KILL` before the kill.
const CLOSE_LISTENER_AT: Duration = Duration::from_millis(900);
/// How long before the kill the listener closes at the latest.
const CLOSE_LISTENER_BEFORE_KILL: Duration = Duration::from_millis(200);
/// How long before the kill the open requests fail. Between this and the exit, responses are still written.
/// With the shortest timeouts both steps directly follow the close of the listener.
const FAIL_REQUESTS_BEFORE_KILL: Duration = Duration::from_millis(400);
/// How long before the kill the process exits.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The shortest time between the failure of the open requests and the exit, in which their responses are
/// written.
pub const MIN_FLUSH_TIME: Duration = Duration::from_millis(100);

/// The times of the steps of a graceful shutdown, each counted from SIGTERM.
pub struct ShutdownSchedule {
    /// When idle connections are closed for the first time.
    pub close_idle_at: Duration,
    /// When the listener is closed, and idle connections for the second time.
    pub close_listener_at: Duration,
    /// When requests without a final response fail.
    pub fail_requests_at: Duration,
    /// When the process exits, even if responses are still being written.
    pub exit_at: Duration,
}

impl ShutdownSchedule {
    /// Computes the schedule for settings whose request classes have this longest total timeout.
    ///
    /// No step precedes an earlier one. Without this rule, short timeouts would place the steps that are
    /// counted back from the kill before the close of the listener, and the process would exit before
    /// responses are written.
    pub fn new(longest_total_timeout: Duration) -> Self {
        let killed_at = longest_total_timeout.min(MAX_COUNTED_TIMEOUT) + KILL_MARGIN;
        let close_listener_at = CLOSE_LISTENER_AT.min(killed_at - CLOSE_LISTENER_BEFORE_KILL);
        let fail_requests_at = (killed_at - FAIL_REQUESTS_BEFORE_KILL).max(close_listener_at);
        let exit_at = (killed_at - EXIT_BEFORE_KILL).max(fail_requests_at + MIN_FLUSH_TIME);
        ShutdownSchedule { close_idle_at: CLOSE_IDLE_AT, close_listener_at, fail_requests_at, exit_at }
    }
}
