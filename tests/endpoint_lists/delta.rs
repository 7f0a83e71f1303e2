//! Tests of the deltas by which the decision engine is notified of long lists.

use std::collections::BTreeSet;
use std::ops::Range;

use edge_node::decision::{
    AccountId, Action, DecisionEngine, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event,
    Limits, NewRequest, Plan, RequestClass, RequestId, Settings,
};
use edge_node::net::discovery::delta::{split_into_parts, ENTRIES_PER_PART};
use edge_node::net::discovery::endpoints::{Endpoint, Endpoints};
use edge_node::net::discovery::labels::PlacementLabels;
use fastrand::Rng;
use serde_json::{json, Value};

use crate::lists::{all_up, id, name, numbered, read, with_snapshot, LONGEST, SIZES};

/// The time of all events in these tests, in microseconds.
const NOW: u64 = 1_000_000;

/// Returns entries whose weights, zones, cells, starts and states are drawn at random, so that few entries
/// stay unchanged from one list to the next.
fn random_list(random: &mut Rng, max_number: usize) -> Vec<Value> {
    let statuses = ["up", "up", "up", "draining", "removed"];
    let count = random.usize(..2 * max_number);
    let mut entries = Vec::new();
    for _ in 0..count {
        let mut entry = numbered(random.usize(..max_number), statuses[random.usize(..5)]);
        entry["zone"] = json!(["a", "b"][random.usize(..2)]);
        entry["group"] = json!(random.u32(..2));
        entry["since_ms"] = json!(random.u32(..2));
        entry["weight"] = json!(1 + random.u32(..2));
        entries.push(entry);
    }
    entries
}

/// Creates the decision engine of a fleet's only node, which may send requests to all endpoints.
fn engine_of_only_node() -> DecisionEngine {
    let class =
        RequestClass { latency_objective: 1 << 40, total_timeout: 1 << 41, ..RequestClass::default() };
    let settings = Settings {
        node_count: 1,
        classes: vec![class],
        plans: vec![Plan::default()],
        limits: Limits { max_attempts: 4, ..Limits::default() },
        ..Settings::default()
    };
    DecisionEngine::new(7, settings)
}

fn notify(engine: &mut DecisionEngine, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) {
    engine.handle(NOW, Event::EndpointsUpdated { kind, entries }, &mut Vec::new());
}

/// Returns the endpoints to which the engine sends this many requests while no response arrives.
fn endpoints_used(engine: &mut DecisionEngine, requests: usize) -> BTreeSet<EndpointId> {
    let mut actions = Vec::new();
    for number in 0..requests {
        let request = NewRequest {
            id: RequestId::from(format!("r{number}").as_str()),
            account: AccountId(1),
            class: 0,
            plan: 0,
            units: 1.0,
            first_account_node: 0,
            account_node_count: 1,
            is_retry: false,
            deadline: 1 << 41,
        };
        engine.handle(NOW, Event::RequestReceived(request), &mut actions);
    }
    let endpoint_of = |action| match action {
        Action::StartAttempt { endpoint, .. } => Some(endpoint),
        _ => None,
    };
    actions.into_iter().filter_map(endpoint_of).collect()
}

#[test]
fn delta_in_parts_and_snapshot_give_the_same_engine_state() {
    let labels = PlacementLabels::new(vec!["a".into(), "b".into()], vec!["m1".into()]);
    for seed in 0..60 {
        let mut random = Rng::with_seed(seed);
        let mut by_snapshots = engine_of_only_node();
        let mut by_deltas = engine_of_only_node();
        let mut known = Endpoints::default();
        for _ in 0..6 {
            let list = read(&random_list(&mut random, 40));
            let next = known.with_snapshot(list.entries(), &labels);
            notify(&mut by_snapshots, EndpointUpdateKind::Snapshot, next.entries.clone());
            let part_length = 1 + random.usize(..9);
            for part in next.endpoints.delta_since(&known).chunks(part_length) {
                notify(&mut by_deltas, EndpointUpdateKind::Delta, part.to_vec());
            }
            assert_eq!(by_deltas.retained_entries(), by_snapshots.retained_entries());
            assert_eq!(by_deltas.retained_entries().endpoints, next.endpoints.len());
            // A snapshot of the listed endpoints changes nothing after the delta. Entries of removed
            // endpoints are left out, because the engine counts them as changes.
            let entries_changed = by_deltas.work_counters().entries_changed;
            let is_listed = |entry: &EndpointEntry| entry.state != EndpointState::Removed;
            let listed = next.entries.into_iter().filter(is_listed).collect();
            notify(&mut by_deltas, EndpointUpdateKind::Snapshot, listed);
            assert_eq!(by_deltas.work_counters().entries_changed, entries_changed, "seed {seed}");
            assert_eq!(by_deltas.retained_entries(), by_snapshots.retained_entries(), "seed {seed}");
            known = next.endpoints;
        }
        let is_active = |&id: &EndpointId| known.get(id).is_some_and(Endpoint::is_active);
        let active: BTreeSet<_> =
            (0..40).filter_map(|number| known.find(&name(number))).filter(is_active).collect();
        assert_eq!(endpoints_used(&mut by_deltas, 400), active, "seed {seed}");
        assert_eq!(endpoints_used(&mut by_snapshots, 400), active, "seed {seed}");
    }
}

