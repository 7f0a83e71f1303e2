//! A decision engine under test with a clock that the test moves, and helpers for its events and actions.
#![allow(dead_code, unused_imports, reason = "each test file that includes this module uses a part of it")]

mod actions;
mod fake_counter;
mod node;
mod settings;

use edge_node::decision::Micros;

pub use actions::{
    counter_call, first_retry_after, has_failure, started_attempts, CounterIncrement, StartedAttempt,
};
pub use fake_counter::InMemoryCounter;
pub use node::{endpoint_entry, NodeUnderTest};
pub use settings::{request_class, settings_with_quota, settings_without_quota, KEYED, NON_IDEMPOTENT, SAFE};

/// A millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
