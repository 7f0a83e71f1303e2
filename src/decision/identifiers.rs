//! Identifiers and the unit of time that events, actions and settings share.

use std::sync::Arc;

/// Time in microseconds. `now`, `deadline` and names that end in `_at`, `_until`, `_since` or `_before` are
/// points on the node's clock; other values are durations. Only slow start passes a count of requests in
/// place of the time.
pub type Micros = u64;

/// Identifies a request. The decisions return it unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub Arc<str>);

impl From<&str> for RequestId {
    fn from(id: &str) -> Self {
        RequestId(id.into())
    }
}

/// Identifies an endpoint, which is an app server that discovery lists. All nodes use the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct EndpointId(pub u64);

/// Identifies the account that a request is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct AccountId(pub u64);

/// Identifies one counter at the counter service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterKey(pub u64);
