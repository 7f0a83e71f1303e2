//! Writes the configuration file of the edge node.

use std::io::{BufWriter, Write};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{json, Value};
use tempfile::NamedTempFile;

use super::options::Options;
use crate::error::BenchError;
use crate::fakes::endpoint_list::{machine_kinds, zone_names, ListMessage};
use crate::fakes::hash::mix;

/// Name of the plan without a quota.
pub const UNLIMITED_PLAN: &str = "free";
/// Name of the plan with a quota.
pub const QUOTA_PLAN: &str = "paid";

/// A request class and how its requests look.
pub struct RequestClass {
    /// Name of the class, which is also the path of its requests (without the leading slash).
    pub name: &'static str,
    /// Value of the setting `effect`: `safe`, `keyed` or `unsafe`.
    idempotency: &'static str,
    /// Whether its requests have a body. Requests with a body use `POST`, the others `GET`.
    pub has_body: bool,
    /// Whether its requests carry an idempotency key.
    pub has_key: bool,
    /// Cumulative share of requests, from 0 to 1, of this class and the classes before it in [`CLASSES`]. A
    /// number drawn uniformly from 0 to 1 selects the first class whose value is larger.
    pub cumulative_share: f64,
}

impl RequestClass {
    /// Returns whether the request can be repeated safely: it may run twice, or repetitions are dropped by
    /// their idempotency key.
    pub fn is_idempotent(&self) -> bool {
        self.idempotency != "unsafe"
    }
}

/// The request classes: most requests are safe to repeat, some carry an idempotency key, and few must never
/// run twice.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "lookup",
        idempotency: "safe",
        has_body: false,
        has_key: false,
        cumulative_share: 0.7,
    },
    RequestClass {
        name: "record",
        idempotency: "keyed",
        has_body: true,
        has_key: true,
        cumulative_share: 0.9,
    },
    RequestClass {
        name: "entry",
        idempotency: "unsafe",
        has_body: true,
        has_key: false,
        cumulative_share: 1.0,
    },
];

/// Addresses at which the node reaches its peers.
#[derive(Debug, Clone, Copy)]
pub struct PeerAddresses {
    /// Address of the discovery agent.
    pub agent: SocketAddr,
    /// Address of the counter service.
    pub counter: SocketAddr,
}

/// The configuration, in the file format that a deployed node reads.
#[derive(Serialize)]
struct Configuration {
    name: String,
    listen: String,
    discovery: String,
    counter: String,
    seed: String,
    limits: Value,
    #[serde(rename = "known")]
    initial_list: ListMessage,
    settings: Value,
}

/// Writes the configuration that the options describe to a temporary file, and returns the file. The file is
/// removed when the returned value is dropped.
///
/// # Errors
/// Returns an error if the file can't be created or written.
pub fn write(
    options: &Options,
    peers: PeerAddresses,
    initial_list: ListMessage,
) -> Result<NamedTempFile, BenchError> {
    let configuration = Configuration {
        name: format!("n{}", options.me),
        listen: "127.0.0.1:0".into(),
        discovery: peers.agent.to_string(),
        counter: peers.counter.to_string(),
        seed: format!("{:016x}", mix(options.seed, 3)),
        limits: json!({"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.sockets}),
        initial_list,
        settings: settings(options),
    };
    let failed = |source| BenchError::File { path: std::env::temp_dir().display().to_string(), source };
    let mut file = NamedTempFile::new().map_err(failed)?;
    let mut buffered = BufWriter::new(&mut file);
    serde_json::to_writer(&mut buffered, &configuration).map_err(|error| failed(error.into()))?;
    buffered.flush().map_err(failed)?;
    drop(buffered);
    Ok(file)
}

/// Returns the value of the key `settings`, with the key names that the edge node reads; times are in
/// microseconds.
fn settings(options: &Options) -> Value {
    let connection_idle_us = (options.conn_idle_s * 1e6) as u64;
    json!({
        "n_instances": options.nodes, "me": options.me, "zone": options.me % options.zones, "quantum": 2000,
        "registry_mode": "push", "zones": zone_names(options.zones), "kinds": machine_kinds(),
        "classes": CLASSES.each_ref().map(|class| class_settings(class, options)),
        "tariffs": [
            {"name": UNLIMITED_PLAN, "worth_factor": 1.0},
            {"name": QUOTA_PLAN, "worth_factor": 1.0, "quota_rate": options.quota_per_s,
             "most_at_once": options.quota_burst, "excess_cost": 1.0},
        ],
        "bounds": {"cancel": true, "probing": true, "retry_after": true, "max_retry_after": 1_000_000,
                   "try_limit": 4, "connect_timeout": 250_000, "conn_idle": connection_idle_us},
        "clients": {"marks_retry": false},
        "charges": {"cross_zone": 0.0},
        "domain": {"may_count": true, "count_wait": 80_000, "cost_after": false, "largest": 4},
        "invariants": {"cold_from": 0.2, "cold": 12_000_000, "fall_multiple": 3.0, "tip_after": 1_500_000},
    })
}

fn class_settings(class: &RequestClass, options: &Options) -> Value {
    let deadline_us = options.deadline_ms * 1000;
    json!({"name": class.name, "effect": class.idempotency, "group": "all", "window": 15_000_000,
           "credit": 1.0, "late_worth": 0.5, "stream": false, "on_time": (deadline_us / 2).max(1),
           "deadline": deadline_us})
}
