//! Customers: what they ask, their quotas, and an exact bucket for each that no node sees.

use edge_node::decision::{DeduplicationScope, Idempotency, Micros, Plan, RequestClass};
use rand::rngs::StdRng;
use rand::Rng;

/// Relative sizes of the plans with a quota, and how many customers hold each.
const SIZES: [(f64, f64); 3] = [(1.0, 0.6), (4.0, 0.3), (16.0, 0.1)];
/// What customers ask beside their quota, and how many do: little, nearly all, twice as much.
const USES: [(f64, f64); 3] = [(0.35, 0.6), (0.9, 0.25), (2.0, 0.15)];
/// A plan's burst is what fills it in so many seconds, and so many units at least.
const BURST_SECONDS: f64 = 5.0;
const BURST_LEAST: f64 = 6.0;
/// Units of a request: some draw two.
const TWICE: f64 = 0.2;
/// The plan without a quota comes last.
pub const OPEN_PLAN: usize = SIZES.len();

/// Token bucket that is always right.
#[derive(Clone, Copy)]
struct Bucket {
    store: f64,
    at: Micros,
}

impl Bucket {
    fn take(&mut self, now: Micros, plan: &Plan, units: f64) -> bool {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        (self.store, self.at) =
            ((self.store + plan.quota_units_per_second * span).min(plan.burst_units), now);
        let holds = self.store >= units;
        self.store -= if holds { units } else { 0.0 };
        holds
    }
}

/// One customer.
pub struct Customer {
    /// Its number on the wire.
    pub key: u64,
    /// Its plan.
    pub plan: usize,
    /// First tries a second.
    pub rate: f64,
    /// First node of its set.
    pub first_node: u32,
    /// What one gateway that saw all first tries would let in.
    offered: Bucket,
    /// What the tries that were sent on took.
    drawn: Bucket,
    /// Units asked inside the quota and units served inside it, of the time measured.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
}

impl Customer {
    /// Whether a first try is inside the quota.
    pub fn offer(&mut self, now: Micros, plan: &Plan, units: f64) -> bool {
        plan.quota_units_per_second <= 0.0 || self.offered.take(now, plan, units)
    }

    /// Whether a try that is sent on for the first time is inside the quota.
    pub fn draw(&mut self, now: Micros, plan: &Plan, units: f64) -> bool {
        plan.quota_units_per_second <= 0.0 || self.drawn.take(now, plan, units)
    }
}

/// Time to the next event of a Poisson process of `rate` a second.
pub fn gap(random: &mut StdRng, rate: f64) -> Micros {
    (exponential(random) / rate * 1e6).min(1e15) as Micros
}

/// An exponential number of mean 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Units of one request.
pub fn units(random: &mut StdRng) -> f64 {
    if random.random_bool(TWICE) {
        2.0
    } else {
        1.0
    }
}

fn draw<const N: usize>(random: &mut StdRng, table: &[(f64, f64); N]) -> usize {
    let mut lot = random.random::<f64>();
    for (place, (_, share)) in table.iter().enumerate() {
        lot -= share;
        if lot < 0.0 {
            return place;
        }
    }
    N - 1
}

/// Draws customers who ask `rate` a second together, of which `quota_share` under a quota, and their plans.
pub fn populate(
    random: &mut StdRng,
    count: usize,
    nodes: u32,
    rate: f64,
    quota_share: f64,
    now: Micros,
) -> (Vec<Customer>, Vec<Plan>) {
    let mut drawn: Vec<(usize, f64, bool)> = Vec::with_capacity(count);
    for _ in 0..count {
        let (size, part) = (draw(random, &SIZES), draw(random, &USES));
        drawn.push((size, SIZES[size].0 * USES[part].0, random.random::<f64>() < quota_share));
    }
    // With a few customers chance may leave one side empty; the other then asks all.
    let sum = |quota: bool| drawn.iter().filter(|d| d.2 == quota).map(|d| d.1).sum::<f64>();
    let (with, without) = (sum(true), sum(false));
    let share = match (with > 0.0, without > 0.0) {
        (true, true) => quota_share,
        (true, false) => 1.0,
        _ => 0.0,
    };
    let scale = |quota: bool| match quota {
        true => rate * share / with.max(1e-9),
        false => rate * (1.0 - share) / without.max(1e-9),
    };
    let mut plans: Vec<Plan> = SIZES
        .iter()
        .map(|(size, _)| {
            let quota_rate = (size * scale(true) * (1.0 + TWICE)).max(1e-6);
            let burst = (quota_rate * BURST_SECONDS).max(BURST_LEAST);
            Plan {
                quota_units_per_second: quota_rate,
                burst_units: burst,
                over_quota_cost: 1.0,
                weight_factor: 1.0,
                ..Plan::default()
            }
        })
        .collect();
    plans.push(Plan { weight_factor: 1.0, ..Plan::default() });
    let customers = drawn.into_iter().enumerate().map(|(number, (size, asks, quota))| {
        let plan = if quota { size } else { OPEN_PLAN };
        let full = Bucket { store: plans[plan].burst_units, at: now };
        Customer {
            // No two share a number, which on the wire has 33 bits.
            key: (u64::from(random.random::<u32>()) << 20 | number as u64) & ((1 << 33) - 1),
            plan,
            rate: asks * scale(quota),
            first_node: random.random_range(0..nodes),
            offered: full,
            drawn: full,
            asked: 0.0,
            served: 0.0,
        }
    });
    (customers.collect(), plans)
}

/// The classes, and the share of the requests that each has.
pub fn classes() -> (Vec<RequestClass>, [f64; 3]) {
    let class = |effect, credit, on_time, deadline| RequestClass {
        latency_objective: on_time,
        total_timeout: deadline,
        idempotency: effect,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 1_500_000,
        priority_weight: credit,
        late_weight: 0.3,
        streaming: false,
    };
    let all = vec![
        class(Idempotency::Safe, 1.0, 500_000, 2_000_000),
        class(Idempotency::Keyed, 2.0, 750_000, 2_500_000),
        class(Idempotency::NonIdempotent, 3.0, 1_000_000, 3_000_000),
    ];
    (all, [0.7, 0.2, 0.1])
}
