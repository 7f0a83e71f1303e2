//! The descriptors that clients and app servers share.

use std::rc::Rc;

use edge_node::net::descriptor_budget::{DescriptorBudget, RESERVED_DESCRIPTORS};

#[test]
fn a_kept_connection_makes_room_unless_half_of_all_are_too_new_to_tell() {
    let budget = DescriptorBudget::new(RESERVED_DESCRIPTORS + 20);
    budget.register_idle(Rc::default(), true);
    (0..5).for_each(|_| budget.connection_opened());
    assert!(budget.close_idle_downstream(), "a few new ones must not keep it");
    budget.register_idle(Rc::default(), true);
    budget.connection_opened();
    assert!(!budget.close_idle_downstream(), "a flood must not push it out");
    budget.register_idle(Rc::default(), false);
    assert!(budget.close_idle_downstream(), "one that stayed silent goes first");
    budget.connection_classified();
    assert!(budget.close_idle_downstream());
}
