//! Times of a play's flood and shutdown, and whether it has ended. They determine when clients make new
//! connections, and when the node may close a connection without having read a request.

use std::sync::Mutex;

use tokio::time::Instant;

use crate::fakes::lock;

/// The values of [`PlayTimes`].
#[derive(Default)]
struct Times {
    /// Start and end of the effects of a flood.
    flood: Option<(Instant, Instant)>,
    /// Start of the shutdown.
    shutdown_at: Option<Instant>,
    /// Clients make no new connections from this time on.
    connections_until: Option<Instant>,
    has_ended: bool,
}

/// Times of a play's flood and shutdown, and whether it has ended.
#[derive(Default)]
pub struct PlayTimes {
    times: Mutex<Times>,
}

impl PlayTimes {
    /// Records that a flood, which can use up the node's descriptors, begins now and has effects until
    /// `until`.
    pub fn begin_flood(&self, until: Instant) {
        lock(&self.times).flood = Some((Instant::now(), until));
    }

    /// Records that the shutdown begins now and that clients make new connections only until
    /// `connections_until`.
    pub fn begin_shutdown(&self, connections_until: Instant) {
        let mut times = lock(&self.times);
        times.shutdown_at = Some(Instant::now());
        times.connections_until = Some(connections_until);
    }

    /// Records that the play has ended.
    pub fn end(&self) {
        lock(&self.times).has_ended = true;
    }

    /// Returns whether the play has ended.
    pub fn has_ended(&self) -> bool {
        lock(&self.times).has_ended
    }

    /// Returns whether the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        lock(&self.times).shutdown_at.is_some()
    }

    /// Returns whether clients may make new connections.
    pub fn allows_new_connections(&self) -> bool {
        lock(&self.times).connections_until.is_none_or(|until| Instant::now() < until)
    }

    /// Returns whether the node may close a connection without having read a request on it. It may do so
    /// during a flood and after the start of the shutdown.
    pub fn may_close_unread(&self) -> bool {
        let times = lock(&self.times);
        let now = Instant::now();
        times.shutdown_at.is_some() || times.flood.is_some_and(|(from, until)| from <= now && now <= until)
    }
}
