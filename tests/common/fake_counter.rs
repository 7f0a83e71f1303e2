//! A counter service in memory that tests call directly, without a socket.

use std::collections::BTreeMap;

use edge_node::decision::{Action, CounterKey, Outcome};

use super::actions::counter_call;
use super::node::NodeUnderTest;

/// The totals of a counter service in memory, in units.
#[derive(Default)]
pub struct InMemoryCounter {
    totals: BTreeMap<CounterKey, f64>,
}

impl InMemoryCounter {
    /// Adds `amount` to a counter and returns its new total. A counter starts at 0.
    pub fn add(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }

    /// Deletes all counters, as a restart of the service does.
    pub fn delete_all(&mut self) {
        self.totals.clear();
    }

    /// Replies to the first counter call among `actions`, then to the first one among the actions that
    /// result, until the node makes no further call. Returns the given actions and all actions that result.
    pub fn reply_to_all(&mut self, node: &mut NodeUnderTest, mut actions: Vec<Action>) -> Vec<Action> {
        let mut all_actions = actions.clone();
        while let Some(call) = counter_call(&actions) {
            let total = self.add(call.key, call.amount);
            actions = node.end_counter_call(call, Outcome::Ok, total);
            all_actions.extend(actions.clone());
        }
        all_actions
    }
}
