//! Tests of attempts: endpoint selection, retries, and the final response to the client.

mod common;

use common::{
    counter_call, endpoint_entry, first_retry_after, has_failure, settings_with_quota,
    settings_without_quota, started_attempts, NodeUnderTest, StartedAttempt, KEYED, MILLISECOND,
    NON_IDEMPOTENT, SAFE, SECOND,
};
use edge_node::decision::{
    AccountId, CounterKey, DeduplicationScope, EndpointId, EndpointState, EndpointUpdateKind, Event, Micros,
    NewRequest, Outcome,
};

/// Returns a request of account 1 with the given id.
fn request_with_id(id: &str, class: usize, deadline: Micros) -> NewRequest {
    NewRequest {
        id: id.into(),
        account: AccountId(1),
        class,
        plan: 0,
        units: 1.0,
        first_account_node: 0,
        account_node_count: 3,
        is_retry: false,
        deadline,
    }
}

#[test]
fn draining_or_unlisted_endpoint_gets_no_attempt() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    node.update_endpoint(endpoint_entry(0, EndpointState::Draining, 0));
    for _ in 0..20 {
        let attempt = node.start_attempt(SAFE);
        assert_eq!(attempt.endpoint, EndpointId(1));
        node.complete(&attempt);
    }
    node.event(Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        entries: vec![endpoint_entry(0, EndpointState::Active, 0)],
    });
    let endpoint = node.start_attempt(SAFE).endpoint;
    assert_eq!(endpoint, EndpointId(0), "an endpoint missing from a snapshot must get no attempt");
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_and_is_not_sent_again() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 3);
    let attempt = node.start_attempt(NON_IDEMPOTENT);
    let actions = node.end_attempt(&attempt, 0, Outcome::Reset);
    assert!(started_attempts(&actions).is_empty() && has_failure(&actions));
}

#[test]
fn non_idempotent_request_that_never_ran_gets_another_endpoint() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 3);
    let attempt = node.start_attempt(NON_IDEMPOTENT);
    let retries = started_attempts(&node.end_attempt(&attempt, 0, Outcome::ConnectFailed));
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].endpoint, attempt.endpoint);
}

#[test]
fn keyed_request_is_sent_again_within_its_cell_and_its_window() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 6);
    let attempt = node.start_attempt(KEYED);
    let retries = started_attempts(&node.end_attempt(&attempt, 0, Outcome::Reset));
    assert_eq!(retries.len(), 1);
    assert_eq!(
        retries[0].endpoint.0 % 2,
        attempt.endpoint.0 % 2,
        "the retry must stay in the cell of the first attempt"
    );
    node.advance(SECOND + MILLISECOND);
    let actions = node.end_attempt(&retries[0], 1, Outcome::Reset);
    assert!(
        started_attempts(&actions).is_empty() && has_failure(&actions),
        "past the window the request must fail"
    );
}

#[test]
fn keyed_request_is_not_retried_if_connecting_may_outlast_the_window() {
    let cases = [(SECOND - 101 * MILLISECOND, true), (SECOND - 100 * MILLISECOND, false)];
    for (elapsed, is_sent_again) in cases {
        let mut node = NodeUnderTest::new(settings_without_quota(), 6);
        let attempt = node.start_attempt(KEYED);
        node.advance(elapsed);
        let actions = node.end_attempt(&attempt, 0, Outcome::Reset);
        assert_eq!(
            !started_attempts(&actions).is_empty(),
            is_sent_again,
            "{elapsed} us after the first attempt"
        );
        assert_eq!(has_failure(&actions), !is_sent_again);
    }
}

#[test]
fn keyed_request_is_rejected_only_if_its_repeats_are_dropped_until_its_client_stops_waiting() {
    // The client stops waiting 2 s after it sends the request.
    for (window, is_rejected) in [(2 * SECOND, true), (2 * SECOND - MILLISECOND, false)] {
        let mut settings = settings_without_quota();
        settings.classes[KEYED].deduplication_scope = DeduplicationScope::All;
        settings.classes[KEYED].deduplication_window = window;
        settings.limits.max_attempts = 1;
        let mut node = NodeUnderTest::new(settings, 2);
        let attempt = node.start_attempt(KEYED);
        let actions = node.end_attempt(&attempt, 0, Outcome::Reset);
        assert_eq!(first_retry_after(&actions).is_some(), is_rejected, "deduplication window of {window} us");
        assert_eq!(has_failure(&actions), !is_rejected, "deduplication window of {window} us");
    }
}

#[test]
fn retry_that_arrives_at_its_deadline_is_rejected_at_once() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    let request =
        NewRequest { account_node_count: 1, is_retry: true, ..request_with_id("late", SAFE, node.now) };
    let actions = node.event(Event::RequestReceived(request));
    assert!(started_attempts(&actions).is_empty() && first_retry_after(&actions).is_some());
}

