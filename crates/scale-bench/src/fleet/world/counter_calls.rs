//! Calls between the nodes and the counter service.

use edge_node::decision::{CounterKey, Event, Micros, Outcome};

use super::event::{CounterCallId, WorldEvent};
use super::World;
use crate::fleet::node::NodeProcess;

/// As in a real node: a connection to the counter service that is silent for this many call time-outs is replaced.
const SILENT_TIMEOUTS: u64 = 3;

impl World {
    /// A node calls the counter service.
    pub(super) fn call_counter(
        &mut self,
        process: NodeProcess,
        key: CounterKey,
        amount: f64,
        keep_for: Micros,
    ) {
        let now = self.queue.now();
        self.last_counter_call += 1;
        let call = CounterCallId { process, number: self.last_counter_call };
        self.measurements.counter_called(now);
        self.nodes[process.node].counter_calls.start(call.number, key, now);
        let arrives_at = now + self.scenario.counter_delay_us;
        let timeout = self.settings.counter.timeout;
        let silent_at = now + timeout * SILENT_TIMEOUTS;
        self.queue.schedule(arrives_at, WorldEvent::CounterCallArrives { call, key, amount, keep_for });
        self.queue.schedule(now + timeout, WorldEvent::CounterCallTimesOut(call));
        self.queue.schedule(silent_at, WorldEvent::CounterConnectionCheck(call));
    }

    /// A call reaches the counter service.
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

    /// A reply of the counter service reaches its node.
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

    /// A node's time limit for a reply is over.
    pub(super) fn counter_call_timed_out(&mut self, call: CounterCallId) {
        if !self.is_running(call.process) {
            return;
        }
        let node = call.process.node;
        let Some(key) = self.nodes[node].counter_calls.time_out(call.number) else { return };
        self.measurements.counter_timed_out(self.queue.now());
        self.deliver(node, Event::CounterReplied { key, outcome: Outcome::TimedOut, total: 0.0 });
    }

    /// A node replaces a connection on which nothing has come for some time-outs, and with it gives up the calls
    /// that were made on it.
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
