//! The pace of calls to discovery, and the numbers of app servers.

use std::time::Duration;

use edge_node::net::discovery::endpoint_id::endpoint_id;
use edge_node::net::discovery::schedule::{WatchSchedule, AGENT_MAX_PAUSE, MAX_PAUSE_FACTOR};
use edge_node::net::discovery::timeout::{
    WatchTimeout, FETCH_TIMEOUT, FIRST_CALL_TIMEOUT, MAX_RESPONSE_PAUSE, MAX_TIMEOUT_EXTENSION,
    NOTIFIED_AFTER, RETRY_RESPONSE_TIME, WATCH_TIMEOUT,
};

/// Calls by second of a fleet whose calls all fail after 2 s, as they do at a service that is full.
fn calls(nodes: u32) -> Vec<usize> {
    let mut calls = vec![0; 60];
    for seed in 0..u64::from(nodes) {
        let mut pace = WatchSchedule::new(seed, nodes, true);
        let mut at = pace.first_call_delay();
        while at < Duration::from_secs(60) {
            calls[at.as_secs() as usize] += 1;
            at += Duration::from_secs(2) + pace.pause_after_failure(Duration::from_secs(2));
        }
    }
    calls
}

#[test]
fn a_hundred_nodes_whose_calls_all_fail_do_not_crowd_discovery() {
    let calls = calls(100);
    assert!(calls.iter().all(|&n| n <= 40), "calls by second: {calls:?}");
    assert!(calls.iter().sum::<usize>() <= 20 * 60, "calls by second: {calls:?}");
    assert!(
        WatchSchedule::new(1, 3, true).pause_after_failure(Duration::ZERO) < Duration::from_millis(250),
        "few nodes need not wait"
    );
}

#[test]
fn however_many_the_nodes_a_list_is_asked_for_before_it_counts_as_told() {
    for seed in 0..300 {
        let mut pace = WatchSchedule::new(seed, 300, true);
        assert!(pace.first_call_delay() + FETCH_TIMEOUT <= NOTIFIED_AFTER);
        assert!(
            pace.pause_before_first_list() + FIRST_CALL_TIMEOUT <= Duration::from_secs(1),
            "after a move it has 4 s"
        );
        assert!((0..9)
            .all(|_| pace.pause_after_failure(Duration::ZERO) <= NOTIFIED_AFTER * MAX_PAUSE_FACTOR * 3 / 2));
    }
}

#[test]
fn a_list_that_goes_on_coming_is_waited_for_and_a_silent_agent_is_not() {
    let begun = tokio::time::Instant::now();
    for wait in [FIRST_CALL_TIMEOUT, FETCH_TIMEOUT] {
        let (patience, end) = (WatchTimeout::new(begun, wait), begun + wait);
        assert_eq!(patience.deadline(), end, "given up as if nothing were ever to come");
        assert_eq!(
            patience.deadline_after_bytes(begun),
            end,
            "what comes early makes nobody wait for longer"
        );
        assert_eq!(patience.deadline_after_bytes(end), end + MAX_RESPONSE_PAUSE);
        assert_eq!(
            patience.deadline_after_bytes(end + MAX_TIMEOUT_EXTENSION),
            end + MAX_TIMEOUT_EXTENSION,
            "bytes in drops are no list"
        );
    }
    assert!(FIRST_CALL_TIMEOUT + MAX_TIMEOUT_EXTENSION <= Duration::from_secs(4), "after a move it has 4 s");
    let drops = WatchTimeout::new(begun, WATCH_TIMEOUT).deadline_after_bytes(begun + NOTIFIED_AFTER);
    assert!(
        drops > begun + WATCH_TIMEOUT && drops + RETRY_RESPONSE_TIME <= begun + NOTIFIED_AFTER,
        "a watch whose answer drips"
    );
    assert!(FETCH_TIMEOUT + MAX_TIMEOUT_EXTENSION <= NOTIFIED_AFTER);
}

#[test]
fn an_agent_on_the_own_machine_is_watched_at_once_in_any_fleet() {
    for seed in 0..300 {
        let mut pace = WatchSchedule::new(seed, 300, false);
        assert_eq!(pace.first_call_delay(), Duration::ZERO);
        assert!((0..9).all(|_| pace.pause_after_failure(Duration::ZERO) <= AGENT_MAX_PAUSE * 3 / 2));
    }
}

#[test]
fn a_name_gives_the_same_number_everywhere() {
    // Published values of FNV-1a and of one-at-a-time: the number must not change
    // from build to build, or nodes would differ.
    let halves = |name| (endpoint_id(name).0 >> 32, endpoint_id(name).0 & 0xffff_ffff);
    assert_eq!(halves("").0, 0x811c_9dc5);
    assert_eq!(halves("a"), (0xe40c_292c, 0xca2e_9442));
    assert_eq!(halves("foobar").0, 0xbf9c_f968);
    assert_eq!(halves("The quick brown fox jumps over the lazy dog").1, 0x519e_91f5);
}
