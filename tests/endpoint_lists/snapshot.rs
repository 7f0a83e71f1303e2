//! Tests of full lists and deltas that are applied to the endpoints known before.

use std::collections::BTreeSet;

use edge_node::decision::{EndpointId, EndpointState};
use edge_node::net::discovery::endpoint_id::endpoint_id;
use edge_node::net::discovery::endpoints::Endpoints;
use edge_node::net::discovery::parser::MAX_LOGGED_FAULTS;
use edge_node::net::discovery::snapshot::ListDifference;
use fastrand::Rng;
use serde_json::{json, Value};

use crate::fakes::endpoint_entry;
use crate::lists::{all_up, id, labels, name, numbered, read, with_snapshot, LONGEST, SIZES};

/// Two names with the same 32-bit FNV-1a hash.
pub const COLLIDING_NAMES: [&str; 2] = ["s-81b30b60", "s-bc2817e4"];

/// The ids and states of which the decision engine is notified after a delta.
type Notified = Vec<(EndpointId, EndpointState)>;

struct DeltaResult {
    notified: Notified,
    stale: Vec<EndpointId>,
}

fn apply_delta(known: &mut Endpoints, entries: &[Value]) -> DeltaResult {
    let applied = known.apply_entries(read(entries).entries(), &labels());
    let notified = applied.entries.iter().map(|entry| (entry.id, entry.state)).collect();
    DeltaResult { notified, stale: applied.stale }
}

#[test]
fn snapshot_of_any_size_changes_only_endpoints_that_differ() {
    for size in SIZES {
        let mut entries = all_up(0..size);
        let first = with_snapshot(&Endpoints::default(), &entries);
        assert_eq!(first.difference, ListDifference { added: size, ..ListDifference::default() });
        assert_eq!(with_snapshot(&first.endpoints, &entries).difference.unchanged, size);

        entries[7] = numbered(7, "draining");
        entries[8]["since_ms"] = json!(5);
        entries[9]["address"] = json!("127.0.0.1:9");
        entries[10] = numbered(size, "up");
        let next = with_snapshot(&first.endpoints, &entries);
        let difference = ListDifference { unchanged: size - 4, changed: 3, added: 1, removed: 1 };
        assert_eq!(next.difference, difference);
        assert!(
            next.entries.windows(2).all(|pair| pair[0].id < pair[1].id),
            "entries should be in ascending order of ids, one for each id"
        );
        for number in (0..=size).filter(|&number| number != 10) {
            let found = next.endpoints.find(&name(number)).and_then(|id| next.endpoints.get(id));
            assert_eq!(found.map(|endpoint| &*endpoint.name), Some(&*name(number)));
        }
        assert_eq!(next.endpoints.find(&name(10)), None);

        let last = with_snapshot(&next.endpoints, &all_up(size + 1..=2 * size));
        let difference = ListDifference { added: size, removed: size, ..ListDifference::default() };
        assert_eq!(last.difference, difference);
        assert_eq!(last.endpoints.len(), size);
        assert_eq!(last.entries.len(), size);
    }
}

/// Returns a delta of up to five entries with random states, starts and addresses.
fn random_delta(random: &mut Rng) -> Vec<Value> {
    let mut delta = Vec::new();
    for _ in 0..random.usize(0..6) {
        let mut entry = numbered(random.usize(0..60), ["up", "draining", "removed"][random.usize(0..3)]);
        entry["since_ms"] = json!(random.u32(0..3));
        if random.u32(0..4) == 0 {
            entry["address"] = json!(["", "127.0.0.1:9"][random.usize(0..2)]);
        }
        delta.push(entry);
    }
    delta
}

/// Returns the entries of a full list of the known endpoints.
fn listed(known: &Endpoints) -> Vec<Value> {
    let ids = (0..60).filter_map(|number| known.find(&name(number)));
    let endpoints = ids.filter_map(|id| known.get(id));
    let entries = endpoints.map(|endpoint| {
        let status = if endpoint.is_active() { "up" } else { "draining" };
        let mut entry = endpoint_entry(&endpoint.name, endpoint.address, "a", status);
        entry["since_ms"] = json!(endpoint.attributes.started_at_ms);
        entry
    });
    entries.collect()
}

#[test]
fn delta_in_place_delta_on_a_copy_and_snapshot_give_the_same_endpoints() {
    let mut known = with_snapshot(&Endpoints::default(), &all_up(0..40)).endpoints;
    let mut random = Rng::with_seed(12);
    for _ in 0..300 {
        let delta = random_delta(&mut random);
        let on_copy = known.with_delta(read(&delta).entries(), &labels());
        let in_place = apply_delta(&mut known, &delta);
        let notified: Notified = on_copy.entries.iter().map(|entry| (entry.id, entry.state)).collect();
        assert_eq!(notified, in_place.notified);
        assert_eq!(on_copy.stale, in_place.stale);
        // A full list of the same endpoints contains no change.
        let all = listed(&known);
        for endpoints in [&known, &on_copy.endpoints] {
            let same = ListDifference { unchanged: all.len(), ..ListDifference::default() };
            assert_eq!(with_snapshot(endpoints, &all).difference, same);
        }
    }
}

