//! Computes the delta between two states of the endpoint list, of which the decision engine is notified.

use crate::decision::{EndpointEntry, EndpointState};
use crate::net::discovery::endpoints::{Endpoint, Endpoints};

/// Maximum number of entries of a long delta in one notification of the decision engine. A request may wait
/// for one part each time it yields to the runtime, which limits the length of a part. Each part costs one
/// pass over the decision engine's subset of endpoints, so shorter parts cost more in total.
pub const ENTRIES_PER_PART: usize = 256;

/// Splits a delta into parts of at most [`ENTRIES_PER_PART`] entries, in their order. The decision engine is
/// notified of one part at a time.
pub fn split_into_parts(delta: &[EndpointEntry]) -> Vec<Vec<EndpointEntry>> {
    delta.chunks(ENTRIES_PER_PART).map(<[EndpointEntry]>::to_vec).collect()
}

impl Endpoints {
    /// Returns the delta that leads from `previous` to these endpoints. It contains the endpoints that are
    /// new, changed or removed, each with its last listed attributes.
    ///
    /// Changed endpoints precede removed ones, because attempts at a changed endpoint follow the new list at
    /// once, while a removed endpoint stays reachable during the replacement. Both groups are in the order of
    /// ids. An endpoint that becomes active is placed before each of these entries, until there are no more
    /// endpoints that become active.
    ///
    /// If the endpoints that leave came first, the decision engine would have nowhere to send requests until
    /// the others follow. In this order the number of active endpoints never falls below the lower of the two
    /// numbers in `previous` and `self`.
    pub fn delta_since(&self, previous: &Endpoints) -> Vec<EndpointEntry> {
        let mut becoming_active = Vec::new();
        let mut others = Vec::new();
        for (&id, endpoint) in &self.by_id {
            let old = previous.get(id);
            if old.is_some_and(|old| old.attributes == endpoint.attributes) {
                continue;
            }
            let becomes_active = endpoint.is_active() && !old.is_some_and(Endpoint::is_active);
            let group = if becomes_active { &mut becoming_active } else { &mut others };
            group.push(endpoint.attributes.entry(id));
        }
        for (&id, endpoint) in &previous.by_id {
            if !self.by_id.contains_key(&id) {
                let entry = endpoint.attributes.entry(id);
                others.push(EndpointEntry { state: EndpointState::Removed, ..entry });
            }
        }
        interleave(becoming_active, others)
    }
}

/// Alternates between the two lists, starting with `first`. When one list is exhausted, the rest of the other
/// follows.
fn interleave(first: Vec<EndpointEntry>, second: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
    let mut merged = Vec::with_capacity(first.len() + second.len());
    let mut first = first.into_iter();
    for entry in second {
        merged.extend(first.next());
        merged.push(entry);
    }
    merged.extend(first);
    merged
}
