//! How nodes send attempts to endpoints, and how attempts end at their nodes.

use edge_node::decision::{EndedAttempt, EndpointId, Event, Micros, Outcome, RequestId};

use super::event::{EndOrigin, EndpointProcess, WorldEvent};
use super::World;
use crate::fleet::endpoint::{AttemptId, ProcessState};
use crate::fleet::node::{EndpointIndex, NodeIndex};
use crate::fleet::random::exponential;
use crate::fleet::request::{request_number, Attempt, FinalResult};

/// An attempt ends at the latest this long before the client's deadline, as in a real node.
const ATTEMPT_MARGIN: Micros = 25_000;
/// The shortest time limit for establishing a connection, as in a real node.
const MIN_CONNECT_TIMEOUT: Micros = 60_000;

impl World {
    /// Starts an attempt. It times out after `timeout`, or earlier if [`ATTEMPT_MARGIN`] before the client's
    /// deadline is reached. A `timeout` of 0 means only the latter.
    ///
    /// Returns the attempt's end if it can't be sent: the endpoint does not exist, the try has its result or
    /// no time left, or it has made its maximum number of attempts. Returns `None` if the attempt is sent or
    /// the try is over.
    pub(super) fn start_attempt(
        &mut self,
        node: NodeIndex,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Micros,
    ) -> Option<Event> {
        let now = self.queue.now();
        let number = request_number(&request);
        let index = self.endpoint_index.get(&endpoint.0).copied();
        let pending = self.pending_tries.get_mut(&number)?;
        let attempt = AttemptId { try_number: number, number: pending.attempts.len() as u32 };
        let latest_end = pending.client.deadline.saturating_sub(ATTEMPT_MARGIN);
        let within_limits = attempt.number < self.settings.limits.max_attempts && now < latest_end;
        let Some(index) = index.filter(|_| within_limits && !pending.completed) else {
            let endpoint_index = index.unwrap_or(0);
            let unsent = Attempt { endpoint: endpoint_index, sent_at: now, in_flight: false, incarnation: 0 };
            pending.attempts.push(unsent);
            return Some(Event::AttemptEnded(EndedAttempt {
                request,
                attempt_number: attempt.number,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: 0,
                request_completed: pending.completed,
                final_units: None,
            }));
        };
        let incarnation = self.endpoints[index].incarnation;
        pending.attempts.push(Attempt { endpoint: index, sent_at: now, in_flight: true, incarnation });
        self.charge_admission(number);
        self.measure_attempt(node, index);
        let ends_at = if timeout > 0 { latest_end.min(now + timeout) } else { latest_end };
        self.queue.schedule(ends_at, WorldEvent::AttemptTimesOut(attempt));
        self.transmit(attempt, node, index);
        None
    }

