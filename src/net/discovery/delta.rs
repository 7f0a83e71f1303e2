//! The delta between two states of the endpoint list, as the decisions are notified of it.

use crate::decision::{EndpointEntry, EndpointState};
use crate::net::discovery::endpoints::{Endpoint, Endpoints};

/// Entries of a long delta that the decisions are notified of at once. A request may wait for a part in each turn of
/// the runtime that it needs; each part costs a pass over the subset, so many small ones cost more in all.
pub const ENTRIES_PER_PART: usize = 256;

/// The parts in which the decisions are notified of a delta.
pub fn parts(delta: &[EndpointEntry]) -> Vec<Vec<EndpointEntry>> {
    delta.chunks(ENTRIES_PER_PART).map(<[EndpointEntry]>::to_vec).collect()
}

impl Endpoints {
    /// The delta that leads from `previous` to these: endpoints that are new, changed or removed, with what was
    /// listed of them last.
    ///
    /// Changed endpoints precede removed ones, since their attempts follow the new list at once; both are in the
    /// order of ids, and each is preceded by one that becomes active, as long as there are any. Notified first of
    /// all that leave, the decisions would have nowhere to send requests until the others follow. So at each point
    /// at least as many are active as at the start or at the end, whichever is fewer.
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

/// Puts one of the first before each of the second, as long as there are any, and the rest of the first at the end.
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
