//! Discovery: how changes of the endpoint list are detected, published and delivered to the nodes.

use edge_node::decision::{EndpointState, EndpointUpdateKind, Event, Micros};
use rand::Rng;

use super::event::{EndpointProcess, WorldEvent};
use super::World;
use crate::fleet::endpoint::ProcessState;
use crate::fleet::node::{EndpointIndex, NodeIndex, NodeProcess};
use crate::fleet::random::exponential;

impl World {
    /// Publishes a change of an endpoint. The change reaches each node after a delay that is drawn for the
    /// node, and not before earlier changes.
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

    /// Schedules the detection that the endpoint's latest process has ended. It has to have ended already, so
    /// that `incarnation` is the one after the loss.
    pub(super) fn schedule_loss_detection(&mut self, endpoint: EndpointIndex) {
        let process = EndpointProcess { endpoint, incarnation: self.endpoints[endpoint].incarnation };
        let at = self.queue.now() + self.scenario.detect_ms * 1_000;
        self.queue.schedule(at, WorldEvent::EndpointLossDetected(process));
    }

    /// Removes an endpoint whose process has ended from the list, unless the endpoint has been started or
    /// lost again since.
    pub(super) fn endpoint_loss_detected(&mut self, process: EndpointProcess) {
        let endpoint = &self.endpoints[process.endpoint];
        if endpoint.state != ProcessState::Up && endpoint.incarnation == process.incarnation {
            self.publish(process.endpoint, EndpointState::Removed);
        }
    }

    /// Delivers the list changes up to `revision` to a node's discovery agent, and from it to the node if
    /// that is up.
    pub(super) fn deliver_delta(&mut self, node: NodeIndex, revision: usize) {
        let target = &mut self.nodes[node];
        let known_revision = target.list_revision;
        target.list_revision = known_revision.max(revision);
        if target.is_up() && known_revision < revision {
            let entries = self.list.delta(known_revision, revision);
            self.deliver(node, Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
        }
    }

    /// Delivers the whole list that a node's process fetched from its discovery agent.
    pub(super) fn deliver_snapshot(&mut self, process: NodeProcess) {
        if self.is_running(process) {
            let entries = self.list.snapshot(self.nodes[process.node].list_revision);
            let kind = EndpointUpdateKind::Snapshot;
            self.deliver(process.node, Event::EndpointsUpdated { kind, entries });
        }
    }

    /// Starts a new process of a node with empty state and a stale list, in which entries for dead endpoints
    /// replace some entries of the list that the node's discovery agent has.
    pub(super) fn start_node(&mut self, node: NodeIndex) {
        let engine = self.new_engine(node, self.nodes[node].incarnation);
        self.nodes[node].start(self.queue.now(), engine);
        let mut entries = self.list.snapshot(self.nodes[node].list_revision);
        let stale_count = (entries.len() as f64 * self.scenario.old_list_share).round() as usize;
        for &stale in self.stale_endpoints.iter().take(stale_count) {
            let replaced = self.random.random_range(0..entries.len());
            entries[replaced] = self.endpoints[stale].list_entry(EndpointState::Active);
        }
        self.deliver(node, Event::EndpointsUpdated { kind: EndpointUpdateKind::StaleSnapshot, entries });
    }
}
