//! Quotas: accounts draw their units from a counter that all nodes share, by leases that each node holds.
//!
//! [`QuotaLedger`] has the accounts and puts the parts together: `account` keeps what is known of one
//! account, `lease` sizes leases, `counter_window` names counters, `counter_calls` and `counter_health`
//! have the calls to the counter service, `reconciliation` reads its totals, and `even_share` and
//! `speculation` admit requests that the counter can't be asked about.

mod account;
mod counter_calls;
mod counter_health;
mod counter_window;
mod even_share;
mod lease;
mod reconciliation;
mod speculation;

use std::collections::BTreeMap;

use super::{AccountId, Action, CounterKey, Micros, NewRequest, Plan, RequestId, Settings};
use account::{Account, RATE_SPAN};
use counter_calls::{revert_call, CounterCall, CounterCalls, Increment};
use counter_health::CounterHealth;
use counter_window::CounterWindow;
use reconciliation::Correction;
use speculation::{draw_ask, Speculation};

pub(super) use account::QueuedRequest;
pub(super) use counter_calls::CounterReply;

/// Excess of at most this many units is not worth a call.
const LEAST_EXCESS: f64 = 0.01;

/// A request that asks for units of its account's quota.
pub(super) struct QuotaRequest<'a> {
    pub account: AccountId,
    pub plan: &'a Plan,
    pub units: f64,
    /// The weight of its class.
    pub priority_weight: f64,
    pub turn: QuotaTurn,
}

/// When a request asks for its units.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum QuotaTurn {
    /// As it arrives: behind those that wait for the counter.
    OnArrival,
    /// Once the counter's reply is in: ahead of those that wait. It does not wait for a call that was made
    /// since.
    AfterReply,
}

/// What the quota says about a request.
pub(super) enum QuotaDecision {
    /// It is admitted. The units drawn are returned if it never runs.
    Granted {
        /// 0 if nothing was drawn.
        drawn_units: f64,
    },
    /// It has to wait for the counter's reply.
    Wait,
    /// It is beyond quota.
    BeyondQuota,
}

/// How an account uses its quota at this node.
pub(super) struct LocalUse {
    /// Units per second drawn here.
    pub drawn_rate: f64,
    /// How many nodes get the account's requests.
    pub node_count: f64,
}

/// The accounts of this node, and the calls to the counter service by which they share quotas with other
/// nodes.
pub(super) struct QuotaLedger {
    accounts: BTreeMap<AccountId, Account>,
    calls: CounterCalls,
    counter_health: CounterHealth,
    speculation: Speculation,
}

impl QuotaLedger {
    pub fn new(settings: &Settings) -> Self {
        QuotaLedger {
            accounts: BTreeMap::new(),
            calls: CounterCalls::default(),
            counter_health: CounterHealth::new(),
            speculation: Speculation::new(settings),
        }
    }

    /// How many accounts are kept.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Whether the account is kept.
    pub fn contains(&self, account: AccountId) -> bool {
        self.accounts.contains_key(&account)
    }

    /// Takes a client's request into its account's demand, whatever is decided about it.
    pub fn record_request(&mut self, settings: &Settings, now: Micros, request: &NewRequest) {
        let plan = settings.plans.get(request.plan);
        let node_count = request.account_node_count.clamp(1, settings.node_count.max(1)) as f64;
        self.accounts
            .entry(request.account)
            .or_insert_with(|| Account::new(plan, node_count, request.units, now))
            .record_request(request.plan, node_count, request.units, now);
        if let Some(plan) = plan {
            let priority_weight = settings.classes[request.class].priority_weight;
            let value = priority_weight * plan.weight_factor * request.units;
            self.speculation.deposit(settings, value);
        }
    }

    /// Whether the account has as many attempts in flight over all nodes as its plan allows.
    pub fn is_concurrency_exhausted(
        &self,
        request: &QuotaRequest<'_>,
        mean_latency: f64,
        now: Micros,
    ) -> bool {
        self.accounts
            .get(&request.account)
            .is_some_and(|account| account.is_concurrency_exhausted(request.plan, mean_latency, now))
    }

