//! The downstream side of a node: the listener, client connections, request validation, and responses.
//!
//! `listener` accepts connections, `connection` serves one connection, and `handler` answers one request.
//! They are best read in this order; the other modules support them.

pub mod connection_state;
pub mod pipeline;

mod connection;
mod connection_registry;
mod framing;
mod handler;
mod head_scanner;
mod listener;
mod refusal;
mod request;
mod request_bytes_stream;
mod response;
mod socket;

pub use listener::DownstreamServer;
pub use request::RequestRules;
