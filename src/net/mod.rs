//! The sockets around the decisions: one folder for each kind of peer, and the event loop that joins them.
//!
//! Imports run one way: `downstream` uses the event loop; the event loop uses `upstream`, `counter` and `discovery`.
//! The event loop awaits the attempts and probes that it starts at `upstream`; `counter` and `discovery` report to it
//! through [`event_sink::EventSink`]. `upstream` implements the directory that `discovery` writes its lists to.

pub mod clock;
pub mod counter;
pub mod descriptor_budget;
pub mod discovery;
pub mod downstream;
pub mod event_loop;
pub mod event_sink;
pub mod http_client;
mod open_requests;
pub mod shutdown_schedule;
pub mod upstream;
