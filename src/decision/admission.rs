//! Admission control: the rules for a new request, in the order in which they apply.

use std::collections::BTreeMap;

use super::attempts::PendingRequest;
use super::balancer::Balancer;
use super::deferral::DeferralTerms;
use super::load_shedding::{shortest_latency_objective, LoadShedder, MAX_SHED_THRESHOLD, MIN_SHED_THRESHOLD};
use super::quota::{AccountLimitReached, QueuedRequest, QuotaDecision, QuotaRequest, QuotaStage};
use super::{
    AccountId, Action, DecisionEngine, Micros, NewRequest, Plan, RequestId, Settings, TICK_INTERVAL,
};

/// A client retry that cannot meet its latency objective is still served if late responses of its class earn
/// at least this share of the weight.
const MIN_LATE_WEIGHT: f64 = 0.5;
/// Maximum wait of a request for the counter, in multiples of the counter's timeout: one for a call, one for
/// its reread, and one more.
const MAX_COUNTER_WAIT_TIMEOUTS: u64 = 3;
/// Two timeouts of a client count as equal if they differ by less than the timeout divided by this number.
const TIMEOUT_TOLERANCE_DIVISOR: u64 = 50;

/// Whether a new request is shed because of the load of the fleet.
enum LoadDecision {
    /// The fleet has capacity for the request.
    Admit,
    /// The request is shed.
    Shed {
        /// Time from now after which the client should retry; `None` if it gets no such advice.
        retry_after: Option<Micros>,
    },
}

/// How long clients wait for one request, in microseconds by class. The latest request that is not a client
/// retry determines the value.
#[derive(Default)]
pub(super) struct ClientTimeouts {
    by_class: BTreeMap<usize, Micros>,
}

impl ClientTimeouts {
    fn record(&mut self, request: &NewRequest, now: Micros) {
        if !request.is_retry {
            self.by_class.insert(request.class, request.deadline.saturating_sub(now));
        }
    }

    /// Returns whether `remaining` is about as long as clients wait for a first request of the class.
    /// Returns `false` if no first request of the class is known.
    fn is_full_timeout(&self, class: usize, remaining: Micros) -> bool {
        self.by_class
            .get(&class)
            .is_some_and(|&timeout| timeout.abs_diff(remaining) < timeout / TIMEOUT_TOLERANCE_DIVISOR)
    }
}

impl DecisionEngine {
    /// Decides on a new request. The first rule that applies decides:
    ///
    /// 1. If its class is unknown or its id is that of a pending request, it is ignored.
    /// 2. If its account is new and the node can't keep state of a further account, it is rejected without a
    ///    `Retry-After` time.
    /// 3. If the fleet is too loaded for it, it is shed, with a `Retry-After` time unless it is a client
    ///    retry.
    /// 4. If it is a client retry that would earn too little of its weight, or if no response can arrive in
    ///    time, it is rejected without a `Retry-After` time.
    /// 5. If the quotas grant it, it is sent to an endpoint.
    /// 6. If the quotas need a reply of the counter, it waits.
    /// 7. Otherwise it is over quota: it is served if that earns more than it costs and the fleet has room
    ///    for it, else it is rejected, with a `Retry-After` time if the deferral schedule has room.
    pub(super) fn on_request(&mut self, mut request: NewRequest, actions: &mut Vec<Action>) {
        if request.class >= self.settings.classes.len() || self.pending.contains(&request.id) {
            return;
        }
        request.units = countable_units(request.units);
        match self.quota.record_request(&self.settings, self.now, &request) {
            Ok(None) => {}
            Ok(Some(dropped_account)) => self.deferrals.drop_account(dropped_account),
            Err(AccountLimitReached) => return self.reject(&request.id, None, actions),
        }
        self.client_timeouts.record(&request, self.now);
        if let LoadDecision::Shed { retry_after } = self.decide_by_load(&request) {
            return self.reject(&request.id, retry_after, actions);
        }
        if self.cannot_meet_objective(&request) || self.cannot_meet_deadline(&request) {
            return self.reject(&request.id, None, actions);
        }
        let id = request.id.clone();
        let account = request.account;
        let units = request.units;
        self.pending.insert(PendingRequest::new(request, self.now));
        match self.decide_by_quota(&id, QuotaStage::OnArrival, actions) {
            QuotaDecision::Granted { drawn_units } => self.admit(&id, drawn_units, actions),
            QuotaDecision::Wait => self.wait_for_counter(account, QueuedRequest { id, units }),
            QuotaDecision::OverQuota => self.handle_over_quota(&id, actions),
        }
    }

