//! The endpoint list: how changes are published, detected and brought to the nodes.

use edge_node::decision::{EndpointState, EndpointUpdateKind, Event, Micros};
use rand::Rng;

use super::event::{EndpointProcess, WorldEvent};
use super::World;
use crate::fleet::endpoint::ProcessState;
use crate::fleet::node::{EndpointIndex, NodeIndex, NodeProcess};
use crate::fleet::random::exponential;

impl World {
    /// Puts a change on the list. It reaches each node after a delay of the node's own, and after earlier changes.
    pub(super) fn publish(&mut self, endpoint: EndpointIndex, state: EndpointState) {
        self.list.publish(self.endpoints[endpoint].list_entry(state));
        let now = self.queue.now();
        let revision = self.list.revision();
        let mean_delay = self.scenario.list_delay_ms as f64 * 1e3;
        let max_delay = self.scenario.list_delay_most_ms * 1_000;
        for node in 0..self.nodes.len() {
            let delay = (mean_delay * exponential(&mut self.random)) as Micros;
            let current_at = &mut self.nodes[node].list_current_at;
            *current_at = (*current_at).max(now + delay.min(max_delay));
            self.queue.schedule(*current_at, WorldEvent::DeltaReachesNode { node, revision });
        }
    }

    /// Schedules when discovery detects that the endpoint's latest process has ended.
    pub(super) fn schedule_loss_detection(&mut self, endpoint: EndpointIndex) {
        let process = EndpointProcess { endpoint, incarnation: self.endpoints[endpoint].incarnation };
        let at = self.queue.now() + self.scenario.detect_ms * 1_000;
        self.queue.schedule(at, WorldEvent::EndpointLossDetected(process));
    }

    /// Discovery removes an endpoint that has not started again meanwhile.
    pub(super) fn endpoint_loss_detected(&mut self, process: EndpointProcess) {
        let endpoint = &self.endpoints[process.endpoint];
        if endpoint.state != ProcessState::Up && endpoint.incarnation == process.incarnation {
            self.publish(process.endpoint, EndpointState::Removed);
        }
    }

    /// Changes reach a node's discovery agent, and through it the node, if it is up.
    pub(super) fn deliver_delta(&mut self, node: NodeIndex, revision: usize) {
        let target = &mut self.nodes[node];
        let known_revision = target.list_revision;
        target.list_revision = known_revision.max(revision);
        if target.is_up() && known_revision < revision {
            let entries = self.list.delta(known_revision, revision);
            self.deliver(node, Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
        }
    }

    /// The whole list that a process fetched from its discovery agent reaches it.
    pub(super) fn deliver_snapshot(&mut self, process: NodeProcess) {
        if self.is_running(process) {
            let entries = self.list.snapshot(self.nodes[process.node].list_revision);
            let kind = EndpointUpdateKind::Snapshot;
            self.deliver(process.node, Event::EndpointsUpdated { kind, entries });
        }
    }

    /// A node's process starts again with empty state and a stale list, which names endpoints that have ended in
    /// place of others.
    pub(super) fn start_node(&mut self, node: NodeIndex) {
        let engine = self.new_engine(node, self.nodes[node].incarnation);
        self.nodes[node].start(self.queue.now(), engine);
        let mut entries = self.list.snapshot(self.nodes[node].list_revision);
        let wrong = (entries.len() as f64 * self.scenario.old_list_share).round() as usize;
        for &stale in self.stale_endpoints.iter().take(wrong) {
            let replaced = self.random.random_range(0..entries.len());
            entries[replaced] = self.endpoints[stale].list_entry(EndpointState::Active);
        }
        self.deliver(node, Event::EndpointsUpdated { kind: EndpointUpdateKind::StaleSnapshot, entries });
    }
}
