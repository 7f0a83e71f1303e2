//! Applies a full list or a long delta to the endpoints known before, and builds the new endpoints without
//! changing the known ones.

use std::net::SocketAddr;

use crate::decision::{EndpointEntry, EndpointId, EndpointState};
use crate::net::discovery::endpoints::{AppliedEntries, Attributes, Endpoint, Endpoints};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::{ListEntry, ListFaults};

/// The numbers of endpoints by which a full list differs from the endpoints known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListDifference {
    /// The number of endpoints that are listed as before.
    pub unchanged: usize,
    /// The number of endpoints whose address or attributes have changed.
    pub changed: usize,
    /// The number of endpoints that were not known before.
    pub added: usize,
    /// The number of endpoints that were known before and are not on the list.
    pub removed: usize,
}

/// The result of applying a list to the endpoints known before.
pub struct AppliedList {
    /// The endpoints known after the list.
    pub endpoints: Endpoints,
    /// The entries of which the decision engine is notified: those of a full list one for each name, in the
    /// order of ids; those of a delta in the order of the delta.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints whose existing connections may not lead to the process that is listed now, where this cannot
    /// be derived from `endpoints`.
    pub stale: Vec<EndpointId>,
    /// The difference of a full list from the endpoints known before; all zero for a delta.
    pub difference: ListDifference,
    /// The faults found in entries.
    pub faults: ListFaults,
}

/// The last entry of a full list for one name.
struct NamedEntry<'a> {
    /// The id derived from the name.
    derived_id: EndpointId,
    entry: &'a ListEntry,
    /// The last usable address among all entries for the name.
    address: Option<SocketAddr>,
}

impl Endpoints {
    /// Returns these endpoints with a delta applied.
    pub fn with_delta(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedList {
        let mut endpoints = self.clone();
        let AppliedEntries { entries, stale, faults } = endpoints.apply_entries(entries, labels);
        AppliedList { endpoints, entries, stale, difference: ListDifference::default(), faults }
    }

    /// Returns the endpoints of a full list. If a name has several entries, the last one counts. Endpoints
    /// that are known already keep their ids.
    pub fn with_snapshot(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedList {
        let mut snapshot = SnapshotBuilder::new(self, labels, entries.len());
        let mut unknown = Vec::new();
        for named in self.last_entries_by_name(entries) {
            match self.find_by_derived_id(&named.entry.name, named.derived_id) {
                Some(id) => snapshot.add(&named, Some(id)),
                None => unknown.push(named),
            }
        }
        // Unknown endpoints are added last, so that none of them takes the id of a known one.
        for named in &unknown {
            snapshot.add(named, None);
        }
        snapshot.finish()
    }

    /// Returns the last entry for each name, in the order of derived ids and then of names.
    fn last_entries_by_name<'a>(&self, entries: &'a [ListEntry]) -> Vec<NamedEntry<'a>> {
        let named = |entry: &'a ListEntry| NamedEntry {
            derived_id: (self.id_function)(&entry.name),
            entry,
            address: entry.address,
        };
        let mut ordered: Vec<_> = entries.iter().map(named).collect();
        // The sort is stable, so entries for one name stay in the order of the list.
        ordered.sort_by(|left, right| {
            left.derived_id.cmp(&right.derived_id).then_with(|| left.entry.name.cmp(&right.entry.name))
        });
        ordered.dedup_by(|later, kept| {
            let is_same_name = later.entry.name == kept.entry.name;
            if is_same_name {
                kept.entry = later.entry;
                kept.address = later.address.or(kept.address);
            }
            is_same_name
        });
        ordered
    }
}

/// Builds the endpoints of a full list.
struct SnapshotBuilder<'a> {
    previous: &'a Endpoints,
    labels: &'a PlacementLabels,
    next: Endpoints,
    entries: Vec<EndpointEntry>,
    difference: ListDifference,
    faults: ListFaults,
}

impl<'a> SnapshotBuilder<'a> {
    fn new(previous: &'a Endpoints, labels: &'a PlacementLabels, capacity: usize) -> Self {
        SnapshotBuilder {
            previous,
            labels,
            next: Endpoints::with_id_function(previous.id_function),
            entries: Vec::with_capacity(capacity),
            difference: ListDifference::default(),
            faults: ListFaults::default(),
        }
    }

    /// Adds the entry for one name. `known_id` is the endpoint's id in `previous`, or `None` if it is new.
    fn add(&mut self, named: &NamedEntry<'_>, known_id: Option<EndpointId>) {
        let entry = named.entry;
        let old = known_id.and_then(|id| self.previous.get(id));
        let id = known_id.unwrap_or_else(|| self.next.free_id(named.derived_id, self.previous));
        let attributes = Attributes::of(entry, self.labels);
        if entry.state == EndpointState::Removed {
            if known_id.is_some() {
                self.entries.push(attributes.entry(id));
            }
            return;
        }
        let Some(address) = named.address.or(old.map(|old| old.address)) else {
            self.faults.add(format_args!("endpoint {} has no usable address; entry skipped", entry.name));
            return;
        };
        self.entries.push(attributes.entry(id));
        let name = old.map_or(&entry.name, |old| &old.name).clone();
        let endpoint = Endpoint { name, address, attributes };
        match old {
            None => self.difference.added += 1,
            Some(old) if *old == endpoint => self.difference.unchanged += 1,
            Some(_) => self.difference.changed += 1,
        }
        self.next.insert(id, named.derived_id, endpoint);
    }

    fn finish(mut self) -> AppliedList {
        let still_listed = self.difference.unchanged + self.difference.changed;
        self.difference.removed = self.previous.len() - still_listed;
        self.entries.sort_by_key(|entry| entry.id);
        self.next.compact();
        AppliedList {
            endpoints: self.next,
            entries: self.entries,
            stale: Vec::new(),
            difference: self.difference,
            faults: self.faults,
        }
    }
}
