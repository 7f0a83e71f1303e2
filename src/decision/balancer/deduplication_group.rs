//! Deduplication groups. The deduplication scope of a class is a kind of group: all endpoints, a zone or a
//! cell. A group is one zone or one cell, whose endpoints drop repeats of keyed requests that ran at another
//! endpoint of the group. With the scope of all endpoints, attempts are bound to no group.

use super::Placement;
use crate::decision::{DeduplicationScope, EndpointEntry, Idempotency, RequestClass};

/// A zone or a cell whose endpoints drop repeats of each other's keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeduplicationGroup {
    /// The endpoints of the zone with this number.
    Zone(u32),
    /// The endpoints of the cell with this number.
    Cell(u32),
}

impl DeduplicationGroup {
    /// Returns the group to which further attempts of a request of this class are bound once an attempt may
    /// have run at `placement`. Returns `None` if they may be sent to any endpoint.
    pub fn binding(class: &RequestClass, placement: Placement) -> Option<Self> {
        if class.idempotency != Idempotency::Keyed {
            return None;
        }
        match class.deduplication_scope {
            DeduplicationScope::All => None,
            DeduplicationScope::Zone => Some(DeduplicationGroup::Zone(placement.zone)),
            DeduplicationScope::Cell => Some(DeduplicationGroup::Cell(placement.cell)),
        }
    }

    /// Returns whether an endpoint is in this group.
    pub fn contains(self, entry: &EndpointEntry) -> bool {
        match self {
            DeduplicationGroup::Zone(zone) => entry.zone == zone,
            DeduplicationGroup::Cell(cell) => entry.cell == cell,
        }
    }
}

/// The kinds of deduplication group to which at least one request class binds its attempts.
#[derive(Clone, Copy, Default)]
pub(super) struct GroupsInUse {
    zones: bool,
    cells: bool,
}

impl GroupsInUse {
    /// Returns the kinds that these classes use.
    pub fn from_classes(classes: &[RequestClass]) -> Self {
        let any_class_uses = |scope| {
            classes
                .iter()
                .any(|class| class.idempotency == Idempotency::Keyed && class.deduplication_scope == scope)
        };
        GroupsInUse {
            zones: any_class_uses(DeduplicationScope::Zone),
            cells: any_class_uses(DeduplicationScope::Cell),
        }
    }

    /// Returns the groups of an endpoint that are of a kind in use.
    pub fn of(self, entry: &EndpointEntry) -> impl Iterator<Item = DeduplicationGroup> {
        let zone = self.zones.then_some(DeduplicationGroup::Zone(entry.zone));
        let cell = self.cells.then_some(DeduplicationGroup::Cell(entry.cell));
        zone.into_iter().chain(cell)
    }
}
