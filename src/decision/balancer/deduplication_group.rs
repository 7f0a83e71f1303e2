//! The groups of endpoints that drop each other's repeats of a keyed request.

use super::Placement;
use crate::decision::{DeduplicationScope, EndpointEntry, Idempotency, RequestClass};

/// A zone or a cell, as far as its endpoints drop each other's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeduplicationGroup {
    /// The endpoints of a zone.
    Zone(u32),
    /// The endpoints of a cell.
    Cell(u32),
}

impl DeduplicationGroup {
    /// The group that attempts of a class are bound to once one may have run at `placement`. None if any
    /// endpoint may be sent another.
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

    /// Whether an endpoint is in this group.
    pub fn contains(self, entry: &EndpointEntry) -> bool {
        match self {
            DeduplicationGroup::Zone(zone) => entry.zone == zone,
            DeduplicationGroup::Cell(cell) => entry.cell == cell,
        }
    }
}

/// The kinds of group that any class binds its attempts to.
#[derive(Clone, Copy, Default)]
pub(super) struct GroupsInUse {
    zones: bool,
    cells: bool,
}

impl GroupsInUse {
    /// Those that these classes use.
    pub fn by(classes: &[RequestClass]) -> Self {
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

    /// The groups in use that an endpoint is in.
    pub fn of(self, entry: &EndpointEntry) -> impl Iterator<Item = DeduplicationGroup> {
        let zone = self.zones.then_some(DeduplicationGroup::Zone(entry.zone));
        let cell = self.cells.then_some(DeduplicationGroup::Cell(entry.cell));
        zone.into_iter().chain(cell)
    }
}
