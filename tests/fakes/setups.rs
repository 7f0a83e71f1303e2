//! Setups and assertions that many tests share.

use super::client::{Client, RequestSpec};
use super::configuration::{active, endpoint_entry, NodeConfiguration};
use super::edge_process::EdgeProcess;
use super::endpoint::FakeEndpoint;
use super::http::HttpMessage;

/// A node with one endpoint, and a client that is connected to the node.
pub struct OneEndpoint {
    /// The only endpoint on the node's endpoint list.
    pub endpoint: FakeEndpoint,
    /// The process of the node.
    pub edge: EdgeProcess,
    /// A connected client.
    pub client: Client,
}

/// A node with two endpoints, and a client that is connected to the node.
pub struct TwoEndpoints {
    /// The endpoint in the node's own zone.
    pub first: FakeEndpoint,
    /// The endpoint in the zone given to [`two_endpoints`].
    pub second: FakeEndpoint,
    /// The process of the node.
    pub edge: EdgeProcess,
    /// A connected client.
    pub client: Client,
}

/// Starts a node with one endpoint in its own zone, and connects a client.
pub fn one_endpoint() -> OneEndpoint {
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
    let client = edge.connect();
    OneEndpoint { endpoint, edge, client }
}

/// Starts a node with an endpoint in its own zone `a` and another endpoint in `second_zone`, and connects a
/// client.
pub fn two_endpoints(second_zone: &str) -> TwoEndpoints {
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let entries = [active("s-1", first.address), endpoint_entry("s-2", second.address, second_zone, "up")];
    let edge = NodeConfiguration::new(&entries).start();
    let client = edge.connect();
    TwoEndpoints { first, second, edge, client }
}

/// Asserts that a response says that the request failed: the request was neither served nor rejected.
pub fn assert_failed(response: &HttpMessage) {
    assert_ne!(response.status(), 200, "{}", response.start_line);
    assert!(!response.is_rejected(), "{}", response.start_line);
}

/// Sends a request, answers it with status 200 at `endpoint`, and asserts that the client receives this
/// response.
pub fn assert_served_by(endpoint: &FakeEndpoint, client: &mut Client, request: &RequestSpec) {
    client.send(request);
    let received = endpoint.next_request();
    assert_eq!(received.request_id(), request.id);
    received.respond_ok("ok");
    client.assert_ok("ok");
}
