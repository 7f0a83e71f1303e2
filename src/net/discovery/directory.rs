//! The interface through which discovery stores the endpoint list that it has received.

use std::sync::Arc;

use crate::decision::EndpointId;
use crate::net::discovery::endpoints::{AppliedEntries, Endpoints};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::ListEntry;

/// Holds the endpoints that can be reached. Discovery writes to it through this trait, so that discovery does
/// not depend on the upstream connections.
pub trait EndpointDirectory {
    /// Returns the endpoints known now.
    fn endpoints(&self) -> Arc<Endpoints>;

    /// Returns whether `endpoints`, as read earlier, are still the endpoints known now.
    fn is_current(&self, endpoints: &Arc<Endpoints>) -> bool;

    /// Applies a delta in place, and closes idle connections to endpoints that the delta removes, moves or
    /// drains.
    fn apply_delta(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedEntries;

    /// Replaces all endpoints. An endpoint that was known before and is not in `endpoints` stays reachable
    /// until [`finish_replacement`](Self::finish_replacement) is called. Connections to the `stale` endpoints
    /// are not kept.
    fn replace(&self, endpoints: Endpoints, stale: &[EndpointId]);

    /// Ends the replacement and returns the endpoints known before it. Returns `None` if no replacement is
    /// under way.
    #[must_use = "dropping many endpoints blocks the thread; drop them on another one"]
    fn finish_replacement(&self) -> Option<Arc<Endpoints>>;
}
