//! The pause of calls to the counter service after failed calls.

mod common;

use common::{counter_call, settings_with_quota, CounterIncrement, NodeUnderTest, MILLISECOND, SAFE, SECOND};
use edge_node::decision::{AccountId, Action, Event, Micros, NewRequest, Outcome};

/// Upper bounds of the pause, in microseconds: after one failure, and after many consecutive failures.
const INITIAL_PAUSE: Micros = 50 * MILLISECOND;
const MAX_PAUSE: Micros = 800 * MILLISECOND;
/// Number of calls that are in flight at once, each for a different account.
const ACCOUNTS: u64 = 8;

/// Sends an account's first request, of one unit, and returns the actions.
fn send_first_request(node: &mut NodeUnderTest, account: u64) -> Vec<Action> {
    let request = NewRequest {
        id: format!("of-{account}").as_str().into(),
        account: AccountId(account),
        class: SAFE,
        plan: 0,
        units: 1.0,
        first_account_node: 0,
        account_node_count: 3,
        is_retry: false,
        deadline: node.now + 2 * SECOND,
    };
    node.event(Event::RequestReceived(request))
}

/// Starts concurrent calls, one for each of [`ACCOUNTS`] accounts from `first` on.
fn start_calls(node: &mut NodeUnderTest, first: u64) -> Vec<CounterIncrement> {
    (first..first + ACCOUNTS)
        .map(|account| counter_call(&send_first_request(node, account)).expect("expected a counter call"))
        .collect()
}

fn time_out(node: &mut NodeUnderTest, calls: Vec<CounterIncrement>) {
    for call in calls {
        node.end_counter_call(call, Outcome::TimedOut, 0.0);
    }
}

#[test]
fn failures_of_concurrent_calls_count_as_one_failure() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let calls = start_calls(&mut node, 1);
    node.advance(30 * MILLISECOND);
    time_out(&mut node, calls);
    node.advance(INITIAL_PAUSE);
    assert!(
        any_request_leads_to_call(&mut node, 100),
        "expected a call {INITIAL_PAUSE} us after concurrent failures, but calls are still paused"
    );
}

#[test]
fn consecutive_failures_lengthen_the_pause() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut next_account = 1;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let paused_at = node.now;
        let call = loop {
            let call = counter_call(&send_first_request(&mut node, next_account));
            next_account += 1;
            match call {
                Some(call) => break call,
                None => node.advance(MILLISECOND),
            }
        };
        pauses.push(node.now - paused_at);
        node.end_counter_call(call, Outcome::TimedOut, 0.0);
    }
    assert_eq!(pauses[0], 0, "expected no pause before the first failure");
    assert!(pauses[1] <= INITIAL_PAUSE, "the pause after one failure is too long: {pauses:?}");
    assert!(pauses[7] >= MAX_PAUSE / 2, "the pause after seven failures is too short: {pauses:?}");
}

/// Returns whether a request of any of these accounts leads to a call. It is random which of them call.
fn any_request_leads_to_call(node: &mut NodeUnderTest, first_account: u64) -> bool {
    (first_account..first_account + ACCOUNTS)
        .any(|account| counter_call(&send_first_request(node, account)).is_some())
}
