//! Deterministic subsetting: each node sends to a part of the endpoints.
//!
//! In a large fleet, a node that sent to all endpoints would send to each so seldom that every attempt needs
//! a new handshake, and that the node learns of a failure only from requests that the failure harms. The
//! active endpoints, in the order of their ids, form a ring that is the same at all nodes. The nodes' first
//! positions are spread evenly over the ring, so each endpoint is in as many subsets as any other. The next
//! endpoints on the ring replace those that are ejected.

use std::ops::Range;

use super::endpoint::EndpointBalancingState;
use super::endpoint_table::{EndpointTable, MAX_EXAMINED};
use crate::decision::estimators::RandomSource;
use crate::decision::{Micros, Settings};

/// The least number of nodes that share an endpoint: enough for their loads to even out.
const MIN_NODES_PER_ENDPOINT: usize = 24;
/// The least number of endpoints that a node uses: enough for some to be left when a third is lost.
const MIN_SUBSET_SIZE: usize = 12;

/// The part of the ring to which this node sends at one point in time.
pub(super) struct Subset {
    /// Size of the ring, which is the number of active endpoints.
    ring_size: usize,
    /// The ring position at which the subset begins.
    first_position: usize,
    /// Number of positions that the subset spans, including those of ejected endpoints.
    span: usize,
    /// Sum of the warm fractions of the subset's endpoints.
    capacity: f64,
}

impl Subset {
    /// Returns the subset at `now`: from the node's first position on, as many endpoints that are not ejected
    /// as the node needs, or all of them if there are fewer.
    pub fn at(
        now: Micros,
        settings: &Settings,
        endpoints: &EndpointTable,
        warm_fraction: impl Fn(&EndpointBalancingState) -> f64,
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

    /// Returns the capacity of the subset, in units of one warm endpoint.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns whether a position of the ring is within the subset's span, ejected endpoints included.
    pub fn contains(&self, position: usize) -> bool {
        (position + self.ring_size - self.first_position) % self.ring_size < self.span
    }

    /// Returns the positions that are examined for each attempt: all of a short ring, else those of the
    /// subset.
    pub fn positions_to_examine(&self) -> Range<usize> {
        if self.ring_size <= MAX_EXAMINED {
            0..self.ring_size
        } else {
            self.first_position..self.first_position + self.span
        }
    }

    /// Returns whether the ring has positions that are not examined for each attempt.
    pub fn has_unexamined_positions(&self) -> bool {
        self.positions_to_examine().len() < self.ring_size
    }

    /// Returns a sample of the positions beyond the subset, evenly spaced from a random start. The sample is
    /// taken from all around the ring, since neighbours on it may fail together. Draws one random number.
    pub fn sample_beyond_subset(&self, random: &mut RandomSource) -> impl Iterator<Item = usize> {
        let step = (self.ring_size - self.span).div_ceil(MAX_EXAMINED);
        let start = self.span + (random.uniform() * step as f64) as usize;
        let first_position = self.first_position;
        (start..self.ring_size).step_by(step).map(move |offset| first_position + offset)
    }
}
