//! Defines the serialized form of a node's settings, which the configuration file and the simulator's first
//! message contain, and converts it to [`Settings`].
//!
//! Times are in microseconds, and rates are in units of quota per second. An optional setting that is missing
//! has the default of its type: zero, `false`, an empty list or an empty text. The two timeouts of
//! connections have defaults of their own, which also apply if their value is zero. Unknown settings are
//! ignored.

use serde::Deserialize;

use crate::decision::{
    CounterSettings, DeduplicationScope, Idempotency, Limits, Micros, Plan, RequestClass, Settings, WarmUp,
};

/// The value of `registry_mode` with which a node polls the endpoint list.
const POLLED_LIST: &str = "ask";
/// Timeout for establishing a connection to an endpoint, if the settings name none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// Time after which endpoints close an idle connection, if the settings name none.
const DEFAULT_CONNECTION_IDLE_TIMEOUT: Micros = 10_000_000;

/// The serialized form of [`Settings`], together with settings that only other modules use.
#[derive(Deserialize)]
pub struct SettingsDocument {
    /// Number of nodes in the fleet. The validation of requests treats 0 as 1.
    #[serde(rename = "n_instances")]
    pub node_count: u32,
    #[serde(rename = "me")]
    node_index: u32,
    #[serde(default)]
    zone: u32,
    #[serde(default, rename = "quantum")]
    batch_interval: Micros,
    #[serde(default, rename = "registry_mode")]
    endpoint_list_mode: String,
    /// The request classes. A class is identified by its index in this list.
    pub classes: Vec<ClassDocument>,
    /// The plans. A plan is identified by its index in this list.
    #[serde(default, rename = "tariffs")]
    pub plans: Vec<PlanDocument>,
    /// The names of the zones. The index of a name in this list is the number of its zone.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The names of the machine kinds. The index of a name in this list is the number of its machine kind.
    #[serde(default, rename = "kinds")]
    pub machine_kinds: Vec<String>,
    /// What a node may do, the maximum number of attempts, and timeouts.
    #[serde(rename = "bounds")]
    pub limits: LimitsDocument,
    /// How requests are counted against quotas.
    #[serde(default, rename = "domain")]
    pub accounting: AccountingDocument,
    #[serde(default, rename = "charges")]
    costs: CostsDocument,
    #[serde(default)]
    clients: ClientsDocument,
    #[serde(default, rename = "invariants")]
    warm_up: WarmUpDocument,
}

/// The behaviour of the clients.
#[derive(Deserialize, Default)]
#[serde(default)]
struct ClientsDocument {
    #[serde(rename = "marks_retry")]
    mark_retries: bool,
}

/// The costs of attempts.
#[derive(Deserialize, Default)]
#[serde(default)]
struct CostsDocument {
    cross_zone: f64,
}

/// How requests are counted against quotas, and whether the counter service may be called for it.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct AccountingDocument {
    #[serde(rename = "may_count")]
    counter_enabled: bool,
    #[serde(rename = "count_wait")]
    counter_timeout: Micros,
    #[serde(rename = "cost_after")]
    units_settled_after: bool,
    /// Maximum number of units of one request; there is no maximum if this is 0 or less.
    #[serde(rename = "largest")]
    pub max_request_units: f64,
}

/// The serialized form of [`Limits`], with the idle timeout of connections to endpoints.
#[derive(Deserialize)]
pub struct LimitsDocument {
    /// 0 if the settings name no time.
    #[serde(default, rename = "conn_idle")]
    connection_idle_timeout: Micros,
    /// 0 if the settings name no time.
    #[serde(default)]
    connect_timeout: Micros,
    #[serde(default, rename = "cancel")]
    cancel_allowed: bool,
    #[serde(default, rename = "probing")]
    probes_allowed: bool,
    #[serde(default, rename = "retry_after")]
    retry_after_allowed: bool,
    #[serde(default)]
    max_retry_after: Micros,
    #[serde(default, rename = "try_limit")]
    max_attempts: u32,
}

/// The serialized form of [`WarmUp`].
#[derive(Deserialize, Default)]
#[serde(default)]
struct WarmUpDocument {
    #[serde(rename = "cold_from")]
    initial_fraction: f64,
    #[serde(rename = "cold")]
    duration: Micros,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "tip_after")]
    overload_duration: Micros,
}

/// The serialized form of [`RequestClass`], with the name of the class.
#[derive(Deserialize)]
pub struct ClassDocument {
    /// The name by which requests refer to the class.
    #[serde(default)]
    pub name: String,
    #[serde(rename = "on_time")]
    latency_objective: Micros,
    #[serde(rename = "deadline")]
    total_timeout: Micros,
    /// Whether a request of the class may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencyName,
    #[serde(default, rename = "group")]
    deduplication_scope: DeduplicationScopeName,
    #[serde(default, rename = "window")]
    deduplication_window: Micros,
    #[serde(default, rename = "credit")]
    priority_weight: f64,
    #[serde(default, rename = "late_worth")]
    late_weight: f64,
    #[serde(default, rename = "stream")]
    streaming: bool,
}

