//! The endpoint list of the measured node and how it changes.

use std::collections::BTreeSet;

use edge_node::decision::{EndpointEntry, EndpointId, EndpointState, Micros};
use rand::rngs::StdRng;
use rand::Rng;

use super::SECOND;

/// Zones of the fleet, and cells in each.
pub const ZONES: u32 = 19;
const CELLS_PER_ZONE: u32 = 4;
/// Endpoints of a new list started this many seconds ago.
const AGE_IN_SECONDS: std::ops::Range<u64> = 60..86_400;
/// An endpoint's weight is one of these.
const WEIGHTS: [f64; 3] = [1.0, 1.0, 2.0];

/// The endpoints in service, and the one that is being replaced.
pub struct EndpointList {
    entries: Vec<EndpointEntry>,
    used_ids: BTreeSet<u32>,
    /// The endpoint that is being replaced, as its latest change showed it.
    leaving: Option<EndpointEntry>,
}

impl EndpointList {
    /// Draws a list of `count` endpoints.
    pub fn draw(random: &mut StdRng, now: Micros, count: u32) -> Self {
        let mut list = EndpointList { entries: Vec::new(), used_ids: BTreeSet::new(), leaving: None };
        list.replace_all(random, now, count);
        list
    }

    /// The endpoints in service.
    pub fn entries(&self) -> &[EndpointEntry] {
        &self.entries
    }

    /// Replaces all endpoints by `count` new ones.
    pub fn replace_all(&mut self, random: &mut StdRng, now: Micros, count: u32) {
        self.leaving = None;
        self.entries = Vec::new();
        for _ in 0..count {
            let age = random.random_range(AGE_IN_SECONDS) * SECOND;
            let entry = self.draw_endpoint(random, now - age);
            self.entries.push(entry);
        }
    }

    /// Makes the next change and returns its entry: an endpoint drains, then it is removed, then a new one starts
    /// in its place.
    pub fn next_change(&mut self, random: &mut StdRng, now: Micros) -> EndpointEntry {
        match self.leaving.take() {
            None => {
                let index = random.random_range(0..self.entries.len());
                let chosen = self.entries.swap_remove(index);
                let draining = EndpointEntry { state: EndpointState::Draining, ..chosen };
                self.leaving = Some(draining.clone());
                draining
            }
            Some(draining) if draining.state == EndpointState::Draining => {
                let removed = EndpointEntry { state: EndpointState::Removed, ..draining };
                self.leaving = Some(removed.clone());
                removed
            }
            Some(_) => {
                let started = self.draw_endpoint(random, now);
                self.entries.push(started.clone());
                started
            }
        }
    }

    /// Draws an endpoint with an id that none had before.
    fn draw_endpoint(&mut self, random: &mut StdRng, started_at: Micros) -> EndpointEntry {
        // Ids have 32 bits because earlier revisions of the engine hold no more.
        let id = loop {
            let id: u32 = random.random();
            if self.used_ids.insert(id) {
                break id;
            }
        };
        let cell = random.random_range(0..ZONES * CELLS_PER_ZONE);
        EndpointEntry {
            id: EndpointId(id.into()),
            zone: cell / CELLS_PER_ZONE,
            cell,
            weight: WEIGHTS[random.random_range(0..WEIGHTS.len())],
            started_at,
            ..EndpointEntry::default()
        }
    }
}
