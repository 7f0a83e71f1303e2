//! When nodes call discovery, and how long they wait for its responses.

use std::time::Duration;

use edge_node::net::discovery::schedule::{WatchSchedule, AGENT_MAX_PAUSE, MAX_PAUSE_FACTOR};
use edge_node::net::discovery::timeout::{
    WatchTimeout, FETCH_TIMEOUT, FIRST_CALL_TIMEOUT, MAX_RESPONSE_PAUSE, MAX_TIMEOUT_EXTENSION,
    NOTIFIED_AFTER, RETRY_RESPONSE_TIME, WATCH_TIMEOUT,
};
use tokio::time::Instant;

/// After a move of discovery the list counts as notified this much later.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Calls by second of a fleet whose calls all fail after 2 s, as they do at a service that is overloaded.
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
    assert!(calls.iter().all(|&count| count <= 40), "calls by second: {calls:?}");
    assert!(calls.iter().sum::<usize>() <= 20 * 60, "calls by second: {calls:?}");
}

#[test]
fn few_nodes_call_again_soon() {
    let pause = WatchSchedule::new(1, 3, true).pause_after_failure(Duration::ZERO);
    assert!(pause < Duration::from_millis(250));
}

#[test]
fn list_is_asked_for_before_it_counts_as_notified_in_any_fleet() {
    for seed in 0..300 {
        let mut schedule = WatchSchedule::new(seed, 300, true);
        assert!(schedule.first_call_delay() + FETCH_TIMEOUT <= NOTIFIED_AFTER);
        assert!(
            schedule.pause_before_first_list() + FIRST_CALL_TIMEOUT <= Duration::from_secs(1),
            "after a move it has 4 s"
        );
        for _ in 0..9 {
            let pause = schedule.pause_after_failure(Duration::ZERO);
            assert!(pause <= NOTIFIED_AFTER * MAX_PAUSE_FACTOR * 3 / 2);
        }
    }
}

#[test]
fn failed_call_is_made_again_before_what_it_missed_counts_as_notified_in_any_fleet() {
    // Refused, timed out as at an overloaded service, and ended as silent.
    let call_times = [0, 2_000, 5_000].map(Duration::from_millis);
    for nodes in [1, 4, 30, 100, 300, 5_700] {
        for seed in 0..50 {
            for call_time in call_times {
                let mut schedule = WatchSchedule::new(seed, nodes, true);
                let pauses = (0..9).map(|_| schedule.pause_after_failure(call_time));
                let longest = pauses.max().unwrap_or_default();
                assert!(
                    call_time + longest + RETRY_RESPONSE_TIME <= NOTIFIED_AFTER,
                    "{nodes} nodes, {call_time:?}: {longest:?}"
                );
            }
        }
    }
}

#[test]
fn arriving_list_is_waited_for_and_a_silent_agent_is_not() {
    let began_at = Instant::now();
    for wait in [FIRST_CALL_TIMEOUT, FETCH_TIMEOUT] {
        let timeout = WatchTimeout::new(began_at, wait);
        let deadline = began_at + wait;
        assert_eq!(timeout.deadline(), deadline, "ends as if nothing were ever to arrive");
        assert_eq!(timeout.deadline_after_bytes(began_at), deadline, "early bytes extend nothing");
        assert_eq!(timeout.deadline_after_bytes(deadline), deadline + MAX_RESPONSE_PAUSE);
        let latest = deadline + MAX_TIMEOUT_EXTENSION;
        assert_eq!(timeout.deadline_after_bytes(latest), latest, "a trickle of bytes is no list");
    }
    assert!(FIRST_CALL_TIMEOUT + MAX_TIMEOUT_EXTENSION <= NOTIFIED_AFTER_MOVE);
    assert!(FETCH_TIMEOUT + MAX_TIMEOUT_EXTENSION <= NOTIFIED_AFTER);
}

#[test]
fn watch_whose_response_trickles_leaves_time_for_the_next_call() {
    let began_at = Instant::now();
    let timeout = WatchTimeout::new(began_at, WATCH_TIMEOUT);
    let latest = timeout.deadline_after_bytes(began_at + NOTIFIED_AFTER);
    assert!(latest > began_at + WATCH_TIMEOUT);
    assert!(latest + RETRY_RESPONSE_TIME <= began_at + NOTIFIED_AFTER);
}

#[test]
fn agent_on_the_own_machine_is_called_without_delay_in_any_fleet() {
    for seed in 0..300 {
        let mut schedule = WatchSchedule::new(seed, 300, false);
        assert_eq!(schedule.first_call_delay(), Duration::ZERO);
        for _ in 0..9 {
            assert!(schedule.pause_after_failure(Duration::ZERO) <= AGENT_MAX_PAUSE * 3 / 2);
        }
    }
}
