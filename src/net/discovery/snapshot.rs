//! What a full list, or a long delta, makes of the endpoints known before, worked out beside them.

use std::net::SocketAddr;

use crate::decision::{EndpointEntry, EndpointId, EndpointState};
use crate::net::discovery::endpoints::{AppliedEntries, Attributes, Endpoint, Endpoints};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::{ListEntry, ListFaults};

/// How a full list differs from the endpoints known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListDifference {
    /// Endpoints of which nothing has changed.
    pub unchanged: usize,
    /// Those of which something has.
    pub changed: usize,
    /// Those not known before.
    pub added: usize,
    /// Those known before and not on the list.
    pub removed: usize,
}

/// A list applied to the endpoints known before.
pub struct AppliedList {
    /// The endpoints known from now on.
    pub endpoints: Endpoints,
    /// The list's entries, one for each name; those of a full list in the order of ids.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints whose connections may lead elsewhere now, though it does not show in `endpoints`.
    pub stale: Vec<EndpointId>,
    /// How a full list differs from the endpoints known before; zero for a delta.
    pub difference: ListDifference,
    /// What was wrong with entries.
    pub faults: ListFaults,
}

/// The last entry of a full list for one name.
struct NamedEntry<'a> {
    /// The id that the name gives.
    own_id: EndpointId,
    entry: &'a ListEntry,
    /// The last usable address of all entries for the name.
    address: Option<SocketAddr>,
}

impl Endpoints {
    /// These endpoints with a delta applied.
    pub fn with_delta(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedList {
        let mut endpoints = self.clone();
        let AppliedEntries { entries, stale, faults } = endpoints.apply_entries(entries, labels);
        AppliedList { endpoints, entries, stale, difference: ListDifference::default(), faults }
    }

    /// The endpoints of a full list. Of two entries for one name the later counts, and endpoints known before keep
    /// their ids.
    pub fn with_snapshot(&self, entries: &[ListEntry], labels: &PlacementLabels) -> AppliedList {
        let mut snapshot = SnapshotBuilder::new(self, labels, entries.len());
        let mut unknown = Vec::new();
        for named in self.last_entries_by_name(entries) {
            match self.find_with_own_id(&named.entry.name, named.own_id) {
                Some(id) => snapshot.add(&named, Some(id)),
                None => unknown.push(named),
            }
        }
        // Added last, so that no new name gets the id that a known one has.
        for named in &unknown {
            snapshot.add(named, None);
        }
        snapshot.finish()
    }

    /// The last entry for each name, in the order of own ids and names.
    fn last_entries_by_name<'a>(&self, entries: &'a [ListEntry]) -> Vec<NamedEntry<'a>> {
        let named = |entry: &'a ListEntry| NamedEntry {
            own_id: (self.id_function)(&entry.name),
            entry,
            address: entry.address,
        };
        let mut ordered: Vec<_> = entries.iter().map(named).collect();
        // A stable sort: entries for one name stay in the order of the list.
        ordered.sort_by(|left, right| {
            left.own_id.cmp(&right.own_id).then_with(|| left.entry.name.cmp(&right.entry.name))
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

    /// Adds the entry for one name, under the id that it had before, if any.
    fn add(&mut self, named: &NamedEntry<'_>, known_id: Option<EndpointId>) {
        let entry = named.entry;
        let old = known_id.and_then(|id| self.previous.get(id));
        let id = known_id.unwrap_or_else(|| self.next.free_id(named.own_id, self.previous));
        let attributes = Attributes::of(entry, self.labels);
        if entry.state == EndpointState::Removed {
            if known_id.is_some() {
                self.entries.push(attributes.entry(id));
            }
            return;
        }
        let Some(address) = named.address.or(old.map(|old| old.address)) else {
            self.faults.add(format_args!("{} has no usable address; entry left out", entry.name));
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
        self.next.insert(id, named.own_id, endpoint);
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
