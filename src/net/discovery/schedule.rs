//! Schedules a node's calls to discovery: its first call, and the retries of failed calls.

use std::time::Duration;

use crate::net::discovery::backoff::Backoff;
use crate::net::discovery::call_times::{FIRST_RESPONSE_TIME, NOTIFIED_AFTER, RETRY_RESPONSE_TIME};

/// Minimum of the initial pause at a shared service. [`SPREAD_PER_NODE`] is longer, so the minimum applies
/// only if the settings give a node count of 0.
const MIN_SHARED_PAUSE: Duration = Duration::from_millis(20);
/// The initial pause after a failed call to an agent. It is short because the calls take no capacity from
/// other nodes, none of which calls this agent, and because calls are treated as one uninterrupted watch
/// while each of them arrives at the agent within 200 ms of the previous response.
const AGENT_INITIAL_PAUSE: Duration = Duration::from_millis(20);
/// The maximum pause after a failed call to an agent, before jitter.
pub const AGENT_MAX_PAUSE: Duration = Duration::from_millis(160);
/// The time that each node of the fleet adds to the spread of first calls, and of pauses after failed calls,
/// at a shared service. The service has a fixed capacity and keeps working on calls whose callers have timed
/// out. If all nodes call at once, and again as soon as their calls have failed, the service stays overloaded
/// forever.
const SPREAD_PER_NODE: Duration = Duration::from_millis(50);
/// The ratio of the maximum pause to the initial one at a shared service.
pub const MAX_PAUSE_FACTOR: u32 = 2;
/// The longest delay of a first call: it leaves time for the response before [`NOTIFIED_AFTER`].
const MAX_FIRST_CALL_DELAY: Duration = NOTIFIED_AFTER.saturating_sub(FIRST_RESPONSE_TIME);
/// The longest pause between calls after a move, until discovery has sent the first list from its new
/// address. Several calls fit into
/// [`NOTIFIED_AFTER_MOVE`](crate::net::discovery::call_times::NOTIFIED_AFTER_MOVE).
const MAX_PAUSE_BEFORE_FIRST_LIST: Duration = Duration::from_millis(500);
/// The share of a pause limited by a deadline that is drawn at random.
const JITTER_SHARE: f64 = 0.2;

/// Schedules the calls of one node, so that all nodes together do not overload discovery and no node's list
/// becomes too old.
pub struct WatchSchedule {
    backoff: Backoff,
    /// The longest delay of the first call of a node that already has a list.
    max_first_call_delay: Duration,
}

impl WatchSchedule {
    /// Creates the schedule of one of `node_count` nodes. `polls_endpoint_list` says that the nodes poll one
    /// shared service; otherwise each node calls its own agent. The random delays and pauses are drawn with
    /// `seed`.
    ///
    /// An agent is called without delay, for three reasons: a change that the agent holds counts as notified
    /// at once, even if the node has missed it (see [`NOTIFIED_AFTER`]); the node may miss a drain during
    /// each pause in its watch; and no other node calls this agent.
    pub fn new(seed: u64, node_count: u32, polls_endpoint_list: bool) -> Self {
        if !polls_endpoint_list {
            return WatchSchedule {
                backoff: Backoff::new(seed, AGENT_INITIAL_PAUSE, AGENT_MAX_PAUSE),
                max_first_call_delay: Duration::ZERO,
            };
        }
        let initial_pause = (SPREAD_PER_NODE * node_count).clamp(MIN_SHARED_PAUSE, NOTIFIED_AFTER);
        WatchSchedule {
            backoff: Backoff::new(seed, initial_pause, initial_pause * MAX_PAUSE_FACTOR),
            max_first_call_delay: initial_pause.min(MAX_FIRST_CALL_DELAY),
        }
    }

    /// Returns the delay of the first call of a node that already has a list.
    pub fn first_call_delay(&mut self) -> Duration {
        self.backoff.random_part_of(self.max_first_call_delay)
    }

    /// Returns the pause after a call that failed `call_time` after it began. The retry has to be in time
    /// however the call ended: a change that discovery has when the call begins counts as notified
    /// [`NOTIFIED_AFTER`] after that time.
    pub fn pause_after_failure(&mut self, call_time: Duration) -> Duration {
        self.limited_pause(NOTIFIED_AFTER.saturating_sub(RETRY_RESPONSE_TIME + call_time))
    }

    /// Returns the pause after a call that failed after a move, before discovery has sent the first list from
    /// its new address.
    pub fn pause_before_first_list(&mut self) -> Duration {
        self.limited_pause(MAX_PAUSE_BEFORE_FIRST_LIST)
    }

    /// Restarts from the initial pause, after a call that has succeeded.
    pub(super) fn reset(&mut self) {
        self.backoff.reset();
    }

    /// Returns the next pause, which is at most `max_pause`. If all long pauses were cut to the same length,
    /// all nodes would call at the same times, so the last part of a pause that reaches the limit is drawn at
    /// random.
    fn limited_pause(&mut self, max_pause: Duration) -> Duration {
        let pause = self.backoff.next_pause();
        if pause < max_pause {
            return pause;
        }
        let jitter = self.backoff.random_part_of(max_pause.mul_f64(JITTER_SHARE));
        // `max_pause` may be 0, but a failed call must not be repeated in a tight loop. This lower bound also
        // applies at a shared service.
        (max_pause - jitter).max(AGENT_INITIAL_PAUSE / 2)
    }
}
