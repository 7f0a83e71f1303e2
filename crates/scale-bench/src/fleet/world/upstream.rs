//! Simulates what happens at endpoints: requests arrive and are completed, and processes end and start.

use edge_node::decision::{EndpointId, EndpointState, Outcome};
use rand::Rng;

use super::event::{EndOrigin, EndpointProcess, WorldEvent};
use super::World;
use crate::fleet::endpoint::{Arrival, AttemptId, IncomingRequest, ModelEndpoint, ProcessState};
use crate::fleet::node::EndpointIndex;

impl World {
    /// Handles the arrival of an attempt at its endpoint. An unresponsive or unreachable endpoint ignores the
    /// attempt. If the endpoint is dead, or the attempt was sent to an earlier process, its connection is
    /// reset.
    pub(super) fn attempt_arrived(&mut self, process: EndpointProcess, attempt: AttemptId, work: f64) {
        let now = self.queue.now();
        let index = process.endpoint;
        let Some(pending) = self.pending_tries.get(&attempt.try_number) else { return };
        let node = pending.node;
        let state = self.endpoints[index].state;
        if !self.reachable(node, index) || state == ProcessState::Unresponsive {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        if state == ProcessState::Dead || endpoint.incarnation != process.incarnation {
            return self.respond(index, attempt, Outcome::Reset);
        }
        if self.scenario.is_measured(now) {
            endpoint.received += 1;
        }
        let sender_notified = self.nodes[node].list_revision > endpoint.revision_before_start;
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

    /// Handles a wake-up of an endpoint, which responds to the requests that are done. Only the latest
    /// scheduled wake-up has an effect.
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

    /// Makes an endpoint unresponsive. The requests that it held never get a response, so the nodes' time
    /// limits end their attempts.
    pub(super) fn hang_endpoint(&mut self, index: EndpointIndex) {
        self.endpoints[index].take_down(ProcessState::Unresponsive);
        self.schedule_loss_detection(index);
    }

    /// Makes the process of an endpoint exit, which resets the connections of the requests that it held.
    pub(super) fn kill_endpoint(&mut self, index: EndpointIndex) {
        for attempt in self.endpoints[index].take_down(ProcessState::Dead) {
            self.respond(index, attempt, Outcome::Reset);
        }
    }

    /// Starts an unresponsive endpoint again under its old id. It has to warm up.
    pub(super) fn restart_endpoint(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.state == ProcessState::Unresponsive {
            endpoint.start(self.queue.now(), self.list.revision());
            self.cold_starts += 1;
            self.publish(index, EndpointState::Active);
        }
    }

    /// Starts a new endpoint in a zone. It has to warm up.
    pub(super) fn start_new_endpoint(&mut self, zone: u32) {
        let id = EndpointId(self.random.random());
        let endpoint = ModelEndpoint::new(id, zone, self.queue.now(), self.list.revision());
        let index = self.add_endpoint(endpoint);
        self.cold_starts += 1;
        self.publish(index, EndpointState::Active);
    }

    /// Schedules the next wake-up of an endpoint, if it runs any request. Earlier wake-ups no longer have an
    /// effect.
    fn schedule_wake_up(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if let Some(at) = endpoint.plan_wake_up(&self.endpoint_model, self.queue.now()) {
            let wake_up_number = endpoint.wake_up_number;
            self.queue.schedule(at, WorldEvent::EndpointWakesUp { endpoint: index, wake_up_number });
        }
    }

    /// Sends an endpoint's response, or the reset of a connection to it, to the node of the attempt.
    fn respond(&mut self, index: EndpointIndex, attempt: AttemptId, outcome: Outcome) {
        let Some(pending) = self.pending_tries.get(&attempt.try_number) else { return };
        let at = self.queue.now() + self.delay(pending.node, index);
        let origin = EndOrigin::Endpoint;
        self.queue.schedule(at, WorldEvent::AttemptEnds { attempt, outcome, origin });
    }
}
