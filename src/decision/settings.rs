//! The settings of a node in the form that the decisions use. `protocol` reads them from their serialized
//! form.

use super::identifiers::Micros;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// The endpoints of one deduplication scope drop a repeat within the deduplication window.
    Keyed,
    /// The request must never run twice.
    NonIdempotent,
}

/// Which endpoints drop each other's repeats of a keyed request.
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
    /// A response within this time earns the full weight of its request.
    pub latency_objective: Micros,
    /// How long a client waits in all, including its retries.
    pub total_timeout: Micros,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats. Used for keyed classes only.
    pub deduplication_scope: DeduplicationScope,
    /// How long endpoints drop repeats. Used for keyed classes only.
    pub deduplication_window: Micros,
    /// Value of one request, in a unit that all classes share.
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
    /// Rate of the hard ceiling, in units per second; 0 means that there is no ceiling. The decisions use it
    /// only as a flag that says whether there is a ceiling.
    pub ceiling_units_per_second: f64,
    /// Capacity of the ceiling's token bucket, in units. Not used by the decisions.
    pub ceiling_burst_units: f64,
    /// How many units the ceiling's token bucket may go below zero. Not used by the decisions.
    pub ceiling_slack_units: f64,
    /// Maximum number of attempts in flight at once; 0 means that there is no such quota.
    pub max_in_flight: u32,
    /// Cost of admitting a request over quota, as a share of the request's weight.
    pub over_quota_cost: f64,
    /// Value of serving a request over quota, as a share of the request's weight.
    pub over_quota_weight: f64,
    /// Factor that multiplies the weight of the plan's requests.
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
    /// Whether the node has to poll the endpoint list; otherwise the list is pushed.
    pub polls_endpoint_list: bool,
    /// Whether clients mark their retries. Not used by the decisions.
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
}
