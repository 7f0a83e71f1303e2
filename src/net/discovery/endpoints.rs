//! The endpoints known from discovery: their ids, addresses and attributes, and which endpoints share an
//! address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::decision::{EndpointEntry, EndpointId, EndpointState};
use crate::net::discovery::endpoint_id::{endpoint_id, IdFunction};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::{ListEntry, ListFaults};

/// The listed properties of an endpoint other than its name and address. The decision engine is notified of
/// these only.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attributes {
    /// When the endpoint last started, in milliseconds of Unix time; 0 if its list entry gives no time, which
    /// is treated as a start long ago.
    pub started_at_ms: u64,
    /// Its capacity relative to that of other endpoints.
    pub weight: f64,
    /// Its zone, as numbered by [`PlacementLabels`].
    pub zone: u32,
    /// Its machine kind, as numbered by [`PlacementLabels`].
    pub machine_kind: u32,
    /// The number of its cell.
    pub cell: u32,
    /// Whether it is active, draining or removed.
    pub state: EndpointState,
}

impl Attributes {
    /// Returns the attributes in a list entry.
    pub(super) fn of(entry: &ListEntry, labels: &PlacementLabels) -> Self {
        Attributes {
            started_at_ms: entry.started_at_ms,
            weight: entry.weight,
            zone: labels.zone(&entry.zone),
            machine_kind: labels.machine_kind(&entry.machine_kind),
            cell: entry.cell,
            state: entry.state,
        }
    }

    /// Returns the entry by which the decision engine is notified of this endpoint.
    pub(super) fn entry(&self, id: EndpointId) -> EndpointEntry {
        EndpointEntry {
            id,
            zone: self.zone,
            machine_kind: self.machine_kind,
            cell: self.cell,
            state: self.state,
            weight: self.weight,
            started_at: self.started_at_ms.saturating_mul(1000),
        }
    }
}

/// An endpoint with the address and attributes of its last list entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name, which is the same at every node.
    pub name: Arc<str>,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Its other listed properties.
    pub attributes: Attributes,
}

impl Endpoint {
    /// Returns whether the endpoint takes new requests.
    pub fn is_active(&self) -> bool {
        self.attributes.state == EndpointState::Active
    }
}

/// The result of applying the entries of a delta.
#[derive(Default)]
pub struct AppliedEntries {
    /// The entries of which the decision engine is notified.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints whose existing connections may not lead to the process that is listed now.
    pub stale: Vec<EndpointId>,
    /// The faults found in entries.
    pub faults: ListFaults,
}

/// The endpoints known from discovery, by id.
#[derive(Debug, Clone)]
pub struct Endpoints {
    pub(super) id_function: IdFunction,
    pub(super) by_id: BTreeMap<EndpointId, Endpoint>,
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
    /// The ids of endpoints whose derived id belonged to another endpoint when they were added, by name.
    reassigned_ids: BTreeMap<Arc<str>, EndpointId>,
}

impl Default for Endpoints {
    fn default() -> Self {
        Endpoints::with_id_function(endpoint_id)
    }
}

impl Endpoints {
    /// Creates an empty set of endpoints, whose ids will be derived from their names by this function.
    pub fn with_id_function(id_function: IdFunction) -> Self {
        Endpoints {
            id_function,
            by_id: BTreeMap::new(),
            by_address: BTreeSet::new(),
            reassigned_ids: BTreeMap::new(),
        }
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the endpoint with this id, or `None` if it is not known.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// Returns the ids of the endpoints that take new requests, in ascending order.
    pub fn active_ids(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_id.iter().filter(|(_, endpoint)| endpoint.is_active()).map(|(&id, _)| id)
    }

    /// Returns the id of the endpoint with this name, or `None` if it is not known.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.find_by_derived_id(name, (self.id_function)(name))
    }

