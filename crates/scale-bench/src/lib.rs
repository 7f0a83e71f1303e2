//! Measures how the edge node's cost, memory, traffic and service grow with the fleet.
//!
//! Each subcommand has a module:
//!
//! - [`node`]: measures one real edge node process under load, with fakes of its peers.
//! - [`fleet`]: simulates a fleet of hollow nodes with its endpoints and counter service on one clock. A
//!   hollow node runs a real decision engine; the rest of its process is modelled.
//! - [`decisions`]: measures the decision engine alone: its memory, and its time for requests, timers and
//!   endpoint lists.
//! - [`slopes`]: runs one of these three at several fleet sizes and computes how each figure grows with the
//!   size.
//! - [`bodies`]: measures the memory that one real edge node process takes for long messages that arrive in
//!   small pieces.
//! - [`soak`]: runs short plays, each of one real edge node process under faults drawn from a seed, and
//!   checks that every request gets a correct response in time, that no non-idempotent request is repeated
//!   once it may have run, and that the node recovers and neither panics nor exits with an error.
//!   [`soak::Violation`] lists all of these rules.
//!
//! The module [`fakes`] has the fakes of the peers of a real process: the discovery agent, the counter
//! service and the endpoints (app servers).
#![forbid(unsafe_code)]

pub mod bodies;
pub mod decisions;
pub mod error;
pub mod fakes;
pub mod fleet;
pub mod memory;
pub mod node;
pub mod report;
pub mod slopes;
pub mod soak;
