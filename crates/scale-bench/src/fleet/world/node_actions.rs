//! Delivers events to the decision engines of the nodes and performs the actions that they return.

use std::collections::VecDeque;

use edge_node::decision::{Action, EndpointId, Event, Micros, Outcome, RequestId};

use super::event::{EndOrigin, WorldEvent};
use super::World;
use crate::fleet::endpoint::{AttemptId, ProcessState};
use crate::fleet::node::{NodeIndex, NodeProcess};
use crate::fleet::request::{request_number, FinalResult};

/// Time that the discovery agent, which runs on the node's machine, takes to respond.
const AGENT_DELAY: Micros = 1_000;
/// Time from the start of a probe to its end.
const PROBE_DURATION: Micros = 250_000;

impl World {
    /// Delivers an event to a node's engine and performs the resulting actions. If an action immediately
    /// causes another event, that event is delivered after all actions of the earlier event are performed, as
    /// in a real node.
    pub(super) fn deliver(&mut self, node: NodeIndex, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let now = self.queue.now();
            self.nodes[node].engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(node, action));
            }
        }
    }

    /// Delivers an event to a process of a node, or drops it if the process has ended.
    pub(super) fn deliver_to_process(&mut self, process: NodeProcess, event: Event) {
        if self.is_running(process) {
            self.deliver(process.node, event);
        }
    }

    /// Performs an action and returns the event that it immediately causes, if any.
    fn perform(&mut self, node: NodeIndex, action: Action) -> Option<Event> {
        let now = self.queue.now();
        let process = NodeProcess { node, incarnation: self.nodes[node].incarnation };
        match action {
            Action::StartAttempt { request, endpoint, timeout } => {
                return self.start_attempt(node, request, endpoint, timeout);
            }
            Action::Reject { request, retry_after } => {
                self.complete_try(request_number(&request), FinalResult::Rejected, retry_after);
            }
            Action::Fail { request } => {
                self.complete_try(request_number(&request), FinalResult::Failed, 0);
            }
            Action::CancelAttempt { request, attempt_number } => {
                return self.cancel_attempt(&request, attempt_number);
            }
            Action::ProbeEndpoint { endpoint } => self.probe(process, endpoint),
            Action::IncrementCounter { key, amount, keep_for } => {
                self.call_counter(process, key, amount, keep_for);
            }
            Action::SetTimer { id, after } => {
                self.queue.schedule(now + after, WorldEvent::TimerFires { process, id });
            }
            Action::FetchEndpoints => {
                self.queue.schedule(now + AGENT_DELAY, WorldEvent::SnapshotReachesNode(process));
            }
            // Changes of the list are delivered to every node from the start.
            Action::WatchEndpoints => {}
        }
        None
    }

    /// Cancels an attempt and returns its end. Returns `None` if the attempt is not in flight.
    fn cancel_attempt(&mut self, request: &RequestId, attempt_number: u32) -> Option<Event> {
        let attempt = AttemptId { try_number: request_number(request), number: attempt_number };
        let endpoint = self.pending_tries.get(&attempt.try_number)?.in_flight(attempt)?.endpoint;
        self.endpoints[endpoint].drop_queued(attempt);
        self.end_attempt(attempt, Outcome::Cancelled)
    }

    /// Starts a probe. It succeeds if the endpoint is up and the network connects the node with it; otherwise
    /// it times out.
    fn probe(&mut self, process: NodeProcess, endpoint: EndpointId) {
        let index = self.endpoint_index.get(&endpoint.0).copied();
        let responds = index.is_some_and(|index| {
            self.reachable(process.node, index) && self.endpoints[index].state == ProcessState::Up
        });
        let outcome = if responds { Outcome::Ok } else { Outcome::TimedOut };
        let at = self.queue.now() + PROBE_DURATION;
        self.queue.schedule(at, WorldEvent::ProbeCompletes { process, endpoint, outcome });
    }

    /// Handles the end of an attempt at its node. The end is ignored if the attempt is not in flight.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, outcome: Outcome, origin: EndOrigin) {
        let Some(pending) = self.pending_tries.get(&attempt.try_number) else { return };
        let Some(in_flight) = pending.in_flight(attempt) else { return };
        let node = pending.node;
        let endpoint = in_flight.endpoint;
        let incarnation = in_flight.incarnation;
        let from_endpoint = origin == EndOrigin::Endpoint;
        // No event reaches a process that has ended, and no response or reset crosses the border of an
        // isolated region.
        if pending.abandoned || from_endpoint && !self.reachable(node, endpoint) {
            return;
        }
        if outcome == Outcome::TimedOut {
            self.endpoints[endpoint].drop_queued(attempt);
        }
        if from_endpoint && outcome != Outcome::Reset {
            let now = self.queue.now();
            self.nodes[node].idle_connections.keep(endpoint, now, incarnation);
        }
        if let Some(event) = self.end_attempt(attempt, outcome) {
            self.deliver(node, event);
            self.remove_if_over(attempt.try_number);
        }
    }

    /// Ends an attempt whose time limit is reached, if it is still in flight.
    pub(super) fn attempt_timed_out(&mut self, attempt: AttemptId) {
        self.attempt_ended(attempt, Outcome::TimedOut, EndOrigin::Node);
    }
}
