//! A counter service without a socket.

use std::collections::BTreeMap;

use edge_node::decision::{Action, CounterKey, Outcome};

use super::actions::counter_call;
use super::node::NodeUnderTest;

/// A counter service that replies at once.
#[derive(Default)]
pub struct FakeCounter {
    totals: BTreeMap<CounterKey, f64>,
}

impl FakeCounter {
    /// Adds to a counter and returns its total.
    pub fn add(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }

    /// Drops all counters, as a restart of the service does.
    pub fn flush(&mut self) {
        self.totals.clear();
    }

    /// Replies to every call until none is left. Returns all actions, with the given ones.
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
