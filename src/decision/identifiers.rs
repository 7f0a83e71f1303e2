//! Identifiers and the unit of time that events, actions and settings share.

use std::sync::Arc;

/// Time in microseconds. A name that ends in `_at`, or `deadline`, is a point on the node's clock; any other
/// value is a duration.
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
