//! The pause of calls to the counter after calls that failed.

mod common;

use common::{counter_call, settings_with_quota, CounterCall, NodeUnderTest, MILLISECOND, SAFE, SECOND};
use edge_node::decision::{AccountId, Action, Event, Micros, NewRequest, Outcome};

/// The longest pause after one failure, and after failures one after another.
const FIRST_PAUSE: Micros = 50 * MILLISECOND;
const LONGEST_PAUSE: Micros = 800 * MILLISECOND;
/// Calls in flight at once, each for an account of its own.
const ACCOUNTS: u64 = 8;

/// An account's first request of one unit.
fn request_of(node: &mut NodeUnderTest, account: u64) -> Vec<Action> {
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

/// Calls in flight together, one for each account from `first` on.
fn calls_in_flight(node: &mut NodeUnderTest, first: u64) -> Vec<CounterCall> {
    (first..first + ACCOUNTS)
        .map(|account| counter_call(&request_of(node, account)).expect("a call"))
        .collect()
}

fn time_out(node: &mut NodeUnderTest, calls: Vec<CounterCall>) {
    for call in calls {
        node.end_counter_call(call, Outcome::TimedOut, 0.0);
    }
}

#[test]
fn calls_that_fail_together_count_as_one_failure() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let calls = calls_in_flight(&mut node, 1);
    node.advance(30 * MILLISECOND);
    time_out(&mut node, calls);
    node.advance(FIRST_PAUSE);
    assert!(is_called_for_some(&mut node, 100), "still paused after {FIRST_PAUSE}");
}

#[test]
fn calls_that_fail_one_after_another_pause_for_longer_each_time() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut next_account = 1;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let paused_at = node.now;
        let call = loop {
            let call = counter_call(&request_of(&mut node, next_account));
            next_account += 1;
            match call {
                Some(call) => break call,
                None => node.advance(MILLISECOND),
            }
        };
        pauses.push(node.now - paused_at);
        node.end_counter_call(call, Outcome::TimedOut, 0.0);
    }
    assert_eq!(pauses[0], 0, "no pause before the first failure");
    assert!(pauses[1] <= FIRST_PAUSE, "{pauses:?}");
    assert!(pauses[7] >= LONGEST_PAUSE / 2, "{pauses:?}");
}

/// Whether a request of one of these accounts leads to a call: chance decides which of them ask.
fn is_called_for_some(node: &mut NodeUnderTest, first_account: u64) -> bool {
    (first_account..first_account + ACCOUNTS)
        .any(|account| counter_call(&request_of(node, account)).is_some())
}
