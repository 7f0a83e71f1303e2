//! Applies the effects of the failure plan to the simulated world.

use edge_node::decision::EndpointState;
use rand::Rng;

use super::event::WorldEvent;
use super::World;
use crate::fleet::failure::{FailureEffect, FailureStep, FleetLayout};
use crate::fleet::node::{EndpointIndex, NodeIndex, NodeState};
use crate::fleet::request::FinalResult;

impl World {
    /// Carries out a step of the failure by applying its effects.
    pub(super) fn apply_failure_step(&mut self, step: FailureStep) {
        if matches!(step, FailureStep::Start) {
            self.reset_endpoints_used();
        }
        let layout = FleetLayout {
            node_zones: self.nodes.iter().map(|node| node.zone).collect(),
            endpoint_zones: self.endpoints.iter().map(|endpoint| endpoint.zone).collect(),
        };
        for effect in self.failure_plan.effects(step, &mut self.random, &layout) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: FailureEffect) {
        match effect {
            FailureEffect::StopNode(node) => self.take_down(node, NodeState::Stopped),
            FailureEffect::HangNode(node) => self.take_down(node, NodeState::Unresponsive(self.queue.now())),
            FailureEffect::BootNode(node) => self.boot_node(node),
            FailureEffect::HangEndpoint(endpoint) => self.hang_endpoint(endpoint),
            FailureEffect::RestartEndpoint(endpoint) => self.restart_endpoint(endpoint),
            FailureEffect::DrainEndpoint(endpoint) => self.publish(endpoint, EndpointState::Draining),
            FailureEffect::ReplaceEndpoint(endpoint) => self.replace_endpoint(endpoint),
            FailureEffect::IsolateRegion(region) => self.network.isolate(region),
            FailureEffect::SetCounterMode(mode) => self.counter.set_mode(mode),
        }
    }

    /// Clears which endpoints each node has used, so that their use is counted from the start of the failure.
    fn reset_endpoints_used(&mut self) {
        for node in &mut self.nodes {
            node.endpoints_used.clear();
        }
        for endpoint in &mut self.endpoints {
            endpoint.sending_nodes = 0;
        }
    }

    /// Ends the process of a node that is up: it exits or becomes unresponsive, as `state` says. The tries to
    /// which it has not responded are lost.
    fn take_down(&mut self, node: NodeIndex, state: NodeState) {
        if !self.nodes[node].is_up() {
            return;
        }
        self.nodes[node].take_down(state);
        for number in self.tries_at(node) {
            let Some(pending) = self.pending_tries.get_mut(&number) else { continue };
            pending.abandoned = true;
            if pending.completed {
                self.remove_if_over(number);
            } else if state == NodeState::Stopped {
                // The exit of the process resets the client's connection, so the client knows at once.
                self.complete_try(number, FinalResult::Lost, 0);
            }
        }
    }

    /// Returns the numbers of the tries that were sent to a node and are not over, in ascending order.
    fn tries_at(&self, node: NodeIndex) -> Vec<u64> {
        let at_node = self.pending_tries.iter().filter(|(_, pending)| pending.node == node);
        let mut numbers: Vec<u64> = at_node.map(|(&number, _)| number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Schedules the start of a new process of a node. Its delay is drawn from 0.5 to 1.5 times the mean boot
    /// time.
    fn boot_node(&mut self, node: NodeIndex) {
        let mean = self.scenario.boot_ms * 1_000;
        let boot_time = self.random.random_range(mean / 2..=mean + mean / 2);
        self.queue.schedule(self.queue.now() + boot_time, WorldEvent::NodeStarts(node));
    }

    /// Removes an endpoint from the list, makes its process exit, and starts a new endpoint in its zone.
    fn replace_endpoint(&mut self, endpoint: EndpointIndex) {
        self.publish(endpoint, EndpointState::Removed);
        self.kill_endpoint(endpoint);
        self.start_new_endpoint(self.endpoints[endpoint].zone);
    }
}
