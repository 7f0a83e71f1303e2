//! Quotas at a hundred nodes and many accounts: a slow counter service, many small shares, speculative
//! admissions, overflow corrections by several nodes, and what is kept of accounts.

mod common;

use common::{
    counter_call, endpoint_entry, settings_with_quota, started_attempts, CounterCall, FakeCounter,
    NodeUnderTest, StartedAttempt, MILLISECOND, SAFE, SECOND,
};
use edge_node::decision::{
    AccountId, Action, DecisionEngine, EndpointState, EndpointUpdateKind, Event, Micros, NewRequest, Outcome,
    RequestId, Settings,
};

/// Settings of one of so many nodes.
fn settings_of_fleet(node_count: u32) -> Settings {
    Settings { node_count, ..settings_with_quota() }
}

/// A safe request of one unit of an account that `account_node_count` nodes get requests of.
fn request_of(account: u64, id: String, account_node_count: u32, now: Micros) -> Event {
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

/// The first request of a new account at this node.
fn first_request(node: &mut NodeUnderTest, number: u64, account_node_count: u32) -> Vec<Action> {
    let now = node.now;
    node.event(request_of(1_000 + number, format!("s{number}"), account_node_count, now))
}

/// How many of 100 requests, each of a new account, call a counter service that has timed out 100 times.
fn calls_under_timeouts(node_count: u32) -> usize {
    let mut node = NodeUnderTest::new(settings_of_fleet(node_count), 4);
    let mut calls = 0;
    for number in 0..200 {
        node.advance(SECOND);
        let actions = first_request(&mut node, number, node_count);
        if let Some(call) = counter_call(&actions) {
            calls += usize::from(number >= 100);
            node.end_counter_call(call, Outcome::TimedOut, 0.0);
        }
    }
    calls
}

#[test]
fn hundred_nodes_call_a_slow_counter_less_and_few_nodes_go_on_calling() {
    let of_hundred = calls_under_timeouts(100);
    let of_three = calls_under_timeouts(3);
    assert!(of_hundred <= 40, "{of_hundred} of 100 requests called at one of a hundred nodes");
    assert!(of_three >= 90, "{of_three} of 100 requests called at one of three nodes");
}

#[test]
fn new_account_is_admitted_without_a_reply_where_the_even_share_is_below_one_request() {
    let mut node = NodeUnderTest::new(settings_of_fleet(100), 4);
    let actions = first_request(&mut node, 1, 100);
    let call = counter_call(&actions).expect("a call");
    let actions = node.end_counter_call(call, Outcome::TimedOut, 0.0);
    assert_eq!(started_attempts(&actions).len(), 1, "the even share is 0.12 units");
}

#[test]
fn under_a_hard_ceiling_no_new_account_is_admitted_without_a_reply() {
    let mut settings = settings_of_fleet(100);
    settings.plans[0].ceiling_units_per_second = 4.0;
    settings.plans[0].ceiling_burst_units = 24.0;
    let mut node = NodeUnderTest::new(settings, 4);
    let actions = first_request(&mut node, 1, 100);
    let call = counter_call(&actions).expect("a call");
    assert!(started_attempts(&node.end_counter_call(call, Outcome::TimedOut, 0.0)).is_empty());
}

#[test]
fn account_within_quota_that_this_node_sees_rarely_is_not_taken_for_exhausted() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = FakeCounter::default();
    let mut admitted = 0;
    for _ in 0..2 {
        let sent = node.request(SAFE, 3.0);
        let call = counter_call(&sent.actions).expect("a call");
        admitted += started_attempts(&counter.reply_to_all(&mut node, sent.actions)).len();
        // The other nodes draw 1.2 units a second, of 2, for the next 10 s.
        counter.add(call.key, 12.0);
        node.advance(10 * SECOND);
    }
    assert_eq!(admitted, 2);
}

/// A request that drew its units from the counter.
struct Draw {
    call: CounterCall,
    attempt: StartedAttempt,
    /// The overflow correction that followed, if there was one: a call that adds units.
    overflow_correction: Option<CounterCall>,
}

/// A draw after four seconds without a request. `total_after` gives the counter's total after its call.
fn draw_after_idle_time(
    node: &mut NodeUnderTest,
    units: f64,
    total_after: impl FnOnce(CounterCall) -> f64,
) -> Draw {
    node.advance(4 * SECOND);
    let sent = node.request(SAFE, units);
    let call = counter_call(&sent.actions).expect("a call");
    let actions = node.end_counter_call(call, Outcome::Ok, total_after(call));
    Draw {
        call,
        attempt: started_attempts(&actions)[0].clone(),
        overflow_correction: counter_call(&actions).filter(|call| call.amount > 0.0),
    }
}

#[test]
fn overflow_corrected_by_one_node_after_a_draw_stays_corrected() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = FakeCounter::default();
    for _ in 0..8 {
        // A draw above the overflow of four seconds: afterwards the bucket is not full.
        let draw = draw_after_idle_time(&mut node, 6.0, |call| counter.add(call.key, call.amount));
        if let Some(correction) = draw.overflow_correction {
            let total = counter.add(correction.key, correction.amount);
            let actions = node.end_counter_call(correction, Outcome::Ok, total);
            assert_eq!(counter_call(&actions), None, "{correction:?} is made once after {:?}", draw.call);
            if correction.amount < draw.call.amount {
                return;
            }
        }
        node.complete(&draw.attempt);
        node.tick();
    }
    panic!("an overflow smaller than the draw was never corrected");
}