#[test]
fn delta_contains_exactly_the_changes_visible_to_the_decision_engine() {
    for size in SIZES {
        let mut entries = all_up(0..size);
        let first = with_snapshot(&Endpoints::default(), &entries).endpoints;
        assert!(first.delta_since(&with_snapshot(&first, &entries).endpoints).is_empty());
        // Addresses are not part of the delta, because the decision engine does not use them.
        entries[3]["address"] = json!("127.0.0.1:9");
        entries[4]["zone"] = json!("z");
        entries[5]["type"] = json!("m2");
        entries[6]["group"] = json!(2);
        entries[7]["weight"] = json!(2.5);
        entries[8]["since_ms"] = json!(5);
        entries[9]["status"] = json!("draining");
        let removed = std::mem::replace(&mut entries[20], numbered(size, "up"));
        let next = with_snapshot(&first, &entries).endpoints;
        let delta = next.delta_since(&first);
        let ids: BTreeSet<_> = delta.iter().map(|entry| entry.id).collect();
        assert_eq!(ids, (4..10).chain([20, size]).map(id).collect());
        assert_eq!(delta.len(), 8);
        let entry = delta
            .iter()
            .find(|entry| entry.state == EndpointState::Removed)
            .expect("delta should contain a removed endpoint");
        let cell = removed["group"].as_u64().expect("entry should have a cell") as u32;
        assert_eq!(entry.id, id(20));
        assert_eq!(entry.zone, 0);
        assert_eq!(entry.cell, cell);
    }
}

fn draining(numbers: Range<usize>) -> Vec<Value> {
    numbers.map(|number| numbered(number, "draining")).collect()
}

struct Change {
    before: Vec<Value>,
    after: Vec<Value>,
}

#[test]
fn delta_parts_are_bounded_and_never_leave_too_few_active_endpoints() {
    let all_replaced = Change { before: all_up(0..LONGEST), after: all_up(LONGEST..2 * LONGEST) };
    let half_drain_half_removed =
        Change { before: all_up(0..4000), after: [draining(0..2000), all_up(4000..8000)].concat() };
    let draining_and_active_swapped = Change {
        before: [all_up(0..2000), draining(2000..4000)].concat(),
        after: [draining(0..2000), all_up(2000..4000)].concat(),
    };
    let most_removed =
        Change { before: all_up(0..4000), after: [draining(0..2000), all_up(5000..5100)].concat() };
    for change in [all_replaced, half_drain_half_removed, draining_and_active_swapped, most_removed] {
        let before = with_snapshot(&Endpoints::default(), &change.before).endpoints;
        let after = with_snapshot(&before, &change.after).endpoints;
        let mut active: BTreeSet<_> = before.active_ids().collect();
        let fewest = active.len().min(after.active_ids().count());
        let delta = after.delta_since(&before);
        let parts = split_into_parts(&delta);
        assert!(parts.iter().all(|part| (1..=ENTRIES_PER_PART).contains(&part.len())));
        assert_eq!(parts.len(), delta.len().div_ceil(ENTRIES_PER_PART));
        for entry in parts.concat() {
            if entry.state == EndpointState::Active {
                active.insert(entry.id);
            } else {
                active.remove(&entry.id);
            }
            assert!(active.len() >= fewest, "{} endpoints active, expected at least {fewest}", active.len());
        }
        assert_eq!(active, after.active_ids().collect());
    }
}
