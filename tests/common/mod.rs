//! A decision engine under test with a clock that the test moves, and helpers for its events and actions.
#![allow(dead_code, unused_imports, reason = "each test file that includes this module uses a part of it")]

mod actions;
mod fake_counter;
mod node;
mod settings;

use edge_node::decision::Micros;

pub use actions::{counter_call, has_failure, rejection, started_attempts, CounterCall, StartedAttempt};
pub use fake_counter::FakeCounter;
pub use node::{endpoint_entry, NodeUnderTest};
pub use settings::{request_class, settings_with_quota, settings_without_quota, KEYED, NON_IDEMPOTENT, SAFE};

/// A millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
