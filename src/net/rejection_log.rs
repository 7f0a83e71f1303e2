//! Logs what was rejected for want of memory, without a line for each rejection.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The shortest time between two log lines about rejections of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs rejections of one kind, at most one line in each [`LOG_INTERVAL`].
pub struct RejectionLog {
    /// What there was no memory for.
    holders: &'static str,
    /// What was rejected.
    rejected: &'static str,
    /// The number of rejections since the latest log line.
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl RejectionLog {
    /// Creates a log of what is `rejected` for want of memory for `holders`, both in the plural.
    pub fn new(holders: &'static str, rejected: &'static str) -> Self {
        RejectionLog { holders, rejected, unlogged: Cell::new(0), logged_at: Cell::new(None) }
    }

    /// Counts a rejection, and logs it with those before it unless a line was logged just now.
    pub fn add(&self, held_bytes: usize, total_bytes: usize) {
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_some_and(|logged_at| logged_at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let count = self.unlogged.take();
        let RejectionLog { holders, rejected, .. } = self;
        eprintln!(
            "edge-node: no memory for {holders}: {held_bytes} of {total_bytes} bytes held; \
             rejected {rejected}: {count}"
        );
        self.logged_at.set(Some(Instant::now()));
    }
}
