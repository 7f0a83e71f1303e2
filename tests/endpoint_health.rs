//! Health of endpoints: how a node treats those that warm up, do not respond, reset connections or recover.

mod common;

use common::{
    endpoint_entry, settings_without_quota, started_attempts, NodeUnderTest, MILLISECOND, NON_IDEMPOTENT,
    SAFE,
};
use edge_node::decision::{EndpointId, EndpointState, Outcome};

#[test]
fn endpoint_that_warms_up_gets_few_requests_from_its_start() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 4);
    let started_at = node.now - MILLISECOND;
    node.update_endpoint(endpoint_entry(3, EndpointState::Active, started_at));
    let mut to_warming_up = 0;
    let mut total = 0;
    for _ in 0..150 {
        node.advance(10 * MILLISECOND);
        let attempt = node.start_attempt(SAFE);
        total += 1;
        to_warming_up += usize::from(attempt.endpoint == EndpointId(3));
        node.complete(&attempt);
    }
    // In this time the guaranteed capacity of the endpoint is 0.2 to 0.28 of a warm one's, so about a fourth
    // of 150 / 4 requests is due to it. The bound leaves slack.
    assert!(
        to_warming_up <= total / 4 / 3,
        "{to_warming_up} of {total} requests went to the endpoint that warms up; expected at most a twelfth, \
         since an overload would fail it"
    );
}

#[test]
fn unresponsive_endpoint_gets_few_requests() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 4);
    let mut to_unresponsive = 0;
    for step in 0..400 {
        node.advance(10 * MILLISECOND);
        node.fire_timer();
        let attempt = node.start_attempt(SAFE);
        if attempt.endpoint == EndpointId(2) {
            to_unresponsive += usize::from(step >= 200);
        } else {
            node.complete(&attempt);
        }
    }
    assert!(
        to_unresponsive <= 6,
        "{to_unresponsive} of the last 200 requests went to the unresponsive endpoint; expected at most 6"
    );
}

#[test]
fn endpoint_that_resets_all_connections_is_ejected_though_others_reset_some() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 3);
    let mut to_failed = 0;
    for step in 0..600 {
        node.advance(10 * MILLISECOND);
        node.fire_timer();
        let attempt = node.start_attempt(SAFE);
        let is_failed = step >= 300 && attempt.endpoint == EndpointId(1);
        to_failed += usize::from(is_failed);
        let outcome = if is_failed || step % 8 == 0 { Outcome::Reset } else { Outcome::Ok };
        for retry in started_attempts(&node.end_attempt(&attempt, 0, outcome)) {
            node.end_attempt(&retry, 1, Outcome::Ok);
        }
    }
    assert!(
        (1..=8).contains(&to_failed),
        "{to_failed} of the last 300 requests went to the failed endpoint; expected 1 to 8"
    );
}

#[test]
fn recovered_endpoint_is_used_again_though_a_non_idempotent_request_is_stuck_there() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    for _ in 0..50 {
        node.advance(20 * MILLISECOND);
        let attempt = node.start_attempt(SAFE);
        node.complete(&attempt);
    }
    // Sends non-idempotent requests, whose attempts never end, until one goes to endpoint 1.
    while node.start_attempt(NON_IDEMPOTENT).endpoint != EndpointId(1) {}
    let mut to_recovered = 0;
    for _ in 0..75 {
        node.advance(20 * MILLISECOND);
        node.fire_timer();
        let attempt = node.start_attempt(SAFE);
        to_recovered += usize::from(attempt.endpoint == EndpointId(1));
        node.complete(&attempt);
    }
    assert!(
        to_recovered > 20,
        "{to_recovered} of 75 requests within 1.5 s went to the recovered endpoint; expected more than 20"
    );
}
