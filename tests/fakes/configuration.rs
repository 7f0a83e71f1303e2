//! Builds the configuration of the node under test.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::edge_process::EdgeProcess;
use super::unused_ports::unreachable_address;

/// Returns an entry of the endpoint list.
pub fn endpoint_entry(name: &str, address: SocketAddr, zone: &str, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": zone, "type": "m1", "group": 1,
           "status": status, "weight": 1.0, "since_ms": 0})
}

/// Returns an entry of an active endpoint in the node's own zone.
pub fn active(name: &str, address: SocketAddr) -> Value {
    endpoint_entry(name, address, "a", "up")
}

/// Returns settings with a class for each kind of idempotency, a plan without a quota and one with a quota,
/// two nodes and two zones.
///
/// The timeout of counter calls is 20 s, because a test that replies to these calls may be slow on a busy
/// machine.
pub fn node_settings() -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "effect": idempotency, "group": "zone", "window": 15_000_000, "credit": 1.0,
               "on_time": 20_000_000, "deadline": 40_000_000})
    };
    json!({
        "n_instances": 2, "me": 0, "zone": 0, "quantum": 2000, "registry_mode": "push",
        "zones": ["a", "b"], "kinds": ["m1"],
        "classes": [class("lookup", "safe"), class("slip", "keyed"), class("post", "unsafe")],
        "tariffs": [
            {"name": "free", "worth_factor": 1.0},
            {"name": "paid", "worth_factor": 1.0, "quota_rate": 2.0, "most_at_once": 12.0,
             "excess_cost": 1.0},
        ],
        "bounds": {"cancel": true, "retry_after": true, "max_retry_after": 1_000_000, "try_limit": 4,
                   "connect_timeout": 2_000_000, "conn_idle": 60_000_000},
        "domain": {"may_count": true, "count_wait": 20_000_000, "largest": 4},
        "invariants": {"cold_from": 0.2, "cold": 15_000_000, "fall_multiple": 3.0, "tip_after": 1_500_000},
    })
}

/// The configuration of a node. The addresses of discovery and the counter service are unreachable unless a
/// test sets them.
#[derive(Clone)]
pub struct NodeConfiguration(Value);

impl NodeConfiguration {
    /// Returns the configuration of a node that starts with these entries as version 1 of its endpoint list.
    pub fn new(entries: &[Value]) -> NodeConfiguration {
        let discovery = unreachable_address().to_string();
        let counter = unreachable_address().to_string();
        NodeConfiguration(json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "counter": counter,
            "known": {"index": 1, "snapshot": true, "endpoints": entries}, "settings": node_settings(),
        }))
    }

    /// Sets the address of discovery.
    pub fn discovery(self, address: SocketAddr) -> Self {
        self.set_text("discovery", &address.to_string())
    }

    /// Sets the address of the counter service.
    pub fn counter(self, address: SocketAddr) -> Self {
        self.set_text("counter", &address.to_string())
    }

    /// Sets a top-level field of the configuration to a text, which may be an invalid value.
    pub fn set_text(mut self, field: &str, value: &str) -> Self {
        self.0[field] = json!(value);
        self
    }

    /// Sets the timeout of counter calls, in microseconds.
    pub fn counter_timeout(mut self, micros: u64) -> Self {
        self.0["settings"]["domain"]["count_wait"] = json!(micros);
        self
    }

    /// Sets the deduplication window of the keyed class, in microseconds.
    pub fn deduplication_window(mut self, micros: u64) -> Self {
        self.0["settings"]["classes"][1]["window"] = json!(micros);
        self
    }

    /// Sets the latency objective of all classes, in microseconds.
    pub fn latency_objective(mut self, micros: u64) -> Self {
        for class in
            self.0["settings"]["classes"].as_array_mut().expect("the settings have no list of classes")
        {
            class["on_time"] = json!(micros);
        }
        self
    }

    /// Sets the total timeout of all classes, in microseconds.
    pub fn total_timeout(mut self, micros: u64) -> Self {
        for class in
            self.0["settings"]["classes"].as_array_mut().expect("the settings have no list of classes")
        {
            class["deadline"] = json!(micros);
        }
        self
    }

    /// Sets the timeout for establishing a connection to an endpoint, in microseconds.
    pub fn connect_timeout(mut self, micros: u64) -> Self {
        self.0["settings"]["bounds"]["connect_timeout"] = json!(micros);
        self
    }

    /// Forbids the cancellation of attempts.
    pub fn without_cancellation(mut self) -> Self {
        self.0["settings"]["bounds"]["cancel"] = json!(false);
        self
    }

    /// Makes the node poll a discovery service that all nodes share, instead of an agent on its own machine.
    pub fn shared_discovery(mut self) -> Self {
        self.0["settings"]["registry_mode"] = json!("ask");
        self
    }

    /// Sets the number of nodes in the fleet.
    pub fn node_count(mut self, count: u32) -> Self {
        self.0["settings"]["n_instances"] = json!(count);
        self
    }

    /// Sets the maximum number of file descriptors that the node may use.
    pub fn max_descriptors(mut self, count: u32) -> Self {
        self.0["limits"]["sockets"] = json!(count);
        self
    }

    /// Sets the maximum memory of the node, in megabytes; it may be an invalid value.
    pub fn memory_mb(mut self, megabytes: f64) -> Self {
        self.0["limits"]["memory_mb"] = json!(megabytes);
        self
    }

    /// Returns the content of the configuration file.
    pub fn to_text(&self) -> String {
        self.0.to_string()
    }

    /// Starts a node with this configuration.
    pub fn start(&self) -> EdgeProcess {
        EdgeProcess::start(&self.to_text())
    }
}
