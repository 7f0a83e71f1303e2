//! Recovery of ejected endpoints, for requests of each idempotency.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{
    endpoint_entry, has_failure, settings_without_quota, started_attempts, NodeUnderTest, StartedAttempt,
    KEYED, MILLISECOND, NON_IDEMPOTENT, SAFE, SECOND,
};
use edge_node::decision::{EndpointId, EndpointState, Micros, Outcome};

/// The time between two requests, which gives 50 requests a second.
const REQUEST_INTERVAL: Micros = 20 * MILLISECOND;
/// The longest duration of an ejection.
const MAX_EJECTION: Micros = 6_400 * MILLISECOND;
/// The longest time for which an endpoint is reserved for safer requests after its ejection.
const MAX_WAIT_FOR_SAFER_REQUESTS: Micros = MAX_EJECTION;

/// The result of an attempt.
struct AttemptResult {
    /// Index of the request's class in the settings.
    class: usize,
    endpoint: EndpointId,
    /// Time from the node's start to the end of the attempt.
    at: Micros,
    succeeded: bool,
}

/// A node with four endpoints that end each attempt at once.
struct NodeAndEndpoints {
    node: NodeUnderTest,
    started_at: Micros,
    ended: Vec<AttemptResult>,
    /// The number of requests that failed, by class.
    failed: BTreeMap<usize, u32>,
}

impl NodeAndEndpoints {
    fn start() -> NodeAndEndpoints {
        let node = NodeUnderTest::new(settings_without_quota(), 4);
        NodeAndEndpoints { started_at: node.now, node, ended: Vec::new(), failed: BTreeMap::new() }
    }

    fn elapsed(&self) -> Micros {
        self.node.now - self.started_at
    }

    /// Sends requests of these classes in turn for `span` microseconds. The endpoints for which `is_faulty`
    /// returns true reset the connection of every attempt.
    fn run(&mut self, span: Micros, classes: &[usize], is_faulty: impl Fn(EndpointId) -> bool) {
        let until = self.node.now + span;
        for &class in classes.iter().cycle() {
            if self.node.now >= until {
                return;
            }
            self.node.advance(REQUEST_INTERVAL);
            let mut actions = self.node.fire_timer();
            actions.extend(self.node.request(class, 1.0).actions);
            self.end_attempts(class, started_attempts(&actions), &is_faulty);
        }
    }

    /// Ends these attempts and the retries that follow them.
    fn end_attempts(
        &mut self,
        class: usize,
        started: Vec<StartedAttempt>,
        is_faulty: &impl Fn(EndpointId) -> bool,
    ) {
        for first in started {
            let mut next = Some(first);
            let mut number = 0;
            while let Some(attempt) = next {
                let succeeded = !is_faulty(attempt.endpoint);
                let outcome = if succeeded { Outcome::Ok } else { Outcome::Reset };
                self.ended.push(AttemptResult {
                    class,
                    endpoint: attempt.endpoint,
                    at: self.elapsed(),
                    succeeded,
                });
                let actions = self.node.end_attempt(&attempt, number, outcome);
                *self.failed.entry(class).or_default() += u32::from(has_failure(&actions));
                next = started_attempts(&actions).pop();
                number += 1;
            }
        }
    }

    /// Returns the endpoints at which an attempt succeeded from `since` on.
    fn serving(&self, since: Micros) -> BTreeSet<EndpointId> {
        let served = self.ended.iter().filter(|ended| ended.succeeded && ended.at >= since);
        served.map(|ended| ended.endpoint).collect()
    }

    /// Returns the number of failed attempts of requests of a class, whether or not they are recovery tests.
    fn failed_attempts(&self, class: usize) -> usize {
        self.ended.iter().filter(|ended| !ended.succeeded && ended.class == class).count()
    }
}

fn is_first_half(endpoint: EndpointId) -> bool {
    endpoint.0 < 2
}

#[test]
fn node_recovers_from_a_fault_of_all_endpoints_whatever_the_idempotency_of_its_requests() {
    for classes in [&[SAFE][..], &[KEYED], &[NON_IDEMPOTENT], &[SAFE, KEYED, NON_IDEMPOTENT]] {
        let mut harness = NodeAndEndpoints::start();
        harness.run(3 * SECOND, classes, |_| true);
        let fault_ended_at = harness.elapsed();
        harness.run(2 * MAX_EJECTION, classes, |_| false);
        let first_served = harness
            .ended
            .iter()
            .find(|ended| ended.succeeded)
            .expect("expected an attempt that succeeded after the fault, got none");
        assert!(
            first_served.at <= fault_ended_at + SECOND,
            "classes {classes:?}: first success {} us after the start; expected within 1 s after the fault",
            first_served.at
        );
        assert_eq!(
            harness.serving(fault_ended_at + MAX_EJECTION).len(),
            4,
            "endpoints that serve again, classes {classes:?}"
        );
    }
}

