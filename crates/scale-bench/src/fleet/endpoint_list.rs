//! Holds the endpoint list that discovery publishes, with all its revisions.

use std::collections::BTreeMap;

use edge_node::decision::{EndpointEntry, EndpointId, EndpointState};

/// The endpoint list at the start of the run and all later changes. A revision of the list is identified by
/// the number of changes that it includes.
#[derive(Default)]
pub struct EndpointListHistory {
    initial: Vec<EndpointEntry>,
    changes: Vec<EndpointEntry>,
}

impl EndpointListHistory {
    /// Creates a history whose revision 0 has the given entries.
    pub fn new(initial: Vec<EndpointEntry>) -> Self {
        EndpointListHistory { initial, changes: Vec::new() }
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> usize {
        self.changes.len()
    }

    /// Adds a change, which creates a new revision.
    pub fn publish(&mut self, entry: EndpointEntry) {
        self.changes.push(entry);
    }

    /// Returns the changes after revision `from`, up to and including revision `to`.
    pub fn delta(&self, from: usize, to: usize) -> Vec<EndpointEntry> {
        self.changes[from..to].to_vec()
    }

    /// Returns all entries of the list at a revision, ordered by id. Removed endpoints have no entry.
    pub fn snapshot(&self, revision: usize) -> Vec<EndpointEntry> {
        let mut entries: BTreeMap<EndpointId, &EndpointEntry> = BTreeMap::new();
        for entry in &self.initial {
            entries.insert(entry.id, entry);
        }
        for change in &self.changes[..revision] {
            if change.state == EndpointState::Removed {
                entries.remove(&change.id);
            } else {
                entries.insert(change.id, change);
            }
        }
        entries.into_values().cloned().collect()
    }
}
