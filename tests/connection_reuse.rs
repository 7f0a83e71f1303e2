//! How long a connection may have been idle and still be used again.

use std::time::Duration;

use edge_node::net::upstream::reuse::ReuseLimit;

#[test]
fn idle_ages_at_which_connections_break_are_not_used_until_that_is_long_ago() {
    let reuse = ReuseLimit::new();
    let young = Duration::from_millis(20);
    let old = Duration::from_millis(200);
    for number in 0..60 {
        // One in twenty breaks, whatever the age.
        reuse.request_ended(None, number % 20 == 0);
        reuse.request_ended(Some(young), number % 20 == 0);
    }
    assert!(reuse.allows(young) && reuse.allows(old));
    for number in 0..12 {
        reuse.request_ended(Some(old), number % 3 == 0);
    }
    assert!(reuse.allows(young) && !reuse.allows(old) && !reuse.allows(old * 10));
    for _second in 0..60 {
        reuse.decay();
    }
    assert!(reuse.allows(old));
}

#[test]
fn idle_connections_are_used_where_new_ones_break_as_often() {
    let reuse = ReuseLimit::new();
    let idle_for = Duration::from_millis(200);
    for number in 0..90 {
        reuse.request_ended(None, number % 3 == 0);
        reuse.request_ended(Some(idle_for), number % 3 == 0);
    }
    assert!(reuse.allows(idle_for));
}
