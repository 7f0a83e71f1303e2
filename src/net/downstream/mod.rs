//! The downstream side: the listener, the connections of clients, the validation of their requests, and the responses.
//!
//! `listener` accepts connections, `connection` serves each of them, `handler` answers one request. Reading order:
//! listener, connection, handler; the other modules serve them.

pub mod connection_state;
pub mod pipeline;

mod connection;
mod connection_registry;
mod framing;
mod handler;
mod listener;
mod request;
mod request_bytes_stream;
mod response;
mod socket;

pub use listener::DownstreamServer;
pub use request::RequestRules;
