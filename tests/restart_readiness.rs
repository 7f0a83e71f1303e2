//! Tests that a restarted node becomes ready from its configuration alone: with discovery silent, refusing or
//! slow, and with a list as long as that of the largest fleet. The tests check the order of events, not
//! durations.

mod fakes;

use std::iter;

use fakes::{
    active, assert_served_by, endpoint_entry, request, unreachable_address, EdgeProcess, FakeEndpoint,
    NodeConfiguration,
};
use serde_json::{json, Value};

/// The number of endpoints of the largest fleet.
const ENDPOINT_COUNT: usize = 46_000;
const READINESS_CHECK: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Returns entries of which one endpoint is in service and the others are draining.
fn long_list(in_service: &FakeEndpoint) -> Vec<Value> {
    let name = |number: usize| format!("s-{number:08x}");
    let unreachable = unreachable_address();
    let active = active(&name(0), in_service.address);
    let draining =
        (1..ENDPOINT_COUNT).map(|number| endpoint_entry(&name(number), unreachable, "a", "draining"));
    iter::once(active).chain(draining).collect()
}

/// Returns a full list in the format of the agent's responses.
fn snapshot(index: u64, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
}

fn assert_ready(edge: &EdgeProcess) {
    let mut client = edge.connect();
    client.send_raw(READINESS_CHECK);
    assert_eq!(client.response().status(), 200);
}

#[test]
fn killed_node_restarts_on_its_port_and_is_ready_while_discovery_is_silent() {
    for is_shared in [false, true] {
        let endpoint = FakeEndpoint::start();
        let silent_agent = FakeEndpoint::start();
        let mut configuration =
            NodeConfiguration::new(&[active("s-1", endpoint.address)]).discovery(silent_agent.address);
        if is_shared {
            configuration = configuration.shared_discovery();
        }
        let killed = configuration.start();
        let configuration = configuration.set_text("listen", &killed.address.to_string());
        // At the kill the node has two open connections, one of an idle client and one with a request in
        // flight. The kernel still holds them when the restarted node listens on the same port.
        let mut idle_client = killed.connect();
        idle_client.send_raw(READINESS_CHECK);
        assert_eq!(idle_client.response().status(), 200);
        let mut client = killed.connect();
        client.send(&request("lookup", "l-1"));
        let _in_flight = endpoint.next_request();
        killed.signal("KILL");
        drop(killed);
        // The agent accepts the calls of the killed and of the restarted node, and responds to none.
        let restarted = configuration.start();
        assert_ready(&restarted);
        assert_served_by(&endpoint, &mut restarted.connect(), &request("lookup", "l-2"));
    }
}

#[test]
fn node_configured_with_46000_endpoints_is_ready_before_discovery_responds() {
    let endpoint = FakeEndpoint::start();
    let silent_agent = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&long_list(&endpoint)).discovery(silent_agent.address).start();
    assert_ready(&edge);
    assert_served_by(&endpoint, &mut edge.connect(), &request("lookup", "l-1"));
    // No call to the agent has been answered so far.
    let _pending_call = silent_agent.next_request();
}

#[test]
fn node_without_endpoints_is_ready_while_a_list_of_46000_arrives_and_then_uses_it() {
    let endpoint = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    // The list has to arrive completely, but the time that this takes is not checked.
    let edge = NodeConfiguration::new(&[]).discovery(agent.address).start();
    let list = snapshot(5, &long_list(&endpoint));
    let mut call = agent.next_request();
    call.send_half_response(&list);
    assert_ready(&edge);
    while !call.message.start_line.contains("after=5&") {
        // The first call has received half of its response and may end in any way.
        call = agent.next_request();
        call.send_response("200 OK", &list);
    }
    assert_served_by(&endpoint, &mut edge.connect(), &request("lookup", "l-1"));
}