    /// Returns the same as [`find`](Self::find), for a caller that has already derived the id of `name`.
    pub(super) fn find_by_derived_id(&self, name: &str, derived_id: EndpointId) -> Option<EndpointId> {
        if let Some(&id) = self.reassigned_ids.get(name) {
            return Some(id);
        }
        let endpoint = self.by_id.get(&derived_id)?;
        (*endpoint.name == *name).then_some(derived_id)
    }

    /// Returns whether an endpoint other than `id` is listed at the address.
    pub fn is_address_shared(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.ids_at(address).any(|other| other != id)
    }

    fn ids_at(&self, address: SocketAddr) -> impl Iterator<Item = EndpointId> + '_ {
        let range = (address, EndpointId(0))..=(address, EndpointId(u64::MAX));
        self.by_address.range(range).map(|&(_, id)| id)
    }

    /// Returns `derived_id`, or the next id after it that is free both here and in `previous`; the highest id
    /// is followed by 0. Two endpoints with one id would share their state, and an endpoint that takes the id
    /// of one just removed would inherit its state.
    pub(super) fn free_id(&self, derived_id: EndpointId, previous: &Endpoints) -> EndpointId {
        let mut id = derived_id;
        while self.by_id.contains_key(&id) || previous.by_id.contains_key(&id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        id
    }

    /// Inserts an endpoint, or replaces the endpoint with this id.
    pub(super) fn insert(&mut self, id: EndpointId, derived_id: EndpointId, endpoint: Endpoint) {
        if id != derived_id {
            self.reassigned_ids.insert(endpoint.name.clone(), id);
        }
        let address = endpoint.address;
        if let Some(old) = self.by_id.insert(id, endpoint) {
            self.by_address.remove(&(old.address, id));
        }
        self.by_address.insert((address, id));
    }

    fn remove(&mut self, id: EndpointId) {
        if let Some(old) = self.by_id.remove(&id) {
            self.by_address.remove(&(old.address, id));
            self.reassigned_ids.remove(&old.name);
        }
    }

    /// Rebuilds the maps from their sorted contents, because a map built in one step takes less memory than
    /// one filled entry by entry.
    pub(super) fn compact(&mut self) {
        self.by_id = std::mem::take(&mut self.by_id).into_iter().collect();
        self.by_address = std::mem::take(&mut self.by_address).into_iter().collect();
    }

    /// Applies the entries of a delta in their order.
    pub fn apply_entries(&mut self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedEntries {
        let mut applied = AppliedEntries::default();
        for entry in entries {
            self.apply_entry(entry, labels, &mut applied);
        }
        applied
    }

    /// Applies one entry. If the entry has no usable address, the endpoint keeps its last one. If the
    /// endpoint has none either, the entry is skipped and counted as a fault.
    fn apply_entry(&mut self, entry: &ListEntry, labels: &PlacementLabels, applied: &mut AppliedEntries) {
        let derived_id = (self.id_function)(&entry.name);
        let known_id = self.find_by_derived_id(&entry.name, derived_id);
        let old = known_id.and_then(|id| self.by_id.get(&id));
        let attributes = Attributes::of(entry, labels);
        if entry.state == EndpointState::Removed {
            if let Some(id) = known_id {
                self.remove(id);
                applied.stale.push(id);
                applied.entries.push(attributes.entry(id));
            }
            return;
        }
        let Some(address) = entry.address.or(old.map(|old| old.address)) else {
            applied.faults.add(format_args!("endpoint {} has no usable address; entry skipped", entry.name));
            return;
        };
        let connections_are_stale = old.is_none_or(|old| {
            old.address != address || old.attributes.started_at_ms != attributes.started_at_ms
        });
        let name = old.map_or(&entry.name, |old| &old.name).clone();
        let id = known_id.unwrap_or_else(|| self.free_id(derived_id, self));
        if connections_are_stale {
            applied.stale.push(id);
        }
        // A new endpoint may be listed at the address of one that was removed. Existing connections lead to
        // the removed one.
        applied.stale.extend(self.ids_at(address).filter(|&other| other != id));
        self.insert(id, derived_id, Endpoint { name, address, attributes });
        applied.entries.push(attributes.entry(id));
    }
}