#[test]
fn overflow_corrected_by_two_nodes_is_put_back_once() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    for _ in 0..8 {
        let draw = draw_after_idle_time(&mut node, 1.0, |call| call.amount);
        if let Some(correction) = draw.overflow_correction {
            let total = draw.call.amount + 2.0 * correction.amount;
            let actions = node.end_counter_call(correction, Outcome::Ok, total);
            let put_back = counter_call(&actions).expect("the second correction is put back");
            let difference = (put_back.amount + correction.amount).abs();
            assert!(difference < 1e-6, "{correction:?} made twice, {put_back:?} put back");
            return;
        }
        node.complete(&draw.attempt);
        node.tick();
    }
    panic!("an idle account's overflow was never corrected");
}

#[test]
fn overflow_correction_that_failed_is_not_made_up_for_later() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    for _ in 0..8 {
        let draw = draw_after_idle_time(&mut node, 1.0, |call| call.amount);
        node.complete(&draw.attempt);
        let Some(correction) = draw.overflow_correction else { continue };
        node.end_counter_call(correction, Outcome::ConnectFailed, 0.0);
        // Another node has corrected it meanwhile.
        node.advance(2 * SECOND);
        let next = (0..8).find_map(|_| counter_call(&node.request(SAFE, 1.0).actions)).expect("a call");
        assert!(next.amount < correction.amount, "{correction:?} failed, and the next call is {next:?}");
        return;
    }
    panic!("an idle account's overflow was never corrected");
}

#[test]
fn accounts_that_came_once_and_removed_endpoints_are_forgotten() {
    let mut node = NodeUnderTest::new(settings_of_fleet(3), 4);
    let mut counter = FakeCounter::default();
    for number in 0..3_000 {
        node.advance(20 * MILLISECOND);
        for action in node.tick() {
            counter.reply_to_all(&mut node, vec![action]);
        }
        // Each second one endpoint is replaced by another under a new id.
        if number % 50 == 0 {
            let removed = (number / 50) as u32;
            let entries = vec![
                endpoint_entry(removed, EndpointState::Removed, 0),
                endpoint_entry(removed + 4, EndpointState::Active, 0),
            ];
            node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
        }
        let actions = first_request(&mut node, number, 3);
        let actions = counter.reply_to_all(&mut node, actions);
        for attempt in started_attempts(&actions) {
            node.complete(&attempt);
        }
    }
    // 50 accounts a second, each with a bucket that is full again after 6 s; and 4 endpoints at a time.
    let retained = node.node.retained_entries();
    assert!(retained.accounts <= 50 * 8, "{} accounts of 3000 in a minute are kept", retained.accounts);
    assert_eq!(retained.endpoints, 4);
}

#[test]
fn fractions_of_a_unit_are_not_stranded_at_many_nodes() {
    let node_count = 40;
    let settings = Settings { node_count, ..settings_with_quota() };
    let mut nodes: Vec<NodeUnderTest> = (0..node_count).map(|seed| node_of_fleet(seed, &settings)).collect();
    let mut counter = FakeCounter::default();
    let mut served = 0;
    // One account asks for five times its rate, through one node after the other.
    for number in 0..600 {
        let node = &mut nodes[number as usize % node_count as usize];
        node.now = 100 * SECOND + number * 100 * MILLISECOND;
        node.tick();
        let now = node.now;
        let actions = node.event(request_of(77, format!("c{number}"), node_count, now));
        let actions = counter.reply_to_all(node, actions);
        for attempt in started_attempts(&actions) {
            served += 1;
            node.complete(&attempt);
        }
    }
    let entitled = 12 + 2 * 60;
    assert!(
        (entitled * 9 / 10..=entitled * 11 / 10).contains(&served),
        "{served} admitted, {entitled} are within the quota"
    );
}

/// A node with its own seed and four endpoints.
fn node_of_fleet(seed: u32, settings: &Settings) -> NodeUnderTest {
    let mut node = NodeUnderTest::new(settings.clone(), 0);
    node.node = DecisionEngine::new(seed.into(), settings.clone());
    let entries = (0..4).map(|id| endpoint_entry(id, EndpointState::Active, 0)).collect();
    node.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    node
}

/// Many accounts are each seen once while the counter service is slow, so that each speculative admission
/// alone would be worth its risk.
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
        let mut actions = node.event(request_of(number, format!("r{number}"), 200, now));
        requests += 1;
        if counter_call(&actions).is_none() {
            speculative += started_attempts(&actions).len();
        }
        while let Some(call) = counter_call(&actions) {
            node.advance(20 * MILLISECOND);
            // Every fifth call gets no reply in time, so fewer and fewer requests call.
            let outcome = if number % 5 == 0 { Outcome::TimedOut } else { Outcome::Ok };
            // A quarter of the buckets are empty.
            let total = if number % 4 == 1 { 1_000.0 } else { call.amount };
            actions = node.end_counter_call(call, outcome, total);
            let attempts: Vec<StartedAttempt> = started_attempts(&actions);
            for attempt in attempts {
                node.complete(&attempt);
            }
        }
        node.tick();
    }
    assert!(speculative > 0, "no speculative admission of {requests} requests");
    assert!(speculative * 12 < requests, "{speculative} of {requests} were speculative admissions");
}
