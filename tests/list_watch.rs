//! Endpoint lists that arrive at an unfavourable time or malformed: the test gives each response of the agent by hand.

mod fakes;

use fakes::{
    active, endpoint_entry, request, unreachable_address, EdgeProcess, FakeEndpoint, NodeConfiguration,
    ReceivedRequest,
};
use serde_json::{json, Value};

/// The version that a call watches from; none for a call for the full list.
fn version_watched_from(call: &ReceivedRequest) -> Option<u64> {
    let (_, after) = call.message.first.split_once("after=")?;
    let version = after.split('&').next().expect("a version");
    Some(version.parse().expect("a number"))
}

fn list(version: u64, is_snapshot: bool, entries: &[Value]) -> String {
    json!({"index": version, "snapshot": is_snapshot, "endpoints": entries}).to_string()
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The first calls of a node.
struct FirstCalls {
    /// For the full list.
    fetch: ReceivedRequest,
    watch: ReceivedRequest,
}

/// The next fetch and the next watch, in whatever order they come.
fn first_calls(agent: &FakeEndpoint) -> FirstCalls {
    let first = agent.next_request();
    let second = agent.next_request();
    match version_watched_from(&first) {
        None => FirstCalls { fetch: first, watch: second },
        Some(_) => FirstCalls { fetch: second, watch: first },
    }
}

fn next_watch(agent: &FakeEndpoint) -> ReceivedRequest {
    loop {
        let call = agent.next_request();
        if version_watched_from(&call).is_some() {
            return call;
        }
    }
}

fn configuration_with_agent(entries: &[Value], agent: &FakeEndpoint) -> NodeConfiguration {
    NodeConfiguration::new(entries).discovery(agent.address)
}

/// Checks that the node's next request goes to this endpoint.
fn assert_served_by(endpoint: &FakeEndpoint, edge: &EdgeProcess, request_id: &str) {
    let mut client = edge.connect();
    client.send(&request("post", request_id));
    endpoint.next_request().respond_ok("ok");
    assert_eq!(client.response().status(), 200);
}

#[test]
fn no_request_is_sent_before_the_list_of_the_agent_is_applied() {
    let old = FakeEndpoint::start();
    let new = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let edge = configuration_with_agent(&[active("s-1", old.address)], &agent).start();
    let calls = first_calls(&agent);
    // The client connects first; the agent responds only then.
    let mut client = edge.connect();
    client.send(&request("post", "p-1"));
    for _ in 0..50 {
        assert!(old.poll_request().is_none(), "sent before the agent has responded");
    }
    let entries = [endpoint_entry("s-1", old.address, "a", "draining"), active("s-2", new.address)];
    calls.fetch.respond_ok(&list(2, true, &entries));
    new.next_request().respond_ok("ok");
    assert_eq!(client.response().status(), 200);
}

#[test]
fn a_silent_agent_does_not_delay_requests_for_long() {
    let endpoint = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let edge = configuration_with_agent(&[active("s-1", endpoint.address)], &agent).start();
    let _unanswered = first_calls(&agent);
    assert_served_by(&endpoint, &edge, "p-1");
}

#[test]
fn a_fetch_that_ends_after_discovery_moved_away_and_back_is_dropped() {
    let old = FakeEndpoint::start();
    let new = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let other_agent = FakeEndpoint::start();
    let configuration = configuration_with_agent(&[active("s-1", old.address)], &agent);
    let edge = configuration.start();
    let calls = first_calls(&agent);
    edge.reload(&configuration.clone().discovery(other_agent.address).to_text());
    let _elsewhere = other_agent.next_request();
    edge.reload(&configuration.to_text());
    // The agent counts its versions anew, so the old response looks like the newer one.
    agent.next_request().respond_ok(&list(3, true, &[active("s-2", new.address)]));
    let _watch = next_watch(&agent);
    let old_list = list(9, true, &[active("s-1", old.address)]);
    calls.fetch.send_raw_and_close(response(&old_list).as_bytes());
    agent.assert_connection_ended();
    assert_served_by(&new, &edge, "p-1");
}

#[test]
fn a_malformed_list_is_not_applied_and_a_malformed_entry_is_left_out() {
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let edge = configuration_with_agent(&[active("s-1", first.address)], &agent).start();
    let FirstCalls { fetch: _fetch, mut watch } = first_calls(&agent);
    let malformed_lists = [
        r#"{"index":2,"snapshot":true}"#,
        r#"{"index":2,"snapshot":true,"endpoints":["s-1",5,{"name":1}]}"#,
        r#"{"index":2,"snapshot":true,"endpoints":{}}"#,
        r#"{"index":2,"snapshot":true,"endpoints":[{"#,
        r#"{"snapshot":true,"endpoints":[]}"#,
    ];
    for (row, body) in malformed_lists.iter().enumerate() {
        watch.respond_ok(body);
        watch = next_watch(&agent);
        assert_eq!(version_watched_from(&watch), Some(1), "row {row}: applied");
        assert_served_by(&first, &edge, &format!("p-{row}"));
    }
    let entries = [json!({"name": "s-1", "status": 7}), active("s-2", second.address)];
    watch.respond_ok(&list(2, true, &entries));
    assert_eq!(version_watched_from(&next_watch(&agent)), Some(2));
    assert_served_by(&second, &edge, "p-last");
}

#[test]
fn a_list_that_breaks_off_is_dropped_and_an_indented_shorter_one_is_applied() {
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let known = [active("s-1", first.address), active("s-2", second.address)];
    let edge = configuration_with_agent(&known, &agent).start();
    let FirstCalls { fetch: _fetch, watch } = first_calls(&agent);
    // Most of a list that would remove both.
    let text = response(&list(2, true, &[active("s-3", unreachable_address())]));
    watch.send_raw_and_close(&text.as_bytes()[..text.len() - 5]);
    let watch = next_watch(&agent);
    assert_eq!(version_watched_from(&watch), Some(1));
    let shorter = json!({"index": 3, "snapshot": true, "endpoints": [known[1]]});
    watch.respond_ok(&serde_json::to_string_pretty(&shorter).expect("JSON"));
    assert_eq!(version_watched_from(&next_watch(&agent)), Some(3));
    for number in 0..4 {
        assert_served_by(&second, &edge, &format!("p-{number}"));
    }
    first.assert_no_request();
}

#[test]
fn a_version_without_changes_is_watched_from() {
    // Asked from the version before, the agent would have something newer to send at once, each time.
    let agent = FakeEndpoint::start();
    let _edge = configuration_with_agent(&[], &agent).start();
    let FirstCalls { fetch: _fetch, watch } = first_calls(&agent);
    watch.respond_ok(&list(2, false, &[]));
    assert_eq!(version_watched_from(&next_watch(&agent)), Some(2));
}
