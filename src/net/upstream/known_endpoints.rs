//! The endpoints that attempts may be sent to, with their addresses.
//!
//! [`KnownEndpoints`] determines where an endpoint can be reached; the decision engine's table determines
//! which endpoints are selected. When discovery publishes a long list, it updates [`KnownEndpoints`] at once
//! and the table in parts. The previous endpoints stay reachable until the decision engine has been notified
//! of the last part.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decision::EndpointId;
use crate::net::discovery::endpoints::{Endpoint, Endpoints};

/// The current endpoints and, while the list is being replaced, the previous ones.
#[derive(Default)]
pub(super) struct KnownEndpoints {
    /// The endpoints of the current list.
    pub(super) current: Arc<Endpoints>,
    /// The endpoints of the previous list; set while the decision engine is being notified of a long list.
    ///
    /// Until the engine is notified that an endpoint was removed, it selects the endpoint. If the endpoint
    /// could no longer be reached, the engine would treat it as failed.
    pub(super) previous: Option<Arc<Endpoints>>,
}

impl KnownEndpoints {
    /// Returns an endpoint of the current list, or else of the previous one; `None` if neither contains it.
    /// The current list takes precedence, so that a change of an endpoint's state or address applies at once.
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.current.get(id).or_else(|| self.previous.as_ref()?.get(id))
    }

    /// Returns an endpoint that takes new requests; `None` if it is unknown, draining or removed.
    pub(super) fn get_active(&self, id: EndpointId) -> Option<&Endpoint> {
        self.get(id).filter(|endpoint| endpoint.is_active())
    }

    /// Returns whether the current list contains an endpoint other than `id` at `address`.
    pub(super) fn is_address_shared(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.current.is_address_shared(id, address)
    }
}
