//! The selection of endpoints in fleets of any size: it gives the same result as a plain scan of the whole
//! list, and its work does not grow with the fleet.

mod common;
mod oracle;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use common::{settings_without_quota, NodeUnderTest, StartedAttempt, MILLISECOND, SAFE, SECOND};
use edge_node::decision::{
    EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event, Micros, Settings,
};
use oracle::checked_node::{active_entry, delta, entry, settings_of_node, snapshot, CheckedNode};
use oracle::CheckedAttempts;

/// The seed and the size of the fleet of a check, and its number of events.
struct Check {
    seed: u64,
    endpoint_count: u64,
    node_count: u32,
    event_count: u32,
}

/// Checks where a node sends its attempts, over events drawn from the seed. Returns how many attempts were
/// checked.
fn run_check(check: &Check) -> CheckedAttempts {
    let settings = settings_of_node(check.node_count / 2, check.node_count);
    let mut checked = CheckedNode::new(check.seed, check.endpoint_count, settings);
    let mut next_tick = checked.node.now;
    for number in 0..check.event_count {
        checked.node.now += checked.random.u64(..10 * MILLISECOND);
        while next_tick <= checked.node.now {
            next_tick += 20 * MILLISECOND;
            checked.event(Event::TimerFired { id: 0 });
        }
        match checked.random.u32(..100) {
            _ if number == check.event_count / 2 => {
                checked.restart_neighbours(check.endpoint_count as usize / 4)
            }
            _ if number % 400 == 399 => checked.shrink_by_snapshot(),
            0..3 => checked.change_an_endpoint(),
            3..52 => checked.request(),
            _ if !checked.in_flight.is_empty() => checked.end_attempt(number % 300 > 150),
            _ => {}
        }
    }
    checked.oracle.checked
}

#[test]
fn selection_equals_a_plain_scan_where_the_subset_is_the_whole_list() {
    for seed in 0..4 {
        let check = Check { seed, endpoint_count: 24, node_count: 3, event_count: 1_500 };
        let checked = run_check(&check);
        assert!(checked.all > 300 && checked.bound_repeats > 5, "{checked:?}");
    }
}

#[test]
fn selection_equals_a_plain_scan_at_200_endpoints() {
    for seed in 0..4 {
        let check = Check { seed, endpoint_count: 200, node_count: 300, event_count: 1_500 };
        let checked = run_check(&check);
        assert!(checked.all > 300 && checked.beyond_subset > 5 && checked.bound_repeats > 5, "{checked:?}");
    }
}

#[test]
fn selection_equals_a_plain_scan_at_up_to_46_000_endpoints() {
    let checks = [
        Check { seed: 1, endpoint_count: 600, node_count: 300, event_count: 2_000 },
        Check { seed: 2, endpoint_count: 4_600, node_count: 570, event_count: 300 },
        Check { seed: 3, endpoint_count: 46_000, node_count: 5_700, event_count: 90 },
    ];
    for check in checks {
        let checked = run_check(&check);
        let least = if check.endpoint_count > 1_000 {
            CheckedAttempts { all: 20, beyond_subset: 5, bound_repeats: 0 }
        } else {
            CheckedAttempts { all: 200, beyond_subset: 20, bound_repeats: 5 }
        };
        assert!(
            checked.all >= least.all
                && checked.beyond_subset >= least.beyond_subset
                && checked.bound_repeats >= least.bound_repeats,
            "{checked:?}"
        );
    }
}

/// The work that a node does.
struct Work {
    /// The most endpoints that were examined for a request.
    examined_per_request: u64,
    /// The most endpoints that were examined for a tick.
    examined_per_tick: u64,
    /// Number of entries changed by a delta of two entries, one of which differs.
    changed_by_delta: u64,
    /// Number of entries changed by a snapshot that differs in three endpoints.
    changed_by_snapshot: u64,
}

