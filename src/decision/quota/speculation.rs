//! Speculative admission: whether a request without a lease calls the counter, and whether it is admitted
//! without a call.
//!
//! The value of a request is its weight times its units. Costs and values are in the unit of the classes'
//! `priority_weight`. Each speculative admission is paid from a balance that grows by a small share of the
//! requested value. Without this bound, admissions that each seem worth their risk could together admit many
//! units over quota.

use std::collections::BTreeMap;

use super::account::Account;
use super::request::{QuotaRequest, QuotaStage};
use crate::decision::estimators::{DecayingMean, RandomSource};
use crate::decision::{Micros, Settings};

/// Time constant, in microseconds, with which the counter's replies lose weight as evidence of shortage.
const SHORTAGE_TIME_CONSTANT: f64 = 15.0e6;
/// Probability that a bucket is short, assumed before the first reply.
const SHORTAGE_PRIOR: f64 = 0.3;
/// Cost that a fully loaded fleet adds to a speculative admission, as a share of the request's value. The
/// request takes the place of other requests.
const FULL_FLEET_COST: f64 = 0.5;
/// Weight of a new request in the mean value of information.
const MEAN_VALUE_OF_INFORMATION_GAIN: f64 = 0.02;
/// The value of information of a request relative to the mean one determines how likely it calls the counter.
/// The ratio is clamped to these bounds.
const MIN_RELATIVE_VALUE: f64 = 0.2;
const MAX_RELATIVE_VALUE: f64 = 5.0;
/// Share of the requested value that speculative admissions may cost. A greater share admits more requests
/// while the counter is not called, and admits more units over quota.
const BALANCE_ACCRUAL_SHARE: f64 = 0.015;
/// Maximum balance, in requests of one unit and of the greatest value.
const MAX_BALANCE: f64 = 3.0;

/// The expected costs of a request that is decided neither by a lease nor by the counter's totals.
pub(super) struct Assessment {
    /// Expected cost of deciding without a call, if the cheaper of admitting and rejecting is chosen. A call
    /// avoids this cost, so this is the expected value of the information that the counter has.
    value_of_information: f64,
    /// Expected cost of admitting the request without a call.
    expected_cost: f64,
    /// Whether the expected gain of admitting the request without a call exceeds its cost.
    is_profitable: bool,
}

/// How likely a request calls the counter, and how many requests the call represents.
pub(super) struct CallSampling {
    pub probability: f64,
    /// Number of requests without a call of their own that the call represents.
    pub sampling_weight: f64,
}

/// Evidence for speculative admissions, and the balance that bounds them.
pub(super) struct Speculation {
    balance: f64,
    mean_value_of_information: f64,
    /// Share of the counter's replies that found a bucket short, 0 to 1, by index of the plan.
    shortage_by_plan: BTreeMap<usize, DecayingMean>,
}

impl Speculation {
    /// Starts with the maximum balance; otherwise a new node would admit no request before its first reply.
    pub fn new(settings: &Settings) -> Self {
        Speculation {
            balance: MAX_BALANCE * max_unit_value(settings),
            mean_value_of_information: 0.0,
            shortage_by_plan: BTreeMap::new(),
        }
    }

    /// Adds a share of a new request's value to the balance.
    pub fn deposit(&mut self, settings: &Settings, request_value: f64) {
        let limit = MAX_BALANCE * max_unit_value(settings);
        self.balance = (self.balance + BALANCE_ACCRUAL_SHARE * request_value).min(limit);
    }

    /// Records whether the counter's reply to a lease found the bucket short.
    pub fn record_reply(&mut self, account: &mut Account, was_short: bool, now: Micros) {
        let sample = if was_short { 1.0 } else { 0.0 };
        account.shortage.record(now, sample, SHORTAGE_TIME_CONSTANT);
        self.shortage_by_plan.entry(account.plan).or_default().record(now, sample, SHORTAGE_TIME_CONSTANT);
    }

