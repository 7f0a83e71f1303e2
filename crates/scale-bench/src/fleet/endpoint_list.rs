//! The endpoint list that discovery publishes, with all its revisions.

use std::collections::BTreeMap;

use edge_node::decision::{EndpointEntry, EndpointId, EndpointState};

/// The list at the start and every change since. A revision is the number of changes that it includes.
#[derive(Default)]
pub struct EndpointListHistory {
    initial: Vec<EndpointEntry>,
    changes: Vec<EndpointEntry>,
}

impl EndpointListHistory {
    /// Creates a list without changes.
    pub fn new(initial: Vec<EndpointEntry>) -> Self {
        EndpointListHistory { initial, changes: Vec::new() }
    }

    /// The latest revision.
    pub fn revision(&self) -> usize {
        self.changes.len()
    }

    /// Adds a change.
    pub fn publish(&mut self, entry: EndpointEntry) {
        self.changes.push(entry);
    }

    /// The changes after revision `from`, up to and including revision `to`.
    pub fn delta(&self, from: usize, to: usize) -> Vec<EndpointEntry> {
        self.changes[from..to].to_vec()
    }

    /// The whole list at a revision, by id, without the endpoints that were removed.
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
