//! Tests of how changes of the endpoint list, and failures of discovery, affect requests.

mod fakes;

use fakes::{
    active, assert_failed, assert_served_by, endpoint_entry, request, Client, EdgeProcess, FakeDiscovery,
    FakeEndpoint, NodeConfiguration,
};
use serde_json::json;

/// A node with two endpoints in its zone.
struct TwoEndpointNode {
    first: FakeEndpoint,
    second: FakeEndpoint,
    edge: EdgeProcess,
}

fn start_node_with_two_endpoints(discovery: &FakeDiscovery) -> TwoEndpointNode {
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let entries = [active("s-1", first.address), active("s-2", second.address)];
    let edge = NodeConfiguration::new(&entries).discovery(discovery.address).start();
    TwoEndpointNode { first, second, edge }
}

/// Sends `count` requests and asserts that this endpoint serves all of them.
fn assert_all_served_by(endpoint: &FakeEndpoint, client: &mut Client, class: &'static str, count: usize) {
    for number in 0..count {
        assert_served_by(endpoint, client, &request(class, &format!("{class}-{number}")));
    }
}

#[test]
fn draining_or_removed_endpoint_gets_no_new_request() {
    for status in ["draining", "removed"] {
        let discovery = FakeDiscovery::start();
        let TwoEndpointNode { first, second, edge } = start_node_with_two_endpoints(&discovery);
        discovery.publish(endpoint_entry("s-1", first.address, "a", status));
        let mut client = edge.connect();
        assert_all_served_by(&second, &mut client, "lookup", 12);
        first.assert_no_request();
        // The endpoint returns at another address.
        let moved = FakeEndpoint::start();
        discovery.publish(active("s-1", moved.address));
        discovery.publish(endpoint_entry("s-2", second.address, "a", status));
        assert_served_by(&moved, &mut client, &request("lookup", "back"));
    }
}

#[test]
fn node_watches_again_after_discovery_closed_its_connections() {
    let discovery = FakeDiscovery::start();
    let TwoEndpointNode { first, second, edge } = start_node_with_two_endpoints(&discovery);
    discovery.wait_for_watch();
    discovery.close_connections();
    discovery.publish(endpoint_entry("s-1", first.address, "a", "draining"));
    discovery.close_connections();
    // A malformed entry does not invalidate the other entries.
    discovery.publish(json!({"name": 7}));
    let mut client = edge.connect();
    assert_all_served_by(&second, &mut client, "post", 8);
    first.assert_no_request();
}

#[test]
fn silent_watch_is_replaced_by_a_new_one() {
    let discovery = FakeDiscovery::start();
    discovery.set_silent(true);
    let TwoEndpointNode { first, second, edge } = start_node_with_two_endpoints(&discovery);
    discovery.wait_for_watch();
    // The first watch never gets a response, as on a connection whose other end has vanished.
    discovery.set_silent(false);
    discovery.publish(endpoint_entry("s-1", first.address, "a", "draining"));
    let mut client = edge.connect();
    assert_all_served_by(&second, &mut client, "post", 8);
    first.assert_no_request();
}

#[test]
fn removed_endpoint_that_returns_is_no_longer_ejected() {
    let endpoint = FakeEndpoint::start();
    let discovery = FakeDiscovery::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.discovery(discovery.address).start();
    let mut client = edge.connect();
    // The closed connection ejects the endpoint, which is then removed and returns as a new one.
    client.send(&request("post", "p-1"));
    endpoint.next_request().close();
    assert_failed(&client.response());
    discovery.publish(endpoint_entry("s-1", endpoint.address, "a", "removed"));
    discovery.publish(active("s-1", endpoint.address));
    assert_served_by(&endpoint, &mut client, &request("post", "p-2"));
}

#[test]
fn keyed_request_stays_in_its_deduplication_scope_after_its_endpoint_was_removed() {
    let removed = FakeEndpoint::start();
    let other_zone = FakeEndpoint::start();
    let same_zone = FakeEndpoint::start();
    let discovery = FakeDiscovery::start();
    let configuration = NodeConfiguration::new(&[active("s-1", removed.address)]);
    let edge = configuration.discovery(discovery.address).start();
    let mut client = edge.connect();
    client.send(&request("slip", "k-1"));
    let received = removed.next_request();
    discovery.publish(endpoint_entry("s-2", other_zone.address, "b", "up"));
    discovery.publish(active("s-3", same_zone.address));
    discovery.publish(endpoint_entry("s-1", removed.address, "a", "removed"));
    // After this response the node has to assume that the request may have run.
    received.respond("500 Internal Server Error", "", "");
    same_zone.next_request().respond_ok("once");
    client.assert_ok("once");
    other_zone.assert_no_request();
}

#[test]
fn new_endpoint_at_an_old_address_gets_new_connections() {
    let endpoint = FakeEndpoint::start();
    let discovery = FakeDiscovery::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.discovery(discovery.address).start();
    let mut client = edge.connect();
    assert_served_by(&endpoint, &mut client, &request("post", "p-1"));
    // The new endpoint is listed before the old one is removed.
    discovery.publish(active("s-2", endpoint.address));
    endpoint.assert_connection_ended();
    discovery.publish(endpoint_entry("s-1", endpoint.address, "a", "removed"));
    assert_served_by(&endpoint, &mut client, &request("post", "p-2"));
}
