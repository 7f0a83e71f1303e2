//! The settings of the measured node.

use edge_node::decision::{
    CounterSettings, DeduplicationScope, Idempotency, Limits, Micros, Plan, RequestClass, Settings, WarmUp,
};

use super::endpoint_list::ZONES;
use super::options::Options;
use super::SECOND;

/// Index of the plan without a quota.
pub const UNLIMITED_PLAN: usize = 0;
/// Index of the plan with a quota.
pub const QUOTA_PLAN: usize = 1;
/// Largest number of units that one request uses.
pub const MAX_UNITS: u8 = 3;
/// How long a client waits for a response in total, including retries.
pub const TOTAL_TIMEOUT: Micros = 2 * SECOND;

/// Returns the settings of the node with this index.
pub fn node_settings(options: &Options, node_index: u32) -> Settings {
    Settings {
        node_index,
        node_count: options.nodes,
        zone: node_index % ZONES,
        batch_interval: 2_000,
        clients_mark_retries: true,
        max_request_units: MAX_UNITS.into(),
        cross_zone_cost: 0.05,
        classes: vec![
            class(Idempotency::Safe, 500_000, 1.0),
            class(Idempotency::Keyed, 800_000, 2.0),
            class(Idempotency::NonIdempotent, 800_000, 2.0),
        ],
        plans: plans(options),
        limits: Limits {
            cancel_allowed: true,
            probes_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 2 * SECOND,
            max_attempts: 3,
            connect_timeout: 100_000,
        },
        counter: CounterSettings { enabled: true, timeout: 30_000 },
        warm_up: WarmUp {
            initial_fraction: 0.2,
            duration: 15 * SECOND,
            overload_multiple: 2.5,
            overload_duration: 3 * SECOND / 2,
        },
        ..Settings::default()
    }
}

fn class(idempotency: Idempotency, latency_objective: Micros, priority_weight: f64) -> RequestClass {
    RequestClass {
        latency_objective,
        total_timeout: TOTAL_TIMEOUT,
        idempotency,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: SECOND,
        priority_weight,
        ..RequestClass::default()
    }
}

/// Returns the plans at the indices [`UNLIMITED_PLAN`] and [`QUOTA_PLAN`].
fn plans(options: &Options) -> Vec<Plan> {
    let unlimited = Plan { weight_factor: 1.0, ..Plan::default() };
    // An account sends its requests to two nodes, equally many to each. A request uses 2 units on average.
    // The quota is 1.5 times the units that an account thus uses per second, so that most accounts stay
    // within it.
    let quota_rate = 6.0 * options.rate * options.quota_share / f64::from(options.customers);
    let quota = Plan {
        quota_units_per_second: quota_rate,
        burst_units: (6.0 * quota_rate).max(12.0),
        over_quota_cost: 1.0,
        ..unlimited.clone()
    };
    vec![unlimited, quota]
}
