//! Lists and watches at the wrong moment: a fake agent whose every answer the test holds and gives by hand.

mod fakes;

use fakes::*;
use serde_json::{json, Value};

/// A call to the agent: the version it watches from, or none for the whole list.
fn watches_from(seen: &Seen) -> Option<u64> {
    let (_, after) = seen.message.first.split_once("after=")?;
    Some(after.split('&').next().expect("a version").parse().expect("a number"))
}

fn list(index: u64, snapshot: bool, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": snapshot, "endpoints": entries}).to_string()
}

/// The next call that fetches the whole list, and the next that watches; in whatever order they come.
fn calls(agent: &App) -> (Seen, Seen) {
    let (first, second) = (agent.next(), agent.next());
    match watches_from(&first) {
        None => (first, second),
        Some(_) => (second, first),
    }
}

/// The next watch.
fn watch(agent: &App) -> Seen {
    loop {
        let seen = agent.next();
        if watches_from(&seen).is_some() {
            return seen;
        }
    }
}

fn with_agent(entries: &[Value], agent: &App) -> Value {
    let mut config = config(entries);
    config["discovery"] = json!(agent.address.to_string());
    config
}

/// That the node's next request goes to this app server.
fn assert_served_by(app: &App, edge: &Edge, id: &str) {
    let mut client = edge.client();
    client.ask(&ask("post", id));
    app.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn what_the_agent_holds_is_known_before_the_first_request_is_sent() {
    let (old, new, agent) = (App::new(), App::new(), App::new());
    let edge = Edge::new(&with_agent(&[entry("s-1", old.address, "a", "up")], &agent));
    let (fetch, _watch) = calls(&agent);
    // The client is there first; the agent answers only then.
    let mut client = edge.client();
    client.ask(&ask("post", "p-1"));
    for _ in 0..50 {
        assert!(old.poll_once().is_none(), "sent before the agent was heard");
    }
    let entries = [entry("s-1", old.address, "a", "draining"), entry("s-2", new.address, "a", "up")];
    fetch.answer("200 OK", "", &list(2, true, &entries));
    new.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn an_agent_that_is_silent_keeps_nobody_waiting_for_long() {
    let (app, agent) = (App::new(), App::new());
    let edge = Edge::new(&with_agent(&[entry("s-1", app.address, "a", "up")], &agent));
    let _held = calls(&agent);
    assert_served_by(&app, &edge, "p-1");
}

#[test]
fn a_fetch_that_ends_after_discovery_moved_away_and_back_is_dropped() {
    let (old, new) = (App::new(), App::new());
    let (agent, other) = (App::new(), App::new());
    let mut config = with_agent(&[entry("s-1", old.address, "a", "up")], &agent);
    let edge = Edge::new(&config);
    let (fetch, _watch) = calls(&agent);
    config["discovery"] = json!(other.address.to_string());
    edge.reload(&config.to_string());
    let _elsewhere = other.next();
    config["discovery"] = json!(agent.address.to_string());
    edge.reload(&config.to_string());
    // The agent counts its versions anew, so the old answer's looks like the newer one.
    agent.next().answer("200 OK", "", &list(3, true, &[entry("s-2", new.address, "a", "up")]));
    let _watching = watch(&agent);
    fetch.raw(with_length(&list(9, true, &[entry("s-1", old.address, "a", "up")])).as_bytes());
    agent.ended();
    assert_served_by(&new, &edge, "p-1");
}

fn with_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn of_a_malformed_list_nothing_is_taken_and_of_a_malformed_entry_only_that_is_left_out() {
    let (app, second, agent) = (App::new(), App::new(), App::new());
    let edge = Edge::new(&with_agent(&[entry("s-1", app.address, "a", "up")], &agent));
    let (_fetch, mut call) = calls(&agent);
    let bad = [
        r#"{"index":2,"snapshot":true}"#,
        r#"{"index":2,"snapshot":true,"endpoints":["s-1",5,{"name":1}]}"#,
        r#"{"index":2,"snapshot":true,"endpoints":{}}"#,
        r#"{"index":2,"snapshot":true,"endpoints":[{"#,
        r#"{"snapshot":true,"endpoints":[]}"#,
    ];
    for (number, body) in bad.iter().enumerate() {
        call.answer("200 OK", "", body);
        call = watch(&agent);
        assert_eq!(watches_from(&call), Some(1), "row {number}: taken as a list");
        assert_served_by(&app, &edge, &format!("p-{number}"));
    }
    let entries = [json!({"name": "s-1", "status": 7}), entry("s-2", second.address, "a", "up")];
    call.answer("200 OK", "", &list(2, true, &entries));
    assert_eq!(watches_from(&watch(&agent)), Some(2));
    assert_served_by(&second, &edge, "p-last");
}

#[test]
fn a_list_that_breaks_off_comes_indented_or_is_shorter_than_before_is_borne() {
    let (app, second, agent) = (App::new(), App::new(), App::new());
    let known = [entry("s-1", app.address, "a", "up"), entry("s-2", second.address, "a", "up")];
    let edge = Edge::new(&with_agent(&known, &agent));
    let (_fetch, call) = calls(&agent);
    // Half of a list that would take both out.
    let text = with_length(&list(2, true, &[entry("s-3", nobody(), "a", "up")]));
    call.raw(&text.as_bytes()[..text.len() - 5]);
    let call = watch(&agent);
    assert_eq!(watches_from(&call), Some(1));
    let shorter = json!({"index": 3, "snapshot": true, "endpoints": [known[1]]});
    call.answer("200 OK", "", &serde_json::to_string_pretty(&shorter).expect("JSON"));
    assert_eq!(watches_from(&watch(&agent)), Some(3));
    for number in 0..4 {
        assert_served_by(&second, &edge, &format!("p-{number}"));
    }
    app.no_request();
}

#[test]
fn a_version_without_changes_is_watched_on_from() {
    // Danger: asked from the version before, the agent has something newer to tell at once, each time.
    let agent = App::new();
    let _edge = Edge::new(&with_agent(&[], &agent));
    let (_fetch, call) = calls(&agent);
    call.answer("200 OK", "", &list(2, false, &[]));
    assert_eq!(watches_from(&watch(&agent)), Some(2));
}
