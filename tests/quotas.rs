//! Quotas of units: leases, the counter service and deferrals, through the public API.

mod common;

use common::{
    counter_call, first_retry_after, settings_with_quota, started_attempts, InMemoryCounter, NodeUnderTest,
    StartedAttempt, MILLISECOND, SAFE, SECOND,
};
use edge_node::decision::{Event, Micros, Outcome, Settings};

/// Sends a request of one unit every 100 ms for `seconds` and completes those that are admitted. Returns the
/// units admitted.
fn send_steadily(node: &mut NodeUnderTest, counter: &mut InMemoryCounter, seconds: u64) -> f64 {
    let mut admitted_units = 0.0;
    for _ in 0..seconds * 10 {
        node.advance(100 * MILLISECOND);
        let request = node.request(SAFE, 1.0);
        for attempt in started_attempts(&counter.reply_to_all(node, request.actions)) {
            admitted_units += 1.0;
            let actions = node.complete(&attempt);
            counter.reply_to_all(node, actions);
        }
    }
    admitted_units
}

/// Ends calls to the counter with totals that leave the account's bucket empty. Each total is more than the
/// bucket can grant within a window of 30 s, which is at most 24 + 12 * 30 = 384 units in the settings used
/// with it. The first reply grants nothing, so the node releases the units that the call added; the lower
/// total ends this release.
fn exhaust_quota(node: &mut NodeUnderTest) {
    let first = counter_call(&node.request(SAFE, 1.0).actions).expect("expected a counter call");
    let mut actions = node.end_counter_call(first, Outcome::Ok, 500.0);
    while let Some(call) = counter_call(&actions) {
        actions = node.end_counter_call(call, Outcome::Ok, 490.0);
    }
}

/// Sends up to 12 requests until one is deferred. Returns its `Retry-After` time, or `None` if none is
/// deferred.
fn first_deferral(node: &mut NodeUnderTest) -> Option<Micros> {
    for _ in 0..12 {
        let deferral =
            first_retry_after(&node.request(SAFE, 1.0).actions).filter(|&retry_after| retry_after > 0);
        if deferral.is_some() {
            return deferral;
        }
    }
    None
}

/// Sends this many requests at once while every call to the counter times out. Returns the attempts.
fn attempts_during_counter_timeouts(node: &mut NodeUnderTest, requests: u32) -> Vec<StartedAttempt> {
    let mut attempts = Vec::new();
    for _ in 0..requests {
        let mut actions = node.request(SAFE, 1.0).actions;
        attempts.extend(started_attempts(&actions));
        while let Some(call) = counter_call(&actions) {
            actions = node.end_counter_call(call, Outcome::TimedOut, 0.0);
            attempts.extend(started_attempts(&actions));
        }
    }
    attempts
}

/// Settings with spacings that are short enough for several deferrals.
fn settings_with_fast_quota() -> Settings {
    let mut settings = settings_with_quota();
    settings.plans[0].quota_units_per_second = 12.0;
    settings.plans[0].burst_units = 24.0;
    settings
}

#[test]
fn steady_demand_gets_burst_plus_rate_and_no_more() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = InMemoryCounter::default();
    let units = send_steadily(&mut node, &mut counter, 60);
    let quota = 12.0 + 2.0 * 60.0;
    assert!((0.85 * quota..=1.05 * quota).contains(&units), "{units} units admitted, the quota is {quota}");
}

#[test]
fn two_nodes_share_one_quota() {
    let mut counter = InMemoryCounter::default();
    let mut first = NodeUnderTest::new(settings_with_quota(), 4);
    let mut second = NodeUnderTest::new(settings_with_quota(), 4);
    let mut units = 0.0;
    for _ in 0..30 {
        units += send_steadily(&mut first, &mut counter, 1);
        second.now = first.now - SECOND;
        units += send_steadily(&mut second, &mut counter, 1);
    }
    let quota = 12.0 + 2.0 * 30.0;
    assert!(units <= 1.25 * quota, "{units} units admitted, the quota is {quota}");
}

#[test]
fn flushed_counter_does_not_grant_the_burst_again() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = InMemoryCounter::default();
    send_steadily(&mut node, &mut counter, 20);
    counter.delete_all();
    let units = send_steadily(&mut node, &mut counter, 5);
    assert!(units <= 2.0 * 5.0 + 4.0, "{units} units admitted in 5 s after the flush, expected at most 14");
}

