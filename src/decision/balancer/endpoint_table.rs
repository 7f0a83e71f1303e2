//! The endpoints that a node knows, with one owner and with indexes by id, by deduplication group and by
//! traffic.
//!
//! Work for a request or a tick that grew with the fleet would leave a node before some ten thousand
//! endpoints unable to serve at all. So nothing here walks all endpoints but what applies or forgets list
//! entries.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use super::deduplication_group::{DeduplicationGroup, GroupsInUse};
use super::endpoint::Endpoint;
use crate::decision::estimators::TokenBucket;
use crate::decision::{EndpointEntry, EndpointId, EndpointState, Micros, RequestClass};

/// A list of up to so many endpoints is examined in full for an attempt, which takes some microseconds. Of a
/// longer one it is the subset and, if nobody there is available, so many of the rest. A greater number finds
/// better endpoints at more time for each attempt.
pub(super) const MAX_EXAMINED: usize = 256;
/// Up to so many endpoints with traffic are never dropped from their index.
const MIN_WITH_TRAFFIC: usize = MAX_EXAMINED;
/// Responses per second that are lost in rounding when the rates of all endpoints are added up.
const NEGLIGIBLE_COMPLETION_RATE: f64 = 1e-20;

/// An entry of the endpoint list on its way into the table.
pub(super) struct ListedEndpoint {
    /// The entry.
    pub entry: EndpointEntry,
    /// The bucket that the endpoint gets if it is new or has restarted.
    pub slow_start: TokenBucket,
}

/// An active endpoint: its place on the ring of ids and in the table.
#[derive(Clone, Copy)]
struct RingEntry {
    id: EndpointId,
    slot: usize,
}

/// An endpoint in a deduplication group. In an ordered set, the endpoints of a group are next to each other.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GroupEntry {
    group: DeduplicationGroup,
    id: EndpointId,
}

/// The endpoints that a node knows.
#[derive(Default)]
pub(in crate::decision) struct EndpointTable {
    /// The endpoints; the indexes below name them by their slot, which stays the same.
    slots: Vec<Endpoint>,
    free_slots: Vec<usize>,
    /// The active endpoints in the order of their ids, which is the same at all nodes: the ring of
    /// subsetting.
    active: Vec<RingEntry>,
    /// The endpoints that are draining, or removed with attempts still in flight.
    inactive: BTreeMap<EndpointId, usize>,
    /// The endpoints of each deduplication group in use.
    group_entries: BTreeSet<GroupEntry>,
    groups_in_use: GroupsInUse,
    /// The endpoints with attempts in flight or a rate of responses.
    with_traffic: BTreeMap<EndpointId, usize>,
    /// Attempts in flight.
    in_flight: usize,
    /// Endpoints examined for requests and ticks since the start.
    endpoints_examined: Cell<u64>,
    /// List entries since the start that were new or changed something.
    entries_changed: u64,
}

impl EndpointTable {
    /// An empty table for requests of these classes.
    pub fn new(classes: &[RequestClass]) -> Self {
        EndpointTable { groups_in_use: GroupsInUse::by(classes), ..EndpointTable::default() }
    }

    /// How many endpoints are active.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// How many endpoints something is kept of.
    pub fn retained_count(&self) -> usize {
        self.active.len() + self.inactive.len()
    }

    /// How many attempts are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// How many endpoints were examined for requests and ticks since the start.
    pub fn endpoints_examined(&self) -> u64 {
        self.endpoints_examined.get()
    }

    /// How many list entries since the start were new or changed something.
    pub fn entries_changed(&self) -> u64 {
        self.entries_changed
    }

    /// The active endpoint at a position of the ring; positions beyond the last go round.
    pub fn at(&self, position: usize) -> &Endpoint {
        self.count_examined(1);
        &self.slots[self.active[position % self.active.len()].slot]
    }

    /// The endpoints with attempts in flight or a rate of responses, in the order of their ids.
    pub fn with_traffic(&self) -> impl Iterator<Item = &Endpoint> {
        self.count_examined(self.with_traffic.len() as u64);
        self.with_traffic.values().map(|&slot| &self.slots[slot])
    }