    /// Draws a request's units. In this order: from the lease; by what the call in flight or the last total
    /// leaves; by asking the counter; from the even share; by a speculative admission.
    ///
    /// `fleet_load` is called only once the first two have not decided.
    pub fn draw(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut u64,
        request: &QuotaRequest<'_>,
        fleet_load: impl FnOnce() -> f64,
        out: &mut Vec<Action>,
    ) -> QuotaDecision {
        if self.draw_from_lease(settings, now, request, out) {
            return QuotaDecision::Granted { drawn_units: request.units };
        }
        let Some(account) = self.accounts.get_mut(&request.account) else {
            return QuotaDecision::BeyondQuota;
        };
        let counter_is_available = self.counter_health.is_available(settings, now);
        let bucket = BucketView::of(account, request, now);
        if counter_is_available {
            if let Some(decision) = decide_by_known_level(account, request, &bucket) {
                return decision;
            }
        }
        let assessment = self.speculation.assess(account, request, fleet_load(), now);
        let ask = self.speculation.ask_probability(&assessment, self.counter_health.ask_share());
        if counter_is_available && draw_ask(&ask, random) {
            account.sampling_weight = ask.sampling_weight;
            let needed_units = request.units + bucket.queued_units;
            self.lease(settings, request.account, needed_units, now, out);
            return QuotaDecision::Wait;
        }
        even_share::refill(account, request.plan, bucket.level, now);
        let is_silent = self.counter_health.is_silent();
        if even_share::covers(account, request.units)
            || self.speculation.try_admit(&assessment, request.units, bucket.level, is_silent)
        {
            even_share::admit_unreported(account, request.units, now);
            return QuotaDecision::Granted { drawn_units: request.units };
        }
        QuotaDecision::BeyondQuota
    }

    /// Queues a request until the counter's reply is in.
    pub fn enqueue(&mut self, account: AccountId, request: QueuedRequest) {
        if let Some(account) = self.accounts.get_mut(&account) {
            account.queue.push_back(request);
        }
    }

    /// Takes the next request of the account out of the queue.
    pub fn dequeue(&mut self, account: AccountId) -> Option<QueuedRequest> {
        self.accounts.get_mut(&account)?.queue.pop_front()
    }

    /// Puts a request back to the front of the queue: it has to wait for one more reply.
    pub fn requeue(&mut self, account: AccountId, request: QueuedRequest) {
        if let Some(account) = self.accounts.get_mut(&account) {
            account.queue.push_front(request);
        }
    }

    /// An attempt of the account begins.
    pub fn attempt_started(&mut self, account: AccountId) {
        if let Some(account) = self.accounts.get_mut(&account) {
            account.attempts_in_flight += 1;
        }
    }

