//! The endpoint list of the measured node, and the changes made to it.

use std::collections::BTreeSet;

use edge_node::decision::{EndpointEntry, EndpointId, EndpointState, Micros};
use rand::rngs::StdRng;
use rand::Rng;

use super::SECOND;

/// Number of zones of the fleet.
pub const ZONES: u32 = 19;
/// Number of cells in each zone.
const CELLS_PER_ZONE: u32 = 4;
/// Range from which the age of each endpoint of a new list is drawn, in seconds.
const AGE_IN_SECONDS: std::ops::Range<u64> = 60..86_400;
/// Values from which an endpoint's weight is drawn.
const WEIGHTS: [f64; 3] = [1.0, 1.0, 2.0];

/// The endpoint list: the endpoints in service, and the endpoint that is being replaced.
pub struct EndpointList {
    entries: Vec<EndpointEntry>,
    used_ids: BTreeSet<u32>,
    /// The endpoint that is being replaced, in its latest state: draining or removed.
    being_replaced: Option<EndpointEntry>,
}

impl EndpointList {
    /// Draws a list of `count` endpoints.
    pub fn draw(random: &mut StdRng, now: Micros, count: u32) -> Self {
        let mut list = EndpointList { entries: Vec::new(), used_ids: BTreeSet::new(), being_replaced: None };
        list.replace_all(random, now, count);
        list
    }

    /// Returns the endpoints in service, without the one that is being replaced.
    pub fn entries(&self) -> &[EndpointEntry] {
        &self.entries
    }

    /// Replaces all endpoints with `count` new ones.
    pub fn replace_all(&mut self, random: &mut StdRng, now: Micros, count: u32) {
        self.being_replaced = None;
        self.entries = Vec::new();
        for _ in 0..count {
            let age = random.random_range(AGE_IN_SECONDS) * SECOND;
            let entry = self.draw_endpoint(random, now - age);
            self.entries.push(entry);
        }
    }

    /// Makes the next change and returns its entry. The changes repeat in three steps: an endpoint drains, it
    /// is removed, and a new endpoint starts in its place.
    pub fn next_change(&mut self, random: &mut StdRng, now: Micros) -> EndpointEntry {
        match self.being_replaced.take() {
            None => {
                let index = random.random_range(0..self.entries.len());
                let chosen = self.entries.swap_remove(index);
                let draining = EndpointEntry { state: EndpointState::Draining, ..chosen };
                self.being_replaced = Some(draining.clone());
                draining
            }
            Some(draining) if draining.state == EndpointState::Draining => {
                let removed = EndpointEntry { state: EndpointState::Removed, ..draining };
                self.being_replaced = Some(removed.clone());
                removed
            }
            Some(_) => {
                let started = self.draw_endpoint(random, now);
                self.entries.push(started.clone());
                started
            }
        }
    }

    /// Draws an endpoint with an id that has not been used before.
    fn draw_endpoint(&mut self, random: &mut StdRng, started_at: Micros) -> EndpointEntry {
        // Ids are limited to 32 bits because earlier revisions of the engine store no more.
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
