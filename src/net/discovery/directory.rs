//! Where discovery puts the endpoint list that it has received.

use std::sync::Arc;

use crate::decision::EndpointId;
use crate::net::discovery::endpoints::{AppliedEntries, Endpoints};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::ListEntry;

/// Holds the endpoints that can be reached. Discovery writes to it through this trait, so that it does not depend on
/// the upstream connections.
pub trait EndpointDirectory {
    /// The endpoints known now.
    fn endpoints(&self) -> Arc<Endpoints>;

    /// Whether the endpoints have not changed since these were read.
    fn is_current(&self, endpoints: &Arc<Endpoints>) -> bool;

    /// Applies a delta in place, and closes idle connections to endpoints that it removes, moves or drains.
    fn apply_delta(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedEntries;

    /// Replaces all endpoints. Those known before that are not in the new ones can still be reached until
    /// [`finish_replacement`](Self::finish_replacement). Connections to the `stale` endpoints are not kept.
    fn replace(&self, endpoints: Endpoints, stale: &[EndpointId]);

    /// Ends the replacement and returns the endpoints known before.
    #[must_use = "dropping many endpoints takes a while"]
    fn finish_replacement(&self) -> Option<Arc<Endpoints>>;
}
