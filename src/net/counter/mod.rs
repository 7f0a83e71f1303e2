//! The client of the counter service, which pipelines RESP2 calls over a few connections.

mod client;
mod connection;
mod connection_task;
pub mod late_replies;
pub mod resp;
pub mod result_sink;
mod session;

pub use crate::net::counter::client::CounterClient;