    /// Decides on the requests of an account that wait for the counter, in the order of the queue. Stops
    /// at the first request that has to wait for another reply.
    pub(super) fn serve_queue(&mut self, account: AccountId, actions: &mut Vec<Action>) {
        while let Some(queued) = self.quota.dequeue(account) {
            self.set_waits_for_counter(&queued.id, false);
            match self.decide_by_quota(&queued.id, QuotaStage::AfterReply, actions) {
                QuotaDecision::Granted { drawn_units } => self.admit(&queued.id, drawn_units, actions),
                QuotaDecision::Wait => {
                    self.set_waits_for_counter(&queued.id, true);
                    return self.quota.requeue(account, queued);
                }
                QuotaDecision::OverQuota => self.handle_over_quota(&queued.id, actions),
            }
        }
    }

    fn wait_for_counter(&mut self, account: AccountId, queued: QueuedRequest) {
        self.set_waits_for_counter(&queued.id, true);
        self.quota.enqueue(account, queued);
    }

    fn set_waits_for_counter(&mut self, id: &RequestId, waits: bool) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.waits_for_counter = waits;
        }
    }

    /// Decides the requests that have waited for the counter for the maximum time. They are decided without
    /// the counter, regardless of the state of the calls.
    pub(super) fn end_overdue_counter_waits(&mut self, actions: &mut Vec<Action>) {
        for id in self.overdue_counter_waits() {
            let Some(pending) = self.pending.get(&id) else { continue };
            let account = pending.request.account;
            self.quota.remove_from_queue(account, &id);
            self.set_waits_for_counter(&id, false);
            match self.decide_by_quota(&id, QuotaStage::AfterWaitLimit, actions) {
                QuotaDecision::Granted { drawn_units } => self.admit(&id, drawn_units, actions),
                QuotaDecision::Wait | QuotaDecision::OverQuota => self.handle_over_quota(&id, actions),
            }
        }
    }

    fn overdue_counter_waits(&self) -> Vec<RequestId> {
        let max_counter_wait = self.settings.counter.timeout * MAX_COUNTER_WAIT_TIMEOUTS;
        let is_overdue = |pending: &PendingRequest| {
            let max_wait = max_counter_wait.min(self.max_wait(pending));
            pending.waits_for_counter && self.now >= pending.arrived_at + max_wait
        };
        let overdue = self.pending.iter().filter(|(_, pending)| is_overdue(pending));
        overdue.map(|(id, _)| id.clone()).collect()
    }

    /// Decides by the load of the fleet whether to shed a request. A client retry is shed without a
    /// `Retry-After` time.
    fn decide_by_load(&self, request: &NewRequest) -> LoadDecision {
        let time_until_admission =
            self.load_shedder.time_until_admission(&self.settings, &self.balancer, request, self.now);
        let Some(time_until_admission) = time_until_admission else { return LoadDecision::Admit };
        let limits = &self.settings.limits;
        let advises_retry = limits.retry_after_allowed && !request.is_retry;
        let max_retry_after = limits.max_retry_after.max(TICK_INTERVAL);
        LoadDecision::Shed {
            retry_after: advises_retry.then(|| time_until_admission.clamp(TICK_INTERVAL, max_retry_after)),
        }
    }

    /// Returns whether a client retry would earn too little of its weight: the time that has passed since the
    /// client's first request leaves too little of the latency objective of its class, and a late response
    /// earns less than [`MIN_LATE_WEIGHT`] of the weight.
    ///
    /// The time that has passed is computed from the deadline, as the class's total timeout minus the time
    /// that remains. If the client gives each client retry as much time as a first request, it cannot be
    /// computed, and this rule does not apply to the client retry.
    fn cannot_meet_objective(&self, request: &NewRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let remaining = request.deadline.saturating_sub(self.now);
        let elapsed = class.total_timeout.saturating_sub(remaining) as f64;
        request.is_retry
            && !self.client_timeouts.is_full_timeout(request.class, remaining)
            && class.late_weight < MIN_LATE_WEIGHT
            && elapsed + self.balancer.fleet_mean_latency() / 2.0 > class.latency_objective as f64
    }

    /// Returns whether the client stops waiting before any response could arrive.
    fn cannot_meet_deadline(&self, request: &NewRequest) -> bool {
        self.now + TICK_INTERVAL + self.balancer.fleet_mean_latency() as Micros / 4 > request.deadline
    }

    /// Applies the quotas to a request: first the concurrency quota, then the quota of units. A request
    /// without a known plan, or with a plan without a quota of units, is granted without a draw.
    fn decide_by_quota(
        &mut self,
        id: &RequestId,
        stage: QuotaStage,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        let now = self.now;
        let Some(pending) = self.pending.get(id) else { return QuotaDecision::OverQuota };
        let Some(request) = quota_request(&pending.request, stage, &self.settings) else {
            return QuotaDecision::Granted { drawn_units: 0.0 };
        };
        if self.quota.is_concurrency_exhausted(&request, self.balancer.fleet_mean_latency(), now) {
            return QuotaDecision::OverQuota;
        }
        if request.plan.quota_units_per_second <= 0.0 {
            return QuotaDecision::Granted { drawn_units: 0.0 };
        }
        let fleet_load = || fleet_load(&self.load_shedder, &self.settings, &self.balancer, now);
        self.quota.draw(&self.settings, now, &mut self.random, &request, fleet_load, actions)
    }

    /// Admits a request within quota, for which `drawn_units` were drawn.
    fn admit(&mut self, id: &RequestId, drawn_units: f64, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.drawn_units = drawn_units;
        }
        self.dispatch_admitted(id, actions);
    }

    /// Serves a request over quota if it earns more than it costs and the fleet has room for it. Otherwise
    /// rejects it.
    fn handle_over_quota(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(id) else { return };
        let Some(plan) = self.settings.plans.get(pending.request.plan) else { return };
        let class = &self.settings.classes[pending.request.class];
        let expected_response_time =
            self.load_shedder.expected_response_time(&self.settings, &self.balancer, self.now);
        // Load shedding uses the shortest latency objective of all classes; here the request's own class sets
        // the limit.
        let has_room = expected_response_time < class.latency_objective as f64 * MIN_SHED_THRESHOLD;
        if has_room && is_profitable_over_quota(plan) {
            self.dispatch_admitted(id, actions);
        } else {
            self.reject_over_quota(id, actions);
        }
    }

    /// Rejects a request over quota, with a `Retry-After` time if the deferral schedule has room for one. A
    /// client retry is rejected without a `Retry-After` time.
    fn reject_over_quota(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(id).map(|pending| &pending.request) else { return };
        let Some(terms) = self.deferral_terms(request) else { return };
        let is_deferrable = self.settings.limits.retry_after_allowed && !request.is_retry;
        let deferral =
            if is_deferrable { self.deferrals.defer(request.account, &terms, self.now) } else { None };
        self.reject(id, deferral, actions);
    }

    fn deferral_terms(&self, request: &NewRequest) -> Option<DeferralTerms> {
        let plan = self.settings.plans.get(request.plan)?;
        let local_usage = self.quota.local_usage(request.account, self.now)?;
        let terms = if plan.quota_units_per_second > 0.0 {
            DeferralTerms::for_unit_quota(plan, request.units, &local_usage)
        } else {
            DeferralTerms::for_concurrency_quota(plan, self.balancer.fleet_mean_latency(), &local_usage)
        };
        Some(terms.with_horizon_up_to(self.settings.limits.max_retry_after))
    }
}

