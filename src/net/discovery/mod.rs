//! Watches the endpoint list of discovery for as long as the node runs, and fetches the full list on request.
//!
//! Discovery is one of two services, which are called in the same way: an agent on the node's own machine,
//! which holds the list for the node, or one shared service that all nodes call. "Discovery" stands for
//! either; "agent" and "shared service" are used where the two differ. Discovery moves when a reload of the
//! configuration names another address.
//!
//! `client` is what the node holds. `watch` decides when to call, `calls_in_flight` holds the calls that have
//! no response yet, `list_client` makes them and `parser` parses the lists in their responses. `apply` stores
//! the lists in the [`directory::EndpointDirectory`] and notifies the decision engine.

pub mod apply;
pub mod backoff;
pub mod call_times;
pub mod calls_in_flight;
mod client;
pub mod delta;
pub mod directory;
pub mod endpoint_id;
pub mod endpoints;
mod error;
mod failure_log;
pub mod labels;
pub mod list_call;
mod list_client;
pub mod parser;
pub mod response_bytes;
pub mod schedule;
pub mod snapshot;
mod watch;

pub use crate::net::discovery::client::Discovery;
pub use crate::net::discovery::error::MAX_LIST_BYTES;
pub use crate::net::discovery::schedule::WatchSchedule;
