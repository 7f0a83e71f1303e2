//! The endpoints that a node knows. The table owns their state and indexes it by id, by deduplication group
//! and by traffic.
//!
//! If the work for a request or a tick grew with the fleet, a node with some ten thousand endpoints could not
//! serve at all. Therefore only functions that apply list entries or drop endpoints iterate over all
//! endpoints.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use super::deduplication_group::{DeduplicationGroup, GroupsInUse};
use super::endpoint::EndpointBalancingState;
use crate::decision::estimators::TokenBucket;
use crate::decision::{EndpointEntry, EndpointId, EndpointState, Micros, RequestClass};

/// An endpoint list of up to this length is examined in full for an attempt, which takes some microseconds.
/// Of a longer list, the subset is examined and, if no endpoint of it is available, up to this many of the
/// others. A greater number finds better endpoints, but takes more time for each attempt.
pub(super) const MAX_EXAMINED: usize = 256;
/// Endpoints whose traffic is old are dropped from the index of endpoints with traffic only while it holds
/// more than this many.
const TRAFFIC_INDEX_CLEANUP_SIZE: usize = MAX_EXAMINED;
/// A completion rate, in requests per second, that is lost in rounding when the rates of all endpoints are
/// summed.
const NEGLIGIBLE_COMPLETION_RATE: f64 = 1e-20;

/// An entry of the endpoint list that is to be applied to the table.
pub(super) struct ListedEndpoint {
    pub entry: EndpointEntry,
    /// The slow-start bucket that the endpoint gets if it is new or has restarted.
    pub slow_start: TokenBucket,
}

/// The id and the slot of an active endpoint on the ring.
#[derive(Clone, Copy)]
struct RingEntry {
    id: EndpointId,
    slot: usize,
}

/// An endpoint in a deduplication group. The order of the fields makes the endpoints of one group adjacent in
/// an ordered set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GroupEntry {
    group: DeduplicationGroup,
    id: EndpointId,
}

/// The state of all endpoints that a node knows, with indexes.
#[derive(Default)]
pub(in crate::decision) struct EndpointTable {
    /// The state of the endpoints. An endpoint keeps its slot, by which the indexes below refer to it.
    slots: Vec<EndpointBalancingState>,
    free_slots: Vec<usize>,
    /// The ring of subsetting: the active endpoints in the order of their ids, which is the same at all
    /// nodes.
    active: Vec<RingEntry>,
    /// The slots of endpoints that are draining, or that are removed but still have attempts in flight.
    inactive: BTreeMap<EndpointId, usize>,
    /// The endpoints of each deduplication group that is in use.
    group_entries: BTreeSet<GroupEntry>,
    groups_in_use: GroupsInUse,
    /// The slots of endpoints with attempts in flight or a completion rate.
    with_traffic: BTreeMap<EndpointId, usize>,
    /// Number of attempts in flight at all endpoints.
    in_flight: usize,
    /// Number of endpoints examined for requests and ticks since the start of the node.
    endpoints_examined: Cell<u64>,
    /// Number of list entries since the start of the node that were new or changed something.
    entries_changed: u64,
}

impl EndpointTable {
    /// Creates an empty table for requests of these classes.
    pub fn new(classes: &[RequestClass]) -> Self {
        EndpointTable { groups_in_use: GroupsInUse::from_classes(classes), ..EndpointTable::default() }
    }

    /// Returns the number of active endpoints, which is the size of the ring.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of endpoints for which state is kept.
    pub fn retained_count(&self) -> usize {
        self.active.len() + self.inactive.len()
    }

    /// Returns the number of attempts in flight at all endpoints.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns how many endpoints were examined for requests and ticks since the start of the node.
    pub fn endpoints_examined(&self) -> u64 {
        self.endpoints_examined.get()
    }

    /// Returns how many list entries since the start of the node were new or changed something.
    pub fn entries_changed(&self) -> u64 {
        self.entries_changed
    }

    /// Returns the active endpoint at a position of the ring. Positions beyond the last one wrap around.
    pub fn at(&self, position: usize) -> &EndpointBalancingState {
        self.count_examined(1);
        &self.slots[self.active[position % self.active.len()].slot]
    }

    /// Returns the endpoints with attempts in flight or a completion rate, in the order of their ids.
    pub fn with_traffic(&self) -> impl Iterator<Item = &EndpointBalancingState> {
        self.count_examined(self.with_traffic.len() as u64);
        self.with_traffic.values().map(|&slot| &self.slots[slot])
    }