#[test]
fn first_request_waits_for_the_lease_and_is_then_sent() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let request = node.request(SAFE, 2.0);
    assert!(started_attempts(&request.actions).is_empty());
    let call = counter_call(&request.actions).expect("expected a call for a lease, got none");
    assert!(call.amount >= 2.0);
    let actions = node.end_counter_call(call, Outcome::Ok, call.amount);
    assert_eq!(started_attempts(&actions)[0].request, request.id);
}

#[test]
fn unresponsive_counter_limits_admission_to_the_even_share() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let call = counter_call(&node.request(SAFE, 1.0).actions).expect("expected a counter call");
    let actions = node.end_counter_call(call, Outcome::TimedOut, 0.0);
    assert_eq!(started_attempts(&actions).len(), 1, "expected one attempt, admitted by the even share");
    let mut admitted = 1;
    for _ in 0..200 {
        node.advance(MILLISECOND / 10);
        admitted += started_attempts(&node.request(SAFE, 1.0).actions).len();
    }
    assert!(admitted <= 4, "{admitted} units admitted at once, the even share of the burst is 4");
}

#[test]
fn unresponsive_counter_limits_attempts_in_flight_to_the_even_share() {
    let mut settings = settings_with_quota();
    settings.plans[0].max_in_flight = 6;
    settings.plans[0].quota_units_per_second = 100.0;
    settings.plans[0].burst_units = 600.0;
    let mut node = NodeUnderTest::new(settings, 4);
    let mut counter = InMemoryCounter::default();
    send_steadily(&mut node, &mut counter, 5);
    let mut most_in_flight = 0;
    for _ in 0..20 {
        node.advance(SECOND);
        node.fire_timer();
        let attempts = attempts_during_counter_timeouts(&mut node, 10);
        // For a short time, the totals from before the timeouts still show that no other node has attempts
        // in flight.
        if node.now >= 110 * SECOND {
            most_in_flight = most_in_flight.max(attempts.len());
        }
        for attempt in &attempts {
            node.complete(attempt);
        }
    }
    assert!(
        (1..=2).contains(&most_in_flight),
        "{most_in_flight} attempts in flight at most, expected 1 or 2: the even share of 6 is 2"
    );
}

#[test]
fn units_beyond_the_bucket_are_released() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let call = counter_call(&node.request(SAFE, 1.0).actions).expect("expected a counter call");
    let actions = node.end_counter_call(call, Outcome::Ok, call.amount + 1.0 * 12.0 + 2.0 * 60.0);
    let release = counter_call(&actions).expect("expected a call that releases units, got none");
    assert!(release.amount < 0.0);
}

#[test]
fn deferrals_are_spaced_and_bounded_and_a_retry_is_not_deferred() {
    let mut node = NodeUnderTest::new(settings_with_fast_quota(), 4);
    exhaust_quota(&mut node);
    let mut retry_afters = Vec::new();
    for _ in 0..12 {
        retry_afters.extend(first_retry_after(&node.request(SAFE, 1.0).actions));
    }
    let deferrals: Vec<Micros> = retry_afters.iter().copied().filter(|&time| time > 0).collect();
    assert!(deferrals.len() >= 2, "expected at least 2 deferrals: {retry_afters:?}");
    assert!(
        deferrals.windows(2).all(|pair| pair[1] > pair[0]),
        "expected each deferral after the previous one: {retry_afters:?}"
    );
    assert_eq!(
        *retry_afters.last().expect("expected at least one rejection, got none"),
        0,
        "expected no `Retry-After` time beyond the horizon of 2 s: {retry_afters:?}"
    );
    node.advance(deferrals[0] + MILLISECOND);
    let retry = node.retry(SAFE, 12.0);
    assert!(first_retry_after(&retry.actions).is_none_or(|retry_after| retry_after == 0));
}

#[test]
fn rejection_has_no_retry_after_if_the_spacing_exceeds_the_horizon() {
    // The spacing is 6 units at 2/3 units per second, which is 9 s: longer than a burst takes to refill and
    // than the longest `Retry-After` time that clients follow.
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    exhaust_quota(&mut node);
    assert_eq!(first_retry_after(&node.request(SAFE, 6.0).actions), Some(0));
}

