//! Models the counter service: it consists of parts, each of which serves its calls one at a time at an equal
//! share of the service's rate.

use std::collections::HashMap;

use edge_node::decision::{CounterKey, Micros, Outcome};

/// The longest time for which the service keeps a counter, whatever the call asks for.
const MAX_KEEP_FOR: Micros = 60_000_000;
/// Minimum time between two removals of expired counters.
const SWEEP_INTERVAL: Micros = 10_000_000;

/// How the counter service handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterMode {
    /// It serves them.
    Serving,
    /// It accepts them, does not add their amounts and never replies.
    Silent,
    /// It rejects each of them with `-BUSY`.
    Busy,
}

/// The reply to a counter call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// When the reply leaves the service.
    pub at: Micros,
    /// `Ok` or `Rejected`.
    pub outcome: Outcome,
    /// The counter's total after the call, in units. Only valid if the outcome is `Ok`.
    pub total: f64,
}

#[derive(Clone, Copy, Default)]
struct Total {
    units: f64,
    expires_at: Micros,
}

/// The state of the counter service.
pub struct CounterService {
    mode: CounterMode,
    /// For each part, the time at which it has served all calls that it accepted.
    free_at: Vec<Micros>,
    time_per_call: Micros,
    /// A part rejects a call if its backlog takes longer than this to serve.
    max_backlog: Micros,
    /// Totals by counter key. No result may depend on the iteration order, because it differs from run to
    /// run.
    totals: HashMap<u64, Total>,
    last_sweep_at: Micros,
}

impl CounterService {
    /// Creates a service of `parts` parts that together serve `rate` calls/s. Each part queues up to
    /// `queue_length` calls.
    pub fn new(rate: f64, parts: usize, queue_length: u32) -> Self {
        let time_per_call = ((parts as f64 / rate * 1e6).round() as Micros).max(1);
        CounterService {
            mode: CounterMode::Serving,
            free_at: vec![0; parts],
            time_per_call,
            max_backlog: time_per_call.saturating_mul(Micros::from(queue_length)),
            totals: HashMap::new(),
            last_sweep_at: 0,
        }
    }

    /// Sets how the service handles calls from now on.
    pub fn set_mode(&mut self, mode: CounterMode) {
        self.mode = mode;
    }

    /// Handles a call that adds `amount` units to a counter and arrives now. A counter that this call creates
    /// expires `keep_for` after the call is served.
    ///
    /// Returns `None` if the service never replies.
    pub fn increment(
        &mut self,
        now: Micros,
        key: CounterKey,
        amount: f64,
        keep_for: Micros,
    ) -> Option<Reply> {
        let rejected = Reply { at: now, outcome: Outcome::Rejected, total: 0.0 };
        match self.mode {
            CounterMode::Silent => return None,
            CounterMode::Busy => return Some(rejected),
            CounterMode::Serving => {}
        }
        self.remove_expired(now);
        let part = (key.0 % self.free_at.len() as u64) as usize;
        let begins_at = self.free_at[part].max(now);
        if begins_at - now > self.max_backlog {
            return Some(rejected);
        }
        let served_at = begins_at + self.time_per_call;
        self.free_at[part] = served_at;
        let entry = self.totals.entry(key.0).or_default();
        if entry.expires_at <= served_at {
            *entry = Total { units: 0.0, expires_at: served_at + keep_for.min(MAX_KEEP_FOR) };
        }
        entry.units += amount;
        Some(Reply { at: served_at, outcome: Outcome::Ok, total: entry.units })
    }

    fn remove_expired(&mut self, now: Micros) {
        if now >= self.last_sweep_at + SWEEP_INTERVAL {
            self.last_sweep_at = now;
            self.totals.retain(|_, total| now < total.expires_at);
        }
    }
}
