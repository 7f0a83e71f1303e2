//! Limits the idle time after which a connection is reused. The limit is learned from how requests on reused
//! connections end.

use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The number of buckets for idle times. The boundaries of the buckets are half octaves (a factor of √2
/// apart), from under a millisecond to about a minute.
const IDLE_TIME_BUCKETS: usize = 32;
/// The cost of a new connection (its handshake and the endpoint's work for it), in connection breaks.
const NEW_CONNECTION_COST: f64 = 0.05;
/// A limit is set only if it avoids more breaks than this, beyond the cost of the new connections.
const MIN_SAVED_BREAKS: f64 = 2.0;
/// The factor by which every count is multiplied once a second.
const DECAY_PER_SECOND: f64 = 0.92;

/// Decaying counts of requests that ended on connections of one idle time.
#[derive(Clone, Copy, Default)]
struct EndedRequests {
    /// All requests.
    total: f64,
    /// The requests whose connection broke before the first byte of the response.
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

/// The idle time up to which connections are reused.
///
/// Endpoints or middleboxes in front of them may drop idle connections long before they signal the close. The
/// node notices this only after it has written a request, and a request that may have run and must not run
/// twice fails. If connections with long idle times break by chance for a while, each request opens a new
/// connection until the counts have decayed.
pub struct ReuseLimit {
    /// The counts for new connections.
    new_connections: Cell<EndedRequests>,
    /// The counts for reused connections, by the bucket of their idle time.
    by_idle_time: RefCell<[EndedRequests; IDLE_TIME_BUCKETS]>,
    /// The index of the first bucket whose connections are not reused; those of all later buckets are not
    /// reused either. [`IDLE_TIME_BUCKETS`] if there is no limit.
    limit: Cell<usize>,
}

impl Default for ReuseLimit {
    fn default() -> Self {
        ReuseLimit::new()
    }
}

impl ReuseLimit {
    /// Creates a limit without any counts. It allows connections of any idle time.
    pub fn new() -> Self {
        ReuseLimit {
            new_connections: Cell::default(),
            by_idle_time: RefCell::default(),
            limit: Cell::new(IDLE_TIME_BUCKETS),
        }
    }

    /// Returns whether a connection that has been idle for `idle_for` should be reused.
    pub fn allows(&self, idle_for: Duration) -> bool {
        idle_time_bucket(idle_for) < self.limit.get()
    }

    /// Records the end of a request. `idle_for` is how long its connection had been idle (`None` for a new
    /// connection); `broke` is whether the connection broke before any byte of the response arrived.
    pub fn request_ended(&self, idle_for: Option<Duration>, broke: bool) {
        match idle_for {
            Some(idle_for) => self.by_idle_time.borrow_mut()[idle_time_bucket(idle_for)].add(broke),
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

    /// Decays the counts. Must be called once a second. Connections beyond the limit are not reused, so that
    /// their counts do not grow: once these have decayed, such connections are tried again.
    pub fn decay(&self) {
        let mut ended = self.new_connections.get();
        ended.decay();
        self.new_connections.set(ended);
        for ended in self.by_idle_time.borrow_mut().iter_mut() {
            ended.decay();
        }
        self.update_limit();
    }

    /// Sets the limit to the idle time from which on new connections avoid the most breaks beyond their cost.
    /// Removes the limit if they avoid no more than [`MIN_SAVED_BREAKS`].
    fn update_limit(&self) {
        let new_connections = self.new_connections.get();
        let cost = new_connections.broken / (new_connections.total + 1.0) + NEW_CONNECTION_COST;
        let mut saved = 0.0;
        let mut most_saved = MIN_SAVED_BREAKS;
        let mut limit = IDLE_TIME_BUCKETS;
        for (bucket, ended) in self.by_idle_time.borrow().iter().enumerate().rev() {
            saved += ended.broken - cost * ended.total;
            if saved > most_saved {
                most_saved = saved;
                limit = bucket;
            }
        }
        self.limit.set(limit);
    }
}

/// Returns the index of the bucket for an idle time.
fn idle_time_bucket(idle_for: Duration) -> usize {
    let idle_ms = (idle_for.as_secs_f64() * 1e3).max(1.0);
    let bucket = (2.0 * idle_ms.log2()) as usize;
    bucket.min(IDLE_TIME_BUCKETS - 1)
}
