//! All descriptors taken while discovery and the counter service are down. The kernel itself enforces the limit.

mod fakes;

use fakes::{ask, config, entry, App, Ask, Client, Counts, Down, Edge, Seen};
use serde_json::json;

const READINESS_CHECK: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";

#[test]
fn idle_clients_that_fill_the_descriptors_block_neither_discovery_nor_the_counter_nor_a_request() {
    let old_endpoint = App::new();
    let new_endpoint = App::new();
    let discovery = Down::new();
    let counter = Down::new();
    let mut config = config(&[entry("s-1", old_endpoint.address, "a", "up")]);
    config["discovery"] = json!(discovery.address.to_string());
    config["counter"] = json!(counter.address.to_string());
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    // Requests in flight take a descriptor on either side.
    let mut busy_clients: Vec<Client> = (0..5).map(|_| edge.client()).collect();
    let mut in_flight = Vec::new();
    for (number, client) in busy_clients.iter_mut().enumerate() {
        client.ask(&ask("post", &format!("held-{number}")));
        in_flight.push(old_endpoint.next());
    }
    // Many more than there are descriptors. Each is idle after its response and stays open on the client's side.
    let mut idle_clients = edge.clients_that_have_sent([READINESS_CHECK; 60]);
    for client in &mut idle_clients {
        assert_eq!(client.answer().status(), 200);
    }

    let discovery = App::on(discovery.comes_back());
    let counter = Counts::on(counter.comes_back());
    let list =
        json!({"index": 7, "snapshot": true, "endpoints": [entry("s-2", new_endpoint.address, "a", "up")]});
    let list_applied = |call: &Seen| call.message.first.contains("after=7&");
    let mut call = discovery.next();
    while !list_applied(&call) {
        call.answer("200 OK", "", &list.to_string());
        call = discovery.next();
    }

    // The last client is still connected.
    let [.., mut connected] = idle_clients;
    // An account of its own, since an account has one plan.
    let request = Ask { plan: "paid", ..ask("post", "p-1") }.text();
    connected.raw(&request.replace("key=0000000000000007", "key=0000000000000008"));
    let mut increment = counter.next();
    increment.total(increment.amount);
    new_endpoint.next().answer("200 OK", "", "served");
    assert_eq!(connected.answer().body, b"served");
    for request in in_flight {
        request.answer("200 OK", "", "held");
    }
    for client in &mut busy_clients {
        assert_eq!(client.answer().body, b"held");
    }
}