    /// The ring positions of a group's active endpoints.
    pub(super) fn positions_of(&self, group: DeduplicationGroup) -> impl Iterator<Item = usize> + '_ {
        let first = GroupEntry { group, id: EndpointId(0) };
        let last = GroupEntry { group, id: EndpointId(u64::MAX) };
        self.group_entries.range(first..=last).filter_map(|entry| self.position(entry.id))
    }

    /// An endpoint that is known.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.slot(id).map(|slot| &self.slots[slot])
    }

    /// An endpoint that is known. Attempts in flight are not to be changed through it.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.slot(id).map(|slot| &mut self.slots[slot])
    }

    /// Counts an attempt that is sent now. Returns its endpoint, if that is known.
    pub fn attempt_started(&mut self, id: EndpointId, now: Micros) -> Option<&mut Endpoint> {
        let slot = self.slot(id)?;
        self.with_traffic.insert(id, slot);
        self.in_flight += 1;
        let endpoint = &mut self.slots[slot];
        endpoint.in_flight.push_back(now);
        Some(endpoint)
    }

    /// Stops counting an attempt that was sent at `sent_at`. Returns its endpoint, if both are known.
    pub fn attempt_ended(&mut self, id: EndpointId, sent_at: Micros) -> Option<&mut Endpoint> {
        let slot = self.slot(id)?;
        let endpoint = &mut self.slots[slot];
        let index = endpoint.in_flight.iter().position(|&attempt_sent_at| attempt_sent_at == sent_at)?;
        endpoint.in_flight.remove(index);
        self.in_flight -= 1;
        Some(endpoint)
    }

    /// Applies list entries in one pass in the order of ids; a later entry for an id replaces an earlier one.
    /// After a `snapshot`, endpoints that it lacks are removed. A new endpoint starts with the fleet's mean
    /// response time `fleet_mean_latency`, in microseconds.
    pub(super) fn apply(
        &mut self,
        mut listed: Vec<ListedEndpoint>,
        snapshot: bool,
        now: Micros,
        fleet_mean_latency: f64,
    ) {
        // The sort is stable: entries for the same id keep their order.
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

    /// Entries that remove the endpoints which a sorted snapshot lacks.
    fn removed_by(&self, snapshot: &[ListedEndpoint]) -> Vec<ListedEndpoint> {
        let is_listed =
            |id: &EndpointId| snapshot.binary_search_by_key(id, |endpoint| endpoint.entry.id).is_ok();
        let active = self.active.iter().map(|active| active.slot);
        let known = active.chain(self.inactive.values().copied()).map(|slot| &self.slots[slot]);
        let missing = known.filter(|endpoint| !is_listed(&endpoint.entry.id));
        let removal = |endpoint: &Endpoint| ListedEndpoint {
            entry: EndpointEntry { state: EndpointState::Removed, ..endpoint.entry.clone() },
            slow_start: endpoint.slow_start,
        };
        missing.map(removal).collect()
    }

    /// Applies an entry while the ring is rebuilt and ends at its id.
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

    /// Takes an endpoint out of the ring, if that ends with it, or of the endpoints that are not active.
    fn take_from_index(&mut self, id: EndpointId) -> Option<usize> {
        if let Some(last) = self.active.pop_if(|last| last.id == id) {
            return Some(last.slot);
        }
        self.inactive.remove(&id)
    }

    /// A slot for a new endpoint.
    fn vacant_slot(&mut self) -> usize {
        self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Endpoint::default());
            self.slots.len() - 1
        })
    }

    fn add_new(&mut self, slot: usize, listed: ListedEndpoint, now: Micros, fleet_mean_latency: f64) {
        let entry = with_valid_weight(listed.entry);
        self.entries_changed += 1;
        self.insert_into_groups(&entry);
        self.slots[slot] = Endpoint::new(entry, listed.slow_start, fleet_mean_latency, now);
    }

    fn apply_to_known(&mut self, slot: usize, listed: ListedEndpoint, fleet_mean_latency: f64) {
        let endpoint = &mut self.slots[slot];
        let mut entry = with_valid_weight(listed.entry);
        if entry.started_at > endpoint.entry.started_at {
            endpoint.reset_after_restart(listed.slow_start, fleet_mean_latency);
        }
        // An entry that lacks the latest start, or names an earlier one, does not make the endpoint warm.
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

    /// Forgets removed endpoints without attempts in flight: endpoints are ever new, and what is kept of each
    /// would grow without end. Of a long list it forgets old traffic, too.
    pub fn forget_removed(&mut self, now: Micros) {
        self.drop_removed();
        self.drop_old_traffic(now);
    }

    fn drop_removed(&mut self) {
        let is_over = |endpoint: &Endpoint| {
            endpoint.entry.state == EndpointState::Removed && endpoint.in_flight.is_empty()
        };
        let over: Vec<usize> =
            self.inactive.values().copied().filter(|&slot| is_over(&self.slots[slot])).collect();
        for slot in over {
            let endpoint = std::mem::take(&mut self.slots[slot]);
            self.remove_from_groups(&endpoint.entry);
            self.inactive.remove(&endpoint.entry.id);
            self.with_traffic.remove(&endpoint.entry.id);
            self.free_slots.push(slot);
        }
    }

    fn drop_old_traffic(&mut self, now: Micros) {
        if self.with_traffic.len() <= MIN_WITH_TRAFFIC {
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

    /// The ring position of an endpoint, if it is active.
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

/// The entry with a weight of 1 where it has none that can be used.
fn with_valid_weight(mut entry: EndpointEntry) -> EndpointEntry {
    if !(entry.weight.is_finite() && entry.weight > 0.0) {
        entry.weight = 1.0;
    }
    entry
}

/// Whether two entries of an endpoint agree in all that decisions depend on.
fn is_unchanged(new: &EndpointEntry, old: &EndpointEntry) -> bool {
    new.zone == old.zone
        && new.cell == old.cell
        && new.weight == old.weight
        && new.state == old.state
        && new.started_at == old.started_at
}
