//! Speculative admission: whether a request without a lease asks the counter, and whether it is admitted
//! unasked.
//!
//! Costs and values are in the unit of the classes' `priority_weight`. Each speculative admission is paid
//! from a balance that grows by a small share of what is requested: without that bound the gain of many
//! admissions would hide how much they let through beyond quota.

use std::collections::BTreeMap;

use super::account::Account;
use super::request::{QuotaRequest, QuotaStage};
use crate::decision::estimators::{DecayingMean, RandomSource};
use crate::decision::{Micros, Settings};

/// How long the counter's replies are remembered as evidence, in microseconds.
const EVIDENCE_SPAN: f64 = 15.0e6;
/// Probability of a short bucket that is assumed before the first reply.
const SHORTAGE_PRIOR: f64 = 0.3;
/// What a full fleet adds to the cost of a speculative admission, as a share of the request's value: it
/// takes the place of other requests.
const FULL_FLEET_COST: f64 = 0.5;
/// Weight of a new request in the mean value of asking.
const MEAN_VALUE_OF_ASKING_GAIN: f64 = 0.02;
/// A request asks the counter by its value of asking over the mean one, within these bounds.
const LEAST_RELATIVE_VALUE: f64 = 0.2;
const GREATEST_RELATIVE_VALUE: f64 = 5.0;
/// The share of the requested value that speculative admissions may cost. A greater share admits
/// more requests while the counter is not asked, and lets more through beyond quota.
const BALANCE_SHARE: f64 = 0.015;
/// The greatest balance, in requests of the greatest value.
const BALANCE_LIMIT: f64 = 3.0;

/// What is expected of a request that neither a lease nor the counter's totals decide.
pub(super) struct Assessment {
    /// What it costs in the mean to decide without asking, whichever way is the better: the expected value
    /// of the information that the counter has.
    value_of_asking: f64,
    /// What it costs in the mean to admit the request without asking.
    expected_cost: f64,
    /// Admitting the request without asking earns more in the mean than it costs.
    is_profitable: bool,
}

/// How likely the counter is asked about a request, and what the call then reports.
pub(super) struct AskProbability {
    pub probability: f64,
    /// How many requests that no call asks for the request represents.
    pub sampling_weight: f64,
}

/// Evidence for speculative admissions, and the balance that bounds them.
pub(super) struct Speculation {
    balance: f64,
    mean_value_of_asking: f64,
    /// By plan, the share of the counter's replies that found a bucket short.
    shortage_by_plan: BTreeMap<usize, DecayingMean>,
}

impl Speculation {
    /// Starts with the greatest balance: otherwise a new node would admit nobody before its first reply.
    pub fn new(settings: &Settings) -> Self {
        Speculation {
            balance: BALANCE_LIMIT * greatest_unit_value(settings),
            mean_value_of_asking: 0.0,
            shortage_by_plan: BTreeMap::new(),
        }
    }

    /// Takes a new request's value into the balance.
    pub fn deposit(&mut self, settings: &Settings, request_value: f64) {
        let limit = BALANCE_LIMIT * greatest_unit_value(settings);
        self.balance = (self.balance + BALANCE_SHARE * request_value).min(limit);
    }

    /// Records whether the counter's reply to a lease found the bucket short.
    pub fn record_reply(&mut self, account: &mut Account, was_short: bool, now: Micros) {
        let sample = if was_short { 1.0 } else { 0.0 };
        account.shortage.record(now, sample, EVIDENCE_SPAN);
        self.shortage_by_plan.entry(account.plan).or_default().record(now, sample, EVIDENCE_SPAN);
    }

    /// Assesses a request; `fleet_load` is 0 in an idle fleet and 1 in a full one.
    pub fn assess(
        &mut self,
        account: &Account,
        request: &QuotaRequest<'_>,
        fleet_load: f64,
        now: Micros,
    ) -> Assessment {
        let plan = request.plan;
        let shortage = self.shortage_probability(account, now);
        let cost_beyond_quota = plan.over_quota_cost - plan.over_quota_weight;
        let value = plan.weight_factor * request.units * request.priority_weight;
        let cost_of_rejecting = 1.0 - shortage;
        let cost_of_admitting = shortage * cost_beyond_quota.max(0.0);
        let value_of_asking = cost_of_rejecting.min(cost_of_admitting) * value;
        if request.stage == QuotaStage::OnArrival {
            self.mean_value_of_asking +=
                (value_of_asking - self.mean_value_of_asking) * MEAN_VALUE_OF_ASKING_GAIN;
        }
        // Where this node's part of a burst holds a request, the even share serves.
        let even_share_is_too_small = plan.burst_units / account.node_count < account.demand.mean_units;
        let has_hard_ceiling = plan.ceiling_units_per_second > 0.0;
        // In a full fleet what is admitted displaces other requests: doubtful ones are the first to go.
        let earns_its_cost = cost_of_rejecting > shortage * cost_beyond_quota + fleet_load * FULL_FLEET_COST;
        Assessment {
            value_of_asking,
            expected_cost: cost_of_admitting * value,
            is_profitable: even_share_is_too_small && !has_hard_ceiling && earns_its_cost,
        }
    }

    /// How likely the counter is asked: more likely the more it is of use, so that about `ask_share` of all
    /// requests ask.
    pub fn ask_probability(&self, assessment: &Assessment, ask_share: f64) -> AskProbability {
        let relative_value = assessment.value_of_asking / self.mean_value_of_asking.max(1e-9);
        let odds = ask_share * relative_value.clamp(LEAST_RELATIVE_VALUE, GREATEST_RELATIVE_VALUE);
        let probability = odds / (1.0 - ask_share + odds);
        // Those that ask also report what is admitted unasked, as a sample of it.
        let sampling_weight = if assessment.is_profitable { 1.0 / probability - 1.0 } else { 0.0 };
        AskProbability { probability, sampling_weight }
    }

    /// Admits a request that is profitable, if the bucket should hold it, and pays for it. Returns whether
    /// it did. While the counter fails repeatedly nothing better is known and paying would keep nobody's
    /// quota, so it is free.
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

    /// How likely the account's bucket is short: by its own replies, and at first by those of its plan.
    fn shortage_probability(&self, account: &Account, now: Micros) -> f64 {
        let prior = self
            .shortage_by_plan
            .get(&account.plan)
            .map_or(SHORTAGE_PRIOR, |shortage| shortage.with_prior(now, SHORTAGE_PRIOR, EVIDENCE_SPAN));
        account.shortage.with_prior(now, prior, EVIDENCE_SPAN)
    }
}

/// Draws by chance whether the request is in the sample that calls the counter.
pub(super) fn samples_call(ask: &AskProbability, random: &mut RandomSource) -> bool {
    random.uniform() < ask.probability
}

/// The greatest value of a unit, over all classes and plans.
fn greatest_unit_value(settings: &Settings) -> f64 {
    let priority = settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
    priority * settings.plans.iter().map(|plan| plan.weight_factor).fold(0.0, f64::max)
}
