//! The upstream side: the addresses of endpoints, the pools of connections to them, attempts with their
//! outcomes, and probes.

mod attempt;
mod endpoint_permit;
mod exchange;
mod idle_connection;
mod known_endpoints;
mod pool;
mod probe;
mod request;
pub mod reuse;
mod truncation;
mod upstreams;

pub use crate::net::upstream::attempt::AttemptOutcome;
pub use crate::net::upstream::request::ForwardedRequest;
pub use crate::net::upstream::upstreams::Upstreams;