    /// Ends an attempt at its node and returns the event for the node's decision engine. Returns `None` if
    /// the attempt is not in flight.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) -> Option<Event> {
        let now = self.queue.now();
        let pending = self.pending_tries.get_mut(&attempt.try_number)?;
        let sent = pending.attempts.get_mut(attempt.number as usize)?;
        if !sent.in_flight {
            return None;
        }
        sent.in_flight = false;
        let was_completed = pending.completed;
        let ended = EndedAttempt {
            request: pending.id.clone(),
            attempt_number: attempt.number,
            endpoint: self.endpoints[sent.endpoint].id,
            outcome,
            elapsed: now.saturating_sub(sent.sent_at),
            request_completed: was_completed || outcome == Outcome::Ok,
            final_units: None,
        };
        self.measurements.attempt_ended(now, outcome);
        if !was_completed && outcome == Outcome::Ok {
            self.complete_try(attempt.try_number, FinalResult::Served, 0);
        }
        Some(Event::AttemptEnded(ended))
    }

    /// Charges a try to the admission bucket of its account, unless an earlier attempt of the try charged it.
    fn charge_admission(&mut self, number: u64) {
        let Some(pending) = self.pending_tries.get_mut(&number) else { return };
        if pending.admission.is_some() {
            return;
        }
        let units = pending.client.units;
        let account = &mut self.accounts[pending.client.account];
        let plan = &self.settings.plans[account.plan];
        let quota = account.charge_admission(self.queue.now(), plan, units);
        pending.admission = Some(quota);
        if pending.client.measured && plan.quota_units_per_second > 0.0 {
            self.measurements.try_admitted(units, quota);
        }
    }

    /// Counts an attempt that is sent now, if now is in the measured time.
    fn measure_attempt(&mut self, node: NodeIndex, endpoint: EndpointIndex) {
        if !self.scenario.is_measured(self.queue.now()) {
            return;
        }
        let node_zone = self.nodes[node].zone;
        let endpoint_zone = self.endpoints[endpoint].zone;
        let crosses_regions = !self.network.same_region(node_zone, endpoint_zone);
        self.measurements.attempt_started(node_zone != endpoint_zone, crosses_regions);
        if self.nodes[node].endpoints_used.insert(endpoint) {
            self.endpoints[endpoint].sending_nodes += 1;
        }
    }

    /// Sends an attempt over an idle connection, or over a new connection if none is idle.
    fn transmit(&mut self, attempt: AttemptId, node: NodeIndex, endpoint: EndpointIndex) {
        let oldest = self.oldest_idle_since();
        let target = &self.endpoints[endpoint];
        let idle_connections = &mut self.nodes[node].idle_connections;
        idle_connections.drop_expired(endpoint, oldest);
        if target.state == ProcessState::Dead {
            // The connections to the process were closed when it exited.
            idle_connections.drop_other_incarnations(endpoint, target.incarnation);
        }
        match idle_connections.take(endpoint) {
            Some(incarnation) => self.send_over_idle(attempt, node, endpoint, incarnation),
            None => self.send_over_new(attempt, node, endpoint),
        }
    }

    fn send_over_idle(
        &mut self,
        attempt: AttemptId,
        node: NodeIndex,
        endpoint: EndpointIndex,
        incarnation: u32,
    ) {
        if self.is_unresponsive(node, endpoint) {
            // No response comes back. The node's time limit ends the attempt.
            return;
        }
        let now = self.queue.now();
        let delay = self.delay(node, endpoint);
        let current = self.endpoints[endpoint].incarnation;
        if incarnation != current {
            // The endpoint has restarted since the connection was established, and its new process resets it.
            self.nodes[node].idle_connections.drop_other_incarnations(endpoint, current);
            self.schedule_failure(now + 2 * delay, attempt, Outcome::Reset);
            return;
        }
        let work = self.draw_work();
        self.schedule_arrival(now + delay, attempt, endpoint, work);
    }

    fn send_over_new(&mut self, attempt: AttemptId, node: NodeIndex, endpoint: EndpointIndex) {
        let now = self.queue.now();
        if self.is_unresponsive(node, endpoint) {
            let timeout = self.connect_timeout(attempt);
            return self.schedule_failure(now + timeout, attempt, Outcome::ConnectFailed);
        }
        let delay = self.delay(node, endpoint);
        if self.endpoints[endpoint].state == ProcessState::Dead {
            return self.schedule_failure(now + 2 * delay, attempt, Outcome::ConnectFailed);
        }
        self.measurements.connection_opened(now);
        let work = self.draw_work() + self.scenario.handshake_us as f64;
        // The handshake takes one round trip before the request is sent.
        self.schedule_arrival(now + 3 * delay, attempt, endpoint, work);
    }

    /// Returns the time limit for establishing a connection: a quarter of the time left for the request, but
    /// at least [`MIN_CONNECT_TIMEOUT`] and at most the connect timeout of the settings.
    fn connect_timeout(&self, attempt: AttemptId) -> Micros {
        let pending = self.pending_tries.get(&attempt.try_number);
        let deadline = pending.map_or(0, |pending| pending.client.deadline);
        let time_left = deadline.saturating_sub(self.queue.now());
        self.settings.limits.connect_timeout.min((time_left / 4).max(MIN_CONNECT_TIMEOUT))
    }

    /// Returns whether an endpoint does not respond to a node: it is unresponsive, or the network does not
    /// connect them.
    fn is_unresponsive(&self, node: NodeIndex, endpoint: EndpointIndex) -> bool {
        self.endpoints[endpoint].state == ProcessState::Unresponsive || !self.reachable(node, endpoint)
    }

    fn schedule_arrival(&mut self, at: Micros, attempt: AttemptId, endpoint: EndpointIndex, work: f64) {
        let process = EndpointProcess { endpoint, incarnation: self.endpoints[endpoint].incarnation };
        self.queue.schedule(at, WorldEvent::AttemptReachesEndpoint { process, attempt, work });
    }

    fn schedule_failure(&mut self, at: Micros, attempt: AttemptId, outcome: Outcome) {
        let origin = EndOrigin::Node;
        self.queue.schedule(at, WorldEvent::AttemptEnds { attempt, outcome, origin });
    }

    /// Draws the work of a request, in microseconds of one core.
    fn draw_work(&mut self) -> f64 {
        let drawn = exponential(&mut self.random);
        let spread = self.scenario.work_spread;
        self.endpoint_model.mean_work * (1.0 - spread + spread * drawn)
    }
}