    /// Returns the ring positions of a group's active endpoints, in the order of their ids.
    pub(super) fn positions_of(&self, group: DeduplicationGroup) -> impl Iterator<Item = usize> + '_ {
        let first = GroupEntry { group, id: EndpointId(0) };
        let last = GroupEntry { group, id: EndpointId(u64::MAX) };
        self.group_entries.range(first..=last).filter_map(|entry| self.position(entry.id))
    }

    /// Returns an endpoint, or `None` if it is not known.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointBalancingState> {
        self.slot(id).map(|slot| &self.slots[slot])
    }

    /// Returns an endpoint for changes, or `None` if it is not known. The caller must not change its attempts
    /// in flight, which the table counts.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut EndpointBalancingState> {
        self.slot(id).map(|slot| &mut self.slots[slot])
    }

    /// Counts an attempt that is sent at `now` and returns its endpoint. Returns `None` if the endpoint is
    /// not known.
    pub fn attempt_started(&mut self, id: EndpointId, now: Micros) -> Option<&mut EndpointBalancingState> {
        let slot = self.slot(id)?;
        self.with_traffic.insert(id, slot);
        self.in_flight += 1;
        let endpoint = &mut self.slots[slot];
        endpoint.in_flight.push_back(now);
        Some(endpoint)
    }

    /// Stops counting an attempt that was sent at `sent_at` and returns its endpoint. Returns `None` if the
    /// endpoint or the attempt is not known.
    pub fn attempt_ended(&mut self, id: EndpointId, sent_at: Micros) -> Option<&mut EndpointBalancingState> {
        let slot = self.slot(id)?;
        let endpoint = &mut self.slots[slot];
        let index = endpoint.in_flight.iter().position(|&attempt_sent_at| attempt_sent_at == sent_at)?;
        endpoint.in_flight.remove(index);
        self.in_flight -= 1;
        Some(endpoint)
    }

    /// Applies list entries in one pass in the order of their ids. A later entry for an id replaces an
    /// earlier one. If the entries are a `snapshot`, endpoints that it lacks are removed. A new endpoint
    /// starts with the fleet's mean response time `fleet_mean_latency`, in microseconds.
    pub(super) fn apply(
        &mut self,
        mut listed: Vec<ListedEndpoint>,
        snapshot: bool,
        now: Micros,
        fleet_mean_latency: f64,
    ) {
        // The sort is stable, so entries for the same id keep their order.
        listed.sort_by_key(|endpoint| endpoint.entry.id);
        if snapshot {
            let removed = self.removed_by(&listed);
            listed.extend(removed);
            listed.sort_by_key(|endpoint| endpoint.entry.id);
        }
        let Some(first_id) = listed.first().map(|endpoint| endpoint.entry.id) else { return };
        let first_changed = self.active.partition_point(|active| active.id < first_id);
        let old_ring = self.active.split_off(first_changed);
        let mut not_reached = &old_ring[..];
        for endpoint in listed {
            let reached = not_reached.iter().take_while(|active| active.id <= endpoint.entry.id).count();
            let (unchanged_and_this, later) = not_reached.split_at(reached);
            self.active.extend_from_slice(unchanged_and_this);
            not_reached = later;
            self.apply_next(endpoint, now, fleet_mean_latency);
        }
        self.active.extend_from_slice(not_reached);
    }

    /// Returns entries that remove the endpoints which a snapshot, sorted by id, lacks.
    fn removed_by(&self, snapshot: &[ListedEndpoint]) -> Vec<ListedEndpoint> {
        let is_listed =
            |id: &EndpointId| snapshot.binary_search_by_key(id, |endpoint| endpoint.entry.id).is_ok();
        let active = self.active.iter().map(|active| active.slot);
        let known = active.chain(self.inactive.values().copied()).map(|slot| &self.slots[slot]);
        let missing = known.filter(|endpoint| !is_listed(&endpoint.entry.id));
        let removal = |endpoint: &EndpointBalancingState| ListedEndpoint {
            entry: EndpointEntry { state: EndpointState::Removed, ..endpoint.entry.clone() },
            slow_start: endpoint.slow_start,
        };
        missing.map(removal).collect()
    }

    /// Applies an entry while the ring is being rebuilt and holds the endpoints up to the id of the entry.
    fn apply_next(&mut self, listed: ListedEndpoint, now: Micros, fleet_mean_latency: f64) {
        let known_slot = self.take_from_index(listed.entry.id);
        let slot = known_slot.unwrap_or_else(|| self.vacant_slot());
        let id = listed.entry.id;
        if known_slot.is_some() {
            self.apply_to_known(slot, listed, fleet_mean_latency);
        } else {
            self.add_new(slot, listed, now, fleet_mean_latency);
        }
        if self.slots[slot].is_active() {
            self.active.push(RingEntry { id, slot });
        } else {
            self.inactive.insert(id, slot);
        }
    }

    /// Removes an endpoint from the index that holds it, and returns its slot: from the ring if that ends
    /// with the endpoint, else from the endpoints that are not active. Returns `None` if neither holds it.
    fn take_from_index(&mut self, id: EndpointId) -> Option<usize> {
        if let Some(last) = self.active.pop_if(|last| last.id == id) {
            return Some(last.slot);
        }
        self.inactive.remove(&id)
    }

    /// Returns a slot for a new endpoint: a free one if there is one, else an added one.
    fn vacant_slot(&mut self) -> usize {
        self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(EndpointBalancingState::default());
            self.slots.len() - 1
        })
    }

    fn add_new(&mut self, slot: usize, listed: ListedEndpoint, now: Micros, fleet_mean_latency: f64) {
        let entry = with_valid_weight(listed.entry);
        self.entries_changed += 1;
        self.insert_into_groups(&entry);
        self.slots[slot] = EndpointBalancingState::new(entry, listed.slow_start, fleet_mean_latency, now);
    }

    fn apply_to_known(&mut self, slot: usize, listed: ListedEndpoint, fleet_mean_latency: f64) {
        let endpoint = &mut self.slots[slot];
        let mut entry = with_valid_weight(listed.entry);
        if entry.started_at > endpoint.entry.started_at {
            endpoint.reset_after_restart(listed.slow_start, fleet_mean_latency);
        }
        // The latest known start is kept, so an entry with no start or an earlier one does not make the
        // endpoint warm.
        entry.started_at = entry.started_at.max(endpoint.entry.started_at);
        if is_unchanged(&entry, &endpoint.entry) {
            return;
        }
        let old = std::mem::replace(&mut endpoint.entry, entry.clone());
        self.entries_changed += 1;
        if (old.zone, old.cell) != (entry.zone, entry.cell) {
            self.remove_from_groups(&old);
            self.insert_into_groups(&entry);
        }
    }

    /// Drops removed endpoints that have no attempts in flight. New endpoints keep replacing old ones, so
    /// the state would otherwise grow without bound. If many endpoints have traffic, also drops from their
    /// index those whose traffic is old.
    pub fn drop_unneeded_state(&mut self, now: Micros) {
        self.drop_removed_endpoints();
        self.drop_old_traffic(now);
    }

    fn drop_removed_endpoints(&mut self) {
        let can_be_dropped = |endpoint: &EndpointBalancingState| {
            endpoint.entry.state == EndpointState::Removed && endpoint.in_flight.is_empty()
        };
        let to_drop: Vec<usize> =
            self.inactive.values().copied().filter(|&slot| can_be_dropped(&self.slots[slot])).collect();
        for slot in to_drop {
            let endpoint = std::mem::take(&mut self.slots[slot]);
            self.remove_from_groups(&endpoint.entry);
            self.inactive.remove(&endpoint.entry.id);
            self.with_traffic.remove(&endpoint.entry.id);
            self.free_slots.push(slot);
        }
    }

    fn drop_old_traffic(&mut self, now: Micros) {
        if self.with_traffic.len() <= TRAFFIC_INDEX_CLEANUP_SIZE {
            return;
        }
        let slots = &self.slots;
        self.with_traffic.retain(|_, slot| {
            let endpoint = &slots[*slot];
            !endpoint.in_flight.is_empty() || endpoint.completion_rate(now) > NEGLIGIBLE_COMPLETION_RATE
        });
    }

    fn insert_into_groups(&mut self, entry: &EndpointEntry) {
        for group in self.groups_in_use.of(entry) {
            self.group_entries.insert(GroupEntry { group, id: entry.id });
        }
    }

    fn remove_from_groups(&mut self, entry: &EndpointEntry) {
        for group in self.groups_in_use.of(entry) {
            self.group_entries.remove(&GroupEntry { group, id: entry.id });
        }
    }

    /// Returns the ring position of an endpoint, or `None` if it is not active.
    fn position(&self, id: EndpointId) -> Option<usize> {
        self.active.binary_search_by_key(&id, |active| active.id).ok()
    }

    fn slot(&self, id: EndpointId) -> Option<usize> {
        match self.position(id) {
            Some(position) => Some(self.active[position].slot),
            None => self.inactive.get(&id).copied(),
        }
    }

    fn count_examined(&self, endpoints: u64) {
        self.endpoints_examined.set(self.endpoints_examined.get() + endpoints);
    }
}

/// Returns the entry, with a weight of 1 if its own is not finite and above 0.
fn with_valid_weight(mut entry: EndpointEntry) -> EndpointEntry {
    if !(entry.weight.is_finite() && entry.weight > 0.0) {
        entry.weight = 1.0;
    }
    entry
}

/// Returns whether two entries of an endpoint agree in all fields on which decisions depend.
fn is_unchanged(new: &EndpointEntry, old: &EndpointEntry) -> bool {
    new.zone == old.zone
        && new.cell == old.cell
        && new.weight == old.weight
        && new.state == old.state
        && new.started_at == old.started_at
}
