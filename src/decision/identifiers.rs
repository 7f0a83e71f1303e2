//! Identifiers and the unit of time that events, actions and settings share.

use std::sync::Arc;

/// Microseconds: a point on the node's clock (names that end in `_at`, and `deadline`) or a span of time.
pub type Micros = u64;

/// Identifies a request; the decisions return it unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub Arc<str>);

impl From<&str> for RequestId {
    fn from(id: &str) -> Self {
        RequestId(id.into())
    }
}

/// Identifies an endpoint, an app server that discovery names. The same at every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct EndpointId(pub u64);

/// Identifies the account that a request is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct AccountId(pub u64);

/// The key of one counter at the counter service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterKey(pub u64);
