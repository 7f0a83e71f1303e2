//! How far a play is, as its clients have to know.

use std::sync::Mutex;

use tokio::time::Instant;

use crate::fakes::lock;

#[derive(Default)]
struct Times {
    flood: Option<(Instant, Instant)>,
    shutdown_at: Option<Instant>,
    connections_until: Option<Instant>,
    has_ended: bool,
}

/// How far a play is.
#[derive(Default)]
pub struct Phase {
    times: Mutex<Times>,
}

impl Phase {
    /// A flood fills the node's descriptors until then.
    pub fn flood_until(&self, until: Instant) {
        lock(&self.times).flood = Some((Instant::now(), until));
    }

    /// The shutdown begins; new connections are made until then.
    pub fn shutdown_begins(&self, connections_until: Instant) {
        let mut times = lock(&self.times);
        times.shutdown_at = Some(Instant::now());
        times.connections_until = Some(connections_until);
    }

    /// The play has ended.
    pub fn end(&self) {
        lock(&self.times).has_ended = true;
    }

    /// Whether the play has ended.
    pub fn has_ended(&self) -> bool {
        lock(&self.times).has_ended
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        lock(&self.times).shutdown_at.is_some()
    }

    /// Whether clients make new connections.
    pub fn allows_new_connections(&self) -> bool {
        lock(&self.times).connections_until.is_none_or(|until| Instant::now() < until)
    }

    /// Whether the node may close a connection over a request that it has not read: in a flood, and once it shuts down.
    pub fn may_close_unread(&self) -> bool {
        let times = lock(&self.times);
        let now = Instant::now();
        times.shutdown_at.is_some() || times.flood.is_some_and(|(from, until)| from <= now && now <= until)
    }
}
