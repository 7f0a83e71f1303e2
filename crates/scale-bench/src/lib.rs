//! The scale rig: how the edge node's cost, memory, traffic and service grow with the fleet.
//!
//! - [`node`]: one real edge node process before stand-ins of all its peers.
//! - [`stand_ins`]: its peers: the agent, the counter and the app servers.
//! - [`fleet`]: many decision modules on one simulated clock, before model app servers and one counter.
//! - [`decisions`]: what the decision module takes for a request, a tick and a list, alone.
//! - [`slopes`]: a ladder of sizes, and how each figure grows along it.
#![forbid(unsafe_code)]

pub mod decisions;
pub mod error;
pub mod fleet;
pub mod memory;
pub mod node;
pub mod report;
pub mod slopes;
pub mod stand_ins;
