//! Defines the names that the protocol uses in the settings, in the simulator's messages and in HTTP headers.
//! The names in the rest of the configuration file, in endpoint lists and in the value of `X-Weight` are
//! defined by the modules that parse them.
//!
//! Each name is mapped once to the corresponding term of the code, by `#[serde(rename = "...")]` or by a
//! constant. This module makes no decisions.

pub mod headers;
pub mod settings;
pub mod simulator;
