//! The configuration of the edge node: what it is told at its start.

use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{json, Value};

use super::Options;
use crate::stand_ins::list::{kinds, zones, Told};

/// The plan without a quota.
pub const FREE: &str = "free";
/// The plan with one.
pub const PAID: &str = "paid";

/// A class of request.
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    effect: &'static str,
    /// Whether it has a body, and so is a `POST`.
    pub body: bool,
    /// Whether it has an idempotency key.
    pub keyed: bool,
    /// A lot in 0..1 falls to the first class that it is below this of.
    pub up_to: f64,
}

/// The classes: most requests are safe to repeat, some are keyed, few must never run twice.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass { name: "lookup", effect: "safe", body: false, keyed: false, up_to: 0.7 },
    RequestClass { name: "record", effect: "keyed", body: true, keyed: true, up_to: 0.9 },
    RequestClass { name: "entry", effect: "unsafe", body: true, keyed: false, up_to: 1.0 },
];

/// A node's configuration in the form of its deployment.
#[derive(Serialize)]
pub struct Config {
    name: String,
    listen: String,
    discovery: String,
    counter: String,
    seed: String,
    limits: Value,
    known: Told,
    settings: Value,
}

impl Config {
    /// The configuration of the node that these arguments describe.
    pub fn new(options: &Options, agent: SocketAddr, counter: SocketAddr, known: Told) -> Config {
        Config {
            name: format!("n{}", options.me),
            listen: "127.0.0.1:0".into(),
            discovery: agent.to_string(),
            counter: counter.to_string(),
            seed: format!("{:016x}", crate::stand_ins::mix(options.seed, 3)),
            limits: json!({"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.sockets}),
            known,
            settings: settings(options),
        }
    }
}

/// The settings, with the names of the simulator's first message; times are in microseconds.
fn settings(options: &Options) -> Value {
    let deadline = options.deadline_ms * 1000;
    let class = |class: &RequestClass| {
        json!({"name": class.name, "effect": class.effect, "group": "all", "window": 15_000_000, "credit": 1.0,
               "late_worth": 0.5, "stream": false, "on_time": (deadline / 2).max(1), "deadline": deadline})
    };
    let conn_idle = (options.conn_idle_s * 1e6) as u64;
    json!({
        "n_instances": options.nodes, "me": options.me, "zone": options.me % options.zones, "quantum": 2000,
        "registry_mode": "push", "zones": zones(options.zones), "kinds": kinds(),
        "classes": CLASSES.iter().map(class).collect::<Vec<_>>(),
        "tariffs": [
            {"name": FREE, "worth_factor": 1.0},
            {"name": PAID, "worth_factor": 1.0, "quota_rate": options.quota_per_s,
             "most_at_once": options.quota_burst, "excess_cost": 1.0},
        ],
        "bounds": {"cancel": true, "probing": true, "retry_after": true, "max_retry_after": 1_000_000,
                   "try_limit": 4, "connect_timeout": 250_000, "conn_idle": conn_idle},
        "clients": {"marks_retry": false},
        "charges": {"cross_zone": 0.0},
        "domain": {"may_count": true, "count_wait": 80_000, "cost_after": false, "largest": 4},
        "invariants": {"cold_from": 0.2, "cold": 12_000_000, "fall_multiple": 3.0, "tip_after": 1_500_000},
    })
}
