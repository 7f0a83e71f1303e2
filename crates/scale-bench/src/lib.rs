//! Measures how the edge node's cost, memory, traffic and service grow with the fleet.
//!
//! - [`node`]: one real edge node process before fakes of all its peers.
//! - [`fakes`]: these peers: the discovery agent, the counter service and the endpoints (app servers).
//! - [`fleet`]: many decision engines on one simulated clock, before model endpoints and one counter service.
//! - [`decisions`]: what the decision engine takes for a request, a timer and a list, alone.
//! - [`slopes`]: a ladder of sizes, and how each figure grows along it.
//! - [`soak`]: many short plays of one real node under seeded faults, and the rules of the service checked on each.
#![forbid(unsafe_code)]

pub mod decisions;
pub mod error;
pub mod fakes;
pub mod fleet;
pub mod memory;
pub mod node;
pub mod report;
pub mod slopes;
pub mod soak;
