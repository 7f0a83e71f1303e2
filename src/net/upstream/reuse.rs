//! How long a connection may have been idle and still be used again, learned from how requests on it end.

use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Idle ages are counted by half octaves, from under a millisecond to about a minute.
const AGE_STEPS: usize = 32;
/// What a new connection costs, its handshake and the endpoint's work for it, in connection breaks.
const NEW_CONNECTION_COST: f64 = 0.05;
/// Breaks saved beyond the cost of new connections from which on older connections are not used.
const MIN_SAVED_BREAKS: f64 = 2.0;
/// What remains of a count a second later.
const DECAY_PER_SECOND: f64 = 0.92;

/// Requests that ended on connections of one age, and those of them that a break ended before the first byte of a response.
#[derive(Clone, Copy, Default)]
struct EndedRequests {
    total: f64,
    broken: f64,
}

impl EndedRequests {
    fn add(&mut self, broke: bool) {
        self.total += 1.0;
        self.broken += f64::from(u8::from(broke));
    }

    fn decay(&mut self) {
        self.total *= DECAY_PER_SECOND;
        self.broken *= DECAY_PER_SECOND;
    }
}

/// The age up to which idle connections are used again.
///
/// Endpoints, or a middlebox before them, may drop idle connections long before they say so. That shows only once a
/// request has been written, and one that may have run is lost. Where old connections break by chance for a while,
/// each request pays for a new one until the counts have decayed.
pub struct ReuseLimit {
    new_connections: Cell<EndedRequests>,
    by_age: RefCell<[EndedRequests; AGE_STEPS]>,
    /// Connections of this age step and older are not used again.
    limit: Cell<usize>,
}

impl Default for ReuseLimit {
    fn default() -> Self {
        ReuseLimit::new()
    }
}

impl ReuseLimit {
    /// Nothing is known yet: connections of any age are used again.
    pub fn new() -> Self {
        ReuseLimit {
            new_connections: Cell::default(),
            by_age: RefCell::default(),
            limit: Cell::new(AGE_STEPS),
        }
    }

    /// Whether a connection that has been idle for this long should be used again.
    pub fn allows(&self, idle_for: Duration) -> bool {
        age_step(idle_for) < self.limit.get()
    }

    /// A request ended on a connection of this idle age (none: a new one). `broke`: the connection broke before any
    /// byte of the response.
    pub fn request_ended(&self, idle_for: Option<Duration>, broke: bool) {
        match idle_for {
            Some(idle_for) => self.by_age.borrow_mut()[age_step(idle_for)].add(broke),
            None => {
                let mut ended = self.new_connections.get();
                ended.add(broke);
                self.new_connections.set(ended);
            }
        }
        if broke {
            self.update_limit();
        }
    }

    /// A second has passed. Ages that are not used any more are not counted any more, either: as their counts decay
    /// they are tried again.
    pub fn decay(&self) {
        let mut ended = self.new_connections.get();
        ended.decay();
        self.new_connections.set(ended);
        for ended in self.by_age.borrow_mut().iter_mut() {
            ended.decay();
        }
        self.update_limit();
    }

    /// Sets the limit to the age from which on new connections save the most breaks beyond their cost; to none if
    /// they save too few.
    fn update_limit(&self) {
        let new_connections = self.new_connections.get();
        let cost = new_connections.broken / (new_connections.total + 1.0) + NEW_CONNECTION_COST;
        let mut saved = 0.0;
        let mut most_saved = MIN_SAVED_BREAKS;
        let mut limit = AGE_STEPS;
        for (step, ended) in self.by_age.borrow().iter().enumerate().rev() {
            saved += ended.broken - cost * ended.total;
            if saved > most_saved {
                most_saved = saved;
                limit = step;
            }
        }
        self.limit.set(limit);
    }
}

fn age_step(idle_for: Duration) -> usize {
    let idle_ms = (idle_for.as_secs_f64() * 1e3).max(1.0);
    let step = (2.0 * idle_ms.log2()) as usize;
    step.min(AGE_STEPS - 1)
}