#[test]
fn events_about_unknown_or_ended_items_are_ignored() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    let unknown = StartedAttempt { request: "never".into(), endpoint: EndpointId(99) };
    node.end_attempt(&unknown, 3, Outcome::Ok);
    node.event(Event::ClientDisconnected { request: "never".into() });
    node.event(Event::ResponseStarted { request: "never".into() });
    node.event(Event::ProbeCompleted { endpoint: EndpointId(99), outcome: Outcome::Ok });
    node.event(Event::CounterReplied { key: CounterKey(5), outcome: Outcome::Ok, total: 3.0 });
    node.event(Event::TimerFired { id: 77 });
    let attempt = node.start_attempt(SAFE);
    node.end_attempt(&attempt, 9, Outcome::Ok);
    node.end_attempt(&attempt, 0, Outcome::Ok);
    let actions = node.end_attempt(&attempt, 0, Outcome::TimedOut);
    assert!(actions.is_empty(), "the second end of an attempt must be ignored");
}

#[test]
fn request_without_an_endpoint_waits_and_is_then_rejected() {
    let mut node = NodeUnderTest::new(settings_without_quota(), 0);
    let actions = node.request(SAFE, 1.0).actions;
    assert!(started_attempts(&actions).is_empty() && first_retry_after(&actions).is_none());
    node.advance(600 * MILLISECOND);
    assert!(first_retry_after(&node.fire_timer()).is_some());
}

/// Guards against sending a request twice. A client that disconnects may use the id of its waiting request
/// again at once. If the first request is left in a queue, the second one is sent from there as well.
#[test]
fn reused_id_of_waiting_request_is_sent_once() {
    // In the first case the request waits for the counter, in the second for an endpoint.
    for (settings, endpoint_count) in [(settings_with_quota(), 2), (settings_without_quota(), 0)] {
        let mut node = NodeUnderTest::new(settings, endpoint_count);
        let request = request_with_id("again", NON_IDEMPOTENT, node.now + 2 * SECOND);
        let actions_of_first = node.event(Event::RequestReceived(request.clone()));
        assert!(started_attempts(&actions_of_first).is_empty());
        node.event(Event::ClientDisconnected { request: "again".into() });
        node.event(Event::RequestReceived(request));
        let mut actions = match counter_call(&actions_of_first) {
            Some(call) => node.end_counter_call(call, Outcome::Ok, call.amount),
            None => Vec::new(),
        };
        node.update_endpoint(endpoint_entry(9, EndpointState::Active, 0));
        actions.extend(node.fire_timer());
        assert_eq!(started_attempts(&actions).len(), 1, "attempts with {endpoint_count} endpoints");
    }
}

/// Guards against sending a request twice. A request that waits for an endpoint does not keep its account's
/// state. If that state is dropped, the request must still leave the queue when its client disconnects.
#[test]
fn reused_id_is_sent_once_after_account_state_was_dropped() {
    let mut settings = settings_without_quota();
    settings.classes[NON_IDEMPOTENT].latency_objective = 30 * SECOND;
    let mut node = NodeUnderTest::new(settings, 0);
    let request = request_with_id("again", NON_IDEMPOTENT, node.now + 60 * SECOND);
    node.event(Event::RequestReceived(request.clone()));
    for _ in 0..400 {
        node.advance(20 * MILLISECOND);
        node.fire_timer();
    }
    assert_eq!(
        node.engine.retained_entries().accounts,
        0,
        "a request that waits for an endpoint must not keep its account"
    );
    node.event(Event::ClientDisconnected { request: "again".into() });
    node.event(Event::RequestReceived(request));
    node.update_endpoint(endpoint_entry(9, EndpointState::Active, 0));
    assert_eq!(started_attempts(&node.fire_timer()).len(), 1);
}

/// Guards against a keyed request that runs in two deduplication groups: a new process of another group came up
/// at the address of the endpoint that had reset the connection, and was taken for it.
#[test]
fn keyed_request_is_not_sent_again_to_the_endpoint_that_reset_its_connection() {
    // Endpoints 0 and 1 are in different cells, and each is the only one of its cell.
    let mut node = NodeUnderTest::new(settings_without_quota(), 2);
    let attempt = node.start_attempt(KEYED);
    let actions = node.end_attempt(&attempt, 0, Outcome::Reset);
    assert!(started_attempts(&actions).is_empty() && has_failure(&actions));
    let attempt = node.start_attempt(KEYED);
    let actions = node.end_attempt(&attempt, 0, Outcome::Error);
    let retries = started_attempts(&actions);
    assert_eq!(retries.len(), 1, "an endpoint that responds is the one that discovery lists");
    assert_eq!(retries[0].endpoint, attempt.endpoint);
}

/// A repeat is dropped wherever it runs if all endpoints form one deduplication group.
#[test]
fn keyed_request_of_one_group_may_be_sent_again_to_the_endpoint_that_reset_its_connection() {
    let mut settings = settings_without_quota();
    settings.classes[KEYED].deduplication_scope = DeduplicationScope::All;
    let mut node = NodeUnderTest::new(settings, 1);
    let attempt = node.start_attempt(KEYED);
    let retries = started_attempts(&node.end_attempt(&attempt, 0, Outcome::Reset));
    assert_eq!(retries.len(), 1);
}
