//! Discovery: a watch of the endpoint list that never ends, and single fetches.
//!
//! Discovery is one of two services, which are called in the same way: an agent on the node's own machine that holds
//! the list for it, or one shared service that all nodes call. "Discovery" means either; "agent" and "shared
//! service" are used where they differ. Discovery moves when a reload of the configuration names another address.
//!
//! `watch` decides when to call, `list_client` makes the calls, `parser` reads their lists, and `apply` puts them into
//! the [`directory::EndpointDirectory`] and notifies the decisions.

pub mod apply;
pub mod backoff;
pub mod delta;
pub mod directory;
pub mod endpoint_id;
pub mod endpoints;
mod error;
pub mod labels;
mod list_client;
pub mod parser;
pub mod schedule;
pub mod snapshot;
pub mod timeout;
mod watch;

pub use crate::net::discovery::error::MAX_LIST_BYTES;
pub use crate::net::discovery::schedule::WatchSchedule;
pub use crate::net::discovery::watch::Discovery;
