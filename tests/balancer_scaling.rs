//! Balancing by one of many nodes, each of which gets a small part of the load: random selection, failures,
//! slow start, subsets and load shedding.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::{
    endpoint_entry, settings_without_quota, started_attempts, NodeUnderTest, StartedAttempt, MILLISECOND,
    NON_IDEMPOTENT, SAFE, SECOND,
};
use edge_node::decision::{
    DecisionEngine, EndedAttempt, EndpointEntry, EndpointId, EndpointState, EndpointUpdateKind, Event,
    Micros, Outcome, Settings,
};

/// Returns settings without a quota for one of a hundred nodes.
fn hundred_node_settings() -> Settings {
    Settings { node_count: 100, ..settings_without_quota() }
}

fn node_with_seed(seed: u64, settings: Settings, entries: Vec<EndpointEntry>) -> NodeUnderTest {
    let mut node = NodeUnderTest::new(settings.clone(), 0);
    node.engine = DecisionEngine::new(seed, settings);
    node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    node
}

fn warm_endpoints(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect()
}

/// Ends the first attempt of a request `elapsed` microseconds after its start.
fn end_after(node: &mut NodeUnderTest, attempt: &StartedAttempt, outcome: Outcome, elapsed: Micros) {
    node.event(Event::AttemptEnded(EndedAttempt {
        request: attempt.request.clone(),
        attempt_number: 0,
        endpoint: attempt.endpoint,
        outcome,
        elapsed,
        request_completed: outcome == Outcome::Ok,
        final_units: None,
    }));
}

#[test]
fn idle_node_draws_endpoints_in_proportion_to_their_weight() {
    let weighted = |id: u32| EndpointEntry {
        weight: if id < 2 { 3.0 } else { 2.0 },
        ..endpoint_entry(id, EndpointState::Active, 0)
    };
    let mut node = node_with_seed(3, hundred_node_settings(), (0..4).map(weighted).collect());
    let mut to_small = 0;
    for _ in 0..200 {
        node.advance(200 * MILLISECOND);
        let attempt = node.start_attempt(SAFE);
        to_small += usize::from(attempt.endpoint.0 >= 2);
        node.complete(&attempt);
    }
    assert!(
        (50..=110).contains(&to_small),
        "{to_small} of 200 requests went to the endpoints with two fifths of the weight; expected 50 to 110"
    );
}

#[test]
fn endpoints_that_fail_one_class_are_avoided_for_that_class_alone() {
    let mut node = node_with_seed(3, hundred_node_settings(), warm_endpoints(4));
    let mut failed = 0;
    let mut safe_at_failing = 0;
    for number in 0..300 {
        node.advance(100 * MILLISECOND);
        let class = if number % 2 == 0 { NON_IDEMPOTENT } else { SAFE };
        let attempt = node.start_attempt(class);
        let is_at_failing_endpoint = attempt.endpoint.0 >= 2;
        let fails = class == NON_IDEMPOTENT && is_at_failing_endpoint;
        node.end_attempt(&attempt, 0, if fails { Outcome::Error } else { Outcome::Ok });
        if number >= 100 {
            failed += usize::from(fails);
            safe_at_failing += usize::from(class == SAFE && is_at_failing_endpoint);
        }
    }
    assert!(
        failed <= 20,
        "{failed} of 100 non-idempotent requests went to endpoints that fail them; expected at most 20"
    );
    assert!(
        safe_at_failing >= 5,
        "{safe_at_failing} of 100 safe requests went to these endpoints, which serve them; expected 5 or more"
    );
}

#[test]
fn nodes_do_not_all_send_a_request_to_a_warming_endpoint_at_once() {
    let mut to_warming = 0;
    for seed in 0..200 {
        let started_at = 100 * SECOND - MILLISECOND;
        let entries = (0..4)
            .map(|id| endpoint_entry(id, EndpointState::Active, if id == 3 { started_at } else { 0 }))
            .collect();
        let settings = Settings { node_count: 200, ..settings_without_quota() };
        let mut node = node_with_seed(seed, settings, entries);
        for _ in 0..5 {
            node.advance(200 * MILLISECOND);
            let attempt = node.start_attempt(SAFE);
            to_warming += usize::from(attempt.endpoint == EndpointId(3));
            node.complete(&attempt);
        }
    }
    // A warm endpoint gets 1,000 / 3.2 requests in that second. The warming endpoint is sure to have 0.2 to
    // 0.25 of the capacity of a warm one.
    assert!(
        to_warming <= 70,
        "{to_warming} requests to the warming endpoint in its first second; expected up to 70"
    );
}