#[test]
fn endpoints_that_failed_beside_healthy_ones_are_used_again_whatever_the_idempotency() {
    for classes in [&[SAFE][..], &[KEYED], &[NON_IDEMPOTENT], &[SAFE, KEYED, NON_IDEMPOTENT]] {
        let mut harness = NodeAndEndpoints::start();
        harness.run(3 * SECOND, classes, is_first_half);
        let fault_ended_at = harness.elapsed();
        let longest = MAX_EJECTION + MAX_WAIT_FOR_SAFER_REQUESTS;
        harness.run(2 * longest, classes, |_| false);
        assert_eq!(
            harness.serving(fault_ended_at + longest).len(),
            4,
            "endpoints that serve again, classes {classes:?}"
        );
    }
}

#[test]
fn endpoint_that_restarts_during_its_ejection_is_used_at_once() {
    for class in [SAFE, KEYED, NON_IDEMPOTENT] {
        let mut harness = NodeAndEndpoints::start();
        harness.run(3 * SECOND, &[class], |endpoint| endpoint.0 == 0);
        let mut restarted = endpoint_entry(0, EndpointState::Active, harness.node.now - 20 * SECOND);
        // The endpoint restarted 20 s ago, so it has long been warm when the list reports the restart.
        restarted.weight = 1.0;
        harness.node.update_endpoint(restarted);
        let restarted_at = harness.elapsed();
        harness.run(SECOND, &[class], |_| false);
        assert!(
            harness.serving(restarted_at).contains(&EndpointId(0)),
            "class {class}: the restarted endpoint served no request within 1 s"
        );
    }
}

#[test]
fn non_idempotent_requests_spend_few_tests_on_endpoints_that_stay_faulty() {
    let mut harness = NodeAndEndpoints::start();
    harness.run(10 * SECOND, &[NON_IDEMPOTENT], is_first_half);
    let failed_at_first = harness.failed[&NON_IDEMPOTENT];
    // By now both faulty endpoints are ejected for the longest time. Each test follows such an ejection and a
    // wait of the same length.
    let minutes = 2;
    harness.run(minutes * 60 * SECOND, &[NON_IDEMPOTENT], is_first_half);
    let failed = u64::from(harness.failed[&NON_IDEMPOTENT] - failed_at_first);
    let tests_of_each = minutes * 60 * SECOND / (MAX_EJECTION + MAX_WAIT_FOR_SAFER_REQUESTS) + 1;
    assert!(
        (1..=2 * tests_of_each).contains(&failed),
        "{failed} of {} requests failed; expected at least 1, and at most one per 12.8 s and one \
         more at each of the two faulty endpoints",
        minutes * 60 * 50
    );
    let attempts = harness.ended.len();
    let requests = harness.elapsed() / REQUEST_INTERVAL;
    assert_eq!(attempts as u64, requests, "attempts and requests: no request may be retried");
}

#[test]
fn safe_requests_test_recovering_endpoints_before_others() {
    let mut harness = NodeAndEndpoints::start();
    // The node first sends to healthy endpoints, so that resets are rare and one reset ejects an endpoint.
    let classes = [NON_IDEMPOTENT, NON_IDEMPOTENT, KEYED, SAFE];
    harness.run(SECOND, &classes, |_| false);
    harness.run(SECOND, &[SAFE], is_first_half);
    harness.run(60 * SECOND, &classes, is_first_half);
    assert_eq!(
        harness.failed.get(&NON_IDEMPOTENT),
        Some(&0),
        "non-idempotent requests that failed in a recovery test"
    );
    assert_eq!(harness.failed_attempts(KEYED), 0, "failed attempts of keyed requests");
    assert!(
        harness.failed_attempts(SAFE) >= 8,
        "fewer than 8 failed attempts of safe requests at the faulty endpoints"
    );
}

#[test]
fn tests_by_requests_that_are_not_safe_stay_a_small_share_of_them() {
    // The requests are so rare that most of them could test an endpoint.
    let mut harness = NodeAndEndpoints::start();
    harness.run(SECOND, &[NON_IDEMPOTENT], |endpoint| endpoint.0 < 3);
    let failed_at_first = harness.failed[&NON_IDEMPOTENT];
    let requests = 200;
    for _ in 0..requests {
        harness.node.advance(20 * SECOND);
        harness.run(REQUEST_INTERVAL, &[NON_IDEMPOTENT], |endpoint| endpoint.0 < 3);
    }
    let failed = harness.failed[&NON_IDEMPOTENT] - failed_at_first;
    assert!(
        (1..=requests / 10 + 2).contains(&failed),
        "{failed} of {requests} requests failed in recovery tests; expected 1 to a tenth of them plus 2"
    );
}

#[test]
fn recovering_endpoint_takes_one_non_idempotent_request_at_a_time() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 1);
    let first = node.start_attempt(NON_IDEMPOTENT);
    node.end_attempt(&first, 0, Outcome::ConnectFailed);
    node.advance(MAX_EJECTION);
    node.fire_timer();
    let test = node.start_attempt(NON_IDEMPOTENT);
    let waiting = started_attempts(&node.request(NON_IDEMPOTENT, 1.0).actions);
    assert!(waiting.is_empty(), "a second attempt was sent to a recovering endpoint");
    node.complete(&test);
    assert_eq!(
        started_attempts(&node.fire_timer()).len(),
        1,
        "attempts that start once the test has succeeded: that of the waiting request"
    );
}
