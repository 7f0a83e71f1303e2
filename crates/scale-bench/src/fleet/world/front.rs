//! Simulates the clients, and the front that spreads the requests of each account over the account's nodes.

use edge_node::decision::{AccountId, Event, Idempotency, Micros, NewRequest};
use rand::Rng;

use super::event::WorldEvent;
use super::World;
use crate::fleet::accounts::{draw_units, QuotaStanding, CLASS_SHARES};
use crate::fleet::node::{NodeIndex, NodeState};
use crate::fleet::random::{pick_by_share, poisson_gap};
use crate::fleet::request::{request_id, ClientRequest, FinalResult, PendingTry};

/// A node fails a try to which it has not responded this long before the client's deadline, as a real node
/// does.
const RESPONSE_MARGIN: Micros = 15_000;
/// Base of a client's back-off after a failure or after a rejection without `Retry-After`. The back-off
/// doubles with each try. The client waits for a time drawn from half of the back-off to all of it.
const RETRY_BACKOFF: Micros = 100_000;
/// Maximum number of doublings of the back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl World {
    /// Sends an account's next request and schedules the one after it.
    pub(super) fn send_new_request(&mut self, account_index: usize) {
        let now = self.queue.now();
        let account = &mut self.accounts[account_index];
        let gap = poisson_gap(&mut self.random, account.rate);
        self.queue.schedule(now + gap, WorldEvent::AccountSends(account_index));
        let class = pick_by_share(&mut self.random, CLASS_SHARES.into_iter()).unwrap_or(0);
        let units = draw_units(&mut self.random);
        let request = ClientRequest {
            account: account_index,
            class,
            units,
            sent_at: now,
            deadline: now + self.settings.classes[class].total_timeout,
            tries: 0,
            is_retry: false,
            quota: account.charge_request(now, &self.settings.plans[account.plan], units),
            measured: self.scenario.is_measured(now),
        };
        if request.measured {
            self.measurements.request_sent(&request);
            if request.quota == QuotaStanding::Within {
                account.requested_units += units;
            }
        }
        self.submit(request);
    }

    /// Sends a try of a request to one of its account's nodes. Completes the request as failed if too little
    /// time is left before its deadline. If the front has no available node, the client retries as after a
    /// failure.
    pub(super) fn submit(&mut self, mut request: ClientRequest) {
        let now = self.queue.now();
        if now + RESPONSE_MARGIN >= request.deadline {
            return self.complete_request(&request, FinalResult::Failed);
        }
        request.tries += 1;
        let Some(node) = self.choose_node(request.account) else {
            if request.measured && request.tries == 1 {
                self.measurements.no_node_available();
            }
            return self.retry_or_complete(request, None, FinalResult::Failed);
        };
        self.last_try_number += 1;
        let number = self.last_try_number;
        let id = request_id(number);
        let account = &self.accounts[request.account];
        let received = NewRequest {
            id: id.clone(),
            account: AccountId(account.key),
            class: request.class,
            plan: account.plan,
            units: request.units,
            first_account_node: account.first_node,
            account_node_count: self.nodes_per_account(),
            is_retry: request.is_retry,
            deadline: request.deadline,
        };
        let deadline = request.deadline;
        let node_is_up = self.nodes[node].is_up();
        self.pending_tries.insert(number, PendingTry::new(request, node, id, !node_is_up));
        self.queue.schedule(deadline, WorldEvent::ClientDeadline(number));
        if node_is_up {
            self.queue.schedule(deadline - RESPONSE_MARGIN, WorldEvent::ResponseDeadline(number));
            self.deliver(node, Event::RequestReceived(received));
        }
    }

    /// Gives a try its result, unless it has one. The client then retries or the request is completed.
    /// `retry_after` is the time that a rejection advises the client to wait, or 0 if it gives no advice.
    pub(super) fn complete_try(&mut self, number: u64, result: FinalResult, retry_after: Micros) {
        let Some(pending) = self.pending_tries.get_mut(&number) else { return };
        if pending.completed {
            return;
        }
        pending.completed = true;
        if result == FinalResult::Lost {
            self.measurements.try_lost(self.queue.now());
        }
        let request = pending.client.clone();
        let idempotency = self.settings.classes[request.class].idempotency;
        match result {
            FinalResult::Served => {
                if request.measured && pending.admission == Some(QuotaStanding::Within) {
                    self.accounts[request.account].served_units += request.units;
                }
                self.complete_request(&request, result);
            }
            FinalResult::Rejected => {
                let advice = (retry_after > 0).then_some(retry_after);
                self.retry_or_complete(request, advice, result);
            }
            // A request that failed or was lost may have run, so the client does not retry a non-idempotent
            // one.
            FinalResult::Failed | FinalResult::Lost if idempotency == Idempotency::NonIdempotent => {
                self.complete_request(&request, result);
            }
            FinalResult::Failed | FinalResult::Lost => self.retry_or_complete(request, None, result),
        }
        self.remove_if_over(number);
    }

    /// Fails a try to which its node has not responded [`RESPONSE_MARGIN`] before the client's deadline, and
    /// notifies the node's engine that the client no longer waits.
    pub(super) fn response_deadline_passed(&mut self, number: u64) {
        let Some(pending) = self.pending_tries.get(&number) else { return };
        if pending.completed || pending.abandoned {
            return;
        }
        let node = pending.node;
        let id = pending.id.clone();
        self.complete_try(number, FinalResult::Failed, 0);
        self.deliver(node, Event::ClientDisconnected { request: id });
    }

    /// Handles the deadline of a client: a try without a result is lost.
    pub(super) fn client_deadline_passed(&mut self, number: u64) {
        self.complete_try(number, FinalResult::Lost, 0);
    }

    /// Removes a try if no further event can change it.
    pub(super) fn remove_if_over(&mut self, number: u64) {
        if self.pending_tries.get(&number).is_some_and(PendingTry::is_over) {
            self.pending_tries.remove(&number);
        }
    }

    /// Draws one of the account's nodes, except those that the front knows to be down. Returns `None` if it
    /// knows all of them to be down.
    fn choose_node(&mut self, account: usize) -> Option<NodeIndex> {
        let first_node = self.accounts[account].first_node;
        let mut available = Vec::new();
        for offset in 0..self.nodes_per_account() {
            let node = ((first_node + offset) % self.scenario.nodes) as usize;
            if self.appears_available(node) {
                available.push(node);
            }
        }
        if available.is_empty() {
            return None;
        }
        Some(available[self.random.random_range(0..available.len())])
    }

    /// Returns whether the front considers a node to be up.
    fn appears_available(&self, node: NodeIndex) -> bool {
        match self.nodes[node].state {
            NodeState::Up => true,
            NodeState::Stopped => false,
            NodeState::Unresponsive(at) => self.queue.now() < at + self.scenario.front_notice_ms * 1_000,
        }
    }

    fn nodes_per_account(&self) -> u32 {
        self.scenario.spread.min(self.scenario.nodes)
    }

    /// Schedules the client's next try after the advised wait, or after its own back-off if there is no
    /// advice. Completes the request with `result` if no tries are left, or if too little time is left for
    /// another try.
    fn retry_or_complete(&mut self, mut request: ClientRequest, advice: Option<Micros>, result: FinalResult) {
        let now = self.queue.now();
        let backoff = RETRY_BACKOFF << request.tries.min(MAX_BACKOFF_DOUBLINGS);
        let wait = advice.unwrap_or_else(|| self.random.random_range(backoff / 2..=backoff));
        let too_late = now + wait + RESPONSE_MARGIN >= request.deadline;
        if request.tries >= self.scenario.client_tries || too_late {
            return self.complete_request(&request, result);
        }
        request.is_retry = true;
        self.queue.schedule(now + wait, WorldEvent::RetryReachesFront(Box::new(request)));
    }

    fn complete_request(&mut self, request: &ClientRequest, result: FinalResult) {
        if request.measured {
            let latency_objective = self.settings.classes[request.class].latency_objective;
            self.measurements.request_completed(request, self.queue.now(), result, latency_objective);
        }
    }
}
