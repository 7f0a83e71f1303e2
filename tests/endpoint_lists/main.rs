//! Endpoint lists: how they are read and applied, up to the longest expected.

#[path = "../fakes/mod.rs"]
mod fakes;

mod delta;
mod lists;
mod node;
mod process;
mod publication;
mod snapshot;
