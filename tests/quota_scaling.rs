//! Quotas with a hundred nodes and many accounts: a slow counter service, small even shares, speculative
//! admissions, overflow corrections by several nodes, and the state that is kept of accounts.

mod common;

use common::{
    counter_call, endpoint_entry, settings_with_quota, started_attempts, CounterIncrement, InMemoryCounter,
    NodeUnderTest, StartedAttempt, MILLISECOND, SAFE, SECOND,
};
use edge_node::decision::{
    AccountId, Action, DecisionEngine, EndpointState, EndpointUpdateKind, Event, Micros, NewRequest, Outcome,
    RequestId, Settings,
};

/// Settings of one node of a fleet of `node_count` nodes.
fn settings_of_fleet(node_count: u32) -> Settings {
    Settings { node_count, ..settings_with_quota() }
}

/// A safe request for one unit of an account whose requests `account_node_count` nodes receive.
fn request_event(account: u64, id: String, account_node_count: u32, now: Micros) -> Event {
    Event::RequestReceived(NewRequest {
        id: RequestId::from(id.as_str()),
        account: AccountId(account),
        class: SAFE,
        plan: 0,
        units: 1.0,
        first_account_node: 0,
        account_node_count,
        is_retry: false,
        deadline: now + 2 * SECOND,
    })
}

/// Sends the first request of a new account to this node and returns the actions.
fn send_first_request(node: &mut NodeUnderTest, number: u64, account_node_count: u32) -> Vec<Action> {
    let now = node.now;
    node.event(request_event(1_000 + number, format!("s{number}"), account_node_count, now))
}

/// Sends 200 requests, each of a new account, while all calls to the counter time out. Returns how many of
/// the last 100 requests led to a call.
fn calls_under_timeouts(node_count: u32) -> usize {
    let mut node = NodeUnderTest::new(settings_of_fleet(node_count), 4);
    let mut calls = 0;
    for number in 0..200 {
        node.advance(SECOND);
        let actions = send_first_request(&mut node, number, node_count);
        if let Some(call) = counter_call(&actions) {
            calls += usize::from(number >= 100);
            node.end_counter_call(call, Outcome::TimedOut, 0.0);
        }
    }
    calls
}

#[test]
fn node_calls_a_slow_counter_less_in_a_large_fleet_than_in_a_small_one() {
    let calls_at_hundred_nodes = calls_under_timeouts(100);
    let calls_at_three_nodes = calls_under_timeouts(3);
    assert!(
        calls_at_hundred_nodes <= 40,
        "{calls_at_hundred_nodes} of 100 requests called at one of 100 nodes, expected at most 40"
    );
    assert!(
        calls_at_three_nodes >= 90,
        "{calls_at_three_nodes} of 100 requests called at one of 3 nodes, expected at least 90"
    );
}

#[test]
fn new_account_is_admitted_without_a_reply_where_the_even_share_is_below_one_request() {
    let mut node = NodeUnderTest::new(settings_of_fleet(100), 4);
    let actions = send_first_request(&mut node, 1, 100);
    let call = counter_call(&actions).expect("expected a counter call");
    let actions = node.end_counter_call(call, Outcome::TimedOut, 0.0);
    assert_eq!(
        started_attempts(&actions).len(),
        1,
        "expected one attempt although the even share is 0.12 units"
    );
}

#[test]
fn under_a_hard_ceiling_no_new_account_is_admitted_without_a_reply() {
    let mut settings = settings_of_fleet(100);
    settings.plans[0].ceiling_units_per_second = 4.0;
    settings.plans[0].ceiling_burst_units = 24.0;
    let mut node = NodeUnderTest::new(settings, 4);
    let actions = send_first_request(&mut node, 1, 100);
    let call = counter_call(&actions).expect("expected a counter call");
    assert!(started_attempts(&node.end_counter_call(call, Outcome::TimedOut, 0.0)).is_empty());
}

