//! The order in which client connections are asked to close, or to give up a partial request, to free
//! descriptors.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use edge_node::net::descriptor_budget::{DescriptorBudget, RESERVED_DESCRIPTORS};
use tokio::sync::Notify;
use tokio::time::Instant;

#[test]
fn used_idle_connection_is_closed_unless_half_of_all_are_not_classified_yet() {
    let budget = DescriptorBudget::new(RESERVED_DESCRIPTORS + 20);
    budget.register_idle(Rc::default(), true);
    for _ in 0..5 {
        budget.add_unclassified();
    }
    assert!(
        budget.evict_downstream(),
        "expected the idle connection to be closed while 5 of at most 12 connections are unclassified"
    );
    budget.register_idle(Rc::default(), true);
    budget.add_unclassified();
    assert!(
        !budget.evict_downstream(),
        "expected the used idle connection to stay while 6 of at most 12 connections are unclassified"
    );
    budget.register_idle(Rc::default(), false);
    assert!(budget.evict_downstream(), "expected the connection that never sent a request to be closed");
    budget.remove_unclassified();
    assert!(budget.evict_downstream());
}

/// Returns whether a notification is pending, and consumes it.
fn is_notified(notify: &Notify) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    pin!(notify.notified()).poll(&mut context).is_ready()
}

#[test]
fn evictable_partial_request_is_given_up_before_used_idle_connections() {
    let budget = DescriptorBudget::new(RESERVED_DESCRIPTORS + 20);
    let now = Instant::now();
    let due = Rc::new(Notify::new());
    budget.register_partial_request(due.clone(), now);
    let later = budget.register_partial_request(Rc::default(), now + Duration::from_secs(3_600));
    budget.register_idle(Rc::default(), true);
    assert!(budget.evict_downstream());
    assert!(
        is_notified(&due),
        "expected the evictable partial request to be given up before the idle connection is closed"
    );
    assert!(budget.evict_downstream(), "expected the idle connection to be closed after the partial request");
    assert!(!budget.evict_downstream(), "expected the partial request that is not evictable yet to stay");
    budget.unregister_partial_request(later);
    budget.register_partial_request(Rc::default(), now);
    budget.register_idle(Rc::default(), false);
    assert!(budget.evict_downstream(), "expected the connection that never sent a request to be closed");
    assert!(budget.evict_downstream());
    assert!(!budget.evict_downstream());
}
