//! The only place where the protocol's own names stand: the settings, the simulator's messages and the HTTP headers.
//!
//! Every name is mapped once to the terms of the code, by `#[serde(rename = "...")]` or by a constant. Nothing here
//! decides anything.

pub mod headers;
pub mod settings;
pub mod simulator;
