//! Which idle client connections are closed to free descriptors.

use std::rc::Rc;

use edge_node::net::descriptor_budget::{DescriptorBudget, RESERVED_DESCRIPTORS};

#[test]
fn a_used_idle_connection_is_closed_unless_half_of_all_are_not_classified_yet() {
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
