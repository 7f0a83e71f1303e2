//! Tests of load shedding: requests are shed while the fleet is overloaded, and only then.

mod common;

use std::collections::VecDeque;

use common::{
    first_retry_after, settings_without_quota, started_attempts, NodeUnderTest, StartedAttempt, MILLISECOND,
    SAFE, SECOND,
};

/// Completes the attempts in order, one every 50 ms.
fn complete_slowly(node: &mut NodeUnderTest, attempts: Vec<StartedAttempt>) {
    for attempt in attempts {
        node.advance(50 * MILLISECOND);
        node.complete(&attempt);
    }
}

/// Guards against two failures: an overloaded fleet admits all requests, or an idle fleet keeps rejecting
/// requests because of the response times measured during an earlier overload.
#[test]
fn full_fleet_sheds_load_and_an_idle_one_never_does() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    let mut in_flight = Vec::new();
    for _ in 0..20 {
        in_flight.push(node.start_attempt(SAFE));
        node.advance(20 * MILLISECOND);
    }
    complete_slowly(&mut node, in_flight);
    // The endpoints have completed 20 requests a second.
    let mut in_flight = Vec::new();
    let mut rejections = 0;
    for step in 0..200 {
        node.advance(MILLISECOND);
        if step % 20 == 0 {
            node.fire_timer();
        }
        let actions = node.request(SAFE, 1.0).actions;
        if let Some(retry_after) = first_retry_after(&actions) {
            rejections += 1;
            assert!(
                (1..=2 * SECOND).contains(&retry_after),
                "the Retry-After time must be between 1 us and 2 s"
            );
        }
        in_flight.extend(started_attempts(&actions));
    }
    assert!(rejections > 50, "{rejections} of 200 requests in 0.2 s were shed; expected more than 50");
    complete_slowly(&mut node, in_flight);
    for _ in 0..500 {
        node.advance(20 * MILLISECOND);
        node.fire_timer();
    }
    let attempts = started_attempts(&node.request(SAFE, 1.0).actions);
    assert_eq!(attempts.len(), 1, "an idle fleet must admit a request, whatever the past latencies");
}

/// Guards against shedding load at a random peak. The number of attempts in flight at one node varies by
/// chance, and a node that judges the load by their current number sheds a random burst.
#[test]
fn random_burst_in_an_idle_fleet_is_admitted() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 3);
    // 100 requests a second, each answered in 50 ms.
    let mut in_flight = VecDeque::new();
    for step in 0..400 {
        node.advance(10 * MILLISECOND);
        if step % 2 == 0 {
            node.fire_timer();
        }
        in_flight.push_back(node.start_attempt(SAFE));
        if in_flight.len() > 5 {
            let oldest = in_flight.pop_front().expect("expected an attempt in flight, got none");
            node.complete(&oldest);
        }
    }
    // `start_attempt` panics if the request is shed.
    for _ in 0..60 {
        node.start_attempt(SAFE);
    }
}
