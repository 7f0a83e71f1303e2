//! Tests of endpoint lists that are malformed or arrive at an unfavourable time. The test sends each response
//! of the agent itself.

mod fakes;

use fakes::{
    active, assert_served_by, endpoint_entry, next_watch, ok_response, request, unreachable_address,
    watched_version, FakeEndpoint, NodeConfiguration, ReceivedRequest,
};
use serde_json::{json, Value};

fn list(version: u64, is_snapshot: bool, entries: &[Value]) -> String {
    json!({"index": version, "snapshot": is_snapshot, "endpoints": entries}).to_string()
}

/// The first calls of a node to its agent.
struct FirstCalls {
    /// The request for the full list.
    fetch: ReceivedRequest,
    watch: ReceivedRequest,
}

/// Returns the next fetch and the next watch, which may arrive in either order.
fn first_calls(agent: &FakeEndpoint) -> FirstCalls {
    let first = agent.next_request();
    let second = agent.next_request();
    match watched_version(&first.message) {
        None => FirstCalls { fetch: first, watch: second },
        Some(_) => FirstCalls { fetch: second, watch: first },
    }
}

fn configuration_with_agent(entries: &[Value], agent: &FakeEndpoint) -> NodeConfiguration {
    NodeConfiguration::new(entries).discovery(agent.address)
}

#[test]
fn no_request_is_sent_before_the_list_of_the_agent_is_applied() {
    let old = FakeEndpoint::start();
    let new = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let edge = configuration_with_agent(&[active("s-1", old.address)], &agent).start();
    let calls = first_calls(&agent);
    // The client connects and sends its request before the agent responds.
    let mut client = edge.connect();
    client.send(&request("post", "p-1"));
    for _ in 0..50 {
        assert!(
            old.poll_request().is_none(),
            "request was sent to an endpoint before the agent has responded"
        );
    }
    let entries = [endpoint_entry("s-1", old.address, "a", "draining"), active("s-2", new.address)];
    calls.fetch.respond_ok(&list(2, true, &entries));
    new.next_request().respond_ok("ok");
    assert_eq!(client.response().status(), 200);
}

#[test]
fn silent_agent_does_not_delay_requests_for_long() {
    let endpoint = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let edge = configuration_with_agent(&[active("s-1", endpoint.address)], &agent).start();
    let _unanswered = first_calls(&agent);
    assert_served_by(&endpoint, &mut edge.connect(), &request("post", "p-1"));
}

#[test]
fn fetch_that_ends_after_discovery_moved_away_and_back_is_dropped() {
    let old = FakeEndpoint::start();
    let new = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let other_agent = FakeEndpoint::start();
    let configuration = configuration_with_agent(&[active("s-1", old.address)], &agent);
    let edge = configuration.start();
    let calls = first_calls(&agent);
    edge.reload(&configuration.clone().discovery(other_agent.address).to_text());
    let _call_after_move = other_agent.next_request();
    edge.reload(&configuration.to_text());
    // The agent restarts its version count after the move back, so the old response has the higher version.
    agent.next_request().respond_ok(&list(3, true, &[active("s-2", new.address)]));
    let _watch = next_watch(&agent);
    let old_list = list(9, true, &[active("s-1", old.address)]);
    calls.fetch.send_raw_and_close(ok_response(&old_list).as_bytes());
    agent.assert_connection_ended();
    assert_served_by(&new, &mut edge.connect(), &request("post", "p-1"));
}

#[test]
fn malformed_list_is_not_applied_and_malformed_entry_is_skipped() {
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
        assert_eq!(watched_version(&watch.message), Some(1), "row {row}: malformed list was applied");
        assert_served_by(&first, &mut edge.connect(), &request("post", &format!("p-{row}")));
    }
    let entries = [json!({"name": "s-1", "status": 7}), active("s-2", second.address)];
    watch.respond_ok(&list(2, true, &entries));
    assert_eq!(watched_version(&next_watch(&agent).message), Some(2));
    assert_served_by(&second, &mut edge.connect(), &request("post", "p-last"));
}

#[test]
fn truncated_list_is_dropped_and_indented_shorter_list_is_applied() {
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let known = [active("s-1", first.address), active("s-2", second.address)];
    let edge = configuration_with_agent(&known, &agent).start();
    let FirstCalls { fetch: _fetch, watch } = first_calls(&agent);
    // The response is cut off 5 bytes before its end. The complete list would remove both endpoints.
    let text = ok_response(&list(2, true, &[active("s-3", unreachable_address())]));
    watch.send_raw_and_close(&text.as_bytes()[..text.len() - 5]);
    let watch = next_watch(&agent);
    assert_eq!(watched_version(&watch.message), Some(1));
    let shorter = json!({"index": 3, "snapshot": true, "endpoints": [known[1]]});
    watch.respond_ok(&serde_json::to_string_pretty(&shorter).expect("list should serialize to JSON"));
    assert_eq!(watched_version(&next_watch(&agent).message), Some(3));
    for number in 0..4 {
        assert_served_by(&second, &mut edge.connect(), &request("post", &format!("p-{number}")));
    }
    first.assert_no_request();
}

/// Guards against applying the beginning of a list as the whole: the stated length is too small, and the rest
/// of the list lies behind it.
#[test]
fn list_with_a_stated_length_that_is_too_small_is_dropped() {
    let known = FakeEndpoint::start();
    let agent = FakeEndpoint::start();
    let edge = configuration_with_agent(&[active("s-1", known.address)], &agent).start();
    let FirstCalls { fetch: _fetch, mut watch } = first_calls(&agent);
    // The complete list would remove the known endpoint.
    let text = list(2, true, &[active("s-2", unreachable_address())]);
    for missing_bytes in [1, 2, 12, text.len()] {
        let stated_length = text.len() - missing_bytes;
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated_length}\r\n\r\n{text}");
        watch.send_raw(response.as_bytes());
        watch = next_watch(&agent);
        assert_eq!(watched_version(&watch.message), Some(1), "{missing_bytes} bytes missing");
    }
    assert_served_by(&known, &mut edge.connect(), &request("post", "p-1"));
}

#[test]
fn next_watch_starts_from_the_version_of_a_response_without_changes() {
    // If the node watched from the version before, the agent would have a newer version to send at once, each
    // time.
    let agent = FakeEndpoint::start();
    let _edge = configuration_with_agent(&[], &agent).start();
    let FirstCalls { fetch: _fetch, watch } = first_calls(&agent);
    watch.respond_ok(&list(2, false, &[]));
    assert_eq!(watched_version(&next_watch(&agent).message), Some(2));
}
