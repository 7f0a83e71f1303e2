//! All endpoints that discovery names: their ids, where they are, and which share an address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::decision::{EndpointEntry, EndpointId, EndpointState};
use crate::net::discovery::endpoint_id::{endpoint_id, IdFunction};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::{ListEntry, ListFaults};

/// What the list says of an endpoint beside its name and address: all that the decisions know of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attributes {
    /// When it last started, in milliseconds of Unix time; 0: long ago.
    pub started_at_ms: u64,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Its zone, as the settings number it.
    pub zone: u32,
    /// Its kind of machine, as the settings number it.
    pub machine_kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
}

impl Attributes {
    /// The attributes that an entry names.
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

    /// The entry for the decisions.
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

/// An endpoint as last listed.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every node.
    pub name: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// What else the list says of it.
    pub attributes: Attributes,
}

impl Endpoint {
    /// Whether it takes new requests.
    pub fn is_active(&self) -> bool {
        self.attributes.state == EndpointState::Active
    }
}

/// The result of applying the entries of a delta.
#[derive(Default)]
pub struct AppliedEntries {
    /// What the decisions are notified of.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints whose connections may lead elsewhere now.
    pub stale: Vec<EndpointId>,
    /// What was wrong with entries.
    pub faults: ListFaults,
}

/// All endpoints, by id.
#[derive(Debug, Clone)]
pub struct Endpoints {
    pub(super) id_function: IdFunction,
    pub(super) by_id: BTreeMap<EndpointId, Endpoint>,
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
    /// Names whose own id was another's when they were added.
    displaced: BTreeMap<Arc<str>, EndpointId>,
}

impl Default for Endpoints {
    fn default() -> Self {
        Endpoints::with_id_function(endpoint_id)
    }
}

impl Endpoints {
    /// No endpoints yet; their names will give their ids by this function.
    pub fn with_id_function(id_function: IdFunction) -> Self {
        Endpoints {
            id_function,
            by_id: BTreeMap::new(),
            by_address: BTreeSet::new(),
            displaced: BTreeMap::new(),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The endpoint with this id.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// The ids of those that take new requests, in order.
    pub fn active_ids(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_id.iter().filter(|(_, endpoint)| endpoint.is_active()).map(|(&id, _)| id)
    }

    /// The id of the endpoint with this name, if it is known.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.find_with_own_id(name, (self.id_function)(name))
    }

    /// The id of the endpoint with this name, which gives `own_id`.
    pub(super) fn find_with_own_id(&self, name: &str, own_id: EndpointId) -> Option<EndpointId> {
        if let Some(&id) = self.displaced.get(name) {
            return Some(id);
        }
        let endpoint = self.by_id.get(&own_id)?;
        (*endpoint.name == *name).then_some(own_id)
    }

    /// Whether another endpoint than this one is listed at the address.
    pub fn is_address_shared(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.ids_at(address).any(|other| other != id)
    }

    fn ids_at(&self, address: SocketAddr) -> impl Iterator<Item = EndpointId> + '_ {
        let range = (address, EndpointId(0))..=(address, EndpointId(u64::MAX));
        self.by_address.range(range).map(|&(_, id)| id)
    }

    /// The endpoint's own id, or the next that is free both here and in `previous`. Two endpoints under one id would
    /// share their state, and one that takes the id of an endpoint just removed would inherit its state.
    pub(super) fn free_id(&self, own_id: EndpointId, previous: &Endpoints) -> EndpointId {
        let mut id = own_id;
        while self.by_id.contains_key(&id) || previous.by_id.contains_key(&id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        id
    }

    /// Puts an endpoint in, in the place of the one with this id.
    pub(super) fn insert(&mut self, id: EndpointId, own_id: EndpointId, endpoint: Endpoint) {
        if id != own_id {
            self.displaced.insert(endpoint.name.clone(), id);
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
            self.displaced.remove(&old.name);
        }
    }

    /// Rebuilds the maps in order: they take less memory than maps filled one by one.
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

    /// Applies one entry. Without a usable address the last one is kept; with none at all the entry is left out.
    fn apply_entry(&mut self, entry: &ListEntry, labels: &PlacementLabels, applied: &mut AppliedEntries) {
        let own_id = (self.id_function)(&entry.name);
        let known_id = self.find_with_own_id(&entry.name, own_id);
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
            applied.faults.add(format_args!("{} has no usable address; entry left out", entry.name));
            return;
        };
        let leads_elsewhere = old.is_none_or(|old| {
            old.address != address || old.attributes.started_at_ms != attributes.started_at_ms
        });
        let name = old.map_or(&entry.name, |old| &old.name).clone();
        let id = known_id.unwrap_or_else(|| self.free_id(own_id, self));
        if leads_elsewhere {
            applied.stale.push(id);
        }
        // A new endpoint may stand at the address of one that was removed. Connections lead to the old one.
        applied.stale.extend(self.ids_at(address).filter(|&other| other != id));
        self.insert(id, own_id, Endpoint { name, address, attributes });
        applied.entries.push(attributes.entry(id));
    }
}
