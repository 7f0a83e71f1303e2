//! How well the counter service answers: the pause after failures and the share of requests that ask it.

use super::counter_call::{CounterCall, CounterReply};
use crate::decision::estimators::RandomSource;
use crate::decision::{Micros, Settings};

/// The pause after a failed call: it doubles from the first to the longest.
const FIRST_BACKOFF: Micros = 50_000;
const LONGEST_BACKOFF: Micros = 800_000;
/// Additive increase of the share that asks, after a prompt reply.
const ASK_SHARE_INCREASE: f64 = 0.10;
/// Multiplicative decrease of the share that asks, after a late reply or none.
const ASK_SHARE_DECREASE: f64 = 0.85;
/// Least share that asks: this many over the number of nodes, and no less than the floor.
const LEAST_ASK_SHARE_OF_FLEET: f64 = 4.0;
const ASK_SHARE_FLOOR: f64 = 0.05;
/// Below this share the service is too busy for calls that can wait.
const RESPONSIVE_ASK_SHARE: f64 = 0.5;

/// The health of the counter service, as its replies to this node show it.
pub(super) struct CounterHealth {
    backoff: Micros,
    /// When the latest pause began; 0 before the first.
    paused_at: Micros,
    paused_until: Micros,
    ask_share: f64,
}

impl CounterHealth {
    pub fn new() -> Self {
        CounterHealth { backoff: FIRST_BACKOFF, paused_at: 0, paused_until: 0, ask_share: 1.0 }
    }

    /// Whether the service may be called now.
    pub fn is_available(&self, settings: &Settings, now: Micros) -> bool {
        settings.counter.enabled && now >= self.paused_until
    }

    /// Whether the backoff has reached its longest since the latest total, by calls that failed one after
    /// another.
    pub fn has_failed_repeatedly(&self) -> bool {
        self.backoff >= LONGEST_BACKOFF
    }

    /// Whether the service answers well enough for calls that can wait.
    pub fn is_responsive(&self) -> bool {
        self.ask_share > RESPONSIVE_ASK_SHARE
    }

    /// The share of requests without a lease that ask the counter, 0 to 1 (AIMD).
    pub fn ask_share(&self) -> f64 {
        self.ask_share
    }

    /// Records the end of a call that is not read again. What could not be read twice in a row counts as a
    /// failure: a proxy before a dead counter accepts connections and resets them, for as long as it is dead.
    pub fn record(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut RandomSource,
        call: &CounterCall,
        reply: CounterReply,
    ) {
        let is_prompt = now.saturating_sub(call.sent_at) < settings.counter.timeout / 2;
        self.adapt_ask_share(reply.is_success() && is_prompt, settings.node_count);
        if let CounterReply::Total(_) = reply {
            self.backoff = FIRST_BACKOFF;
            self.paused_until = 0;
        } else if call.sent_at >= self.paused_at {
            self.pause(now, random);
        }
    }

    /// If all nodes asked for every request, they would overload the service, and then none gets a reply.
    fn adapt_ask_share(&mut self, was_prompt: bool, node_count: u32) {
        let share = if was_prompt {
            self.ask_share + ASK_SHARE_INCREASE
        } else {
            self.ask_share * ASK_SHARE_DECREASE
        };
        self.ask_share = share.max(LEAST_ASK_SHARE_OF_FLEET / node_count as f64).clamp(ASK_SHARE_FLOOR, 1.0);
    }

    /// Lets an unresponsive or overloaded service recover. The random half of the pause keeps the nodes
    /// from coming back in step. Calls that were in flight as a pause began show the same failure as the one
    /// that led to it, and lengthen neither that pause nor the next.
    fn pause(&mut self, now: Micros, random: &mut RandomSource) {
        self.paused_at = now;
        let jitter = (random.uniform() * self.backoff as f64 / 2.0) as Micros;
        self.paused_until = now + self.backoff / 2 + jitter;
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }
}
