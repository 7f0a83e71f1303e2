//! Deterministic subsetting: each node sends to a part of the endpoints.
//!
//! In a large fleet, a node that sent to all endpoints would meet each so seldom that it pays for a handshake
//! each time and learns of a failure only by being harmed. The active endpoints, in the order of their ids,
//! form a ring that is the same at all nodes. The nodes' first positions are spread evenly over it, so each
//! endpoint is in as many subsets as any other. The next ones on the ring stand in for those that are
//! ejected.

use std::ops::Range;

use super::endpoint::Endpoint;
use super::endpoint_table::{EndpointTable, MAX_EXAMINED};
use crate::decision::estimators::RandomSource;
use crate::decision::{Micros, Settings};

/// Nodes that share an endpoint at least: enough that their loads even out.
const MIN_NODES_PER_ENDPOINT: usize = 24;
/// Endpoints that a node uses at least: enough that some are left when a third is lost.
const MIN_SUBSET_SIZE: usize = 12;

/// The part of the ring that this node sends to at one point in time.
pub(super) struct Subset {
    /// Size of the ring: how many endpoints are active.
    ring_size: usize,
    /// The position on the ring where the subset begins.
    first_position: usize,
    /// Positions from the first one on that the subset spans, with the ejected endpoints among them.
    span: usize,
    /// Sum of the warm fractions of its endpoints.
    capacity: f64,
}

impl Subset {
    /// The subset at `now`: from the node's first position on, as many endpoints as it needs that are not
    /// ejected.
    pub fn at(
        now: Micros,
        settings: &Settings,
        endpoints: &EndpointTable,
        warm_fraction: impl Fn(&Endpoint) -> f64,
    ) -> Subset {
        let ring_size = endpoints.active_count();
        let node_count = settings.node_count.max(1) as usize;
        let size = (ring_size * MIN_NODES_PER_ENDPOINT).div_ceil(node_count).max(MIN_SUBSET_SIZE);
        let first_position = settings.node_index as usize * ring_size / node_count % ring_size.max(1);
        let mut subset = Subset { ring_size, first_position, span: 0, capacity: 0.0 };
        let mut selected = 0;
        for offset in 0..ring_size {
            if selected == size {
                break;
            }
            let endpoint = endpoints.at(first_position + offset);
            if endpoint.is_ejected(now) {
                continue;
            }
            selected += 1;
            subset.span = offset + 1;
            subset.capacity += warm_fraction(endpoint);
        }
        subset
    }

    /// Capacity of the subset, in warm endpoints.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Whether a position of the ring is within the subset.
    pub fn contains(&self, position: usize) -> bool {
        (position + self.ring_size - self.first_position) % self.ring_size < self.span
    }

    /// The positions that are examined for each attempt.
    pub fn positions_to_examine(&self) -> Range<usize> {
        if self.ring_size <= MAX_EXAMINED {
            0..self.ring_size
        } else {
            self.first_position..self.first_position + self.span
        }
    }

    /// Whether endpoints are left that are not examined for each attempt.
    pub fn leaves_a_rest(&self) -> bool {
        self.positions_to_examine().len() < self.ring_size
    }

    /// A sample of the positions beyond the subset, evenly spaced from a random start. Neighbours on the ring
    /// may fail together, hence from all round it.
    pub fn sample_of_rest(&self, random: &mut RandomSource) -> impl Iterator<Item = usize> {
        let step = (self.ring_size - self.span).div_ceil(MAX_EXAMINED);
        let start = self.span + (random.uniform() * step as f64) as usize;
        let first_position = self.first_position;
        (start..self.ring_size).step_by(step).map(move |offset| first_position + offset)
    }
}
