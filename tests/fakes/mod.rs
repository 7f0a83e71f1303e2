//! Starts an edge node under test and its peers: clients, endpoints, discovery and a counter service. The
//! peers use loopback sockets, and each has its own port. The test itself sends the responses of endpoints
//! and of the counter service. A test proceeds when something has arrived, not after a fixed time.

#![allow(dead_code, unused_imports, reason = "each test file that includes this module uses a part of it")]

mod client;
mod configuration;
mod counter;
mod discovery;
mod edge_process;
mod endpoint;
mod http;
pub mod in_process;
mod kernel;
mod setups;
mod unused_ports;

use std::time::Duration;

pub use client::{paid_request, request, Client, RequestSpec};
pub use configuration::{active, endpoint_entry, node_settings, NodeConfiguration};
pub use counter::{CounterCall, FakeCounter};
pub use discovery::{next_watch, watched_version, FakeDiscovery};
pub use edge_process::{run_until_exit, EdgeProcess, ProcessExit};
pub use endpoint::{next_request_at_any, EndpointEvent, FakeEndpoint, ReceivedAt, ReceivedRequest};
pub use http::{ok_response, HttpMessage};
pub use kernel::buffered_bytes_to;
pub use setups::{assert_failed, assert_served_by, one_endpoint, two_endpoints, OneEndpoint, TwoEndpoints};
pub use unused_ports::{unreachable_address, ReservedPort};

/// How long a test waits for something that must arrive. This is far longer than any step of a test takes,
/// even on a slow machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
