//! Lists that arrive at an unfavourable time or malformed: the test gives each response of the agent by hand.

mod fakes;

use fakes::{ask, config, entry, nobody, App, Edge, Seen};
use serde_json::{json, Value};

/// The version that a call watches from; none for a call for the full list.
fn version_watched_from(call: &Seen) -> Option<u64> {
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
    fetch: Seen,
    watch: Seen,
}

/// The next fetch and the next watch, in whatever order they come.
fn first_calls(agent: &App) -> FirstCalls {
    let first = agent.next();
    let second = agent.next();
    match version_watched_from(&first) {
        None => FirstCalls { fetch: first, watch: second },
        Some(_) => FirstCalls { fetch: second, watch: first },
    }
}

fn next_watch(agent: &App) -> Seen {
    loop {
        let call = agent.next();
        if version_watched_from(&call).is_some() {
            return call;
        }
    }
}

fn config_with_agent(entries: &[Value], agent: &App) -> Value {
    let mut config = config(entries);
    config["discovery"] = json!(agent.address.to_string());
    config
}

/// Checks that the node's next request goes to this endpoint.
fn assert_served_by(endpoint: &App, edge: &Edge, request_id: &str) {
    let mut client = edge.client();
    client.ask(&ask("post", request_id));
    endpoint.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn no_request_is_sent_before_the_list_of_the_agent_is_applied() {
    let old = App::new();
    let new = App::new();
    let agent = App::new();
    let edge = Edge::new(&config_with_agent(&[entry("s-1", old.address, "a", "up")], &agent));
    let calls = first_calls(&agent);
    // The client connects first; the agent responds only then.
    let mut client = edge.client();
    client.ask(&ask("post", "p-1"));
    for _ in 0..50 {
        assert!(old.poll_once().is_none(), "sent before the agent has responded");
    }
    let entries = [entry("s-1", old.address, "a", "draining"), entry("s-2", new.address, "a", "up")];
    calls.fetch.answer("200 OK", "", &list(2, true, &entries));
    new.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_silent_agent_does_not_delay_requests_for_long() {
    let endpoint = App::new();
    let agent = App::new();
    let edge = Edge::new(&config_with_agent(&[entry("s-1", endpoint.address, "a", "up")], &agent));
    let _unanswered = first_calls(&agent);
    assert_served_by(&endpoint, &edge, "p-1");
}

#[test]
fn a_fetch_that_ends_after_discovery_moved_away_and_back_is_dropped() {
    let old = App::new();
    let new = App::new();
    let agent = App::new();
    let other_agent = App::new();
    let mut config = config_with_agent(&[entry("s-1", old.address, "a", "up")], &agent);
    let edge = Edge::new(&config);
    let calls = first_calls(&agent);
    config["discovery"] = json!(other_agent.address.to_string());
    edge.reload(&config.to_string());
    let _elsewhere = other_agent.next();
    config["discovery"] = json!(agent.address.to_string());
    edge.reload(&config.to_string());
    // The agent counts its versions anew, so the old response looks like the newer one.
    agent.next().answer("200 OK", "", &list(3, true, &[entry("s-2", new.address, "a", "up")]));
    let _watch = next_watch(&agent);
    let old_list = list(9, true, &[entry("s-1", old.address, "a", "up")]);
    calls.fetch.raw(response(&old_list).as_bytes());
    agent.ended();
    assert_served_by(&new, &edge, "p-1");
}

#[test]
fn a_malformed_list_is_not_applied_and_a_malformed_entry_is_left_out() {
    let first = App::new();
    let second = App::new();
    let agent = App::new();
    let edge = Edge::new(&config_with_agent(&[entry("s-1", first.address, "a", "up")], &agent));
    let FirstCalls { fetch: _fetch, mut watch } = first_calls(&agent);
    let malformed_lists = [
        r#"{"index":2,"snapshot":true}"#,
        r#"{"index":2,"snapshot":true,"endpoints":["s-1",5,{"name":1}]}"#,
        r#"{"index":2,"snapshot":true,"endpoints":{}}"#,
        r#"{"index":2,"snapshot":true,"endpoints":[{"#,
        r#"{"snapshot":true,"endpoints":[]}"#,
    ];
    for (row, body) in malformed_lists.iter().enumerate() {
        watch.answer("200 OK", "", body);
        watch = next_watch(&agent);
        assert_eq!(version_watched_from(&watch), Some(1), "row {row}: applied");
        assert_served_by(&first, &edge, &format!("p-{row}"));
    }
    let entries = [json!({"name": "s-1", "status": 7}), entry("s-2", second.address, "a", "up")];
    watch.answer("200 OK", "", &list(2, true, &entries));
    assert_eq!(version_watched_from(&next_watch(&agent)), Some(2));
    assert_served_by(&second, &edge, "p-last");
}

#[test]
fn a_list_that_breaks_off_is_dropped_and_an_indented_shorter_one_is_applied() {
    let first = App::new();
    let second = App::new();
    let agent = App::new();
    let known = [entry("s-1", first.address, "a", "up"), entry("s-2", second.address, "a", "up")];
    let edge = Edge::new(&config_with_agent(&known, &agent));
    let FirstCalls { fetch: _fetch, watch } = first_calls(&agent);
    // Most of a list that would remove both.
    let text = response(&list(2, true, &[entry("s-3", nobody(), "a", "up")]));
    watch.raw(&text.as_bytes()[..text.len() - 5]);
    let watch = next_watch(&agent);
    assert_eq!(version_watched_from(&watch), Some(1));
    let shorter = json!({"index": 3, "snapshot": true, "endpoints": [known[1]]});
    watch.answer("200 OK", "", &serde_json::to_string_pretty(&shorter).expect("JSON"));
    assert_eq!(version_watched_from(&next_watch(&agent)), Some(3));
    for number in 0..4 {
        assert_served_by(&second, &edge, &format!("p-{number}"));
    }
    first.no_request();
}

#[test]
fn a_version_without_changes_is_watched_from() {
    // Asked from the version before, the agent would have something newer to send at once, each time.
    let agent = App::new();
    let _edge = Edge::new(&config_with_agent(&[], &agent));
    let FirstCalls { fetch: _fetch, watch } = first_calls(&agent);
    watch.answer("200 OK", "", &list(2, false, &[]));
    assert_eq!(version_watched_from(&next_watch(&agent)), Some(2));
}
