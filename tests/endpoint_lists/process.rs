//! Tests of long lists and shared addresses with a node process and an agent whose responses are sent by the
//! test.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::fakes::{
    active, next_request_at_any, ok_response, request, unreachable_address, EdgeProcess, FakeEndpoint,
    NodeConfiguration,
};
use crate::lists::{longest_list, snapshot};
use crate::snapshot::COLLIDING_NAMES;

/// Longer than the time for which a connection is not reused after a response.
const AFTER_MIN_IDLE: Duration = Duration::from_millis(30);

/// A node process, its agent and its configuration.
struct Node {
    edge: EdgeProcess,
    agent: FakeEndpoint,
    configuration: NodeConfiguration,
}

/// Starts a node that is configured with these entries.
fn start(entries: &[Value]) -> Node {
    let agent = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(entries).discovery(agent.address);
    Node { edge: configuration.start(), agent, configuration }
}

/// Responds with this list to watches from `from_version`, until the node watches from `to_version`. On a
/// slow machine a watch may time out before its response is complete; the node then repeats the watch.
fn respond_until_applied(agent: &FakeEndpoint, from_version: u64, to_version: u64, list: &str) {
    let watch_from = format!("after={from_version}&");
    let watch_to = format!("after={to_version}&");
    loop {
        let call = agent.next_request();
        if call.message.start_line.contains(&watch_to) {
            let unchanged = json!({"index": to_version, "snapshot": false, "endpoints": []}).to_string();
            return call.send_raw(ok_response(&unchanged).as_bytes());
        }
        if call.message.start_line.contains(&watch_from) {
            call.send_raw(ok_response(list).as_bytes());
        }
    }
}

/// Asserts that the node's next request goes to this endpoint, and returns the node's address on that
/// connection.
fn assert_served_by(endpoint: &FakeEndpoint, edge: &EdgeProcess, request_id: &str) -> SocketAddr {
    let mut client = edge.connect();
    client.send(&request("post", request_id));
    let request = endpoint.next_request();
    let connection = request.node_address();
    request.respond_ok("ok");
    assert_eq!(client.response().status(), 200);
    connection
}

#[test]
fn longest_indented_list_is_applied_and_replaced_by_another() {
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let first_list = longest_list(2, &first);
    let second_list = longest_list(3, &second);
    let mut node = start(&[active("s-1", unreachable_address())]);
    respond_until_applied(&node.agent, 1, 2, &first_list);
    assert_served_by(&first, &node.edge, "p-1");
    node.edge.wait_for_log_line("malformed entry");
    respond_until_applied(&node.agent, 2, 3, &second_list);
    assert_served_by(&second, &node.edge, "p-2");
    first.assert_no_request();
}

#[test]
fn long_list_received_during_a_move_does_not_replace_the_new_list() {
    let old = FakeEndpoint::start();
    let new = FakeEndpoint::start();
    let new_agent = FakeEndpoint::start();
    let list_of_old_agent = ok_response(&longest_list(9, &old));
    let Node { edge, agent, configuration } = start(&[active("s-1", old.address)]);
    // The list is sent both to the fetch and to the watch, so that the move happens while the list is in
    // transit, partly prepared or applied.
    agent.next_request().send_raw(list_of_old_agent.as_bytes());
    agent.next_request().send_raw(list_of_old_agent.as_bytes());
    edge.reload(&configuration.discovery(new_agent.address).to_text());
    let list = snapshot(3, &[active("s-2", new.address)]).to_string();
    loop {
        let call = new_agent.next_request();
        if call.message.start_line.contains("after=3&") {
            break;
        }
        call.send_raw(ok_response(&list).as_bytes());
    }
    for number in 0..3 {
        assert_served_by(&new, &edge, &format!("p-{number}"));
    }
    old.assert_no_request();
}

#[test]
fn snapshot_closes_only_connections_to_an_address_that_another_endpoint_takes() {
    let endpoint = FakeEndpoint::start();
    let known = [active("s-1", endpoint.address)];
    let Node { edge, agent, .. } = start(&known);
    let connection = assert_served_by(&endpoint, &edge, "p-1");
    std::thread::sleep(AFTER_MIN_IDLE);
    respond_until_applied(&agent, 1, 2, &snapshot(2, &known).to_string());
    let reused = assert_served_by(&endpoint, &edge, "p-2");
    assert_eq!(reused, connection, "connection was closed although its endpoint has not changed");
    std::thread::sleep(AFTER_MIN_IDLE);
    // The first endpoint is still listed, but the connection leads to it and not to the new endpoint, so the
    // node must not reuse the connection.
    let both = [&known[..], &[active("s-2", endpoint.address)]].concat();
    respond_until_applied(&agent, 2, 3, &snapshot(3, &both).to_string());
    for number in 0..20 {
        let used = assert_served_by(&endpoint, &edge, &format!("q-{number}"));
        assert_ne!(used, connection, "connection opened before the address was shared was reused");
    }
}

#[test]
fn two_endpoints_with_colliding_names_are_both_used() {
    let endpoints = [FakeEndpoint::start(), FakeEndpoint::start()];
    let entries = [0, 1].map(|index| active(COLLIDING_NAMES[index], endpoints[index].address));
    let node = start(&entries);
    let mut used = BTreeSet::new();
    for number in 0..200 {
        let mut client = node.edge.connect();
        client.send(&request("post", &format!("p-{number}")));
        let received = next_request_at_any(&[&endpoints[0], &endpoints[1]]);
        received.request.respond_ok("ok");
        assert_eq!(client.response().status(), 200);
        used.insert(received.endpoint);
        if used.len() == 2 {
            return;
        }
    }
    panic!("expected both endpoints to be used, but 200 requests went to one of them");
}
