//! The protocol's names at the edge of the program, mapped to the terms of the code.

pub mod simulator;
