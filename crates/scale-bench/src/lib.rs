//! Measures how the edge node's cost, memory, traffic and service grow with the fleet.
//!
//! - [`node`]: runs one real edge node process against fakes of all its peers.
//! - [`fakes`]: implements these peers: the discovery agent, the counter service and the endpoints.
//! - [`fleet`]: runs many decision engines on one simulated clock, against simulated endpoints (app servers)
//!   and one simulated counter service.
//! - [`decisions`]: measures one decision engine alone: its time for a request, a timer and an endpoint list.
//! - [`slopes`]: runs one of these at several fleet sizes and computes how each figure grows with the size.
//! - [`soak`]: runs short plays of one real node under seeded faults, and checks the rules of the service.
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
