//! How long a request waits for the counter, whatever becomes of the calls.

mod common;

use common::{
    counter_call, settings_with_quota, started_attempts, CounterCall, NodeUnderTest, StartedAttempt,
    MILLISECOND, SAFE,
};
use edge_node::decision::{Action, Micros, Outcome};

/// Time-out of a counter call in the settings of these tests.
const COUNTER_TIMEOUT: Micros = 30 * MILLISECOND;
const TICK: Micros = 20 * MILLISECOND;
/// A request has its decision after this long: three time-outs, and the tick that notices.
const LONGEST_WAIT: Micros = 3 * COUNTER_TIMEOUT + TICK;

/// Ends calls in this way, as many as the node makes without a pause, up to a bound. Returns all actions.
fn end_all_calls(node: &mut NodeUnderTest, first: Option<CounterCall>, outcome: Outcome) -> Vec<Action> {
    let mut all_actions = Vec::new();
    let mut next = first;
    for _ in 0..100 {
        let Some(call) = next else { return all_actions };
        let actions = node.end_counter_call(call, outcome, 0.0);
        next = counter_call(&actions);
        all_actions.extend(actions);
    }
    panic!("calls that end as {outcome:?} are repeated without a pause");
}

/// The attempt of a request whose calls to the counter all end like this, each `call_time` after its start.
fn attempt_by_the_longest_wait(outcome: Outcome, call_time: Micros) -> Option<StartedAttempt> {
    let mut node = NodeUnderTest::new(settings_with_quota(), 2);
    let sent_at = node.now;
    let mut call = counter_call(&node.request(SAFE, 1.0).actions);
    assert!(call.is_some(), "the first request of an account asks the counter");
    let mut actions = Vec::new();
    while node.now < sent_at + LONGEST_WAIT {
        if let Some(call) = call.take() {
            node.advance(call_time);
            actions.extend(node.end_counter_call(call, outcome, 0.0));
        } else {
            node.advance(TICK);
        }
        actions.extend(node.tick());
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
            let attempt = attempt_by_the_longest_wait(outcome, call_time);
            assert!(attempt.is_some(), "{outcome:?} after {call_time}");
        }
    }
}

#[test]
fn request_is_decided_in_time_though_the_end_of_its_call_is_never_reported() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 2);
    let actions = node.request(SAFE, 1.0).actions;
    assert!(counter_call(&actions).is_some() && started_attempts(&actions).is_empty());
    node.advance(LONGEST_WAIT);
    assert_eq!(started_attempts(&node.tick()).len(), 1);
    // It has left the queue: the reply that comes after all serves nobody a second time.
    let call = counter_call(&actions).expect("a call");
    let late = node.end_counter_call(call, Outcome::Ok, call.amount);
    assert!(started_attempts(&late).is_empty());
}

#[test]
fn calls_whose_connections_are_reset_pause_like_other_failed_calls() {
    for outcome in [Outcome::Reset, Outcome::Error] {
        let mut node = NodeUnderTest::new(settings_with_quota(), 2);
        let call = counter_call(&node.request(SAFE, 1.0).actions);
        let actions = end_all_calls(&mut node, call, outcome);
        assert_eq!(started_attempts(&actions).len(), 1, "{outcome:?}: decided by the even share");
        let next = node.request(SAFE, 1.0).actions;
        assert!(counter_call(&next).is_none(), "{outcome:?}: a call during the pause");
        assert_eq!(started_attempts(&next).len(), 1, "{outcome:?}");
    }
}