#[test]
fn account_within_quota_is_admitted_by_a_node_that_rarely_receives_its_requests() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = InMemoryCounter::default();
    let mut admitted = 0;
    for _ in 0..2 {
        let sent = node.request(SAFE, 3.0);
        let call = counter_call(&sent.actions).expect("expected a counter call");
        admitted += started_attempts(&counter.reply_to_all(&mut node, sent.actions)).len();
        // The other nodes draw 12 units in the next 10 s: 1.2 of the 2 units per second.
        counter.add(call.key, 12.0);
        node.advance(10 * SECOND);
    }
    assert_eq!(admitted, 2);
}

/// A request that drew its units from the counter.
struct Draw {
    call: CounterIncrement,
    attempt: StartedAttempt,
    /// The overflow correction that followed, if any: a call that adds units.
    overflow_correction: Option<CounterIncrement>,
}

/// Draws units after four seconds without a request. `total_after` returns the counter's total after the
/// call.
fn draw_after_idle_time(
    node: &mut NodeUnderTest,
    units: f64,
    total_after: impl FnOnce(CounterIncrement) -> f64,
) -> Draw {
    node.advance(4 * SECOND);
    let sent = node.request(SAFE, units);
    let call = counter_call(&sent.actions).expect("expected a counter call");
    let actions = node.end_counter_call(call, Outcome::Ok, total_after(call));
    Draw {
        call,
        attempt: started_attempts(&actions)[0].clone(),
        overflow_correction: counter_call(&actions).filter(|call| call.amount > 0.0),
    }
}

#[test]
fn overflow_correction_by_one_node_after_a_draw_is_not_taken_back() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = InMemoryCounter::default();
    for _ in 0..8 {
        // The draw exceeds the overflow of four seconds, so that the bucket is not full afterwards.
        let draw = draw_after_idle_time(&mut node, 6.0, |call| counter.add(call.key, call.amount));
        if let Some(correction) = draw.overflow_correction {
            let total = counter.add(correction.key, correction.amount);
            let actions = node.end_counter_call(correction, Outcome::Ok, total);
            assert_eq!(
                counter_call(&actions),
                None,
                "expected no call after {correction:?}, the overflow correction after {:?}",
                draw.call
            );
            if correction.amount < draw.call.amount {
                return;
            }
        }
        node.complete(&draw.attempt);
        node.fire_timer();
    }
    panic!("an overflow smaller than the draw was never corrected");
}

#[test]
fn overflow_correction_by_two_nodes_is_taken_back_once() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    for _ in 0..8 {
        let draw = draw_after_idle_time(&mut node, 1.0, |call| call.amount);
        if let Some(correction) = draw.overflow_correction {
            let total = draw.call.amount + 2.0 * correction.amount;
            let actions = node.end_counter_call(correction, Outcome::Ok, total);
            let withdrawal = counter_call(&actions)
                .expect("expected a call that takes the second correction back, got none");
            let difference = (withdrawal.amount + correction.amount).abs();
            assert!(difference < 1e-6, "{correction:?} was made twice, but {withdrawal:?} was taken back");
            return;
        }
        node.complete(&draw.attempt);
        node.fire_timer();
    }
    panic!("an idle account's overflow was never corrected");
}

#[test]
fn failed_overflow_correction_is_not_repeated_later() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    for _ in 0..8 {
        let draw = draw_after_idle_time(&mut node, 1.0, |call| call.amount);
        node.complete(&draw.attempt);
        let Some(correction) = draw.overflow_correction else { continue };
        node.end_counter_call(correction, Outcome::ConnectFailed, 0.0);
        // In the meantime, another node has corrected the overflow.
        node.advance(2 * SECOND);
        let next = (0..8)
            .find_map(|_| counter_call(&node.request(SAFE, 1.0).actions))
            .expect("expected a counter call");
        assert!(
            next.amount < correction.amount,
            "expected a smaller call after {correction:?} failed, got {next:?}"
        );
        return;
    }
    panic!("an idle account's overflow was never corrected");
}

