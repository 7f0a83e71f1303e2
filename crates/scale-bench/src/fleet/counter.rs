//! The model counter service: parts that serve calls one after the other, each at its share of a given rate.

use std::collections::HashMap;

use edge_node::decision::{CounterKey, Micros, Outcome};

/// No counter is kept for longer.
const MAX_KEEP_FOR: Micros = 60_000_000;
/// Expired counters are removed this often.
const SWEEP_INTERVAL: Micros = 10_000_000;

/// What the counter service does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterMode {
    /// Serves them.
    Serving,
    /// Accepts them, adds nothing and never replies.
    Silent,
    /// Replies `-BUSY` to each.
    Busy,
}

/// The reply to a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// When the reply leaves the service.
    pub at: Micros,
    /// `Ok` or `Rejected`.
    pub outcome: Outcome,
    /// The counter's total after the call; valid with `Ok`.
    pub total: f64,
}

#[derive(Clone, Copy, Default)]
struct Total {
    units: f64,
    expires_at: Micros,
}

/// One counter service.
pub struct CounterService {
    mode: CounterMode,
    /// By part, when it has served all calls that it accepted.
    free_at: Vec<Micros>,
    time_per_call: Micros,
    /// A part whose backlog takes longer than this rejects calls.
    max_backlog: Micros,
    /// Never iterated in order: the order of a hash map would differ from run to run.
    totals: HashMap<u64, Total>,
    last_sweep_at: Micros,
}

impl CounterService {
    /// Creates a service of `parts` parts that serves `rate` calls a second in all and queues up to
    /// `queue_length` calls at each part.
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

    /// Sets what the service does with calls from now on.
    pub fn set_mode(&mut self, mode: CounterMode) {
        self.mode = mode;
    }

    /// Accepts a call that arrives now; `None` if it will never be answered.
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
