//! Tests of when nodes call discovery, and of how long they wait for its responses.

use std::time::Duration;

use edge_node::net::discovery::call_times::{
    OverdueTimer, FIRST_RESPONSE_TIME, FULL_LIST_OVERDUE_AFTER, FULL_LIST_TIME_LIMIT, MAX_POSTPONEMENT,
    MAX_RESPONSE_PAUSE, NOTIFIED_AFTER, RETRY_RESPONSE_TIME, WATCH_OVERDUE_AFTER, WATCH_TIME_LIMIT,
};
use edge_node::net::discovery::schedule::{WatchSchedule, AGENT_MAX_PAUSE, MAX_PAUSE_FACTOR};
use tokio::time::Instant;

/// The time after a move of discovery at which the list at the new address counts as notified.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Returns the number of calls in each second of a minute, in a fleet whose calls all fail after 2 s, as they
/// do at an overloaded service.
fn calls_by_second(nodes: u32) -> Vec<usize> {
    let failing_call = Duration::from_secs(2);
    let mut calls = vec![0; 60];
    for seed in 0..u64::from(nodes) {
        let mut schedule = WatchSchedule::new(seed, nodes, true);
        let mut called_at = schedule.first_call_delay();
        while called_at < Duration::from_secs(60) {
            calls[called_at.as_secs() as usize] += 1;
            called_at += failing_call + schedule.pause_after_failure(failing_call);
        }
    }
    calls
}

#[test]
fn hundred_nodes_whose_calls_all_fail_do_not_overload_discovery() {
    let calls = calls_by_second(100);
    assert!(
        calls.iter().all(|&count| count <= 40),
        "expected at most 40 calls in each second, got {calls:?}"
    );
    assert!(calls.iter().sum::<usize>() <= 20 * 60, "expected at most 1200 calls in a minute, got {calls:?}");
}

#[test]
fn small_fleet_retries_within_250_ms() {
    let pause = WatchSchedule::new(1, 3, true).pause_after_failure(Duration::ZERO);
    assert!(pause < Duration::from_millis(250));
}

#[test]
fn first_list_is_requested_before_it_counts_as_notified_in_any_fleet() {
    for seed in 0..300 {
        let mut schedule = WatchSchedule::new(seed, 300, true);
        assert!(schedule.first_call_delay() + FIRST_RESPONSE_TIME <= NOTIFIED_AFTER);
        assert!(
            schedule.pause_before_first_list() + FULL_LIST_OVERDUE_AFTER <= Duration::from_secs(1),
            "pause and call should take at most 1 s, since the list is due 4 s after a move"
        );
        for _ in 0..9 {
            let pause = schedule.pause_after_failure(Duration::ZERO);
            assert!(pause <= NOTIFIED_AFTER * MAX_PAUSE_FACTOR * 3 / 2);
        }
    }
}

#[test]
fn failed_call_is_retried_before_its_missed_changes_count_as_notified_in_any_fleet() {
    // The calls are refused, time out as at an overloaded service, or end because discovery is silent.
    let call_times = [0, 2_000, 5_000].map(Duration::from_millis);
    for nodes in [1, 4, 30, 100, 300, 5_700] {
        for seed in 0..50 {
            for call_time in call_times {
                let mut schedule = WatchSchedule::new(seed, nodes, true);
                let pauses = (0..9).map(|_| schedule.pause_after_failure(call_time));
                let longest = pauses.max().unwrap_or_default();
                assert!(
                    call_time + longest + RETRY_RESPONSE_TIME <= NOTIFIED_AFTER,
                    "{nodes} nodes, failure after {call_time:?}: pause of {longest:?} is too long"
                );
            }
        }
    }
}

#[test]
fn call_is_overdue_later_while_a_list_arrives_and_not_for_a_silent_agent() {
    let began_at = Instant::now();
    for wait in [FULL_LIST_OVERDUE_AFTER, FIRST_RESPONSE_TIME] {
        let timer = OverdueTimer::new(began_at, wait);
        let deadline = began_at + wait;
        assert_eq!(
            timer.deadline(),
            deadline,
            "deadline without a response should be the start plus the wait"
        );
        timer.bytes_arrived(began_at);
        assert_eq!(timer.deadline(), deadline, "bytes that arrive early should not postpone the deadline");
        timer.bytes_arrived(deadline);
        assert_eq!(timer.deadline(), deadline + MAX_RESPONSE_PAUSE);
        let latest = deadline + MAX_POSTPONEMENT;
        timer.bytes_arrived(latest);
        assert_eq!(
            timer.deadline(),
            latest,
            "deadline should not be postponed by more than MAX_POSTPONEMENT"
        );
    }
    assert!(FULL_LIST_OVERDUE_AFTER + MAX_POSTPONEMENT <= NOTIFIED_AFTER_MOVE);
    assert!(FIRST_RESPONSE_TIME + MAX_POSTPONEMENT <= NOTIFIED_AFTER);
}

#[test]
fn watch_with_a_slow_response_leaves_time_for_the_next_call() {
    let began_at = Instant::now();
    let timer = OverdueTimer::new(began_at, WATCH_OVERDUE_AFTER);
    timer.bytes_arrived(began_at + NOTIFIED_AFTER);
    let latest = timer.deadline();
    assert!(latest > began_at + WATCH_OVERDUE_AFTER);
    assert!(latest + RETRY_RESPONSE_TIME <= began_at + NOTIFIED_AFTER);
}

/// Guards against a discovery that is never heard because each call is given up before its response.
#[test]
fn no_call_is_given_up_before_its_changes_count_as_notified() {
    assert!(FULL_LIST_TIME_LIMIT >= NOTIFIED_AFTER);
    let latest_change = Duration::from_secs(4);
    assert!(WATCH_TIME_LIMIT >= latest_change + NOTIFIED_AFTER);
}

#[test]
fn agent_is_called_without_delay_in_any_fleet() {
    for seed in 0..300 {
        let mut schedule = WatchSchedule::new(seed, 300, false);
        assert_eq!(schedule.first_call_delay(), Duration::ZERO);
        for _ in 0..9 {
            assert!(schedule.pause_after_failure(Duration::ZERO) <= AGENT_MAX_PAUSE * 3 / 2);
        }
    }
}