#[test]
fn rejection_has_no_retry_after_if_the_settings_forbid_it() {
    let mut settings = settings_with_quota();
    settings.limits.retry_after_allowed = false;
    let mut node = NodeUnderTest::new(settings, 4);
    exhaust_quota(&mut node);
    assert_eq!(first_retry_after(&node.request(SAFE, 1.0).actions), Some(0));
}

#[test]
fn request_is_decided_or_calls_the_counter_under_unusual_settings() {
    for change in 0..5 {
        let mut settings = settings_with_quota();
        match change {
            0 => settings.plans[0].quota_units_per_second = 0.0,
            1 => settings.plans[0].burst_units = 0.0,
            2 => settings.plans.clear(),
            3 => settings.node_count = 1,
            _ => settings.counter.enabled = false,
        }
        let mut node = NodeUnderTest::new(settings, 2);
        let actions = node.request(SAFE, 1.0).actions;
        let is_decided = started_attempts(&actions).len() == 1
            || first_retry_after(&actions).is_some()
            || counter_call(&actions).is_some();
        assert!(
            is_decided,
            "change {change}: expected an attempt, a rejection or a counter call, got {actions:?}"
        );
    }
}

#[test]
fn same_events_lead_to_the_same_actions() {
    let run = || {
        let mut node = NodeUnderTest::new(settings_with_quota(), 4);
        let mut counter = InMemoryCounter::default();
        let mut all_actions = Vec::new();
        for step in 0..200u64 {
            node.advance(10 * MILLISECOND + step);
            let request = node.request((step % 3) as usize, 1.0);
            all_actions.extend(counter.reply_to_all(&mut node, request.actions));
            all_actions.extend(node.fire_timer());
        }
        all_actions
    };
    assert_eq!(run(), run());
}

#[test]
fn retry_at_another_node_runs_if_units_remain_and_is_otherwise_rejected_without_retry_after() {
    let mut first = NodeUnderTest::new(settings_with_fast_quota(), 4);
    exhaust_quota(&mut first);
    assert!(first_deferral(&mut first).is_some(), "expected a deferral at the first node");
    let mut other = NodeUnderTest::new(settings_with_fast_quota(), 4);
    let call = counter_call(&other.retry(SAFE, 1.0).actions)
        .expect("expected a call for units by the other node, which does not know of the deferral, got none");
    assert_eq!(started_attempts(&other.end_counter_call(call, Outcome::Ok, call.amount)).len(), 1);
    let mut exhausted = NodeUnderTest::new(settings_with_fast_quota(), 4);
    exhaust_quota(&mut exhausted);
    assert!(first_deferral(&mut exhausted).is_some());
    assert_eq!(first_retry_after(&exhausted.retry(SAFE, 1.0).actions), Some(0));
}

#[test]
fn shutdown_releases_leases_once() {
    // If a node kept its lease at shutdown, the units would be lost to the account until the end of the
    // window.
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = InMemoryCounter::default();
    let request = node.request(SAFE, 1.0);
    let lease = counter_call(&request.actions).expect("expected a call for a lease, got none");
    assert_eq!(started_attempts(&counter.reply_to_all(&mut node, request.actions)).len(), 1);
    node.advance(MILLISECOND);
    let release = counter_call(&node.event(Event::ShutdownStarted))
        .expect("expected a call that releases the rest of the lease, got none");
    assert_eq!(release.amount, 1.0 - lease.amount);
    assert_eq!(counter_call(&node.event(Event::ShutdownStarted)), None, "expected no second release");
}

#[test]
fn restarted_node_has_an_empty_schedule_of_deferrals() {
    let first_deferral_of_new_node = || {
        let mut node = NodeUnderTest::new(settings_with_fast_quota(), 4);
        exhaust_quota(&mut node);
        first_deferral(&mut node)
    };
    let before_restart = first_deferral_of_new_node();
    assert!(before_restart.is_some());
    assert_eq!(
        first_deferral_of_new_node(),
        before_restart,
        "expected the same time after a restart: the schedule is lost, so two deferrals may coincide"
    );
}

#[test]
fn restarts_with_a_flushed_counter_stay_within_a_hard_ceiling() {
    let mut settings = settings_with_quota();
    settings.plans[0].ceiling_units_per_second = 3.4;
    settings.plans[0].ceiling_burst_units = 20.4;
    let mut units = 0.0;
    for _ in 0..3 {
        let mut node = NodeUnderTest::new(settings.clone(), 4);
        let mut counter = InMemoryCounter::default();
        units += send_steadily(&mut node, &mut counter, 2);
    }
    assert!(
        units <= 20.4 + 3.4 * 6.0,
        "{units} units admitted by three nodes in turn, the ceiling allows 40.8"
    );
}

