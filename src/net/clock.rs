//! The clock of a node: Unix time that never goes back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::decision::Micros;

/// Unix time in microseconds that never goes back: the machine's clock at the start, then monotonic time.
pub struct Clock {
    started_at: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the machine's time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: since_epoch.as_micros() as Micros, start: Instant::now() }
    }

    /// The time now, in microseconds of Unix time.
    pub fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }

    /// A time of this clock as the runtime's timers take it. Times before its start count as its start.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.started_at))
    }
}