/// The serialized form of [`Idempotency`].
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum IdempotencyName {
    /// A request may run any number of times.
    #[serde(rename = "safe")]
    Safe,
    /// A request may be sent again to an endpoint of the same deduplication scope, because these endpoints
    /// drop the repeat.
    #[serde(rename = "keyed")]
    Keyed,
    /// A request must not run more than once.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The serialized form of [`DeduplicationScope`].
#[derive(Deserialize, Clone, Copy, Default)]
enum DeduplicationScopeName {
    #[default]
    #[serde(rename = "all")]
    All,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Cell,
}

/// The serialized form of [`Plan`], with the name of the plan.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct PlanDocument {
    /// The name by which requests refer to the plan.
    pub name: String,
    #[serde(rename = "quota_rate")]
    quota_units_per_second: f64,
    #[serde(rename = "most_at_once")]
    burst_units: f64,
    #[serde(rename = "ceiling_rate")]
    ceiling_units_per_second: f64,
    #[serde(rename = "ceiling_burst")]
    ceiling_burst_units: f64,
    #[serde(rename = "ceiling_slack")]
    ceiling_slack_units: f64,
    #[serde(rename = "concurrency")]
    max_in_flight: u32,
    #[serde(rename = "excess_cost")]
    over_quota_cost: f64,
    #[serde(rename = "extra_worth")]
    over_quota_weight: f64,
    #[serde(rename = "worth_factor")]
    weight_factor: f64,
}

impl From<SettingsDocument> for Settings {
    fn from(document: SettingsDocument) -> Self {
        Settings {
            node_index: document.node_index,
            node_count: document.node_count,
            zone: document.zone,
            batch_interval: document.batch_interval,
            polls_endpoint_list: document.endpoint_list_mode == POLLED_LIST,
            clients_mark_retries: document.clients.mark_retries,
            max_request_units: document.accounting.max_request_units,
            units_settled_after: document.accounting.units_settled_after,
            cross_zone_cost: document.costs.cross_zone,
            classes: document.classes.into_iter().map(RequestClass::from).collect(),
            plans: document.plans.into_iter().map(Plan::from).collect(),
            limits: document.limits.into(),
            counter: document.accounting.into(),
            warm_up: document.warm_up.into(),
            max_accounts: None,
        }
    }
}

/// Returns `value`, or `default` if `value` is 0.
fn positive_or(value: Micros, default: Micros) -> Micros {
    if value > 0 {
        value
    } else {
        default
    }
}

impl LimitsDocument {
    /// Returns how long a connection to an endpoint may be idle before the endpoint closes it, in
    /// microseconds. The default is 10 s.
    pub fn connection_idle_timeout(&self) -> Micros {
        positive_or(self.connection_idle_timeout, DEFAULT_CONNECTION_IDLE_TIMEOUT)
    }
}

impl From<LimitsDocument> for Limits {
    fn from(document: LimitsDocument) -> Self {
        Limits {
            cancel_allowed: document.cancel_allowed,
            probes_allowed: document.probes_allowed,
            retry_after_allowed: document.retry_after_allowed,
            max_retry_after: document.max_retry_after,
            max_attempts: document.max_attempts,
            connect_timeout: positive_or(document.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
        }
    }
}

impl From<AccountingDocument> for CounterSettings {
    fn from(document: AccountingDocument) -> Self {
        CounterSettings { enabled: document.counter_enabled, timeout: document.counter_timeout }
    }
}

impl From<WarmUpDocument> for WarmUp {
    fn from(document: WarmUpDocument) -> Self {
        WarmUp {
            initial_fraction: document.initial_fraction,
            duration: document.duration,
            overload_multiple: document.overload_multiple,
            overload_duration: document.overload_duration,
        }
    }
}

impl From<ClassDocument> for RequestClass {
    fn from(document: ClassDocument) -> Self {
        RequestClass {
            latency_objective: document.latency_objective,
            total_timeout: document.total_timeout,
            idempotency: document.idempotency.into(),
            deduplication_scope: document.deduplication_scope.into(),
            deduplication_window: document.deduplication_window,
            priority_weight: document.priority_weight,
            late_weight: document.late_weight,
            streaming: document.streaming,
        }
    }
}

impl From<IdempotencyName> for Idempotency {
    fn from(name: IdempotencyName) -> Self {
        match name {
            IdempotencyName::Safe => Idempotency::Safe,
            IdempotencyName::Keyed => Idempotency::Keyed,
            IdempotencyName::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

impl From<DeduplicationScopeName> for DeduplicationScope {
    fn from(name: DeduplicationScopeName) -> Self {
        match name {
            DeduplicationScopeName::All => DeduplicationScope::All,
            DeduplicationScopeName::Zone => DeduplicationScope::Zone,
            DeduplicationScopeName::Cell => DeduplicationScope::Cell,
        }
    }
}

impl From<PlanDocument> for Plan {
    fn from(document: PlanDocument) -> Self {
        Plan {
            quota_units_per_second: document.quota_units_per_second,
            burst_units: document.burst_units,
            ceiling_units_per_second: document.ceiling_units_per_second,
            ceiling_burst_units: document.ceiling_burst_units,
            ceiling_slack_units: document.ceiling_slack_units,
            max_in_flight: document.max_in_flight,
            over_quota_cost: document.over_quota_cost,
            over_quota_weight: document.over_quota_weight,
            weight_factor: document.weight_factor,
        }
    }
}