    /// Assesses a request. `fleet_load` is 0 in an idle fleet and 1 in a full one.
    pub fn assess(
        &mut self,
        account: &Account,
        request: &QuotaRequest<'_>,
        fleet_load: f64,
        now: Micros,
    ) -> Assessment {
        let plan = request.plan;
        let shortage = self.shortage_probability(account, now);
        let net_over_quota_cost = plan.over_quota_cost - plan.over_quota_weight;
        let value = plan.weight_factor * request.units * request.priority_weight;
        let cost_of_rejecting = 1.0 - shortage;
        let cost_of_admitting = shortage * net_over_quota_cost.max(0.0);
        let value_of_information = cost_of_rejecting.min(cost_of_admitting) * value;
        if request.stage == QuotaStage::OnArrival {
            self.mean_value_of_information +=
                (value_of_information - self.mean_value_of_information) * MEAN_VALUE_OF_INFORMATION_GAIN;
        }
        // If this node's part of the burst holds a mean request, the even share admits requests instead.
        let even_share_is_too_small = plan.burst_units / account.node_count < account.demand.mean_units;
        let has_hard_ceiling = plan.ceiling_units_per_second > 0.0;
        // In a full fleet an admitted request displaces others, so doubtful requests are the first to be
        // rejected.
        let gain_exceeds_cost =
            cost_of_rejecting > shortage * net_over_quota_cost + fleet_load * FULL_FLEET_COST;
        Assessment {
            value_of_information,
            expected_cost: cost_of_admitting * value,
            is_profitable: even_share_is_too_small && !has_hard_ceiling && gain_exceeds_cost,
        }
    }

    /// Returns how likely the request calls the counter. The probability grows with the value of information;
    /// about `call_share` of all requests call.
    pub fn call_sampling(&self, assessment: &Assessment, call_share: f64) -> CallSampling {
        let relative_value = assessment.value_of_information / self.mean_value_of_information.max(1e-9);
        let odds = call_share * relative_value.clamp(MIN_RELATIVE_VALUE, MAX_RELATIVE_VALUE);
        let probability = odds / (1.0 - call_share + odds);
        // The call also reports the requests admitted without one, of which it is a sample.
        let sampling_weight = if assessment.is_profitable { 1.0 / probability - 1.0 } else { 0.0 };
        CallSampling { probability, sampling_weight }
    }

    /// Admits a profitable request if the bucket is expected to hold its units, and pays its expected cost
    /// from the balance. Returns whether the request was admitted.
    ///
    /// While calls to the counter fail repeatedly, the admission is free: no better information is available,
    /// and payment would protect no quota.
    pub fn try_admit(
        &mut self,
        assessment: &Assessment,
        units: f64,
        bucket_level: f64,
        counter_has_failed_repeatedly: bool,
    ) -> bool {
        if !assessment.is_profitable || bucket_level < units {
            return false;
        }
        if counter_has_failed_repeatedly {
            return true;
        }
        let is_affordable = self.balance >= assessment.expected_cost;
        if is_affordable {
            self.balance -= assessment.expected_cost;
        }
        is_affordable
    }

    /// Returns the probability that the account's bucket is short. It is based on the replies to the account,
    /// and initially on those to its plan.
    fn shortage_probability(&self, account: &Account, now: Micros) -> f64 {
        let prior = self
            .shortage_by_plan
            .get(&account.plan)
            .map_or(SHORTAGE_PRIOR, |mean| mean.with_prior(now, SHORTAGE_PRIOR, SHORTAGE_TIME_CONSTANT));
        account.shortage.with_prior(now, prior, SHORTAGE_TIME_CONSTANT)
    }
}

/// Draws at random whether the request is in the sample that calls the counter.
pub(super) fn samples_call(sampling: &CallSampling, random: &mut RandomSource) -> bool {
    random.uniform() < sampling.probability
}

/// Returns the greatest value of one unit, over all classes and plans.
fn max_unit_value(settings: &Settings) -> f64 {
    let priority = settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
    priority * settings.plans.iter().map(|plan| plan.weight_factor).fold(0.0, f64::max)
}
