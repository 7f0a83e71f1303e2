//! The endpoints that attempts may be sent to.
//!
//! [`KnownEndpoints`] decides where an endpoint can be reached; the balancer's table decides which endpoints are
//! selected. Discovery's `publish` updates both with a long list: this one at once and the table in parts. Endpoints
//! known before stay reachable until the last part is announced.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decision::EndpointId;
use crate::net::discovery::endpoints::{Endpoint, Endpoints};

/// The endpoints known now and, while a replacement is under way, those known before.
#[derive(Default)]
pub(super) struct KnownEndpoints {
    pub(super) current: Arc<Endpoints>,
    /// Set while the decisions are still being notified of a long list. Until they are notified that an endpoint was
    /// removed they send to it, and would take it for one that has failed.
    pub(super) previous: Option<Arc<Endpoints>>,
}

impl KnownEndpoints {
    /// An endpoint as it is to be reached. The current list counts first: an endpoint that drains or has moved does
    /// so at once.
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.current.get(id).or_else(|| self.previous.as_ref()?.get(id))
    }

    /// An endpoint that takes new requests.
    pub(super) fn get_active(&self, id: EndpointId) -> Option<&Endpoint> {
        self.get(id).filter(|endpoint| endpoint.is_active())
    }

    /// Whether the current list names another endpoint at this address.
    pub(super) fn address_is_shared(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.current.is_address_shared(id, address)
    }
}
