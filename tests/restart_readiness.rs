//! Restarted nodes are ready by what they have themselves: with discovery silent, refusing or slow, and with a list as
//! long as it will be. Told by the order of events alone.

mod fakes;

use fakes::*;
use serde_json::{json, Value};

/// As many app servers as the largest fleet will have.
const MANY: usize = 46_000;

/// One of them is up.
fn many(alive: &App) -> Vec<Value> {
    let name = |number: usize| format!("s-{number:08x}");
    let dead = nobody();
    let draining = |number| entry(&name(number), dead, "a", "draining");
    std::iter::once(entry(&name(0), alive.address, "a", "up")).chain((1..MANY).map(draining)).collect()
}

/// A list as the agent's answer.
fn whole(index: u64, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
}

fn assert_ready(edge: &Edge) {
    let mut front = edge.client();
    front.raw("GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
    assert_eq!(front.answer().status(), 200);
}

fn assert_served_by(app: &App, edge: &Edge, id: &str) {
    let mut client = edge.client();
    client.ask(&ask("lookup", id));
    app.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_killed_node_starts_again_on_its_port_and_is_ready_though_discovery_says_nothing() {
    for pushed in [true, false] {
        let (app, agent) = (App::new(), App::new());
        let mut config = config(&[entry("s-1", app.address, "a", "up")]);
        config["discovery"] = json!(agent.address.to_string());
        if !pushed {
            config["settings"]["registry_mode"] = json!("ask");
        }
        let first = Edge::new(&config);
        config["listen"] = json!(first.address.to_string());
        // A request in work and a client that rests: their connections are still there for the machine.
        let mut resting = first.client();
        resting.raw("GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
        assert_eq!(resting.answer().status(), 200);
        let mut client = first.client();
        client.ask(&ask("lookup", "l-1"));
        let _held = app.next();
        first.signal("KILL");
        drop(first);
        // The calls of both are taken in, and none is answered.
        let second = Edge::new(&config);
        assert_ready(&second);
        assert_served_by(&app, &second, "l-2");
    }
}

#[test]
fn a_node_that_knows_46000_app_servers_is_ready_before_discovery_has_said_anything() {
    let (app, agent) = (App::new(), App::new());
    let mut config = config(&many(&app));
    config["discovery"] = json!(agent.address.to_string());
    let edge = Edge::new(&config);
    assert_ready(&edge);
    assert_served_by(&app, &edge, "l-1");
    // Every call so far still waits.
    let _held = agent.next();
}

#[test]
fn a_node_that_knows_nothing_is_ready_while_46000_app_servers_are_told_and_goes_by_them_then() {
    let (app, agent) = (App::new(), App::new());
    let mut config = config(&[]);
    config["discovery"] = json!(agent.address.to_string());
    // That the list comes whole is what counts here, and not how long it takes.
    let edge = Edge::new(&config);
    let list = whole(5, &many(&app));
    let mut call = agent.next();
    call.begin(&list);
    assert_ready(&edge);
    while !call.message.first.contains("after=5&") {
        // The first one has been begun, and ends as it may.
        call = agent.next();
        call.say("200 OK", &list);
    }
    assert_served_by(&app, &edge, "l-1");
}
