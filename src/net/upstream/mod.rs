//! The upstream side: where endpoints are, the connections kept to each, attempts and their outcomes, probes.

mod attempt;
mod exchange;
mod known_endpoints;
mod pool;
mod probe;
mod request;
pub mod reuse;
mod upstreams;

pub use crate::net::upstream::attempt::AttemptOutcome;
pub use crate::net::upstream::request::{ForwardedRequest, MAX_BODY_BYTES};
pub use crate::net::upstream::upstreams::Upstreams;