/// Sends a request of one unit and completes it if it is admitted. Returns the units admitted.
fn send_and_complete(node: &mut NodeUnderTest, counter: &mut InMemoryCounter) -> usize {
    let request = node.request(SAFE, 1.0);
    let attempts = started_attempts(&counter.reply_to_all(node, request.actions));
    for attempt in &attempts {
        node.complete(attempt);
    }
    attempts.len()
}

#[test]
fn overflow_of_an_account_with_few_requests_is_not_spent_on_top_of_the_burst() {
    let mut counter = InMemoryCounter::default();
    // The account uses half of its rate for 11 s: the bucket stays full, and one unit per second overflows.
    let mut first_node = NodeUnderTest::new(settings_with_quota(), 4);
    for _ in 0..11 {
        first_node.advance(SECOND);
        send_and_complete(&mut first_node, &mut counter);
    }
    // Then all requests arrive at once, at nodes that have seen none of the earlier requests.
    let mut admitted = 0;
    for _ in 0..6 {
        let mut node = NodeUnderTest::new(settings_with_quota(), 4);
        node.now = first_node.now;
        for _ in 0..10 {
            admitted += send_and_complete(&mut node, &mut counter);
        }
    }
    // Units that the first node has leased ahead of use count as granted, too.
    first_node.advance(MILLISECOND);
    let release = counter_call(&first_node.event(Event::ShutdownStarted));
    let idle_lease = -release.map_or(0.0, |call| call.amount);
    let granted = admitted as f64 + idle_lease;
    assert!(
        (11.0..=16.0).contains(&granted),
        "{admitted} units admitted and {idle_lease} leased of a burst of 12, expected 11 to 16"
    );
}

#[test]
fn late_counter_reply_grants_its_units_to_the_node() {
    let mut node = NodeUnderTest::new(settings_with_quota(), 4);
    let mut counter = InMemoryCounter::default();
    let call = counter_call(&node.request(SAFE, 1.0).actions).expect("expected a counter call");
    assert!(call.amount > 2.0, "the call leases {} units, expected a block of more than 2", call.amount);
    let total = counter.add(call.key, call.amount);
    node.advance(30 * MILLISECOND);
    let actions = node.end_counter_call(call, Outcome::TimedOut, 0.0);
    assert_eq!(started_attempts(&actions).len(), 1, "expected one attempt, admitted by the even share");
    node.advance(10 * MILLISECOND);
    let late_reply = Event::LateCounterReply { key: call.key, outcome: Outcome::Ok, total };
    assert_eq!(
        counter_call(&node.event(late_reply.clone())),
        None,
        "expected no release, since all leased units fit into the bucket"
    );
    for _ in 0..call.amount as usize {
        let actions = node.request(SAFE, 1.0).actions;
        assert_eq!(
            started_attempts(&actions).len(),
            1,
            "expected one attempt, covered by the lease of the late reply"
        );
    }
    assert!(
        node.event(late_reply).is_empty(),
        "expected no actions, since a second reply belongs to no call"
    );
    node.advance(10 * SECOND);
    let next_call = counter_call(&node.request(SAFE, 1.0).actions).expect("expected a counter call");
    assert!(
        next_call.amount > 1.5,
        "the call adds {} units, expected more than 1.5 with the unit of the even share",
        next_call.amount
    );
}

#[test]
fn late_replies_of_past_windows_or_of_calls_not_added_grant_nothing() {
    for (outcome, delay) in [(Outcome::Ok, 40 * SECOND), (Outcome::Rejected, 0), (Outcome::Reset, 0)] {
        let mut node = NodeUnderTest::new(settings_with_quota(), 4);
        let call = counter_call(&node.request(SAFE, 1.0).actions).expect("expected a counter call");
        node.end_counter_call(call, Outcome::TimedOut, 0.0);
        node.advance(delay);
        node.event(Event::LateCounterReply { key: call.key, outcome, total: call.amount });
        node.advance(SECOND);
        let release = counter_call(&node.event(Event::ShutdownStarted));
        assert_eq!(release, None, "{outcome:?}: expected no lease to release");
    }
}