    /// An attempt of the account ended.
    pub fn attempt_ended(&mut self, account: AccountId) {
        if let Some(account) = self.accounts.get_mut(&account) {
            account.attempts_in_flight = account.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Returns the units of a request that never ran to the lease, and takes it out of the queue.
    pub fn return_unused(&mut self, account: AccountId, id: &RequestId, drawn_units: f64) {
        let Some(account) = self.accounts.get_mut(&account) else { return };
        account.lease += drawn_units;
        // A client may use the id again at once: a place left in the queue would send that request twice.
        account.queue.retain(|queued| queued.id != *id);
    }

    /// How the account uses its quota here.
    pub fn local_use(&self, account: AccountId, now: Micros) -> Option<LocalUse> {
        let account = self.accounts.get(&account)?;
        Some(LocalUse { drawn_rate: account.drawn.get(now, RATE_SPAN), node_count: account.node_count })
    }

    /// Takes in the reply to a call. Returns the account whose queue can be served now.
    pub fn on_reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut u64,
        key: CounterKey,
        reply: CounterReply,
        out: &mut Vec<Action>,
    ) -> Option<AccountId> {
        let id = self.calls.end(key)?;
        let account = self.accounts.get_mut(&id)?;
        let call = account.call.take()?;
        if call.needs_reread(reply) {
            account.call = Some(call.with_reread(reply, now));
            self.calls.read(key, id, out);
            return None;
        }
        self.counter_health.record(settings, now, random, &call, reply);
        match reply {
            CounterReply::Total(total) => {
                account.even_share = None;
                let may_correct_overflow = !call.outcome_unknown;
                let correction = self.reconcile(settings, id, call, total, now);
                self.send_correction(id, correction, may_correct_overflow, now, out);
            }
            CounterReply::TimedOut => self.calls.keep_timed_out(key, id, call),
            CounterReply::NotAdded | CounterReply::NotSent | CounterReply::InvalidTotal => {
                revert_call(account, &call);
            }
            CounterReply::Unreadable | CounterReply::ConnectionReset => {}
        }
        Some(id)
    }

    /// Takes in what became of a call that had timed out. A slow counter adds a call though its reply comes
    /// too late: taken for draws of other nodes, the units would serve nobody, and the quota would look
    /// used up.
    pub fn on_late_reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        key: CounterKey,
        reply: CounterReply,
        out: &mut Vec<Action>,
    ) {
        let Some(timed_out) = self.calls.take_timed_out(key) else { return };
        let id = timed_out.account;
        let Some(account) = self.accounts.get_mut(&id) else { return };
        match reply {
            // The total of a window that is over tells nothing of the present one.
            CounterReply::Total(total) if key == CounterWindow::at(id, now).key() => {
                let correction = self.reconcile(settings, id, timed_out.call, total, now);
                self.return_late_excess(id, correction.excess_units, now, out);
            }
            CounterReply::NotAdded => revert_call(account, &timed_out.call),
            _ => {}
        }
    }

    /// Releases the leases of accounts without requests for longer than `idle_for`.
    pub fn release_idle_leases(
        &mut self,
        settings: &Settings,
        now: Micros,
        idle_for: Micros,
        out: &mut Vec<Action>,
    ) {
        if !self.counter_health.is_available(settings, now) {
            return;
        }
        for (&id, account) in &mut self.accounts {
            if lease::is_idle(account, idle_for, now) {
                let released = std::mem::take(&mut account.lease);
                self.calls.start(id, account, Increment::release(released), now, out);
            }
        }
    }

    /// Releases the leases that lie idle in the ordinary run.
    pub fn release_unused_leases(&mut self, settings: &Settings, now: Micros, out: &mut Vec<Action>) {
        if self.counter_health.is_responsive() {
            self.release_idle_leases(settings, now, lease::LEASE_IDLE, out);
        }
    }

    /// Forgets accounts that nothing is lost with. There are ever new ones, and what is kept of each would
    /// grow without end.
    pub fn forget_idle_accounts(&mut self, settings: &Settings, now: Micros) {
        self.accounts.retain(|_, account| !account.can_be_forgotten(settings.plans.get(account.plan), now));
    }

    /// Drops calls whose late replies can't tell anything any more.
    pub fn drop_expired_calls(&mut self, now: Micros) {
        self.calls.drop_expired(now);
    }

    /// Draws from the lease, if it holds the units and nobody waits for them. Refills it ahead of use.
    fn draw_from_lease(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: &QuotaRequest<'_>,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(&request.account) else { return false };
        let is_first_in_line = request.turn == QuotaTurn::AfterReply || account.queue.is_empty();
        let is_covered = account.lease >= request.units && is_first_in_line;
        if is_covered {
            lease::draw_from_lease(account, request.units, now);
            if self.counter_health.is_available(settings, now) && lease::needs_prefetch(account, now) {
                self.lease(settings, request.account, 0.0, now, out);
            }
        }
        is_covered
    }

