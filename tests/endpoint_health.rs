//! Health of endpoints: those that warm up, answer nothing or reset connections, and those that recover.

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
        let attempt = node.request_started(SAFE);
        total += 1;
        to_warming_up += usize::from(attempt.endpoint == EndpointId(3));
        node.complete(&attempt);
    }
    // Its sure share is 0.2 to 0.28 of a warm one's here: a fourth of 150 / 4, with slack.
    assert!(to_warming_up <= total / 4 / 3, "{to_warming_up} of {total} while an overload would fail it");
}

#[test]
fn endpoint_that_answers_nothing_is_left_alone() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 4);
    let mut to_unresponsive = 0;
    for step in 0..400 {
        node.advance(10 * MILLISECOND);
        node.tick();
        let attempt = node.request_started(SAFE);
        if attempt.endpoint == EndpointId(2) {
            to_unresponsive += usize::from(step >= 200);
        } else {
            node.complete(&attempt);
        }
    }
    assert!(to_unresponsive <= 6, "{to_unresponsive} of the last 200 went to the unresponsive endpoint");
}

#[test]
fn endpoint_that_resets_all_connections_is_ejected_though_others_reset_some() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 3);
    let mut to_failed = 0;
    for step in 0..600 {
        node.advance(10 * MILLISECOND);
        node.tick();
        let attempt = node.request_started(SAFE);
        let is_failed = step >= 300 && attempt.endpoint == EndpointId(1);
        to_failed += usize::from(is_failed);
        let outcome = if is_failed || step % 8 == 0 { Outcome::Reset } else { Outcome::Ok };
        for retry in started_attempts(&node.end_attempt(&attempt, 0, outcome)) {
            node.end_attempt(&retry, 1, Outcome::Ok);
        }
    }
    assert!((1..=8).contains(&to_failed), "{to_failed} of the last 300 went to the failed endpoint");
}

#[test]
fn recovered_endpoint_is_used_again_though_a_non_idempotent_request_is_stuck_there() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    for _ in 0..50 {
        node.advance(20 * MILLISECOND);
        let attempt = node.request_started(SAFE);
        node.complete(&attempt);
    }
    // The attempts of these requests never end.
    while node.request_started(NON_IDEMPOTENT).endpoint != EndpointId(1) {}
    let mut to_recovered = 0;
    for _ in 0..75 {
        node.advance(20 * MILLISECOND);
        node.tick();
        let attempt = node.request_started(SAFE);
        to_recovered += usize::from(attempt.endpoint == EndpointId(1));
        node.complete(&attempt);
    }
    assert!(to_recovered > 20, "{to_recovered} of 75 in 1.5 s went to the recovered endpoint");
}
