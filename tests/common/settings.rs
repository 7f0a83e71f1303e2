//! Settings of a small fleet, with and without a quota.

use edge_node::decision::{
    CounterSettings, DeduplicationScope, Idempotency, Limits, Plan, RequestClass, Settings, WarmUp,
};

use super::{MILLISECOND, SECOND};

/// The classes of [`settings_with_quota`], by index.
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

/// A class whose repeats are dropped within a cell for a second.
pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MILLISECOND,
        total_timeout: 2 * SECOND,
        priority_weight: 1.0,
        deduplication_window: SECOND,
        deduplication_scope: DeduplicationScope::Cell,
        idempotency,
        ..RequestClass::default()
    }
}

/// Settings of a fleet of three nodes, with one plan of 2 units a second and a burst of 12.
pub fn settings_with_quota() -> Settings {
    Settings {
        node_count: 3,
        batch_interval: 2 * MILLISECOND,
        max_request_units: 6.0,
        classes: vec![
            request_class(Idempotency::Safe),
            request_class(Idempotency::Keyed),
            request_class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan {
            quota_units_per_second: 2.0,
            burst_units: 12.0,
            over_quota_cost: 1.0,
            weight_factor: 1.0,
            ..Plan::default()
        }],
        limits: Limits {
            cancel_allowed: true,
            probes_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 2 * SECOND,
            max_attempts: 4,
            connect_timeout: 100 * MILLISECOND,
        },
        counter: CounterSettings { enabled: true, timeout: 30 * MILLISECOND },
        warm_up: WarmUp {
            initial_fraction: 0.2,
            duration: 15 * SECOND,
            overload_multiple: 2.5,
            overload_duration: 1_500 * MILLISECOND,
        },
        ..Settings::default()
    }
}

/// Settings without any quota, so that only endpoints and attempts decide.
pub fn settings_without_quota() -> Settings {
    let mut settings = settings_with_quota();
    settings.plans[0] = Plan { weight_factor: 1.0, ..Plan::default() };
    settings
}
