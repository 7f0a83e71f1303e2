//! The limit of the idle time up to which connections are reused.

use std::time::Duration;

use edge_node::net::upstream::reuse::ReuseLimit;

#[test]
fn idle_times_with_frequent_breaks_are_excluded_until_their_counts_have_decayed() {
    let reuse = ReuseLimit::new();
    let short_idle = Duration::from_millis(20);
    let long_idle = Duration::from_millis(200);
    for number in 0..60 {
        // One connection in twenty breaks, regardless of its idle time.
        reuse.request_ended(None, number % 20 == 0);
        reuse.request_ended(Some(short_idle), number % 20 == 0);
    }
    assert!(reuse.allows(short_idle) && reuse.allows(long_idle));
    for number in 0..12 {
        reuse.request_ended(Some(long_idle), number % 3 == 0);
    }
    assert!(reuse.allows(short_idle) && !reuse.allows(long_idle) && !reuse.allows(long_idle * 10));
    for _second in 0..60 {
        reuse.decay();
    }
    assert!(reuse.allows(long_idle));
}

#[test]
fn idle_connections_are_reused_if_new_ones_break_as_often() {
    let reuse = ReuseLimit::new();
    let idle_for = Duration::from_millis(200);
    for number in 0..90 {
        reuse.request_ended(None, number % 3 == 0);
        reuse.request_ended(Some(idle_for), number % 3 == 0);
    }
    assert!(reuse.allows(idle_for));
}
