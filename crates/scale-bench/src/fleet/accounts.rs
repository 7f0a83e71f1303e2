//! Draws the accounts with their request rates and plans, and defines the request classes.
//!
//! Each account has exact token buckets that are charged for its requests at all nodes. The buckets determine
//! which requests are within the quota. Nodes have no access to them.

use edge_node::decision::{DeduplicationScope, Idempotency, Micros, Plan, RequestClass};
use rand::rngs::StdRng;
use rand::Rng;

use super::random::pick_by_share;

/// A value and the share of the accounts that have it, from 0 to 1.
struct Weighted {
    value: f64,
    share: f64,
}

const fn weighted(value: f64, share: f64) -> Weighted {
    Weighted { value, share }
}

/// Quotas of the plans that have one, relative to the smallest, with the share of the accounts on each plan.
const PLAN_SIZES: [Weighted; 3] = [weighted(1.0, 0.6), weighted(4.0, 0.3), weighted(16.0, 0.1)];
/// Units that an account requests relative to its quota: far below the quota, close to it, and twice the
/// quota.
const UTILIZATIONS: [Weighted; 3] = [weighted(0.35, 0.6), weighted(0.9, 0.25), weighted(2.0, 0.15)];
/// A plan's burst equals the units that its quota grants in this many seconds, but is at least
/// [`MIN_BURST_UNITS`].
const BURST_SECONDS: f64 = 5.0;
/// The smallest burst of a plan with a quota, in units.
const MIN_BURST_UNITS: f64 = 6.0;
/// Share of the requests that use two units. All other requests use one.
const TWO_UNIT_SHARE: f64 = 0.2;
/// Index of the plan without a quota. It follows the plans with a quota.
const UNLIMITED_PLAN: usize = PLAN_SIZES.len();
/// Number of bits of an account's key.
const ACCOUNT_KEY_BITS: u32 = 33;
/// Number of low bits of an account's key that hold the account's index, so that no two accounts share a key.
/// The other bits are random.
pub const ACCOUNT_INDEX_BITS: u32 = 20;

/// Whether a request is within its account's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaStanding {
    /// It is within the quota, or its plan has no quota.
    Within,
    /// It exceeds the quota.
    Beyond,
}

/// A token bucket that is charged for the requests of one account at all nodes without delay.
#[derive(Clone, Copy)]
struct ExactBucket {
    tokens: f64,
    updated_at: Micros,
}

impl ExactBucket {
    /// Refills the bucket up to `now` and takes `units`, unless it holds fewer.
    fn take(&mut self, now: Micros, plan: &Plan, units: f64) -> QuotaStanding {
        if plan.quota_units_per_second <= 0.0 {
            return QuotaStanding::Within;
        }
        let seconds = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.tokens = (self.tokens + plan.quota_units_per_second * seconds).min(plan.burst_units);
        self.updated_at = now;
        if self.tokens >= units {
            self.tokens -= units;
            QuotaStanding::Within
        } else {
            QuotaStanding::Beyond
        }
    }
}

/// An account and what was counted for it.
pub struct Account {
    /// The account id that nodes receive with its requests.
    pub key: u64,
    /// Index of its plan in [`Population::plans`].
    pub plan: usize,
    /// Mean request rate in requests/s, not counting retries.
    pub rate: f64,
    /// Index of the first of the consecutive nodes that receive its requests.
    pub first_node: u32,
    /// Units of its requests within the quota that were first sent in the measured time.
    pub requested_units: f64,
    /// Units of its requests from the measured time that were served and whose serving try was within the
    /// quota.
    pub served_units: f64,
    /// Charged for each request when the client first sends it.
    requested: ExactBucket,
    /// Charged for each try when a node starts the first attempt for it.
    admitted: ExactBucket,
}

impl Account {
    /// Charges a request that a client sends for the first time, and returns whether it is within the quota.
    pub fn charge_request(&mut self, now: Micros, plan: &Plan, units: f64) -> QuotaStanding {
        self.requested.take(now, plan, units)
    }

    /// Charges a try for which a node starts the first attempt, and returns whether it is within the quota.
    pub fn charge_admission(&mut self, now: Micros, plan: &Plan, units: f64) -> QuotaStanding {
        self.admitted.take(now, plan, units)
    }
}

/// Draws the units of one request: 1 or 2.
pub fn draw_units(random: &mut StdRng) -> f64 {
    if random.random_bool(TWO_UNIT_SHARE) {
        2.0
    } else {
        1.0
    }
}

/// The parameters from which the accounts of a run are drawn.
pub struct AccountMix {
    /// Number of accounts.
    pub count: usize,
    /// Number of nodes.
    pub nodes: u32,
    /// Request rate of all accounts together in requests/s, not counting retries.
    pub rate: f64,
    /// Share of `rate` that accounts with a quota send, and the probability that an account has a quota; 0 to
    /// 1.
    pub quota_share: f64,
}

