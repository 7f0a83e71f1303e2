//! Settings of a fleet of three nodes, with and without a quota.

use edge_node::decision::{
    CounterSettings, DeduplicationScope, Idempotency, Limits, Plan, RequestClass, Settings, WarmUp,
};

use super::{MILLISECOND, SECOND};

/// Index of the safe class of [`settings_with_quota`].
pub const SAFE: usize = 0;
/// Index of the keyed class of [`settings_with_quota`].
pub const KEYED: usize = 1;
/// Index of the non-idempotent class of [`settings_with_quota`].
pub const NON_IDEMPOTENT: usize = 2;

/// Returns a request class whose deduplication scope is a cell and whose deduplication window is 1 s.
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

/// Returns the settings of a fleet of three nodes, with one plan whose quota is 2 units/s with a burst of 12
/// units.
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

/// Returns the settings of [`settings_with_quota`] with a plan that has no quota. Only endpoints and attempts
/// then determine the node's decisions.
pub fn settings_without_quota() -> Settings {
    let mut settings = settings_with_quota();
    settings.plans[0] = Plan { weight_factor: 1.0, ..Plan::default() };
    settings
}
