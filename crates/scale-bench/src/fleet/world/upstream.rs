//! What happens at the endpoints: requests arrive and are done, processes end and start.

use edge_node::decision::{EndpointId, EndpointState, Outcome};
use rand::Rng;

use super::event::{EndOrigin, EndpointProcess, WorldEvent};
use super::World;
use crate::fleet::endpoint::{Arrival, AttemptId, IncomingRequest, ModelEndpoint, ProcessState};
use crate::fleet::node::EndpointIndex;

impl World {
    /// An attempt reaches its endpoint.
    pub(super) fn attempt_arrived(&mut self, process: EndpointProcess, attempt: AttemptId, work: f64) {
        let now = self.queue.now();
        let index = process.endpoint;
        let Some(pending) = self.pending_tries.get(&attempt.request) else { return };
        let node = pending.node;
        let state = self.endpoints[index].state;
        if !self.reachable(node, index) || state == ProcessState::Vanished {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        if state == ProcessState::Dead || endpoint.incarnation != process.incarnation {
            return self.respond(index, attempt, Outcome::Reset);
        }
        if self.scenario.is_measured(now) {
            endpoint.received += 1;
        }
        let sender_notified = self.nodes[node].list_revision > endpoint.announced_after;
        let request = IncomingRequest { attempt, work, sender_notified };
        match endpoint.accept(&self.endpoint_model, now, request) {
            Arrival::Accepted => self.schedule_wake_up(index),
            Arrival::Rejected => self.respond(index, attempt, Outcome::Rejected),
            Arrival::Overloaded(cause) => {
                self.measurements.endpoint_overloaded(cause);
                self.kill_endpoint(index);
                self.respond(index, attempt, Outcome::Reset);
                self.schedule_loss_detection(index);
            }
        }
    }

    /// An endpoint responds to the requests that it has finished.
    pub(super) fn endpoint_woke_up(&mut self, index: EndpointIndex, wake_up_number: u64) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.wake_up_number != wake_up_number {
            return;
        }
        for attempt in endpoint.take_done(&self.endpoint_model, self.queue.now()) {
            self.respond(index, attempt, Outcome::Ok);
        }
        self.schedule_wake_up(index);
    }

    /// An endpoint becomes unresponsive. What it held is never answered: the nodes' time limits end it.
    pub(super) fn vanish_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints[index].end(ProcessState::Vanished);
        self.schedule_loss_detection(index);
    }

    /// An endpoint's process ends, and the connections of what it held are reset.
    pub(super) fn kill_endpoint(&mut self, index: EndpointIndex) {
        for attempt in self.endpoints[index].end(ProcessState::Dead) {
            self.respond(index, attempt, Outcome::Reset);
        }
    }

    /// A vanished endpoint starts again under its old id and has to warm up.
    pub(super) fn restart_endpoint(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.state == ProcessState::Vanished {
            endpoint.start(self.queue.now(), self.list.revision());
            self.cold_starts += 1;
            self.publish(index, EndpointState::Active);
        }
    }

    /// A new endpoint starts and has to warm up.
    pub(super) fn start_new_endpoint(&mut self, zone: u32) {
        let id = EndpointId(self.random.random());
        let endpoint = ModelEndpoint::new(id, zone, self.queue.now(), self.list.revision());
        let index = self.add_endpoint(endpoint);
        self.cold_starts += 1;
        self.publish(index, EndpointState::Active);
    }

    fn schedule_wake_up(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if let Some(at) = endpoint.plan_wake_up(&self.endpoint_model, self.queue.now()) {
            let wake_up_number = endpoint.wake_up_number;
            self.queue.schedule(at, WorldEvent::EndpointWakesUp { endpoint: index, wake_up_number });
        }
    }

    /// An endpoint's response, or the reset of a connection to it, sets out for its node.
    fn respond(&mut self, index: EndpointIndex, attempt: AttemptId, outcome: Outcome) {
        let Some(pending) = self.pending_tries.get(&attempt.request) else { return };
        let at = self.queue.now() + self.delay(pending.node, index);
        let origin = EndOrigin::Endpoint;
        self.queue.schedule(at, WorldEvent::AttemptEnds { attempt, outcome, origin });
    }
}
