//! The deferral schedule (DSRT in docs/design.md): requests beyond quota are rejected with times to come
//! back that are spaced apart.

use std::collections::{BTreeMap, VecDeque};

use super::estimators::MICROS_PER_SECOND;
use super::quota::LocalUse;
use super::{AccountId, Micros, Plan};

/// The most deferrals of an account that are outstanding at once: D of the paper.
const MAX_OUTSTANDING: usize = 16;

/// The deferrals of this node's accounts that are outstanding: promised and not yet due.
#[derive(Default)]
pub(super) struct DeferralSchedule {
    /// When the clients are to come back, the earliest first.
    outstanding: BTreeMap<AccountId, VecDeque<Micros>>,
}

impl DeferralSchedule {
    /// Defers a request to one spacing after the account's latest deferral. Returns the time from now until
    /// then; none if as many deferrals are outstanding as the terms allow.
    pub fn defer(&mut self, account: AccountId, terms: &DeferralTerms, now: Micros) -> Option<Micros> {
        let outstanding = self.outstanding.entry(account).or_default();
        outstanding.retain(|&due_at| due_at > now);
        if outstanding.len() >= terms.max_outstanding() {
            return None;
        }
        let due_at = outstanding.back().copied().unwrap_or(now) + terms.spacing as Micros;
        outstanding.push_back(due_at);
        Some(due_at - now)
    }

    /// Forgets the deferrals of all accounts but those that are kept.
    pub fn retain_accounts(&mut self, is_kept: impl Fn(AccountId) -> bool) {
        self.outstanding.retain(|&account, _| is_kept(account));
    }
}

/// How far apart deferrals are, and how far ahead they may reach. Both in microseconds.
pub(super) struct DeferralTerms {
    spacing: f64,
    horizon: f64,
}

impl DeferralTerms {
    /// The terms for a request of a plan with a quota of units: it comes back once its units have been
    /// drawn anew, and within the time in which a burst refills.
    pub fn for_unit_quota(plan: &Plan, units: f64, local_use: &LocalUse) -> Self {
        let quota_rate = plan.quota_units_per_second;
        let drawn_rate = local_use.drawn_rate.max(quota_rate / local_use.node_count);
        DeferralTerms {
            spacing: units / drawn_rate * MICROS_PER_SECOND,
            horizon: plan.burst_units / quota_rate * MICROS_PER_SECOND,
        }
    }

    /// The terms for a request of a plan that only limits its attempts in flight: it comes back once one of
    /// this node's slots is free.
    pub fn for_concurrency_quota(plan: &Plan, fleet_mean_latency: f64, local_use: &LocalUse) -> Self {
        let local_slots = (plan.max_in_flight as f64 / local_use.node_count).max(1.0);
        DeferralTerms {
            spacing: fleet_mean_latency / local_slots,
            horizon: fleet_mean_latency * plan.max_in_flight as f64,
        }
    }

    /// Keeps the deferrals within the longest time that clients follow.
    pub fn within(self, max_retry_after: Micros) -> Self {
        DeferralTerms { horizon: self.horizon.min(max_retry_after as f64), ..self }
    }

    fn max_outstanding(&self) -> usize {
        ((self.horizon / self.spacing.max(1.0)) as usize).min(MAX_OUTSTANDING)
    }
}
