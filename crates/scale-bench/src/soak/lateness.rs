//! Measures how late the timers of this process fire, which tells whether the machine was too slow for a play.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// Interval of the timer that measures how late the timers of this process fire.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);

/// Measures how late the timers of this process fire.
pub struct LatenessMeter {
    /// Greatest lateness so far, in microseconds.
    greatest_us: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl LatenessMeter {
    /// Starts the measurement.
    pub fn start() -> LatenessMeter {
        let greatest_us = Arc::<AtomicU64>::default();
        let greatest = greatest_us.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + LATENESS_INTERVAL;
                sleep_until(due).await;
                greatest.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
        LatenessMeter { greatest_us, task }
    }

    /// Stops the measurement and returns the greatest lateness.
    pub fn greatest(self) -> Duration {
        self.task.abort();
        Duration::from_micros(self.greatest_us.load(Ordering::Relaxed))
    }
}
