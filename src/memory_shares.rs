//! Divides the limit on the memory of the process among what may grow with the traffic.
//!
//! The rest is for the process itself, the endpoint list and what the allocator cannot reuse.

/// The limit is divided into this many parts.
const PARTS: usize = 16;
/// The parts for the bodies of open requests and responses.
const BODY_PARTS: usize = 4;
/// The parts for connections.
const CONNECTION_PARTS: usize = 7;
/// The parts for the state of accounts.
const ACCOUNT_PARTS: usize = 1;
/// What the state of one account is counted with, in bytes: its entries in ordered maps that are two thirds
/// full, and short queues of its waiting requests and of its deferrals.
const ACCOUNT_BYTES: usize = 768;

/// The memory that each kind of holder may take, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// For the bodies of open requests and responses.
    pub bodies: usize,
    /// For the connections of clients and to endpoints.
    pub connections: usize,
    /// For the state of accounts.
    pub accounts: usize,
}

impl MemoryShares {
    /// Returns the shares of a process that may hold `limit` bytes in total.
    pub fn of(limit: usize) -> Self {
        let parts = |count| limit / PARTS * count;
        MemoryShares {
            bodies: parts(BODY_PARTS),
            connections: parts(CONNECTION_PARTS),
            accounts: parts(ACCOUNT_PARTS),
        }
    }

    /// Returns the number of accounts of which the process may keep state; at least 1.
    pub fn max_accounts(&self) -> usize {
        (self.accounts / ACCOUNT_BYTES).max(1)
    }
}