#[test]
fn warming_endpoints_among_many_get_the_share_that_their_warm_fraction_allows() {
    let mut to_warming = 0;
    let mut to_all = 0;
    for seed in 0..50 {
        let started_at = 100 * SECOND;
        let is_warming = |id: u64| id.is_multiple_of(3);
        let entry = |id: u32| {
            endpoint_entry(id, EndpointState::Active, if is_warming(id.into()) { started_at } else { 0 })
        };
        let settings = Settings { node_count: 50, node_index: seed as u32, ..settings_without_quota() };
        let mut node = node_with_seed(seed, settings, (0..60).map(entry).collect());
        let mut in_flight = VecDeque::new();
        // The node gets six requests a second and has one in flight at any time.
        for _ in 0..36 {
            node.advance(167 * MILLISECOND);
            let attempt = node.start_attempt(SAFE);
            to_all += 1;
            to_warming += usize::from(is_warming(attempt.endpoint.0));
            in_flight.push_back(attempt);
            if in_flight.len() > 1 {
                let oldest = in_flight.pop_front().expect("expected an attempt in flight, got none");
                node.complete(&oldest);
            }
        }
    }
    // Within 6 s a third of the endpoints warms up from 0.2 to 0.52 of its capacity. This is 7 of 47 parts of
    // the capacity of all; the bounds leave slack on both sides.
    let share = f64::from(to_warming as u32) / f64::from(to_all as u32);
    assert!(
        (0.09..=0.25).contains(&share),
        "{share:.3} of {to_all} requests went to the warming third of the endpoints; expected 0.09 to 0.25"
    );
}

#[test]
fn endpoint_that_drops_every_other_request_is_avoided() {
    let mut node = node_with_seed(3, hundred_node_settings(), warm_endpoints(12));
    let failing = EndpointId(4);
    let mut received = 0;
    for _ in 0..400 {
        node.advance(150 * MILLISECOND);
        let attempt = node.start_attempt(SAFE);
        received += u32::from(attempt.endpoint == failing);
        // The endpoint never answers the first of every two requests, and the client disconnects.
        let is_unanswered = attempt.endpoint == failing && received % 2 == 1;
        if is_unanswered {
            end_after(&mut node, &attempt, Outcome::TimedOut, 2 * SECOND);
        } else {
            end_after(&mut node, &attempt, Outcome::Ok, 100 * MILLISECOND);
        }
    }
    // With random selection the endpoint would get 33 requests. Failures lose their weight within the minute,
    // so it still gets requests that show whether it has recovered.
    assert!(
        (1..=10).contains(&received),
        "{received} of 400 requests went to the endpoint that drops half of them; expected 1 to 10"
    );
}

/// Returns the endpoints, of 60, to which one of a hundred nodes sends 200 requests. With `has_failures`,
/// connections to endpoints 3 to 8 cannot be established.
fn endpoints_in_use(node_index: u32, has_failures: bool) -> BTreeSet<u64> {
    let settings = Settings { node_index, ..hundred_node_settings() };
    let mut node = node_with_seed(u64::from(node_index) + 9, settings, warm_endpoints(60));
    let mut in_use = BTreeSet::new();
    for _ in 0..200 {
        node.advance(100 * MILLISECOND);
        let attempt = node.start_attempt(SAFE);
        in_use.insert(attempt.endpoint.0);
        let fails = has_failures && (3..9).contains(&attempt.endpoint.0);
        node.end_attempt(&attempt, 0, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
    }
    in_use
}

#[test]
fn each_node_uses_few_endpoints_and_all_endpoints_are_used_evenly() {
    let mut node_counts = [0; 60];
    for node_index in 0..100 {
        let in_use = endpoints_in_use(node_index, false);
        assert!(
            in_use.len() <= 24,
            "node {node_index} uses {} of 60 endpoints; expected at most 24",
            in_use.len()
        );
        for endpoint in in_use {
            node_counts[endpoint as usize] += 1;
        }
    }
    let least = node_counts.iter().min();
    let most = node_counts.iter().max();
    assert!(
        least >= Some(&20) && most <= Some(&28),
        "nodes that use each endpoint: {node_counts:?}; expected 20 to 28"
    );
}

#[test]
fn next_endpoints_on_the_ring_replace_ejected_ones() {
    let uses_replacement = |in_use: &BTreeSet<u64>| in_use.iter().any(|&endpoint| endpoint >= 15);
    assert!(!uses_replacement(&endpoints_in_use(0, false)));
    assert!(uses_replacement(&endpoints_in_use(0, true)));
}

#[test]
fn few_slow_responses_of_an_idle_fleet_cause_no_load_shedding() {
    let mut node = node_with_seed(3, hundred_node_settings(), warm_endpoints(60));
    let mut rejected = 0;
    for _ in 0..8 {
        node.advance(500 * MILLISECOND);
        let sent = node.request(SAFE, 1.0);
        let Some(attempt) = started_attempts(&sent.actions).pop() else {
            rejected += 1;
            continue;
        };
        // Each of these few responses in a row takes more than the share of its latency objective from which
        // on a full fleet sheds load.
        node.advance(400 * MILLISECOND);
        end_after(&mut node, &attempt, Outcome::Ok, 400 * MILLISECOND);
        node.fire_timer();
    }
    assert_eq!(rejected, 0, "rejected of 8 requests that were sent one at a time to an idle fleet");
}