/// The accounts of a run and their plans.
pub struct Population {
    /// The accounts.
    pub accounts: Vec<Account>,
    /// The plans; [`Account::plan`] is an index into them.
    pub plans: Vec<Plan>,
}

/// The properties of an account that are drawn before its rate is scaled.
struct Profile {
    plan_size: usize,
    relative_rate: f64,
    has_quota: bool,
}

/// Factors that convert the relative rates of accounts with and without a quota to requests/s.
struct RateScale {
    with_quota: f64,
    unlimited: f64,
}

impl RateScale {
    fn new(profiles: &[Profile], mix: &AccountMix) -> Self {
        let with_quota = total_rate(profiles, true);
        let without_quota = total_rate(profiles, false);
        // If there are few accounts, one of the two groups may be empty. The other group then sends all
        // requests.
        let share = match (with_quota > 0.0, without_quota > 0.0) {
            (true, true) => mix.quota_share,
            (true, false) => 1.0,
            _ => 0.0,
        };
        RateScale {
            with_quota: mix.rate * share / with_quota.max(1e-9),
            unlimited: mix.rate * (1.0 - share) / without_quota.max(1e-9),
        }
    }
}

fn total_rate(profiles: &[Profile], has_quota: bool) -> f64 {
    let selected = profiles.iter().filter(|profile| profile.has_quota == has_quota);
    selected.map(|profile| profile.relative_rate).sum::<f64>()
}

/// Draws the accounts and derives the plans from them. All token buckets are full at `now`.
pub fn populate(random: &mut StdRng, mix: &AccountMix, now: Micros) -> Population {
    let mut profiles: Vec<Profile> = Vec::with_capacity(mix.count);
    for _ in 0..mix.count {
        profiles.push(draw_profile(random, mix.quota_share));
    }
    let scale = RateScale::new(&profiles, mix);
    let plans = plans(&scale);
    let mut accounts = Vec::with_capacity(mix.count);
    for (index, profile) in profiles.into_iter().enumerate() {
        let plan = if profile.has_quota { profile.plan_size } else { UNLIMITED_PLAN };
        let scale = if profile.has_quota { scale.with_quota } else { scale.unlimited };
        let full_bucket = ExactBucket { tokens: plans[plan].burst_units, updated_at: now };
        let random_bits = u64::from(random.random::<u32>()) << ACCOUNT_INDEX_BITS;
        accounts.push(Account {
            key: (random_bits | index as u64) & ((1 << ACCOUNT_KEY_BITS) - 1),
            plan,
            rate: profile.relative_rate * scale,
            first_node: random.random_range(0..mix.nodes),
            requested_units: 0.0,
            served_units: 0.0,
            requested: full_bucket,
            admitted: full_bucket,
        });
    }
    Population { accounts, plans }
}

fn draw_profile(random: &mut StdRng, quota_share: f64) -> Profile {
    let plan_size = draw_weighted(random, &PLAN_SIZES);
    let utilization = draw_weighted(random, &UTILIZATIONS);
    Profile {
        plan_size,
        relative_rate: PLAN_SIZES[plan_size].value * UTILIZATIONS[utilization].value,
        has_quota: random.random::<f64>() < quota_share,
    }
}

fn draw_weighted(random: &mut StdRng, table: &[Weighted]) -> usize {
    let shares = table.iter().map(|entry| entry.share);
    pick_by_share(random, shares).unwrap_or(table.len() - 1)
}

/// Returns the plans with a quota in the order of [`PLAN_SIZES`], followed by the plan without one.
fn plans(scale: &RateScale) -> Vec<Plan> {
    let mut plans = Vec::with_capacity(PLAN_SIZES.len() + 1);
    for size in &PLAN_SIZES {
        let quota_rate = (size.value * scale.with_quota * (1.0 + TWO_UNIT_SHARE)).max(1e-6);
        plans.push(Plan {
            quota_units_per_second: quota_rate,
            burst_units: (quota_rate * BURST_SECONDS).max(MIN_BURST_UNITS),
            over_quota_cost: 1.0,
            weight_factor: 1.0,
            ..Plan::default()
        });
    }
    plans.push(Plan { weight_factor: 1.0, ..Plan::default() });
    plans
}

/// Share of the requests that belong to each of the [`classes`], by class index.
pub const CLASS_SHARES: [f64; 3] = [0.7, 0.2, 0.1];

/// Returns the request classes, one for each kind of idempotency.
pub fn classes() -> Vec<RequestClass> {
    let class = |idempotency, priority_weight, latency_objective, total_timeout| RequestClass {
        latency_objective,
        total_timeout,
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 1_500_000,
        priority_weight,
        late_weight: 0.3,
        streaming: false,
    };
    vec![
        class(Idempotency::Safe, 1.0, 500_000, 2_000_000),
        class(Idempotency::Keyed, 2.0, 750_000, 2_500_000),
        class(Idempotency::NonIdempotent, 3.0, 1_000_000, 3_000_000),
    ]
}
