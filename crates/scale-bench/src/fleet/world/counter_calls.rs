//! Calls between the nodes and the counter service.

use edge_node::decision::{CounterKey, Event, Micros, Outcome};

use super::event::{CounterCallId, WorldEvent};
use super::World;
use crate::fleet::node::NodeProcess;

/// A node replaces a connection to the counter service on which it has received nothing for this many call
/// timeouts, as a real node does.
const SILENT_TIMEOUTS: u64 = 3;

impl World {
    /// Sends a call from a node to the counter service.
    pub(super) fn call_counter(
        &mut self,
        process: NodeProcess,
        key: CounterKey,
        amount: f64,
        keep_for: Micros,
    ) {
        let now = self.queue.now();
        self.last_counter_call_number += 1;
        let call = CounterCallId { process, number: self.last_counter_call_number };
        self.measurements.counter_called(now);
        self.nodes[process.node].counter_calls.start(call.number, key, now);
        let arrives_at = now + self.scenario.counter_delay_us;
        let timeout = self.settings.counter.timeout;
        let silent_at = now + timeout * SILENT_TIMEOUTS;
        self.queue.schedule(arrives_at, WorldEvent::CounterCallArrives { call, key, amount, keep_for });
        self.queue.schedule(now + timeout, WorldEvent::CounterCallTimesOut(call));
        self.queue.schedule(silent_at, WorldEvent::CounterConnectionCheck(call));
    }

    /// Handles the arrival of a call at the counter service.
    pub(super) fn counter_call_arrived(
        &mut self,
        call: CounterCallId,
        key: CounterKey,
        amount: f64,
        keep_for: Micros,
    ) {
        let now = self.queue.now();
        let Some(reply) = self.counter.increment(now, key, amount, keep_for) else { return };
        let at = reply.at + self.scenario.counter_delay_us;
        let arrival = WorldEvent::CounterReplyArrives { call, outcome: reply.outcome, total: reply.total };
        self.queue.schedule(at, arrival);
    }

    /// Handles the arrival of a reply of the counter service at the node. The reply is dropped if the process
    /// that made the call has ended or has given up the call.
    pub(super) fn counter_reply_arrived(&mut self, call: CounterCallId, outcome: Outcome, total: f64) {
        let now = self.queue.now();
        let node = call.process.node;
        if !self.is_running(call.process) {
            return;
        }
        let Some(pending) = self.nodes[node].counter_calls.reply(call.number, now) else { return };
        let key = pending.key;
        if pending.timed_out {
            self.deliver(node, Event::LateCounterReply { key, outcome, total });
        } else {
            self.deliver(node, Event::CounterReplied { key, outcome, total });
        }
        self.measurements.counter_replied(now, outcome, pending.timed_out);
    }

    /// Reports a call to its node as timed out, if it is still pending.
    pub(super) fn counter_call_timed_out(&mut self, call: CounterCallId) {
        if !self.is_running(call.process) {
            return;
        }
        let node = call.process.node;
        let Some(key) = self.nodes[node].counter_calls.time_out(call.number) else { return };
        self.measurements.counter_timed_out(self.queue.now());
        self.deliver(node, Event::CounterReplied { key, outcome: Outcome::TimedOut, total: 0.0 });
    }

    /// Checks whether the connection of a pending call has been silent for [`SILENT_TIMEOUTS`] call timeouts.
    /// If so, the node replaces the connection and gives up the call. Otherwise schedules the next check.
    pub(super) fn check_counter_connection(&mut self, call: CounterCallId) {
        if !self.is_running(call.process) {
            return;
        }
        let node = call.process.node;
        let calls = &mut self.nodes[node].counter_calls;
        let Some(silent_since) = calls.silent_since(call.number) else { return };
        let replaced_at = silent_since + self.settings.counter.timeout * SILENT_TIMEOUTS;
        if self.queue.now() < replaced_at {
            return self.queue.schedule(replaced_at, WorldEvent::CounterConnectionCheck(call));
        }
        let Some(pending) = calls.abandon(call.number) else { return };
        let reset = Event::LateCounterReply { key: pending.key, outcome: Outcome::Reset, total: 0.0 };
        self.deliver(node, reset);
    }
}