/// Returns the units that a request is counted with: at least 0, and 1 if the client's number is not finite.
fn countable_units(units: f64) -> f64 {
    if units.is_finite() {
        units.max(0.0)
    } else {
        1.0
    }
}

/// Returns the request in the form that the quotas use. Returns `None` if its plan is not in the settings.
fn quota_request<'a>(
    request: &NewRequest,
    stage: QuotaStage,
    settings: &'a Settings,
) -> Option<QuotaRequest<'a>> {
    Some(QuotaRequest {
        account: request.account,
        plan: settings.plans.get(request.plan)?,
        units: request.units,
        priority_weight: settings.classes[request.class].priority_weight,
        stage,
    })
}

/// Returns whether the plan's requests over quota earn more than they cost. Returns `false` for a plan with
/// a hard ceiling.
fn is_profitable_over_quota(plan: &Plan) -> bool {
    plan.over_quota_weight > plan.over_quota_cost && plan.ceiling_units_per_second <= 0.0
}

/// Returns the load of the fleet, from 0 to 1: the expected response time divided by the response time at
/// which requests of the greatest weight are shed.
fn fleet_load(load_shedder: &LoadShedder, settings: &Settings, balancer: &Balancer, now: Micros) -> f64 {
    let shedding_latency = (shortest_latency_objective(settings) * MAX_SHED_THRESHOLD).max(1.0);
    (load_shedder.expected_response_time(settings, balancer, now) / shedding_latency).min(1.0)
}
