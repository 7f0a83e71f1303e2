//! The quota counter: pipelined RESP2 on a few connections.

mod client;
mod connection;
pub mod resp;

pub use crate::net::counter::client::CounterClient;
