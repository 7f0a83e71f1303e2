//! The settings of a node as the decisions use them. `protocol` reads them from their serialized form.

use super::identifiers::Micros;

/// How often the effect of a request may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// Endpoints of one deduplication scope drop a repeat within the deduplication window.
    Keyed,
    /// The request must never run twice.
    NonIdempotent,
}

/// The endpoints that drop each other's repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DeduplicationScope {
    /// All endpoints.
    #[default]
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of request.
#[derive(Debug, Clone, Default)]
pub struct RequestClass {
    /// A response within this time earns its full weight.
    pub latency_objective: Micros,
    /// How long the client waits in all, over its retries.
    pub total_timeout: Micros,
    /// Whether the request may run again.
    pub idempotency: Idempotency,
    /// For keyed classes: which endpoints drop repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: how long repeats are dropped.
    pub deduplication_window: Micros,
    /// Value of one request, in the unit that all classes share.
    pub priority_weight: f64,
    /// Share of the weight that a response after the objective earns, 0 to 1.
    pub late_weight: f64,
    /// Whether the response is a stream. Not used by the decisions.
    pub streaming: bool,
}

/// A plan: quotas that hold for each of its accounts, over all nodes together.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Rate of the quota; 0 means no such quota.
    pub quota_units_per_second: f64,
    /// Size of the quota's token bucket, which starts full.
    pub burst_units: f64,
    /// Rate of the hard ceiling; 0 means no ceiling. The decisions use it as a flag: whether there is a
    /// ceiling.
    pub ceiling_units_per_second: f64,
    /// Size of the ceiling's token bucket. Not used by the decisions.
    pub ceiling_burst_units: f64,
    /// How far the ceiling's token bucket may go below zero. Not used by the decisions.
    pub ceiling_slack_units: f64,
    /// Attempts in flight at once; 0 means no such quota.
    pub max_in_flight: u32,
    /// Share of its weight that admitting a request beyond quota costs.
    pub over_quota_cost: f64,
    /// Share of its weight that serving a request beyond quota earns.
    pub over_quota_weight: f64,
    /// Factor on the weight of the plan's requests.
    pub weight_factor: f64,
}

/// What a node may do at this site.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Endpoints may be probed. Not used by the decisions.
    pub probes_allowed: bool,
    /// Rejections may carry a `Retry-After` time.
    pub retry_after_allowed: bool,
    /// The longest `Retry-After` time that a client follows.
    pub max_retry_after: Micros,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// How long a connection may take to be established before an attempt is written to it.
    pub connect_timeout: Micros,
}

/// The counter service that all nodes share.
#[derive(Debug, Clone, Default)]
pub struct CounterSettings {
    /// Whether it may be called.
    pub enabled: bool,
    /// A call without a reply for this long has timed out.
    pub timeout: Micros,
}

/// How an endpoint warms up after a start, and how much load it survives meanwhile.
#[derive(Debug, Clone, Default)]
pub struct WarmUp {
    /// Least share of its full capacity right after the start, 0 to 1.
    pub initial_fraction: f64,
    /// An endpoint has its full capacity after this long at the latest.
    pub duration: Micros,
    /// An endpoint that is warming up fails when sent this many times its capacity...
    pub overload_multiple: f64,
    /// ... for this long. Not used by the decisions.
    pub overload_duration: Micros,
}

/// The settings that a node starts with.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The index of this node, from 0.
    pub node_index: u32,
    /// How many nodes there are.
    pub node_count: u32,
    /// The zone of this node.
    pub zone: u32,
    /// Least time between two batches of events from the simulator. Not used by the decisions.
    pub batch_interval: Micros,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub polls_endpoint_list: bool,
    /// Clients mark their retries. Not used by the decisions.
    pub clients_mark_retries: bool,
    /// The most units that one request counts. Not used by the decisions.
    pub max_request_units: f64,
    /// The true units of a request are known only with its response. Not used by the decisions.
    pub units_settled_after: bool,
    /// Cost of an attempt that crosses zones, as a share of a first attempt.
    pub cross_zone_cost: f64,
    /// The classes of request, by index.
    pub classes: Vec<RequestClass>,
    /// The plans, by index.
    pub plans: Vec<Plan>,
    /// What a node may do.
    pub limits: Limits,
    /// The counter service.
    pub counter: CounterSettings,
    /// How endpoints warm up.
    pub warm_up: WarmUp,
}
