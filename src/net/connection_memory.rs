//! Bounds the memory that all connections hold together, and with it how many connections there may be.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::memory_shares::MemoryShares;
use crate::net::rejection_log::RejectionLog;

/// What the connection of a client takes, in bytes: its task, and the buffers of a request that is read and of
/// its response. Long heads take up to half as much again while they arrive.
pub const CLIENT_CONNECTION_BYTES: usize = 24 * 1024;
/// What a connection to an endpoint takes while a request is open on it, in bytes.
pub const ENDPOINT_CONNECTION_BYTES: usize = 28 * 1024;
/// What a connection to an endpoint takes between two requests, in bytes.
pub const RESTING_CONNECTION_BYTES: usize = 2 * 1024;
/// The largest share of the memory that client connections may hold. An open request needs memory for its
/// connection to an endpoint as well.
const CLIENT_SHARE: f64 = 0.6;
/// The smallest memory for connections, in bytes: enough for four connections of each side.
const MIN_BYTES: usize = 300 * 1024;
/// How long after a refusal the node counts as refusing connections.
const REFUSING_TIME: Duration = Duration::from_secs(1);

/// The memory that connections may hold together.
pub struct ConnectionMemory {
    max_bytes: usize,
    max_client_bytes: usize,
    held_bytes: Cell<usize>,
    held_client_bytes: Cell<usize>,
    /// When a client connection was last refused.
    refused_at: Cell<Option<Instant>>,
    refusals: RejectionLog,
}

/// The side of the node that a connection belongs to.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Downstream,
    Upstream,
}

/// The memory of one connection, which returns to the [`ConnectionMemory`] when this is dropped.
pub struct ConnectionReservation {
    memory: Rc<ConnectionMemory>,
    side: Side,
    bytes: Cell<usize>,
}

impl ConnectionMemory {
    /// Creates the memory for the connections of a process that may hold `memory_limit` bytes in total.
    pub fn new(memory_limit: usize) -> Rc<Self> {
        let max_bytes = MemoryShares::of(memory_limit).connections.max(MIN_BYTES);
        Rc::new(ConnectionMemory {
            max_bytes,
            max_client_bytes: (max_bytes as f64 * CLIENT_SHARE) as usize,
            held_bytes: Cell::new(0),
            held_client_bytes: Cell::new(0),
            refused_at: Cell::new(None),
            refusals: RejectionLog::new("connections", "connections"),
        })
    }

    /// Returns whether there is memory for one more client connection.
    pub fn has_room_for_client(&self) -> bool {
        self.held_client_bytes.get() + CLIENT_CONNECTION_BYTES <= self.max_client_bytes
            && self.has_room_for(CLIENT_CONNECTION_BYTES)
    }

    /// Returns whether there is memory for one more connection to an endpoint with an open request.
    pub fn has_room_for_endpoint(&self) -> bool {
        self.has_room_for(ENDPOINT_CONNECTION_BYTES)
    }

    /// Reserves memory for a client connection. Returns `None` if there is not enough.
    pub fn try_reserve_for_client(self: &Rc<Self>) -> Option<ConnectionReservation> {
        self.has_room_for_client().then(|| self.reserve(Side::Downstream, CLIENT_CONNECTION_BYTES))
    }

    /// Reserves memory for a connection to an endpoint with an open request. Returns `None` if there is not
    /// enough.
    pub fn try_reserve_for_endpoint(self: &Rc<Self>) -> Option<ConnectionReservation> {
        self.has_room_for_endpoint().then(|| self.reserve(Side::Upstream, ENDPOINT_CONNECTION_BYTES))
    }

    /// Returns whether client connections are being refused because there is no memory for them.
    pub fn is_refusing(&self) -> bool {
        self.refused_at.get().is_some_and(|refused_at| refused_at.elapsed() < REFUSING_TIME)
    }

    /// Records and logs that a client connection was refused because there is no memory for it.
    pub fn record_refusal(&self) {
        self.refused_at.set(Some(Instant::now()));
        self.refusals.add(self.held_bytes.get(), self.max_bytes);
    }

    fn has_room_for(&self, bytes: usize) -> bool {
        self.held_bytes.get() + bytes <= self.max_bytes
    }

    fn reserve(self: &Rc<Self>, side: Side, bytes: usize) -> ConnectionReservation {
        let reservation = ConnectionReservation { memory: self.clone(), side, bytes: Cell::new(0) };
        reservation.set_bytes(bytes);
        reservation
    }
}

impl ConnectionReservation {
    /// Reduces the memory of a connection to an endpoint to what it takes between two requests.
    pub fn rest(&self) {
        self.set_bytes(RESTING_CONNECTION_BYTES);
    }

    /// Takes the memory for a further request on a resting connection. Returns `false`, and changes nothing,
    /// if there is not enough.
    pub fn try_resume(&self) -> bool {
        let may_resume = self.memory.has_room_for(ENDPOINT_CONNECTION_BYTES - RESTING_CONNECTION_BYTES);
        if may_resume {
            self.set_bytes(ENDPOINT_CONNECTION_BYTES);
        }
        may_resume
    }

    fn set_bytes(&self, bytes: usize) {
        let previous = self.bytes.replace(bytes);
        let update = |total: &Cell<usize>| total.set(total.get() - previous + bytes);
        update(&self.memory.held_bytes);
        if self.side == Side::Downstream {
            update(&self.memory.held_client_bytes);
        }
    }
}

impl Drop for ConnectionReservation {
    fn drop(&mut self) {
        self.set_bytes(0);
    }
}
