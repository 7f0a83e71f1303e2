//! The deferral schedule of DSRT (docs/design.md), which the normal path of a request follows: a rejected
//! request over quota gets a `Retry-After` time. The times of an account's requests are spaced apart, and at
//! most a limited number of them, D in the DSRT paper, is outstanding. Beyond that, requests are rejected
//! without a `Retry-After` time.

use std::collections::{BTreeMap, VecDeque};

use super::estimators::MICROS_PER_SECOND;
use super::quota::LocalUsage;
use super::{AccountId, Micros, Plan};

/// Maximum number of outstanding deferrals of one account (D).
const MAX_OUTSTANDING: usize = 16;

/// The outstanding deferrals of this node's accounts: their clients were given a `Retry-After` time that has
/// not been reached.
#[derive(Default)]
pub(super) struct DeferralSchedule {
    /// Times at which the clients should retry, the earliest first.
    outstanding: BTreeMap<AccountId, VecDeque<Micros>>,
}

impl DeferralSchedule {
    /// Defers a request to one spacing after the account's latest outstanding deferral, or after `now` if it
    /// has none. Returns the time from `now` until then. Returns `None` if the account has as many
    /// outstanding deferrals as the terms allow.
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

    /// Drops the deferrals of an account.
    pub fn drop_account(&mut self, account: AccountId) {
        self.outstanding.remove(&account);
    }

    /// Drops the deferrals of the accounts for which `is_kept` returns `false`.
    pub fn retain_accounts(&mut self, is_kept: impl Fn(AccountId) -> bool) {
        self.outstanding.retain(|&account, _| is_kept(account));
    }
}

/// The terms by which the deferrals of one account are scheduled.
pub(super) struct DeferralTerms {
    /// Time between two deferrals, in microseconds.
    spacing: f64,
    /// How far in the future deferrals may be, in microseconds.
    horizon: f64,
}

impl DeferralTerms {
    /// Returns the terms for a request of a plan with a quota of units.
    ///
    /// The spacing is the time in which this node draws the request's units again, at its recent rate or at
    /// its even share of the quota, whichever is greater. The horizon is the time in which a burst refills.
    pub fn for_unit_quota(plan: &Plan, units: f64, local_usage: &LocalUsage) -> Self {
        let quota_rate = plan.quota_units_per_second;
        let drawn_rate = local_usage.drawn_rate.max(quota_rate / local_usage.node_count);
        DeferralTerms {
            spacing: units / drawn_rate * MICROS_PER_SECOND,
            horizon: plan.burst_units / quota_rate * MICROS_PER_SECOND,
        }
    }

    /// Returns the terms for a request of a plan that only has a concurrency quota.
    ///
    /// The spacing is the mean time until one of the account's attempts at this node ends, while this node
    /// uses its even share of the concurrency quota, at least 1. The horizon is the time in which as many
    /// attempts as the quota allows end one after another. `fleet_mean_latency` is in microseconds.
    pub fn for_concurrency_quota(plan: &Plan, fleet_mean_latency: f64, local_usage: &LocalUsage) -> Self {
        let local_concurrency_quota = (plan.max_in_flight as f64 / local_usage.node_count).max(1.0);
        DeferralTerms {
            spacing: fleet_mean_latency / local_concurrency_quota,
            horizon: fleet_mean_latency * plan.max_in_flight as f64,
        }
    }

    /// Limits the horizon to `max_retry_after`, the maximum time that clients follow.
    pub fn with_horizon_up_to(self, max_retry_after: Micros) -> Self {
        DeferralTerms { horizon: self.horizon.min(max_retry_after as f64), ..self }
    }

    fn max_outstanding(&self) -> usize {
        ((self.horizon / self.spacing.max(1.0)) as usize).min(MAX_OUTSTANDING)
    }
}
