//! The clients, and the front that spreads each account's requests over its nodes.

use edge_node::decision::{AccountId, Event, Idempotency, Micros, NewRequest};
use rand::Rng;

use super::event::WorldEvent;
use super::World;
use crate::fleet::accounts::{draw_units, QuotaStanding, CLASS_SHARES};
use crate::fleet::node::{NodeIndex, NodeState};
use crate::fleet::random::{pick_by_share, poisson_gap};
use crate::fleet::request::{request_id, ClientRequest, FinalResult, PendingTry};

/// As in a real node: what is unanswered this long before the client's deadline has failed.
const RESPONSE_MARGIN: Micros = 15_000;
/// A client's back-off after a failure, or a rejection without `Retry-After`: doubles with each try, and is drawn
/// from half of it to all of it.
const RETRY_BACKOFF: Micros = 100_000;
/// The back-off does not double more often than this.
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

    /// Makes a try of a request at one of its account's nodes.
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
        self.last_try += 1;
        let number = self.last_try;
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

    /// Completes a try for its client, if it is not completed yet; `retry_after` is 0 for no advice.
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
            // What failed may have run, and a client does not repeat what must not run twice.
            FinalResult::Failed | FinalResult::Lost if idempotency == Idempotency::NonIdempotent => {
                self.complete_request(&request, result);
            }
            FinalResult::Failed | FinalResult::Lost => self.retry_or_complete(request, None, result),
        }
        self.remove_if_over(number);
    }

    /// A node fails a try that is still unanswered shortly before its client's deadline.
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

    /// A client that got no response stops waiting.
    pub(super) fn client_deadline_passed(&mut self, number: u64) {
        self.complete_try(number, FinalResult::Lost, 0);
    }

    /// Forgets a try of which nothing is to come any more.
    pub(super) fn remove_if_over(&mut self, number: u64) {
        if self.pending_tries.get(&number).is_some_and(PendingTry::is_over) {
            self.pending_tries.remove(&number);
        }
    }

    /// Draws one of the account's nodes, without those that the front knows to be down.
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

    fn appears_available(&self, node: NodeIndex) -> bool {
        match self.nodes[node].state {
            NodeState::Up => true,
            NodeState::Stopped => false,
            NodeState::Vanished(since) => self.queue.now() < since + self.scenario.front_notice_ms * 1_000,
        }
    }

    fn nodes_per_account(&self) -> u32 {
        self.scenario.spread.min(self.scenario.nodes)
    }

    /// Schedules the client's next try after the advised or its own back-off, or completes the request if its
    /// tries or its time are used up.
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
