//! The configuration file of the edge node.

use std::io::{BufWriter, Write};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{json, Value};
use tempfile::NamedTempFile;

use super::options::Options;
use crate::error::BenchError;
use crate::fakes::endpoint_list::{machine_kinds, zone_names, ListMessage};
use crate::fakes::hash::mix;

/// The name of the plan without a quota.
pub const UNLIMITED_PLAN: &str = "free";
/// The name of the plan with a quota.
pub const QUOTA_PLAN: &str = "paid";

/// A class of request.
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    idempotency: &'static str,
    /// Whether it has a body, and so is a `POST`.
    pub has_body: bool,
    /// Whether it has an idempotency key.
    pub has_key: bool,
    /// A number drawn from 0 to 1 selects the first class whose value here is larger.
    pub cumulative_share: f64,
}

impl RequestClass {
    /// Whether a request may run twice, or its repeats are dropped.
    pub fn is_idempotent(&self) -> bool {
        self.idempotency != "unsafe"
    }
}

/// The classes: most requests are safe to repeat, some are keyed, few must never run twice.
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

/// Where the node finds its peers.
#[derive(Debug, Clone, Copy)]
pub struct PeerAddresses {
    /// The discovery agent.
    pub agent: SocketAddr,
    /// The counter service.
    pub counter: SocketAddr,
}

/// A node's configuration in the form of its deployment.
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

/// Writes the configuration of the node that the arguments describe to a file, which is removed when dropped.
///
/// # Errors
/// If it can't be written.
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

/// The settings, with the names of the simulator's first message; times are in microseconds.
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
    json!({"name": class.name, "effect": class.idempotency, "group": "all", "window": 15_000_000, "credit": 1.0,
           "late_worth": 0.5, "stream": false, "on_time": (deadline_us / 2).max(1), "deadline": deadline_us})
}