/// Measures the work of one of `node_count` nodes that know `endpoint_count` endpoints, under steady traffic.
fn measure_work(endpoint_count: u64, node_count: u32) -> Work {
    let mut node = NodeUnderTest::new(settings_of_node(node_count / 2, node_count), 0);
    node.event(snapshot(0..endpoint_count));
    let mut examined_per_request = 0;
    let mut examined_per_tick = 0;
    let mut in_flight: VecDeque<StartedAttempt> = VecDeque::new();
    for number in 0..600 {
        node.advance(8 * MILLISECOND);
        let before = node.engine.work_counters().endpoints_examined;
        in_flight.push_back(node.start_attempt(SAFE));
        examined_per_request =
            examined_per_request.max(node.engine.work_counters().endpoints_examined - before);
        if in_flight.len() > 6 {
            let oldest = in_flight.pop_front().expect("expected an attempt in flight, got none");
            node.complete(&oldest);
        }
        if number % 3 == 0 {
            let before = node.engine.work_counters().endpoints_examined;
            node.fire_timer();
            examined_per_tick =
                examined_per_tick.max(node.engine.work_counters().endpoints_examined - before);
        }
    }
    let before = node.engine.work_counters().entries_changed;
    node.event(delta(vec![entry(5, EndpointState::Active, node.now), active_entry(6)]));
    let changed_by_delta = node.engine.work_counters().entries_changed - before;
    let before = node.engine.work_counters().entries_changed;
    node.event(snapshot_with_three_changes(endpoint_count, node.now));
    let changed_by_snapshot = node.engine.work_counters().entries_changed - before;
    Work { examined_per_request, examined_per_tick, changed_by_delta, changed_by_snapshot }
}

/// Returns a snapshot with three changes: an endpoint drains, one is removed and one is new. It also has the
/// restart of endpoint 5 at `now`, which the node knows already.
fn snapshot_with_three_changes(endpoint_count: u64, now: Micros) -> Event {
    let mut entries: Vec<EndpointEntry> = (0..endpoint_count).map(active_entry).collect();
    entries[5].started_at = now;
    entries[7].state = EndpointState::Draining;
    entries[9] = active_entry(endpoint_count + 1);
    Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries }
}

#[test]
fn work_grows_with_the_subset_and_not_with_the_fleet() {
    for (endpoint_count, node_count) in [(200_u64, 300), (4_600, 570), (46_000, 5_700)] {
        let subset_size = (endpoint_count * 24).div_ceil(u64::from(node_count)).max(12);
        let work = measure_work(endpoint_count, node_count);
        // A decision sums the warm fractions of the subset, examines the subset or a list of up to 256
        // endpoints, and reads the completion rates of the endpoints with traffic at most twice.
        let with_traffic = subset_size.max(16);
        let for_request = work.examined_per_request;
        assert!(
            for_request <= subset_size + subset_size.max(256) + 2 * with_traffic,
            "{for_request} endpoints of {endpoint_count} were examined for a request, beyond the bound"
        );
        let for_tick = work.examined_per_tick;
        assert!(
            for_tick <= 2 * with_traffic,
            "{for_tick} endpoints of {endpoint_count} were examined for a tick, beyond the bound"
        );
        assert_eq!(work.changed_by_delta, 1, "entries changed by a delta, {endpoint_count} endpoints");
        assert_eq!(work.changed_by_snapshot, 3, "entries changed by a snapshot, {endpoint_count} endpoints");
    }
}

/// Returns the endpoints to which a node sends 60 requests.
fn endpoints_in_use(node: &mut NodeUnderTest) -> BTreeSet<EndpointId> {
    let mut in_use = BTreeSet::new();
    for _ in 0..60 {
        node.advance(100 * MILLISECOND);
        let attempt = node.start_attempt(SAFE);
        node.complete(&attempt);
        in_use.insert(attempt.endpoint);
    }
    in_use
}

#[test]
fn snapshot_that_replaces_all_endpoints_leaves_none_of_the_old_in_use() {
    let mut node = NodeUnderTest::new(settings_of_node(0, 300), 0);
    node.event(snapshot(0..1_000));
    let old_attempt = node.start_attempt(SAFE);
    node.event(snapshot(1_000..2_000));
    let new: BTreeSet<EndpointId> = (1_000..2_000).map(|number| active_entry(number).id).collect();
    assert!(endpoints_in_use(&mut node).is_subset(&new));
    // The endpoint with an attempt in flight is kept until the attempt ends.
    assert_eq!(node.engine.retained_entries().endpoints, 1_001);
    node.complete(&old_attempt);
    node.advance(SECOND);
    node.fire_timer();
    assert_eq!(node.engine.retained_entries().endpoints, 1_000);
}

