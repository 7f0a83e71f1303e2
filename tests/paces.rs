//! The pace of calls to discovery, and the numbers of app servers.

use std::time::Duration;

use edge_node::net::discovery::endpoints::number;
use edge_node::net::discovery::*;

/// Calls by second of a fleet whose calls all fail after 2 s, as they do at a service that is full.
fn calls(nodes: u32) -> Vec<usize> {
    let mut calls = vec![0; 60];
    for seed in 0..u64::from(nodes) {
        let mut pace = WatchSchedule::new(seed, nodes, true);
        let mut at = pace.first_call();
        while at < Duration::from_secs(60) {
            calls[at.as_secs() as usize] += 1;
            at += Duration::from_secs(2) + pace.pause(false, Duration::from_secs(2));
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
        WatchSchedule::new(1, 3, true).pause(false, Duration::ZERO) < Duration::from_millis(250),
        "few nodes need not wait"
    );
}

#[test]
fn however_many_the_nodes_a_list_is_asked_for_before_it_counts_as_told() {
    for seed in 0..300 {
        let mut pace = WatchSchedule::new(seed, 300, true);
        assert!(pace.first_call() + FETCH_WAIT <= TOLD_AFTER);
        assert!(
            pace.pause(true, FIRST_WAIT) + FIRST_WAIT <= Duration::from_secs(1),
            "after a move it has 4 s"
        );
        assert!((0..9).all(|_| pace.pause(false, Duration::ZERO) <= TOLD_AFTER * SPREAD_GROWTH * 3 / 2));
    }
}

#[test]
fn a_list_that_goes_on_coming_is_waited_for_and_a_silent_agent_is_not() {
    let begun = tokio::time::Instant::now();
    for wait in [FIRST_WAIT, FETCH_WAIT] {
        let (patience, end) = (Patience::new(begun, wait), begun + wait);
        assert_eq!(patience.silent(), end, "given up as if nothing were ever to come");
        assert_eq!(patience.heard(begun), end, "what comes early makes nobody wait for longer");
        assert_eq!(patience.heard(end), end + STALL);
        assert_eq!(patience.heard(end + LIST_WAIT), end + LIST_WAIT, "bytes in drops are no list");
    }
    assert!(FIRST_WAIT + LIST_WAIT <= Duration::from_secs(4), "after a move it has 4 s");
    let drops = Patience::new(begun, WATCH_WAIT).heard(begun + TOLD_AFTER);
    assert!(drops > begun + WATCH_WAIT && drops + ANSWER <= begun + TOLD_AFTER, "a watch whose answer drips");
    assert!(FETCH_WAIT + LIST_WAIT <= TOLD_AFTER);
}

#[test]
fn an_agent_on_the_own_machine_is_watched_at_once_in_any_fleet() {
    for seed in 0..300 {
        let mut pace = WatchSchedule::new(seed, 300, false);
        assert_eq!(pace.first_call(), Duration::ZERO);
        assert!((0..9).all(|_| pace.pause(false, Duration::ZERO) <= AGENT_PAUSE_MOST * 3 / 2));
    }
}

#[test]
fn a_name_gives_the_same_number_everywhere() {
    // Published values of FNV-1a and of one-at-a-time: the number must not change
    // from build to build, or nodes would differ.
    let halves = |name| (number(name).0 >> 32, number(name).0 & 0xffff_ffff);
    assert_eq!(halves("").0, 0x811c_9dc5);
    assert_eq!(halves("a"), (0xe40c_292c, 0xca2e_9442));
    assert_eq!(halves("foobar").0, 0xbf9c_f968);
    assert_eq!(halves("The quick brown fox jumps over the lazy dog").1, 0x519e_91f5);
}
