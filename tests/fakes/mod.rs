//! Peers of an edge node under test, on loopback sockets with ports of their own: endpoints whose every response the
//! test gives itself, discovery, a counter service and clients. Tests are ordered by what has arrived, not by time.

#![allow(dead_code, unused_imports, reason = "each test file that includes this module uses a part of it")]

mod client;
mod configuration;
mod counter;
mod discovery;
mod edge_process;
mod endpoint;
mod http;
mod setups;
mod unused_ports;

use std::time::Duration;

pub use client::{paid_request, request, Client, RequestSpec};
pub use configuration::{active, endpoint_entry, node_settings, NodeConfiguration};
pub use counter::{CounterCall, FakeCounter};
pub use discovery::{next_watch, watched_version, FakeDiscovery};
pub use edge_process::{start_until_end, EdgeProcess, ProcessEnd};
pub use endpoint::{next_request_at_any, EndpointEvent, FakeEndpoint, ReceivedAt, ReceivedRequest};
pub use http::{ok_response, HttpMessage};
pub use setups::{assert_failed, assert_served_by, one_endpoint, two_endpoints, OneEndpoint, TwoEndpoints};
pub use unused_ports::{unreachable_address, ReservedPort};

/// How long a test waits for what has to arrive: far longer than anything here takes, on however slow a machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
