//! The number of accounts of which a node keeps state is limited, whatever names its clients give.

mod common;

use common::{
    first_retry_after, settings_with_quota, started_attempts, InMemoryCounter, NodeUnderTest, MILLISECOND,
    SAFE, SECOND,
};
use edge_node::decision::{AccountId, Action, Event, NewRequest, RequestId, Settings};

/// Maximum number of accounts in these tests.
const MAX_ACCOUNTS: usize = 40;
/// The account that sends a request now and then.
const REGULAR_ACCOUNT: u64 = 7;
/// The first account of those that send one request each.
const FIRST_NEW_ACCOUNT: u64 = 1_000;

fn settings_with_account_limit() -> Settings {
    Settings { max_accounts: Some(MAX_ACCOUNTS), ..settings_with_quota() }
}

/// Sends a request of one unit of the account and returns the resulting actions.
fn send_request(node: &mut NodeUnderTest, account: u64, id: &str) -> Vec<Action> {
    let request = NewRequest {
        id: RequestId::from(id),
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

/// Sends a request of the account, and completes its attempt if it is admitted.
fn serve_request(node: &mut NodeUnderTest, counter: &mut InMemoryCounter, account: u64, id: &str) -> bool {
    let actions = send_request(node, account, id);
    let actions = counter.reply_to_all(node, actions);
    let attempts = started_attempts(&actions);
    for attempt in &attempts {
        let actions = node.complete(attempt);
        counter.reply_to_all(node, actions);
    }
    !attempts.is_empty()
}

/// Guards against memory that grows without end while requests name ever new accounts.
#[test]
fn accounts_stay_within_their_limit_while_requests_name_ever_new_ones() {
    let mut node = NodeUnderTest::new(settings_with_account_limit(), 4);
    let mut counter = InMemoryCounter::default();
    for number in 0..2_000 {
        node.advance(MILLISECOND);
        serve_request(&mut node, &mut counter, FIRST_NEW_ACCOUNT + number, &format!("new-{number}"));
        let retained = node.engine.retained_entries().accounts;
        assert!(retained <= MAX_ACCOUNTS, "{retained} accounts are kept after {number} requests");
    }
}

/// Guards against new accounts pushing out the account that sends requests again and again: its lease would
/// be lost with each of them, and its quota used up.
#[test]
fn account_in_use_keeps_its_quota_while_requests_name_ever_new_ones() {
    let mut node = NodeUnderTest::new(settings_with_account_limit(), 4);
    let mut counter = InMemoryCounter::default();
    for number in 0..200 {
        let is_served = serve_request(&mut node, &mut counter, REGULAR_ACCOUNT, &format!("regular-{number}"));
        assert!(is_served, "request {number} of the account in use was not admitted");
        // The quota is 2 units a second.
        for new in 0..25 {
            node.advance(20 * MILLISECOND);
            let id = format!("new-{number}-{new}");
            serve_request(&mut node, &mut counter, FIRST_NEW_ACCOUNT + 25 * number + new, &id);
        }
    }
}

/// Guards against a request being forgotten with its account, and against one that is never answered for want
/// of room.
#[test]
fn accounts_with_work_in_flight_are_kept_and_a_further_one_is_rejected() {
    let mut node = NodeUnderTest::new(settings_with_account_limit(), 4);
    let mut counter = InMemoryCounter::default();
    let mut attempts = Vec::new();
    for number in 0..MAX_ACCOUNTS as u64 {
        let actions = send_request(&mut node, FIRST_NEW_ACCOUNT + number, &format!("open-{number}"));
        let actions = counter.reply_to_all(&mut node, actions);
        attempts.extend(started_attempts(&actions));
    }
    assert_eq!(attempts.len(), MAX_ACCOUNTS, "expected each request to be sent to an endpoint");
    let rejection = send_request(&mut node, REGULAR_ACCOUNT, "beyond");
    assert_eq!(first_retry_after(&rejection), Some(0), "expected a rejection without a time");
    assert!(started_attempts(&rejection).is_empty());
    // An account that is kept goes on being served.
    assert!(serve_request(&mut node, &mut counter, FIRST_NEW_ACCOUNT, "again"));
    node.complete(&attempts.pop().expect("there are attempts"));
    assert!(serve_request(&mut node, &mut counter, REGULAR_ACCOUNT, "later"));
}