#[test]
fn idle_accounts_and_removed_endpoints_are_dropped() {
    let mut node = NodeUnderTest::new(settings_of_fleet(3), 4);
    let mut counter = InMemoryCounter::default();
    for number in 0..3_000 {
        node.advance(20 * MILLISECOND);
        for action in node.fire_timer() {
            counter.reply_to_all(&mut node, vec![action]);
        }
        // Once a second, one endpoint is replaced by another with a new id.
        if number % 50 == 0 {
            let removed = (number / 50) as u32;
            let entries = vec![
                endpoint_entry(removed, EndpointState::Removed, 0),
                endpoint_entry(removed + 4, EndpointState::Active, 0),
            ];
            node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
        }
        let actions = send_first_request(&mut node, number, 3);
        let actions = counter.reply_to_all(&mut node, actions);
        for attempt in started_attempts(&actions) {
            node.complete(&attempt);
        }
    }
    // There are 50 new accounts per second, each with a bucket that is full again after 6 s, and 4 endpoints
    // at a time.
    let retained = node.engine.retained_entries();
    assert!(
        retained.accounts <= 50 * 8,
        "{} of 3000 accounts in a minute are kept, expected at most 400",
        retained.accounts
    );
    assert_eq!(retained.endpoints, 4);
}

#[test]
fn fractions_of_a_unit_do_not_remain_in_the_leases_of_many_nodes() {
    let node_count = 40;
    let settings = Settings { node_count, ..settings_with_quota() };
    let mut nodes: Vec<NodeUnderTest> = (0..node_count).map(|seed| node_of_fleet(seed, &settings)).collect();
    let mut counter = InMemoryCounter::default();
    let mut served = 0;
    // One account requests five times its rate, through one node after the other.
    for number in 0..600 {
        let node = &mut nodes[number as usize % node_count as usize];
        node.now = 100 * SECOND + number * 100 * MILLISECOND;
        node.fire_timer();
        let now = node.now;
        let actions = node.event(request_event(77, format!("c{number}"), node_count, now));
        let actions = counter.reply_to_all(node, actions);
        for attempt in started_attempts(&actions) {
            served += 1;
            node.complete(&attempt);
        }
    }
    let quota_units = 12 + 2 * 60;
    assert!(
        (quota_units * 9 / 10..=quota_units * 11 / 10).contains(&served),
        "{served} requests admitted, expected {quota_units} within 10%"
    );
}

/// Returns a node with its own seed and four endpoints.
fn node_of_fleet(seed: u32, settings: &Settings) -> NodeUnderTest {
    let mut node = NodeUnderTest::new(settings.clone(), 0);
    node.engine = DecisionEngine::new(seed.into(), settings.clone());
    let entries = (0..4).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect();
    node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    node
}

/// Guards against too many speculative admissions: if the counter service is slow and many accounts are each
/// seen only once, each admission on its own would be worth its risk.
#[test]
fn speculative_admissions_are_a_small_share_of_all_requests() {
    let mut settings = settings_with_quota();
    settings.node_count = 300;
    settings.plans[0].over_quota_cost = 1.0;
    let mut node = NodeUnderTest::new(settings, 20);
    let mut speculative = 0;
    let mut requests = 0;
    for number in 0..600u64 {
        node.advance(50 * MILLISECOND);
        let now = node.now;
        let mut actions = node.event(request_event(number, format!("r{number}"), 200, now));
        requests += 1;
        if counter_call(&actions).is_none() {
            speculative += started_attempts(&actions).len();
        }
        while let Some(call) = counter_call(&actions) {
            node.advance(20 * MILLISECOND);
            // Every fifth call gets no reply in time, so fewer and fewer requests call the counter.
            let outcome = if number % 5 == 0 { Outcome::TimedOut } else { Outcome::Ok };
            // A quarter of the buckets are empty.
            let total = if number % 4 == 1 { 1_000.0 } else { call.amount };
            actions = node.end_counter_call(call, outcome, total);
            let attempts: Vec<StartedAttempt> = started_attempts(&actions);
            for attempt in attempts {
                node.complete(&attempt);
            }
        }
        node.fire_timer();
    }
    assert!(speculative > 0, "expected a speculative admission among {requests} requests");
    assert!(
        speculative * 12 < requests,
        "{speculative} of {requests} requests were speculative admissions, expected less than 1 in 12"
    );
}
