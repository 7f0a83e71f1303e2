//! The network side of a node: one module for each kind of peer, and the event loop that connects them to the
//! decision engine.
//!
//! Dependencies go in one direction: `downstream` uses the event loop, and the event loop uses `upstream`,
//! `counter` and `discovery`. The event loop awaits the results of the attempts and probes that it starts in
//! `upstream`; `counter` and `discovery` report to it through [`event_sink::EventSink`]. `upstream`
//! implements the directory to which `discovery` writes the endpoint lists.

pub mod clock;
pub mod connection_memory;
pub mod counter;
pub mod departed_requests;
pub mod descriptor_budget;
pub mod discovery;
pub mod downstream;
pub mod event_loop;
pub mod event_sink;
pub mod http_body;
pub mod http_client;
mod http_head;
mod open_requests;
mod rejection_log;
pub mod shutdown_schedule;
pub mod upstream;
