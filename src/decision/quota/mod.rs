//! Enforces the quotas of accounts. The nodes share counters at the counter service; each node leases units
//! from them, and its requests draw units from the leases.
//!
//! [`QuotaLedger`] holds the accounts and connects the parts. Reading order:
//!
//! - `account_table`: the accounts that are kept, within a limit on their number.
//! - `account`: the state of one account, with its `demand` at this node and its `fleet_bucket`; `lease`: how
//!   many units to lease and when to release them.
//! - This file, [`QuotaLedger::draw`]: the rules by which a request gets its units. `known_level` decides
//!   without a new call to the counter; `even_share` and `speculation` decide if the counter cannot be
//!   called.
//! - `counter_window`, `counter_call`, `counter_calls`, `counter_health`: the counters, a single call, all
//!   calls, and the pauses after failures.
//! - `replies`, `reconciliation`: what a reply changes, and how the counter is corrected.

mod account;
mod account_table;
mod counter_call;
mod counter_calls;
mod counter_health;
mod counter_window;
mod demand;
mod even_share;
mod fleet_bucket;
mod known_level;
mod lease;
mod reconciliation;
mod replies;
mod request;
mod speculation;

use super::estimators::RandomSource;
use super::{AccountId, Action, Micros, NewRequest, RequestId, Settings};
use account::Account;
use account_table::AccountTable;
use counter_calls::{CounterCalls, UnitsToAdd};
use counter_health::CounterHealth;
use known_level::{decide_by_known_level, BucketView};
use speculation::{samples_call, Assessment, CallSampling, Speculation};

pub(super) use account::QueuedRequest;
pub(super) use account_table::AccountLimitReached;
pub(super) use counter_call::CounterReply;
pub(super) use request::{QuotaDecision, QuotaRequest, QuotaStage};

/// The usage of an account's quota at this node.
pub(super) struct LocalUsage {
    /// Rate at which units are drawn at this node, in units per second.
    pub drawn_rate: f64,
    /// Number of nodes that receive the account's requests.
    pub node_count: f64,
}

/// The accounts of this node, and the calls to the counter service by which the nodes share quotas.
pub(super) struct QuotaLedger {
    accounts: AccountTable,
    calls: CounterCalls,
    counter_health: CounterHealth,
    speculation: Speculation,
}

impl QuotaLedger {
    pub fn new(settings: &Settings) -> Self {
        QuotaLedger {
            accounts: AccountTable::new(settings.max_accounts),
            calls: CounterCalls::default(),
            counter_health: CounterHealth::new(),
            speculation: Speculation::new(settings),
        }
    }

    /// Returns the number of accounts that are kept.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether the account is kept.
    pub fn contains(&self, account: AccountId) -> bool {
        self.accounts.contains(account)
    }

    /// Adds a client's request to its account's demand, regardless of the decision about the request. Returns
    /// the account that was dropped to make room for a new one, if any.
    ///
    /// # Errors
    /// If the account is new and there is no room for it. Nothing is recorded then.
    pub fn record_request(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: &NewRequest,
    ) -> Result<Option<AccountId>, AccountLimitReached> {
        let plan = settings.plans.get(request.plan);
        let node_count = request.account_node_count.clamp(1, settings.node_count.max(1)) as f64;
        let dropped = self.accounts.make_room(request.account)?;
        self.accounts
            .use_or_insert(request.account, || Account::new(plan, node_count, request.units, now))
            .record_request(request.plan, node_count, request.units, now);
        if let Some(plan) = plan {
            let priority_weight = settings.classes[request.class].priority_weight;
            let value = priority_weight * plan.weight_factor * request.units;
            self.speculation.deposit(settings, value);
        }
        Ok(dropped)
    }

    /// Returns whether the account is estimated to have as many attempts in flight over all nodes as its plan
    /// allows.
    pub fn is_concurrency_exhausted(
        &self,
        request: &QuotaRequest<'_>,
        fleet_mean_latency: f64,
        now: Micros,
    ) -> bool {
        self.accounts
            .get(request.account)
            .is_some_and(|account| account.is_concurrency_exhausted(request.plan, fleet_mean_latency, now))
    }