    /// Calls the counter for a lease that covers the needed units and the demand.
    fn lease(
        &mut self,
        settings: &Settings,
        id: AccountId,
        needed_units: f64,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let Some(plan) = settings.plans.get(account.plan) else { return };
        let units = lease::units_to_lease(account, plan, needed_units, now);
        if units > 0.0 {
            self.calls.start(id, account, Increment::lease(units), now, out);
        }
    }

    /// Takes the total after an added call into the account. Returns what the counter has to be told.
    fn reconcile(
        &mut self,
        settings: &Settings,
        id: AccountId,
        mut call: CounterCall,
        total: f64,
        now: Micros,
    ) -> Correction {
        let Some(account) = self.accounts.get_mut(&id) else { return Correction::default() };
        let Some(plan) = settings.plans.get(account.plan) else { return Correction::default() };
        reconciliation::resolve_unknown_outcome(account, id, &mut call, total, now);
        let mut correction = reconciliation::apply_total(account, plan, id, &call, total, now);
        if call.lease_units > 0.0 {
            let is_short = correction.excess_units > 0.0;
            self.speculation.record_reply(account, is_short, now);
            if is_short {
                correction.excess_units += call.sampled_units;
                // A part of a request left over at each of a hundred nodes would strand the whole burst:
                // with the bucket short, what serves nobody who waits is released at once, and not when it
                // is idle.
                correction.excess_units += lease::take_unneeded(account);
            }
        }
        correction
    }

    /// Calls the counter for a correction, if it is worth a call.
    fn send_correction(
        &mut self,
        id: AccountId,
        correction: Correction,
        may_correct_overflow: bool,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let overflow_units = correction.overflow_units;
        let takes_back = overflow_units < 0.0;
        let corrects = overflow_units > 0.0 && self.counter_health.is_responsive();
        if correction.excess_units > LEAST_EXCESS {
            self.calls.start(id, account, Increment::release(correction.excess_units), now, out);
        } else if may_correct_overflow && (takes_back || corrects) {
            self.calls.start(id, account, Increment::overflow_correction(overflow_units), now, out);
        }
    }

    /// Returns what a late reply granted beyond the bucket: by a call of its own, or while a call is in
    /// flight by the one after it.
    fn return_late_excess(&mut self, id: AccountId, excess_units: f64, now: Micros, out: &mut Vec<Action>) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        if account.call.is_some() {
            account.unreported_units -= excess_units;
        } else if excess_units > LEAST_EXCESS {
            self.calls.start(id, account, Increment::release(excess_units), now, out);
        }
    }
}

/// What the fleet's bucket should hold for a request, as far as this node knows.
struct BucketView {
    level: f64,
    /// Units of requests that go first.
    queued_units: f64,
}

impl BucketView {
    fn of(account: &Account, request: &QuotaRequest<'_>, now: Micros) -> Self {
        let queued_units = match request.turn {
            QuotaTurn::OnArrival => account.queued_units(),
            QuotaTurn::AfterReply => 0.0,
        };
        BucketView { level: account.projected_level(request.plan, now), queued_units }
    }
}

/// Decides without the counter where a call is in flight or the last total left too little. None if the
/// counter has to be asked.
fn decide_by_known_level(
    account: &Account,
    request: &QuotaRequest<'_>,
    bucket: &BucketView,
) -> Option<QuotaDecision> {
    let Some(call) = &account.call else {
        let is_short = account.last_total.is_some()
            && bucket.level + account.lease - bucket.queued_units < request.units;
        return is_short.then_some(QuotaDecision::BeyondQuota);
    };
    let lease_after_call = account.lease + call.lease_units.min(bucket.level).max(0.0);
    let level_after_call = bucket.level - call.lease_units.max(0.0);
    let will_cover = lease_after_call - bucket.queued_units >= request.units
        || level_after_call - bucket.queued_units >= request.units;
    if will_cover && request.turn == QuotaTurn::OnArrival {
        Some(QuotaDecision::Wait)
    } else {
        Some(QuotaDecision::BeyondQuota)
    }
}
