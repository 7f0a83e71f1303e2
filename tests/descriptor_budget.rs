//! Which idle client connections are closed to free descriptors.

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
        budget.connection_opened();
    }
    assert!(budget.close_idle_downstream(), "a few new ones must not keep it");
    budget.register_idle(Rc::default(), true);
    budget.connection_opened();
    assert!(!budget.close_idle_downstream(), "a flood must not push it out");
    budget.register_idle(Rc::default(), false);
    assert!(budget.close_idle_downstream(), "one that never sent a request goes first");
    budget.connection_classified();
    assert!(budget.close_idle_downstream());
}

/// Whether a notification waits to be taken.
fn is_notified(notify: &Notify) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    pin!(notify.notified()).poll(&mut context).is_ready()
}

#[test]
fn partial_request_gives_way_once_it_is_due_and_before_connections_in_use() {
    let budget = DescriptorBudget::new(RESERVED_DESCRIPTORS + 20);
    let now = Instant::now();
    let due = Rc::new(Notify::new());
    budget.register_partial_request(due.clone(), now);
    let later = budget.register_partial_request(Rc::default(), now + Duration::from_secs(3_600));
    budget.register_idle(Rc::default(), true);
    assert!(budget.close_idle_downstream());
    assert!(is_notified(&due), "the partial request that is due goes first");
    assert!(budget.close_idle_downstream(), "then the idle connection");
    assert!(!budget.close_idle_downstream(), "a partial request that is not due stays");
    budget.unregister_partial_request(later);
    budget.register_partial_request(Rc::default(), now);
    budget.register_idle(Rc::default(), false);
    assert!(budget.close_idle_downstream(), "one that never sent a request goes first");
    assert!(budget.close_idle_downstream());
    assert!(!budget.close_idle_downstream());
}