#[test]
fn later_of_two_entries_for_an_endpoint_in_one_update_applies() {
    let orders =
        [(EndpointState::Draining, EndpointState::Active), (EndpointState::Active, EndpointState::Draining)];
    for kind in [EndpointUpdateKind::Snapshot, EndpointUpdateKind::Delta] {
        for (first, last) in orders {
            let mut node = NodeUnderTest::new(settings_of_node(0, 1), 0);
            node.event(snapshot(0..3));
            let entries = vec![entry(2, first, 0), active_entry(0), active_entry(1), entry(2, last, 0)];
            node.event(Event::EndpointsUpdated { kind, entries });
            let listed_twice = active_entry(2).id;
            let is_in_use = endpoints_in_use(&mut node).contains(&listed_twice);
            assert_eq!(is_in_use, last == EndpointState::Active, "{kind:?}, {last:?}");
            assert_eq!(node.engine.retained_entries().endpoints, 3);
        }
    }
}

#[test]
fn delta_for_an_unknown_endpoint_adds_it_or_does_nothing() {
    let mut node = NodeUnderTest::new(settings_of_node(0, 1), 0);
    node.event(snapshot(0..2));
    node.event(delta(vec![entry(8, EndpointState::Removed, 0), entry(9, EndpointState::Draining, 0)]));
    assert_eq!(node.engine.retained_entries().endpoints, 3, "endpoints kept, without the removed one");
    assert_eq!(endpoints_in_use(&mut node).len(), 2);
    node.event(delta(vec![active_entry(7)]));
    assert_eq!(node.engine.retained_entries().endpoints, 4);
    assert_eq!(endpoints_in_use(&mut node).len(), 3);
}

/// Returns, for each endpoint in the order of the ids, how many of the nodes that are up send to it.
fn nodes_by_endpoint(node_count: u32, endpoint_count: u64, is_up: impl Fn(u32) -> bool) -> Vec<u32> {
    // With the same weight, all endpoints are selected equally often, so in so many requests a node uses
    // every endpoint of its subset.
    let entries: Vec<EndpointEntry> =
        (0..endpoint_count).map(|number| EndpointEntry { weight: 1.0, ..active_entry(number) }).collect();
    let mut node_counts: BTreeMap<EndpointId, u32> = entries.iter().map(|entry| (entry.id, 0)).collect();
    for node_index in (0..node_count).filter(|&index| is_up(index)) {
        let settings = Settings { node_index, node_count, ..settings_without_quota() };
        let mut node = NodeUnderTest::new(settings, 0);
        let entries = entries.clone();
        node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
        let mut in_use = BTreeSet::new();
        for _ in 0..10 {
            in_use.extend(endpoints_in_use(&mut node));
        }
        for endpoint in in_use {
            *node_counts.entry(endpoint).or_default() += 1;
        }
    }
    node_counts.into_values().collect()
}

#[test]
fn each_endpoint_is_in_as_many_subsets_as_any_other_until_nodes_are_down() {
    let node_count = 60;
    let endpoint_count = 90;
    let all_up = nodes_by_endpoint(node_count, endpoint_count, |_| true);
    assert_eq!(
        all_up,
        vec![24; endpoint_count as usize],
        "nodes of each of 90 endpoints, 36 in each of 60 subsets"
    );
    // If a tenth of the nodes, spread evenly, is down, an endpoint loses two or three of its 24 nodes.
    let scattered = nodes_by_endpoint(node_count, endpoint_count, |index| index % 10 != 3);
    assert!(scattered.iter().all(|count| (21..=22).contains(count)), "{scattered:?}");
    // If a tenth of the nodes, adjacent to each other, is down, an endpoint loses up to six of its 24 nodes,
    // since no node takes the place of one that is down.
    let adjacent = nodes_by_endpoint(node_count, endpoint_count, |index| !(20..26).contains(&index));
    assert_eq!(adjacent.iter().min(), Some(&18), "{adjacent:?}");
    assert_eq!(adjacent.iter().max(), Some(&24), "{adjacent:?}");
}
