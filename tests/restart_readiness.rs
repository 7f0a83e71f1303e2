//! A restarted node is ready by its configuration alone: with discovery silent, refusing or slow, and with a list as long
//! as that of the largest fleet. Checked by the order of events, not by time.

mod fakes;

use std::iter;

use fakes::{ask, config, entry, nobody, App, Edge};
use serde_json::{json, Value};

/// As many endpoints as the largest fleet has.
const ENDPOINT_COUNT: usize = 46_000;
const READINESS_CHECK: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";

/// A list of which one endpoint is in service and the others are draining.
fn long_list(in_service: &App) -> Vec<Value> {
    let name = |number: usize| format!("s-{number:08x}");
    let unreachable = nobody();
    let active = entry(&name(0), in_service.address, "a", "up");
    let draining = (1..ENDPOINT_COUNT).map(|number| entry(&name(number), unreachable, "a", "draining"));
    iter::once(active).chain(draining).collect()
}

/// A list as the agent responds with it.
fn snapshot(index: u64, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
}

fn assert_ready(edge: &Edge) {
    let mut client = edge.client();
    client.raw(READINESS_CHECK);
    assert_eq!(client.answer().status(), 200);
}

fn assert_served_by(endpoint: &App, edge: &Edge, id: &str) {
    let mut client = edge.client();
    client.ask(&ask("lookup", id));
    endpoint.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_killed_node_restarts_on_its_port_and_is_ready_while_discovery_is_silent() {
    for pushed in [true, false] {
        let endpoint = App::new();
        let silent_agent = App::new();
        let mut config = config(&[entry("s-1", endpoint.address, "a", "up")]);
        config["discovery"] = json!(silent_agent.address.to_string());
        if !pushed {
            config["settings"]["registry_mode"] = json!("ask");
        }
        let killed = Edge::new(&config);
        config["listen"] = json!(killed.address.to_string());
        // The kernel still knows the connections of an idle client and of a request in flight.
        let mut idle_client = killed.client();
        idle_client.raw(READINESS_CHECK);
        assert_eq!(idle_client.answer().status(), 200);
        let mut client = killed.client();
        client.ask(&ask("lookup", "l-1"));
        let _in_flight = endpoint.next();
        killed.signal("KILL");
        drop(killed);
        // The agent accepts the calls of both nodes and responds to none.
        let restarted = Edge::new(&config);
        assert_ready(&restarted);
        assert_served_by(&endpoint, &restarted, "l-2");
    }
}

#[test]
fn a_node_configured_with_46000_endpoints_is_ready_before_discovery_responds() {
    let endpoint = App::new();
    let silent_agent = App::new();
    let mut config = config(&long_list(&endpoint));
    config["discovery"] = json!(silent_agent.address.to_string());
    let edge = Edge::new(&config);
    assert_ready(&edge);
    assert_served_by(&endpoint, &edge, "l-1");
    // No call to the agent has a response so far.
    let _pending_call = silent_agent.next();
}

#[test]
fn a_node_without_endpoints_is_ready_while_a_list_of_46000_arrives_and_uses_it_then() {
    let endpoint = App::new();
    let agent = App::new();
    let mut config = config(&[]);
    config["discovery"] = json!(agent.address.to_string());
    // The list has to arrive completely; how long that takes does not matter here.
    let edge = Edge::new(&config);
    let list = snapshot(5, &long_list(&endpoint));
    let mut call = agent.next();
    call.begin(&list);
    assert_ready(&edge);
    while !call.message.first.contains("after=5&") {
        // The first call has half of its response and may end in any way.
        call = agent.next();
        call.say("200 OK", &list);
    }
    assert_served_by(&endpoint, &edge, "l-1");
}
