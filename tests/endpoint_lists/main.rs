//! Tests of how endpoint lists are parsed and applied, up to the longest list expected.

#[path = "../fakes/mod.rs"]
mod fakes;

mod delta;
mod lists;
mod node;
mod process;
mod publication;
mod snapshot;
