//! When a node calls discovery: its first call, and again after calls that failed.

use std::time::Duration;

use crate::net::discovery::backoff::Backoff;
use crate::net::discovery::timeout::{FETCH_TIMEOUT, NOTIFIED_AFTER, RETRY_RESPONSE_TIME};

/// The shortest first pause where all nodes call one shared service.
const MIN_SHARED_PAUSE: Duration = Duration::from_millis(20);
/// The first pause after a failed call to an agent. It responds at no cost, and a watch goes on as one while each call
/// comes within 200 ms of the last response.
const AGENT_FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest of these pauses.
pub const AGENT_MAX_PAUSE: Duration = Duration::from_millis(160);
/// What each node of the fleet adds to the spread of first calls, and of pauses after failed calls, at a shared
/// service. That has a fixed capacity and goes on working on calls that nobody waits for any more: nodes that all call
/// at once, and again as soon as they have failed, keep it overloaded for ever.
const SPREAD_PER_NODE: Duration = Duration::from_millis(50);
/// How many times longer the longest pause is than the first at a shared service.
pub const MAX_PAUSE_FACTOR: u32 = 2;
/// The longest delay of a first call: it needs time for its response, too.
const MAX_FIRST_CALL_DELAY: Duration = NOTIFIED_AFTER.saturating_sub(FETCH_TIMEOUT);
/// The longest pause between calls until discovery has sent its first list. After a move several calls fit into
/// [`NOTIFIED_AFTER_MOVE`](crate::net::discovery::timeout::NOTIFIED_AFTER_MOVE).
const MAX_PAUSE_BEFORE_FIRST_LIST: Duration = Duration::from_millis(500);
/// The share of a limited pause that is drawn at random.
const JITTER_SHARE: f64 = 0.2;

/// When one node calls discovery: such that all nodes together do not overload it and no list grows too old.
pub struct WatchSchedule {
    backoff: Backoff,
    /// The longest delay of the first call of a node that has a list already.
    max_first_call_delay: Duration,
}

impl WatchSchedule {
    /// For one of `node_count` nodes. `is_shared`: discovery is one service shared by all nodes, not an agent.
    ///
    /// An agent is called without delay: a change that it holds and the node missed counts against the node at once,
    /// each pause in the watch may miss a drain, and no other node calls the agent.
    pub fn new(seed: u64, node_count: u32, is_shared: bool) -> Self {
        if !is_shared {
            return WatchSchedule {
                backoff: Backoff::new(seed, AGENT_FIRST_PAUSE, AGENT_MAX_PAUSE),
                max_first_call_delay: Duration::ZERO,
            };
        }
        let first_pause = (SPREAD_PER_NODE * node_count).clamp(MIN_SHARED_PAUSE, NOTIFIED_AFTER);
        WatchSchedule {
            backoff: Backoff::new(seed, first_pause, first_pause * MAX_PAUSE_FACTOR),
            max_first_call_delay: first_pause.min(MAX_FIRST_CALL_DELAY),
        }
    }

    /// The delay of the first call of a node that has a list already.
    pub fn first_call_delay(&mut self) -> Duration {
        self.backoff.random_part_of(self.max_first_call_delay)
    }

    /// The pause after a call that failed `call_time` after it began. A change of the time at which the call began
    /// counts against the node from [`NOTIFIED_AFTER`] on, however the call ended.
    pub fn pause_after_failure(&mut self, call_time: Duration) -> Duration {
        self.limited_pause(NOTIFIED_AFTER.saturating_sub(RETRY_RESPONSE_TIME + call_time))
    }

    /// The pause after a call that failed before discovery has sent its first list, at the start or after a move.
    pub fn pause_before_first_list(&mut self) -> Duration {
        self.limited_pause(MAX_PAUSE_BEFORE_FIRST_LIST)
    }

    /// A call succeeded: the next pause is the first again.
    pub(super) fn reset(&mut self) {
        self.backoff.reset();
    }

    /// The next pause, at most `max_pause`. Pauses cut off at one length would bring all nodes into step, so the last
    /// part of a limited one is drawn at random.
    fn limited_pause(&mut self, max_pause: Duration) -> Duration {
        let pause = self.backoff.next_pause();
        if pause < max_pause {
            return pause;
        }
        let jitter = self.backoff.random_part_of(max_pause.mul_f64(JITTER_SHARE));
        (max_pause - jitter).max(AGENT_FIRST_PAUSE / 2)
    }
}
