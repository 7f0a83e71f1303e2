//! The clock of a node: Unix time that does not go backwards.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::decision::Micros;

/// A clock of Unix time in microseconds that does not go backwards.
///
/// It reads the system clock once, at its start, and adds the monotonic time that has elapsed since.
pub struct Clock {
    /// The Unix time at the start, in microseconds.
    started_at: Micros,
    /// The monotonic time at the start.
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current system time, or at 0 if the system time is before 1970.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: since_epoch.as_micros() as Micros, start: Instant::now() }
    }

    /// Returns the current Unix time in microseconds.
    pub fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an `Instant` for the runtime's timers. Times before the clock's start
    /// are converted to its start.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.started_at))
    }
}
