//! Accounts: how many requests they send, their quotas, and exact token buckets that no node sees.

use edge_node::decision::{DeduplicationScope, Idempotency, Micros, Plan, RequestClass};
use rand::rngs::StdRng;
use rand::Rng;

use super::random::pick_by_share;

/// A value and the share of the accounts that have it.
struct Weighted {
    value: f64,
    share: f64,
}

const fn weighted(value: f64, share: f64) -> Weighted {
    Weighted { value, share }
}

/// Relative sizes of the plans with a quota.
const PLAN_SIZES: [Weighted; 3] = [weighted(1.0, 0.6), weighted(4.0, 0.3), weighted(16.0, 0.1)];
/// Requested units relative to the quota: far below it, close to it, twice as much.
const UTILIZATIONS: [Weighted; 3] = [weighted(0.35, 0.6), weighted(0.9, 0.25), weighted(2.0, 0.15)];
/// A plan's burst is what its quota adds in this many seconds...
const BURST_SECONDS: f64 = 5.0;
/// ... but at least this many units.
const MIN_BURST_UNITS: f64 = 6.0;
/// Share of the requests that use two units; all others use one.
const TWO_UNIT_SHARE: f64 = 0.2;
/// Index of the plan without a quota, which comes last.
const UNLIMITED_PLAN: usize = PLAN_SIZES.len();
/// On the wire an account's number has this many bits...
const ACCOUNT_KEY_BITS: u32 = 33;
/// ... of which the low ones are its index, so that no two accounts share a number.
pub const ACCOUNT_INDEX_BITS: u32 = 20;

/// Whether a request fits into its account's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaStanding {
    /// It fits, or its plan has no quota.
    Within,
    /// It is beyond the quota.
    Beyond,
}

/// A token bucket with exact knowledge of all nodes.
#[derive(Clone, Copy)]
struct ExactBucket {
    tokens: f64,
    updated_at: Micros,
}

impl ExactBucket {
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

/// One account.
pub struct Account {
    /// Its number on the wire.
    pub key: u64,
    /// Index of its plan.
    pub plan: usize,
    /// Requests a second, not counting retries.
    pub rate: f64,
    /// First of the nodes that get its requests.
    pub first_node: u32,
    /// Units requested within the quota in the measured time.
    pub requested_units: f64,
    /// Units served within the quota in the measured time.
    pub served_units: f64,
    /// Charged for each request when it is first sent.
    requested: ExactBucket,
    /// Charged for each try for which a node starts an attempt.
    admitted: ExactBucket,
}

impl Account {
    /// Charges a request that is sent for the first time.
    pub fn charge_request(&mut self, now: Micros, plan: &Plan, units: f64) -> QuotaStanding {
        self.requested.take(now, plan, units)
    }

    /// Charges a try for which a node starts its first attempt.
    pub fn charge_admission(&mut self, now: Micros, plan: &Plan, units: f64) -> QuotaStanding {
        self.admitted.take(now, plan, units)
    }
}

/// Draws the units of one request.
pub fn draw_units(random: &mut StdRng) -> f64 {
    if random.random_bool(TWO_UNIT_SHARE) {
        2.0
    } else {
        1.0
    }
}

/// What the accounts of a run have in common.
pub struct AccountMix {
    /// How many accounts there are.
    pub count: usize,
    /// How many nodes there are.
    pub nodes: u32,
    /// Requests a second of all accounts together, not counting retries.
    pub rate: f64,
    /// Share of that rate that accounts under a quota send.
    pub quota_share: f64,
}

/// The accounts of a run and their plans.
pub struct Population {
    /// The accounts.
    pub accounts: Vec<Account>,
    /// The plans, by index.
    pub plans: Vec<Plan>,
}

/// What is drawn for an account before the rates are scaled.
struct Profile {
    plan_size: usize,
    relative_rate: f64,
    under_quota: bool,
}

/// Factors from relative rates to requests a second.
struct RateScale {
    under_quota: f64,
    unlimited: f64,
}

impl RateScale {
    fn new(profiles: &[Profile], mix: &AccountMix) -> Self {
        let with_quota = total_rate(profiles, true);
        let without_quota = total_rate(profiles, false);
        // With few accounts one of the groups may be empty; the other one then sends everything.
        let share = match (with_quota > 0.0, without_quota > 0.0) {
            (true, true) => mix.quota_share,
            (true, false) => 1.0,
            _ => 0.0,
        };
        RateScale {
            under_quota: mix.rate * share / with_quota.max(1e-9),
            unlimited: mix.rate * (1.0 - share) / without_quota.max(1e-9),
        }
    }
}

fn total_rate(profiles: &[Profile], under_quota: bool) -> f64 {
    let selected = profiles.iter().filter(|profile| profile.under_quota == under_quota);
    selected.map(|profile| profile.relative_rate).sum::<f64>()
}

/// Draws the accounts and their plans; the token buckets are full at `now`.
pub fn populate(random: &mut StdRng, mix: &AccountMix, now: Micros) -> Population {
    let mut profiles: Vec<Profile> = Vec::with_capacity(mix.count);
    for _ in 0..mix.count {
        profiles.push(draw_profile(random, mix.quota_share));
    }
    let scale = RateScale::new(&profiles, mix);
    let plans = plans(&scale);
    let mut accounts = Vec::with_capacity(mix.count);
    for (index, profile) in profiles.into_iter().enumerate() {
        let plan = if profile.under_quota { profile.plan_size } else { UNLIMITED_PLAN };
        let scale = if profile.under_quota { scale.under_quota } else { scale.unlimited };
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
        under_quota: random.random::<f64>() < quota_share,
    }
}

fn draw_weighted(random: &mut StdRng, table: &[Weighted]) -> usize {
    let shares = table.iter().map(|entry| entry.share);
    pick_by_share(random, shares).unwrap_or(table.len() - 1)
}

/// The plans with a quota by size, and last the one without.
fn plans(scale: &RateScale) -> Vec<Plan> {
    let mut plans = Vec::with_capacity(PLAN_SIZES.len() + 1);
    for size in &PLAN_SIZES {
        let quota_rate = (size.value * scale.under_quota * (1.0 + TWO_UNIT_SHARE)).max(1e-6);
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

/// The share of the requests that each of the [`classes`] has.
pub const CLASS_SHARES: [f64; 3] = [0.7, 0.2, 0.1];

/// The classes of request: one for each kind of idempotency.
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
