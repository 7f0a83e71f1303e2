//! Carries out what the failure plan says.

use edge_node::decision::EndpointState;
use rand::Rng;

use super::event::WorldEvent;
use super::World;
use crate::fleet::failure::{FailureEffect, FailureStep, FleetLayout};
use crate::fleet::node::{EndpointIndex, NodeIndex, NodeState};
use crate::fleet::request::FinalResult;

impl World {
    /// Carries out a step of the failure.
    pub(super) fn carry_out(&mut self, step: FailureStep) {
        if matches!(step, FailureStep::Start) {
            self.reset_endpoints_used();
        }
        let layout = FleetLayout {
            node_zones: self.nodes.iter().map(|node| node.zone).collect(),
            endpoint_zones: self.endpoints.iter().map(|endpoint| endpoint.zone).collect(),
        };
        for effect in self.failure_plan.effects(step, &mut self.random, &layout) {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: FailureEffect) {
        match effect {
            FailureEffect::StopNode(node) => self.end_node(node, NodeState::Stopped),
            FailureEffect::VanishNode(node) => self.end_node(node, NodeState::Vanished(self.queue.now())),
            FailureEffect::BootNode(node) => self.boot_node(node),
            FailureEffect::VanishEndpoint(endpoint) => self.vanish_endpoint(endpoint),
            FailureEffect::RestartEndpoint(endpoint) => self.restart_endpoint(endpoint),
            FailureEffect::DrainEndpoint(endpoint) => self.publish(endpoint, EndpointState::Draining),
            FailureEffect::ReplaceEndpoint(endpoint) => self.replace_endpoint(endpoint),
            FailureEffect::IsolateRegion(region) => self.network.isolate(region),
            FailureEffect::SetCounterMode(mode) => self.counter.set_mode(mode),
        }
    }

    /// Which node uses which endpoint is counted from the start of a failure.
    fn reset_endpoints_used(&mut self) {
        for node in &mut self.nodes {
            node.endpoints_used.clear();
        }
        for endpoint in &mut self.endpoints {
            endpoint.sending_nodes = 0;
        }
    }

    /// A node's process ends; the requests that it had accepted are lost.
    fn end_node(&mut self, node: NodeIndex, state: NodeState) {
        if !self.nodes[node].is_up() {
            return;
        }
        self.nodes[node].end(state);
        for number in self.tries_at(node) {
            let Some(pending) = self.pending_tries.get_mut(&number) else { continue };
            pending.abandoned = true;
            if pending.completed {
                self.remove_if_over(number);
            } else if state == NodeState::Stopped {
                // The client sees its connection break at once.
                self.complete_try(number, FinalResult::Lost, 0);
            }
        }
    }

    /// The tries at a node, in the order of their numbers.
    fn tries_at(&self, node: NodeIndex) -> Vec<u64> {
        let at_node = self.pending_tries.iter().filter(|(_, pending)| pending.node == node);
        let mut numbers: Vec<u64> = at_node.map(|(&number, _)| number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Schedules the start of a node's process, after half to one and a half times the boot time.
    fn boot_node(&mut self, node: NodeIndex) {
        let mean = self.scenario.boot_ms * 1_000;
        let boot_time = self.random.random_range(mean / 2..=mean + mean / 2);
        self.queue.schedule(self.queue.now() + boot_time, WorldEvent::NodeStarts(node));
    }

    fn replace_endpoint(&mut self, endpoint: EndpointIndex) {
        self.publish(endpoint, EndpointState::Removed);
        self.kill_endpoint(endpoint);
        self.start_new_endpoint(self.endpoints[endpoint].zone);
    }
}