    /// Draws the units of a request. The first rule that applies decides. Rules 2 and 3 are skipped for a
    /// request that has waited for the counter for the maximum time, and while the counter is unavailable:
    ///
    /// 1. The lease covers the request: it is granted.
    /// 2. A call is in flight, or a total is known and the projected level plus the lease holds too few
    ///    units: the request waits or is over quota.
    /// 3. The request is sampled for a call to the counter: it waits. Sampling is random, and limits the
    ///    share of requests that call to the share that the counter's health allows.
    /// 4. The even share covers the request: it is granted.
    /// 5. A speculative admission is profitable and affordable: the request is granted.
    /// 6. The request is over quota.
    ///
    /// `fleet_load` is called only if the first two rules have not decided, because it examines endpoints.
    pub fn draw(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut RandomSource,
        request: &QuotaRequest<'_>,
        fleet_load: impl FnOnce() -> f64,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        if self.try_draw_from_lease(settings, now, request, actions) {
            return QuotaDecision::Granted { drawn_units: request.units };
        }
        let Some(account) = self.accounts.get(request.account) else {
            return QuotaDecision::OverQuota;
        };
        let counter_is_available =
            request.stage != QuotaStage::AfterWaitLimit && self.counter_health.is_available(settings, now);
        let bucket = BucketView::of(account, request, now);
        if counter_is_available {
            if let Some(decision) = decide_by_known_level(account, request, &bucket) {
                return decision;
            }
        }
        let assessment = self.speculation.assess(account, request, fleet_load(), now);
        let sampling = self.speculation.call_sampling(&assessment, self.counter_health.call_share());
        if counter_is_available && samples_call(&sampling, random) {
            self.call_counter(settings, now, request, &bucket, &sampling, actions);
            return QuotaDecision::Wait;
        }
        self.decide_without_counter(now, request, &bucket, &assessment)
    }

    /// Calls the counter for the units of a request and of those that are served before it.
    fn call_counter(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: &QuotaRequest<'_>,
        bucket: &BucketView,
        sampling: &CallSampling,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(request.account) else { return };
        account.sampling_weight = sampling.sampling_weight;
        let needed_units = request.units + bucket.queued_units;
        self.request_lease(settings, request.account, needed_units, now, actions);
    }

    /// Decides by the even share, then by speculative admission: the last three rules of
    /// [`QuotaLedger::draw`].
    fn decide_without_counter(
        &mut self,
        now: Micros,
        request: &QuotaRequest<'_>,
        bucket: &BucketView,
        assessment: &Assessment,
    ) -> QuotaDecision {
        let Some(account) = self.accounts.get_mut(request.account) else {
            return QuotaDecision::OverQuota;
        };
        even_share::refill(account, request.plan, bucket.level, now);
        let has_failed_repeatedly = self.counter_health.has_failed_repeatedly();
        if even_share::covers(account, request.units)
            || self.speculation.try_admit(assessment, request.units, bucket.level, has_failed_repeatedly)
        {
            even_share::admit_unreported(account, request.units, now);
            return QuotaDecision::Granted { drawn_units: request.units };
        }
        QuotaDecision::OverQuota
    }

