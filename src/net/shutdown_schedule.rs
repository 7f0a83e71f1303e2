//! The timetable of a planned stop, from SIGTERM on.

use std::time::Duration;

/// The machine is killed so long after SIGTERM at the soonest: the longest deadline, counted as three seconds
/// where it is longer, and this much more. What is unanswered then is lost.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// New connections go on coming for 0.4 s: idle ones are closed after this, and what crosses that can still
/// connect anew until the listener closes, unless the kill comes too soon after.
const IDLE: Duration = Duration::from_millis(450);
const DEAF: Duration = Duration::from_millis(900);
const DEAF_BEFORE_KILL: Duration = Duration::from_millis(200);
/// What is open this long before the kill has failed, and this long before it the node ends: the rest is for
/// answers still being written. With the shortest deadlines both come right behind the listener's end.
const FAIL_BEFORE_KILL: Duration = Duration::from_millis(400);
const END_BEFORE_KILL: Duration = Duration::from_millis(200);
/// How long answers are still written at the least.
pub const MIN_FLUSH_TIME: Duration = Duration::from_millis(100);

/// When what is done, as spans from SIGTERM.
pub struct ShutdownSchedule {
    /// Idle connections are closed.
    pub close_idle_at: Duration,
    /// The listener is closed.
    pub close_listener_at: Duration,
    /// What is unanswered has failed.
    pub fail_requests_at: Duration,
    /// The node ends, whatever is still being written.
    pub exit_at: Duration,
}

impl ShutdownSchedule {
    /// For settings whose longest deadline is this one. Danger: reckoned from the deadline alone, the last moment
    /// of a stop lay before the listener's end where all deadlines are short, and the node ended with answers
    /// unwritten.
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = longest_deadline.min(DEADLINE_MOST) + KILLED_AFTER;
        let deaf = DEAF.min(kill - DEAF_BEFORE_KILL);
        let fail = (kill - FAIL_BEFORE_KILL).max(deaf);
        ShutdownSchedule {
            close_idle_at: IDLE,
            close_listener_at: deaf,
            fail_requests_at: fail,
            exit_at: (kill - END_BEFORE_KILL).max(fail + MIN_FLUSH_TIME),
        }
    }
}
