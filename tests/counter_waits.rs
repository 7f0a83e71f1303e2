//! How long a request waits for the counter, however the calls to it end.

mod common;

use common::{
    counter_call, settings_with_quota, started_attempts, CounterIncrement, NodeUnderTest, StartedAttempt,
    MILLISECOND, SAFE,
};
use edge_node::decision::{Action, Micros, Outcome};

/// Timeout of a counter call in the settings of these tests.
const COUNTER_TIMEOUT: Micros = 30 * MILLISECOND;
const TICK: Micros = 20 * MILLISECOND;
/// A request is decided within this time: three timeouts, and the tick that detects the last one.
const MAX_WAIT: Micros = 3 * COUNTER_TIMEOUT + TICK;

/// Ends the first call and all that follow it immediately, up to a limit, with `outcome`. Returns all
/// actions.
fn end_all_calls(node: &mut NodeUnderTest, first: Option<CounterIncrement>, outcome: Outcome) -> Vec<Action> {
    let mut all_actions = Vec::new();
    let mut next = first;
    for _ in 0..100 {
        let Some(call) = next else { return all_actions };
        let actions = node.end_counter_call(call, outcome, 0.0);
        next = counter_call(&actions);
        all_actions.extend(actions);
    }
    panic!("calls that end with {outcome:?} are repeated without a pause");
}

/// Returns the attempt of a request whose counter calls all end with `outcome`, each `call_time` after its
/// start. Returns `None` if there is no attempt within the longest wait.
fn attempt_within_longest_wait(outcome: Outcome, call_time: Micros) -> Option<StartedAttempt> {
    let mut node = NodeUnderTest::new(settings_with_quota(), 2);
    let sent_at = node.now;
    let mut call = counter_call(&node.request(SAFE, 1.0).actions);
    assert!(call.is_some(), "expected the first request of an account to call the counter");
    let mut actions = Vec::new();
    while node.now < sent_at + MAX_WAIT {
        if let Some(call) = call.take() {
            node.advance(call_time);
            actions.extend(node.end_counter_call(call, outcome, 0.0));
        } else {
            node.advance(TICK);
        }
        actions.extend(node.fire_timer());
        call = counter_call(&actions);
        if let Some(attempt) = started_attempts(&actions).pop() {
            return Some(attempt);
        }
    }
    None
}

#[test]
fn request_is_decided_in_time_however_the_calls_to_the_counter_end() {
    for outcome in [
        Outcome::Reset,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::TimedOut,
        Outcome::NotSent,
    ] {
        for call_time in [MILLISECOND, COUNTER_TIMEOUT] {
            let attempt = attempt_within_longest_wait(outcome, call_time);
            assert!(
                attempt.is_some(),
                "expected an attempt; calls end with {outcome:?} after {call_time} us"
            );
        }
    }
}

#[test]
fn request_is_decided_in_time_if_the_end_of_its_call_is_never_reported() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 2);
    let actions = node.request(SAFE, 1.0).actions;
    assert!(counter_call(&actions).is_some() && started_attempts(&actions).is_empty());
    node.advance(MAX_WAIT);
    assert_eq!(started_attempts(&node.fire_timer()).len(), 1);
    // The request has left the queue, so the reply that arrives later does not start a second attempt.
    let call = counter_call(&actions).expect("expected a counter call");
    let late = node.end_counter_call(call, Outcome::Ok, call.amount);
    assert!(started_attempts(&late).is_empty());
}

#[test]
fn calls_are_paused_after_connection_resets_and_unreadable_replies() {
    for outcome in [Outcome::Reset, Outcome::Error] {
        let mut node = NodeUnderTest::new(settings_with_quota(), 2);
        let call = counter_call(&node.request(SAFE, 1.0).actions);
        let actions = end_all_calls(&mut node, call, outcome);
        assert_eq!(
            started_attempts(&actions).len(),
            1,
            "{outcome:?}: expected one attempt, admitted by the even share"
        );
        let next = node.request(SAFE, 1.0).actions;
        assert!(counter_call(&next).is_none(), "{outcome:?}: expected no call during the pause");
        assert_eq!(started_attempts(&next).len(), 1, "{outcome:?}: expected one attempt during the pause");
    }
}
