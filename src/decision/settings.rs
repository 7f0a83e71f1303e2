//! The settings of a node in the form that the decisions use. `protocol` reads them from their serialized
//! form.
//!
//! The weight of a request is [`RequestClass::priority_weight`] times [`Plan::weight_factor`]. A response
//! within the latency objective earns this weight, a later one the share [`RequestClass::late_weight`] of it.
//! The value of a request, by which speculative admission weighs it, is its weight times its units.

use super::identifiers::Micros;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A repeat of the request is harmless.
    #[default]
    Safe,
    /// The endpoints of one deduplication group drop a repeat within the deduplication window.
    Keyed,
    /// The request must never run twice.
    NonIdempotent,
}

/// Which endpoints form a deduplication group: they drop repeats of a keyed request that ran at another
/// endpoint of the group.
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

/// A class of requests.
#[derive(Debug, Clone, Default)]
pub struct RequestClass {
    /// A response within this time of the client's first request earns the full weight of the request.
    pub latency_objective: Micros,
    /// How long a client waits in all, including its client retries.
    pub total_timeout: Micros,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Which endpoints form a deduplication group. Used for keyed classes only.
    pub deduplication_scope: DeduplicationScope,
    /// How long the endpoints of a deduplication group drop repeats. Used for keyed classes only.
    pub deduplication_window: Micros,
    /// Weight of one request before the plan's factor, in a unit that all classes share.
    pub priority_weight: f64,
    /// Share of the weight that a response after the latency objective earns, 0 to 1.
    pub late_weight: f64,
    /// Whether the response is a stream. Not used by the decisions.
    pub streaming: bool,
}

/// A plan: the quotas of each of its accounts. A quota applies to all nodes together.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Rate of the quota of units, in units per second; 0 means that there is no quota of units.
    pub quota_units_per_second: f64,
    /// Capacity of the quota's token bucket, in units. The bucket starts full.
    pub burst_units: f64,
    /// Rate of the hard ceiling, in units per second; 0 means that there is no ceiling. The ceiling is a
    /// limit on the units admitted, within or over quota, that must never be exceeded. While it is set, no
    /// request over quota is served. The decisions use the rate only as a flag that says whether there is a
    /// ceiling.
    pub ceiling_units_per_second: f64,
    /// Capacity of the ceiling's token bucket, in units. Not used by the decisions.
    pub ceiling_burst_units: f64,
    /// How many units the ceiling's token bucket may go below zero. Not used by the decisions.
    pub ceiling_slack_units: f64,
    /// The concurrency quota: maximum number of attempts in flight at once; 0 means that there is no such
    /// quota.
    pub max_in_flight: u32,
    /// Cost of admitting a request over quota, as a share of the request's weight.
    pub over_quota_cost: f64,
    /// What a response to a request over quota earns, as a share of the request's weight.
    pub over_quota_weight: f64,
    /// Factor that multiplies the `priority_weight` of the plan's requests.
    pub weight_factor: f64,
}

/// What a node may do at this site.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// Whether the node may cancel attempts.
    pub cancel_allowed: bool,
    /// Whether the node may probe endpoints. Not used by the decisions.
    pub probes_allowed: bool,
    /// Whether rejections may carry a `Retry-After` time.
    pub retry_after_allowed: bool,
    /// Maximum `Retry-After` time that clients follow.
    pub max_retry_after: Micros,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Time limit for establishing a connection before an attempt is written to it.
    pub connect_timeout: Micros,
}

/// Settings of the counter service that all nodes share.
#[derive(Debug, Clone, Default)]
pub struct CounterSettings {
    /// Whether the node may call the counter service.
    pub enabled: bool,
    /// A call that gets no reply within this time has timed out.
    pub timeout: Micros,
}

/// How an endpoint warms up after a start, and how much load it can take meanwhile.
#[derive(Debug, Clone, Default)]
pub struct WarmUp {
    /// Minimum share of its full capacity that an endpoint has right after its start, 0 to 1.
    pub initial_fraction: f64,
    /// Maximum time after its start until an endpoint has its full capacity.
    pub duration: Micros,
    /// An endpoint that is warming up fails if it is sent this multiple of its capacity for
    /// `overload_duration`.
    pub overload_multiple: f64,
    /// How long an overload by `overload_multiple` lasts until the endpoint fails. Not used by the decisions.
    pub overload_duration: Micros,
}

/// The settings that a node starts with.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The index of this node, from 0.
    pub node_index: u32,
    /// Number of nodes in the fleet.
    pub node_count: u32,
    /// Identifies the zone that this node is in.
    pub zone: u32,
    /// Minimum time between two batches of events from the simulator. Not used by the decisions.
    pub batch_interval: Micros,
    /// Whether the nodes request the endpoint list from one shared service; otherwise each node's own agent
    /// pushes it.
    pub polls_endpoint_list: bool,
    /// Whether clients mark client retries. Not used by the decisions.
    pub clients_mark_retries: bool,
    /// Maximum number of units that one request uses. Not used by the decisions.
    pub max_request_units: f64,
    /// Whether the actual units of a request are known only with its response. Not used by the decisions.
    pub units_settled_after: bool,
    /// Cost of an attempt that crosses zones, as a share of the cost of a first attempt.
    pub cross_zone_cost: f64,
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The plans, by index.
    pub plans: Vec<Plan>,
    /// What a node may do at this site.
    pub limits: Limits,
    /// Settings of the counter service.
    pub counter: CounterSettings,
    /// How endpoints warm up.
    pub warm_up: WarmUp,
    /// Maximum number of accounts that the node keeps state of; `None` means no limit.
    pub max_accounts: Option<usize>,
}
