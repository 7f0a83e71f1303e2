//! The model counter: a few parts that serve calls in turn, each at its share of a given rate.

use std::collections::HashMap;

use edge_node::decision::{CounterKey, Micros, Outcome};

/// No name is kept for longer.
const KEEP_MOST: Micros = 60_000_000;
/// Names that are over are dropped this often.
const SWEEP: Micros = 10_000_000;

/// What the counter does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// Serves them.
    Well,
    /// Takes them in and says nothing; nothing is added.
    Silent,
    /// Answers each with `-BUSY`.
    Busy,
}

/// What becomes of a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// When the answer leaves.
    pub at: Micros,
    /// `Ok` or `Full`.
    pub outcome: Outcome,
    /// The total, with `Ok`.
    pub total: f64,
}

/// One counter service.
pub struct Counter {
    /// What it does with calls now.
    pub mood: Mood,
    free: Vec<Micros>,
    /// Time of one call at one part.
    each: Micros,
    /// A part with a line this long (as time) turns calls away.
    line_most: Micros,
    /// Danger: never gone through in order, or a run would not repeat.
    totals: HashMap<u64, (f64, Micros)>,
    swept: Micros,
}

impl Counter {
    /// A counter of so many parts that does `rate` calls a second in all, and lets `queue` calls wait at each.
    pub fn new(rate: f64, parts: usize, queue: u32) -> Self {
        let each = ((parts as f64 / rate * 1e6).round() as Micros).max(1);
        let line_most = each.saturating_mul(Micros::from(queue));
        let free = vec![0; parts];
        Counter { mood: Mood::Well, free, each, line_most, totals: HashMap::new(), swept: 0 }
    }

    /// Takes a call that arrives now; none if it will never be answered.
    pub fn add(&mut self, now: Micros, name: CounterKey, amount: f64, keep: Micros) -> Option<Reply> {
        match self.mood {
            Mood::Silent => return None,
            Mood::Busy => return Some(Reply { at: now, outcome: Outcome::Rejected, total: 0.0 }),
            Mood::Well => {}
        }
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.totals.retain(|_, &mut (_, over)| now < over);
        }
        let part = (name.0 % self.free.len() as u64) as usize;
        let begin = self.free[part].max(now);
        if begin - now > self.line_most {
            return Some(Reply { at: now, outcome: Outcome::Rejected, total: 0.0 });
        }
        let at = begin + self.each;
        self.free[part] = at;
        let entry = self.totals.entry(name.0).or_insert((0.0, 0));
        if entry.1 <= at {
            *entry = (0.0, at + keep.min(KEEP_MOST));
        }
        entry.0 += amount;
        Some(Reply { at, outcome: Outcome::Ok, total: entry.0 })
    }
}
