//! Tracks how well the counter service responds: the pause after failures, and the share of requests that
//! call it.

use super::counter_call::{CounterCall, CounterReply};
use crate::decision::estimators::RandomSource;
use crate::decision::{Micros, Settings};

/// Upper bound of the pause after a failed call. It doubles with each failure from the initial to the maximum
/// value. The pause is at least half of it.
const INITIAL_BACKOFF: Micros = 50_000;
const MAX_BACKOFF: Micros = 800_000;
/// Additive increase of the call share after a prompt reply.
const CALL_SHARE_INCREASE: f64 = 0.10;
/// Factor by which the call share decreases after a late reply or none.
const CALL_SHARE_DECREASE_FACTOR: f64 = 0.85;
/// Lower bound of the call share: `MIN_CALL_SHARE_NODES` divided by the number of nodes, and at least
/// `MIN_CALL_SHARE`.
const MIN_CALL_SHARE_NODES: f64 = 4.0;
const MIN_CALL_SHARE: f64 = 0.05;
/// At or below this call share, the service is too busy for calls that can wait.
const RESPONSIVE_CALL_SHARE: f64 = 0.5;

/// The health of the counter service, derived from its replies to this node.
pub(super) struct CounterHealth {
    /// Upper bound of the next pause.
    backoff: Micros,
    /// When the latest pause began; 0 before the first.
    paused_at: Micros,
    /// When the latest pause ends; 0 before the first pause and after each total.
    paused_until: Micros,
    call_share: f64,
}

impl CounterHealth {
    pub fn new() -> Self {
        CounterHealth { backoff: INITIAL_BACKOFF, paused_at: 0, paused_until: 0, call_share: 1.0 }
    }

    /// Returns whether the service may be called at `now`: it is enabled and no pause is in effect.
    pub fn is_available(&self, settings: &Settings, now: Micros) -> bool {
        settings.counter.enabled && now >= self.paused_until
    }

    /// Returns whether failed calls, one after another, have raised the backoff to its maximum since the
    /// latest total.
    pub fn has_failed_repeatedly(&self) -> bool {
        self.backoff >= MAX_BACKOFF
    }

    /// Returns whether the service responds well enough for calls that can wait.
    pub fn is_responsive(&self) -> bool {
        self.call_share > RESPONSIVE_CALL_SHARE
    }

    /// Returns the share of requests without a lease that call the counter, 0 to 1. It is adapted by additive
    /// increase and multiplicative decrease (AIMD).
    pub fn call_share(&self) -> f64 {
        self.call_share
    }

    /// Records the end of a call that is not read again.
    ///
    /// Two unreadable replies in a row count as a failure: a proxy in front of a dead counter service accepts
    /// connections and resets them for as long as the service is dead.
    pub fn record(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut RandomSource,
        call: &CounterCall,
        reply: CounterReply,
    ) {
        let is_prompt = now.saturating_sub(call.sent_at) < settings.counter.timeout / 2;
        self.adapt_call_share(reply.is_success() && is_prompt, settings.node_count);
        if let CounterReply::Total(_) = reply {
            self.backoff = INITIAL_BACKOFF;
            self.paused_until = 0;
        } else if call.sent_at >= self.paused_at {
            self.pause(now, random);
        }
    }

    /// Adapts the call share. If all nodes called the service for every request, they would overload it, and
    /// then no call would get a reply.
    fn adapt_call_share(&mut self, was_prompt: bool, node_count: u32) {
        let share = if was_prompt {
            self.call_share + CALL_SHARE_INCREASE
        } else {
            self.call_share * CALL_SHARE_DECREASE_FACTOR
        };
        self.call_share = share.max(MIN_CALL_SHARE_NODES / node_count as f64).clamp(MIN_CALL_SHARE, 1.0);
    }

    /// Starts a pause in which an unresponsive or overloaded service can recover.
    ///
    /// Half of the pause is random, which keeps the nodes from resuming their calls at the same time. Calls
    /// that were already in flight when a pause began show the same failure as the one that caused it, and
    /// lengthen neither that pause nor the next.
    fn pause(&mut self, now: Micros, random: &mut RandomSource) {
        self.paused_at = now;
        let jitter = (random.uniform() * self.backoff as f64 / 2.0) as Micros;
        self.paused_until = now + self.backoff / 2 + jitter;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