#[test]
fn delta_entry_for_an_unknown_endpoint_adds_it_or_is_skipped() {
    let mut known = with_snapshot(&Endpoints::default(), &all_up([1])).endpoints;
    let without_address = json!({"name": "s-3", "status": "up"});
    let skipped = apply_delta(&mut known, &[numbered(2, "removed"), without_address]);
    assert!(skipped.notified.is_empty());
    assert!(skipped.stale.is_empty());
    let added = apply_delta(&mut known, &[numbered(2, "draining")]);
    assert_eq!(added.notified, [(id(2), EndpointState::Draining)]);
    assert_eq!(known.len(), 2);
    // If another endpoint is already listed at the address, existing connections of both may lead to either
    // of them.
    let mut at_known_address = numbered(3, "up");
    at_known_address["address"] = numbered(1, "up")["address"].clone();
    let added = apply_delta(&mut known, &[at_known_address]);
    assert_eq!(BTreeSet::from_iter(added.stale), BTreeSet::from([1, 3].map(id)));
}

#[test]
fn later_of_two_entries_for_one_name_counts() {
    let mut without_address = numbered(1, "draining");
    without_address["address"] = json!("");
    let entries = [numbered(1, "up"), numbered(2, "up"), without_address];
    let applied = with_snapshot(&Endpoints::default(), &entries);
    let states = applied.entries.iter().map(|entry| (entry.id, entry.state == EndpointState::Active));
    assert_eq!(BTreeSet::from_iter(states), BTreeSet::from([(id(1), false), (id(2), true)]));
    assert_eq!(applied.entries.len(), 2);
    let first = applied.endpoints.get(id(1)).expect("endpoint should have the address of the earlier entry");
    assert!(!first.is_active() && first.address.port() == 9);
}

#[test]
fn names_with_the_same_fnv_1a_hash_have_different_ids() {
    let [first, second] = COLLIDING_NAMES.map(endpoint_id);
    assert_eq!(first.0 >> 32, second.0 >> 32, "both names should have the same FNV-1a hash");
    assert_ne!(first, second);
}

fn ids(known: &Endpoints, numbers: &[usize]) -> Vec<Option<EndpointId>> {
    numbers.iter().map(|&number| known.find(&name(number))).collect()
}

fn distinct(ids: &[Option<EndpointId>]) -> usize {
    ids.iter().flatten().collect::<BTreeSet<_>>().len()
}

#[test]
fn endpoints_never_share_an_id_and_removed_ones_free_theirs() {
    // If all names give the same id, each endpoint still gets an id of its own and keeps it while it is
    // known.
    let one_id_for_all = |_: &str| EndpointId(u64::MAX);
    let mut known = with_snapshot(&Endpoints::with_id_function(one_id_for_all), &all_up([1, 2, 3])).endpoints;
    let before = ids(&known, &[1, 2, 3]);
    assert_eq!(distinct(&before), 3);
    assert!(before.contains(&Some(EndpointId(u64::MAX))) && before.contains(&Some(EndpointId(0))));
    apply_delta(&mut known, &[numbered(1, "removed"), numbered(4, "up")]);
    assert_eq!(ids(&known, &[1, 2, 3]), [None, before[1], before[2]]);
    let next = with_snapshot(&known, &all_up([0, 4, 3, 2])).endpoints;
    assert_eq!(ids(&next, &[2, 3, 4]), ids(&known, &[2, 3, 4]));
    assert_eq!(distinct(&ids(&next, &[0, 2, 3, 4])), 4);
    let none = with_snapshot(&next, &[]).endpoints;
    assert!(none.is_empty());
    let last = with_snapshot(&none, &all_up([5])).endpoints;
    assert_eq!(last.find(&name(5)), Some(EndpointId(u64::MAX)));
}

#[test]
fn malformed_entries_are_skipped_and_their_log_lines_are_limited() {
    let mut entries = all_up(0..LONGEST);
    entries[LONGEST / 2]["status"] = json!(7);
    let list = read(&entries);
    assert_eq!(list.entries().len(), LONGEST - 1);
    assert_eq!(list.faults().count(), 1);
    assert!(list.is_usable());
    let malformed = read(&vec![json!({"name": 7}); LONGEST]);
    assert_eq!(malformed.entries().len(), 0);
    assert_eq!(malformed.faults().count(), LONGEST);
    assert!(!malformed.is_usable());
    assert_eq!(malformed.faults().lines().count(), MAX_LOGGED_FAULTS + 1);
    let without_address = vec![json!({"name": "s-1", "status": "up"}); 3];
    let applied = with_snapshot(&Endpoints::default(), &without_address);
    assert_eq!(applied.entries.len(), 0);
    assert_eq!(applied.faults.count(), 1, "a name with several entries should count as one fault");
}