    /// Queues a request until the counter's reply arrives.
    pub fn enqueue(&mut self, account: AccountId, request: QueuedRequest) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.queue.push_back(request);
        }
    }

    /// Removes and returns the account's next queued request. Returns `None` if there is none.
    pub fn dequeue(&mut self, account: AccountId) -> Option<QueuedRequest> {
        self.accounts.get_mut(account)?.queue.pop_front()
    }

    /// Puts a request back at the front of the queue, because it has to wait for one more reply.
    pub fn requeue(&mut self, account: AccountId, request: QueuedRequest) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.queue.push_front(request);
        }
    }

    /// Removes a request from the account's queue, at any position.
    pub fn remove_from_queue(&mut self, account: AccountId, id: &RequestId) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.queue.retain(|queued| queued.id != *id);
        }
    }

    /// Counts the start of an attempt of the account.
    pub fn attempt_started(&mut self, account: AccountId) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.attempts_in_flight += 1;
        }
    }

    /// Counts the end of an attempt of the account.
    pub fn attempt_ended(&mut self, account: AccountId) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.attempts_in_flight = account.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Puts the units of a request that never ran back into the lease, and removes the request from the
    /// queue.
    pub fn withdraw_request(&mut self, account: AccountId, id: &RequestId, drawn_units: f64) {
        // A client may reuse the id immediately. If the entry stayed in the queue, the new request would be
        // sent twice.
        self.remove_from_queue(account, id);
        if let Some(account) = self.accounts.get_mut(account) {
            account.lease += drawn_units;
        }
    }

    /// Returns the usage of the account's quota at this node, or `None` if the account is not kept.
    pub fn local_usage(&self, account: AccountId, now: Micros) -> Option<LocalUsage> {
        let account = self.accounts.get(account)?;
        Some(LocalUsage { drawn_rate: account.demand.drawn_rate(now), node_count: account.node_count })
    }

    /// Releases the leases of accounts that have had no request for longer than `idle_for`. Does nothing
    /// while the counter is unavailable.
    pub fn release_leases_idle_for(
        &mut self,
        settings: &Settings,
        now: Micros,
        idle_for: Micros,
        actions: &mut Vec<Action>,
    ) {
        if !self.counter_health.is_available(settings, now) {
            return;
        }
        for (id, account) in self.accounts.iter_mut() {
            if lease::is_idle(account, idle_for, now) {
                let released = std::mem::take(&mut account.lease);
                self.calls.start(id, account, UnitsToAdd::release(released), now, actions);
            }
        }
    }

    /// Releases the leases that have been idle for longer than [`lease::LEASE_IDLE_TIMEOUT`], unless the
    /// counter service is too busy for it. Called by each sweep.
    pub fn sweep_idle_leases(&mut self, settings: &Settings, now: Micros, actions: &mut Vec<Action>) {
        if self.counter_health.is_responsive() {
            self.release_leases_idle_for(settings, now, lease::LEASE_IDLE_TIMEOUT, actions);
        }
    }

    /// Drops the accounts that can be dropped without a loss. New accounts keep arriving, so the retained
    /// state would otherwise grow without bound.
    pub fn drop_idle_accounts(&mut self, settings: &Settings, now: Micros) {
        self.accounts.retain(|account| !account.can_be_dropped(settings.plans.get(account.plan), now));
    }

    /// Drops timed-out calls whose late replies are no longer of use.
    pub fn drop_expired_calls(&mut self, now: Micros) {
        self.calls.drop_expired(now);
    }

    /// Draws a request's units from the lease, if it holds them and no earlier request waits for them. Calls
    /// the counter for a prefetch if the lease should be refilled ahead of use. Returns whether the units
    /// were drawn.
    fn try_draw_from_lease(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: &QuotaRequest<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(request.account) else { return false };
        let is_at_front = request.stage != QuotaStage::OnArrival || account.queue.is_empty();
        let is_covered = account.lease >= request.units && is_at_front;
        if is_covered {
            lease::draw_from_lease(account, request.units, now);
            if self.counter_health.is_available(settings, now) && lease::needs_prefetch(account, now) {
                self.request_lease(settings, request.account, 0.0, now, actions);
            }
        }
        is_covered
    }

    /// Calls the counter for a lease that covers the needed units and the demand, by the plan that the
    /// account's latest request named.
    fn request_lease(
        &mut self,
        settings: &Settings,
        id: AccountId,
        needed_units: f64,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(id) else { return };
        let Some(plan) = settings.plans.get(account.plan) else { return };
        let units = lease::units_to_lease(account, plan, needed_units, now);
        if units > 0.0 {
            self.calls.start(id, account, UnitsToAdd::lease(units), now, actions);
        }
    }
}
