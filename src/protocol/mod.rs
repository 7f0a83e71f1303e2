//! Defines the names that the protocol uses in the settings, in the simulator's messages and in HTTP headers.
//! No other module contains these names.
//!
//! Each name is mapped once to the corresponding term of the code, by `#[serde(rename = "...")]` or by a
//! constant. This module makes no decisions.

pub mod headers;
pub mod settings;
pub mod simulator;
