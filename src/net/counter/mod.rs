//! The client of the counter service, which pipelines RESP2 calls over a few connections.

mod client;
mod connection;
pub mod late_replies;
pub mod resp;
pub mod result_sink;

pub use crate::net::counter::client::CounterClient;
