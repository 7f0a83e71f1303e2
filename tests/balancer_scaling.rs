//! Balancing at a hundred nodes, each of which sees little of the load: chance, slow start, subsets,
//! overload.

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

/// Settings of one of a hundred nodes, without quota.
fn one_of_a_hundred() -> Settings {
    Settings { node_count: 100, ..settings_without_quota() }
}

fn node_with_seed(seed: u64, settings: Settings, entries: Vec<EndpointEntry>) -> NodeUnderTest {
    let mut node = NodeUnderTest::new(settings.clone(), 0);
    node.node = DecisionEngine::new(seed, settings);
    node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    node
}

fn warm_endpoints(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect()
}

/// Ends the first attempt of a request so long after its start.
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
    let mut node = node_with_seed(3, one_of_a_hundred(), (0..4).map(weighted).collect());
    let mut to_small = 0;
    for _ in 0..200 {
        node.advance(200 * MILLISECOND);
        let attempt = node.request_started(SAFE);
        to_small += usize::from(attempt.endpoint.0 >= 2);
        node.complete(&attempt);
    }
    assert!((50..=110).contains(&to_small), "{to_small} of 200 to the endpoints with 2 fifths of the weight");
}

#[test]
fn endpoints_that_fail_one_class_are_avoided_for_that_class_alone() {
    let mut node = node_with_seed(3, one_of_a_hundred(), warm_endpoints(4));
    let mut failed = 0;
    let mut of_other_class = 0;
    for number in 0..300 {
        node.advance(100 * MILLISECOND);
        let class = if number % 2 == 0 { NON_IDEMPOTENT } else { SAFE };
        let attempt = node.request_started(class);
        let is_at_failing_endpoint = attempt.endpoint.0 >= 2;
        let fails = class == NON_IDEMPOTENT && is_at_failing_endpoint;
        node.end_attempt(&attempt, 0, if fails { Outcome::Error } else { Outcome::Ok });
        if number >= 100 {
            failed += usize::from(fails);
            of_other_class += usize::from(class == SAFE && is_at_failing_endpoint);
        }
    }
    assert!(failed <= 20, "{failed} of 100 non-idempotent requests went to endpoints that fail them");
    assert!(of_other_class >= 5, "{of_other_class} of 100 safe requests went there, where they are served");
}

#[test]
fn many_nodes_do_not_each_send_a_cold_endpoint_a_request_at_once() {
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
            let attempt = node.request_started(SAFE);
            to_warming += usize::from(attempt.endpoint == EndpointId(3));
            node.complete(&attempt);
        }
    }
    // A warm one gets 1,000 / 3.2 in that second, and 0.2 to 0.25 of its capacity is sure.
    assert!(to_warming <= 70, "{to_warming} requests in the first second");
}

#[test]
fn cold_endpoints_among_many_get_the_share_that_their_warm_fraction_allows() {
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
        // Six requests a second, one of them in flight at any time.
        for _ in 0..36 {
            node.advance(167 * MILLISECOND);
            let attempt = node.request_started(SAFE);
            to_all += 1;
            to_warming += usize::from(is_warming(attempt.endpoint.0));
            in_flight.push_back(attempt);
            if in_flight.len() > 1 {
                let oldest = in_flight.pop_front().expect("one is in flight");
                node.complete(&oldest);
            }
        }
    }
    // In 6 s a third of the endpoints rises from 0.2 to 0.52 of its capacity: 7 of 47 parts, with slack both
    // ways.
    let share = f64::from(to_warming as u32) / f64::from(to_all as u32);
    assert!((0.09..=0.25).contains(&share), "{share:.3} of {to_all} requests to the warming third");
}

#[test]
fn endpoint_that_leaves_some_requests_unanswered_is_avoided_from_the_first_on() {
    let mut node = node_with_seed(3, one_of_a_hundred(), warm_endpoints(12));
    let failing = EndpointId(4);
    let mut received = 0;
    for _ in 0..400 {
        node.advance(150 * MILLISECOND);
        let attempt = node.request_started(SAFE);
        received += u32::from(attempt.endpoint == failing);
        // The first of every two requests is never answered; its client disconnects.
        let is_unanswered = attempt.endpoint == failing && received % 2 == 1;
        if is_unanswered {
            end_after(&mut node, &attempt, Outcome::TimedOut, 2 * SECOND);
        } else {
            end_after(&mut node, &attempt, Outcome::Ok, 100 * MILLISECOND);
        }
    }
    // By chance it would get 33. As failures are forgotten within the minute, it can show whether it has
    // recovered.
    assert!((1..=10).contains(&received), "{received} of 400 requests to the endpoint that drops half");
}

/// The endpoints, of 60, that one of a hundred nodes sends 200 requests to. If so said, endpoints 3 to 8
/// cannot be connected to.
fn endpoints_in_use(node_index: u32, has_failures: bool) -> BTreeSet<u64> {
    let settings = Settings { node_index, ..one_of_a_hundred() };
    let mut node = node_with_seed(u64::from(node_index) + 9, settings, warm_endpoints(60));
    let mut in_use = BTreeSet::new();
    for _ in 0..200 {
        node.advance(100 * MILLISECOND);
        let attempt = node.request_started(SAFE);
        in_use.insert(attempt.endpoint.0);
        let fails = has_failures && (3..9).contains(&attempt.endpoint.0);
        node.end_attempt(&attempt, 0, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
    }
    in_use
}

#[test]
fn each_of_a_hundred_nodes_uses_few_endpoints_and_together_they_use_all_alike() {
    let mut node_counts = [0; 60];
    for node_index in 0..100 {
        let in_use = endpoints_in_use(node_index, false);
        assert!(in_use.len() <= 24, "node {node_index} uses {} of 60 endpoints", in_use.len());
        for endpoint in in_use {
            node_counts[endpoint as usize] += 1;
        }
    }
    let least = node_counts.iter().min();
    let most = node_counts.iter().max();
    assert!(least >= Some(&20) && most <= Some(&28), "nodes that use an endpoint: {node_counts:?}");
}

#[test]
fn next_endpoints_on_the_ring_stand_in_for_those_that_are_ejected() {
    let has_stand_in = |in_use: &BTreeSet<u64>| in_use.iter().any(|&endpoint| endpoint >= 15);
    assert!(!has_stand_in(&endpoints_in_use(0, false)));
    assert!(has_stand_in(&endpoints_in_use(0, true)));
}

#[test]
fn few_slow_responses_from_an_idle_fleet_shed_no_load() {
    let mut node = node_with_seed(3, one_of_a_hundred(), warm_endpoints(60));
    let mut rejected = 0;
    for _ in 0..8 {
        node.advance(500 * MILLISECOND);
        let sent = node.request(SAFE, 1.0);
        let Some(attempt) = started_attempts(&sent.actions).pop() else {
            rejected += 1;
            continue;
        };
        // A few in a row that take more than the share of their objective from which on a full fleet sheds
        // load.
        node.advance(400 * MILLISECOND);
        end_after(&mut node, &attempt, Outcome::Ok, 400 * MILLISECOND);
        node.tick();
    }
    assert_eq!(rejected, 0, "of 8 requests, one at a time, to an idle fleet");
}
