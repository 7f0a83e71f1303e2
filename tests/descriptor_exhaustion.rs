//! When all descriptors are in use, the node must still connect to discovery, the counter service and
//! endpoints.
//!
//! Idle clients fill the descriptors while discovery and the counter service are down. The kernel enforces
//! the limit.

mod fakes;

use edge_node::net::discovery::calls_in_flight::MAX_CALLS_IN_FLIGHT;
use fakes::{
    active, paid_request, request, Client, FakeCounter, FakeEndpoint, NodeConfiguration, ReceivedRequest,
    ReservedPort,
};
use serde_json::json;

const READINESS_CHECK: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";

#[test]
fn idle_clients_that_fill_the_descriptors_block_neither_discovery_nor_the_counter_nor_a_request() {
    let old_endpoint = FakeEndpoint::start();
    let new_endpoint = FakeEndpoint::start();
    let discovery = ReservedPort::new();
    let counter = ReservedPort::new();
    let edge = NodeConfiguration::new(&[active("s-1", old_endpoint.address)])
        .discovery(discovery.address)
        .counter(counter.address)
        .max_descriptors(40)
        .start();
    // Each request in flight holds one descriptor downstream and one upstream.
    let mut busy_clients: Vec<Client> = (0..5).map(|_| edge.connect()).collect();
    let mut in_flight = Vec::new();
    for (number, client) in busy_clients.iter_mut().enumerate() {
        client.send(&request("post", &format!("held-{number}")));
        in_flight.push(old_endpoint.next_request());
    }
    // There are many more clients than descriptors. Each connection is idle after its response, and its
    // client keeps it open.
    let mut idle_clients = edge.connect_having_sent([READINESS_CHECK; 60]);
    for client in &mut idle_clients {
        assert_eq!(client.response().status(), 200);
    }

    let discovery = FakeEndpoint::with_listener(discovery.listen());
    let counter = FakeCounter::with_listener(counter.listen());
    let list = json!({"index": 7, "snapshot": true, "endpoints": [active("s-2", new_endpoint.address)]});
    let list_applied = |call: &ReceivedRequest| call.message.start_line.contains("after=7&");
    let mut call = discovery.next_request();
    while !list_applied(&call) {
        call.respond_ok(&list.to_string());
        call = discovery.next_request();
    }

    // The connection of the last client is still open.
    let [.., mut connected] = idle_clients;
    // The request needs another account, because each account has one plan.
    let request = paid_request("post", "p-1").text();
    connected.send_raw(&request.replace("key=0000000000000007", "key=0000000000000008"));
    let mut increment = counter.next_call();
    increment.reply_total(increment.amount);
    new_endpoint.next_request().respond_ok("served");
    assert_eq!(connected.response().body, b"served");
    for request in in_flight {
        request.respond_ok("held");
    }
    for client in &mut busy_clients {
        assert_eq!(client.response().body, b"held");
    }
}

/// Guards against calls to a silent discovery that take the descriptors of the counter service, or find none
/// themselves, because idle clients hold all others.
#[test]
fn idle_clients_that_fill_the_descriptors_leave_enough_for_all_calls_to_a_silent_discovery() {
    let endpoint = FakeEndpoint::start();
    let counter = FakeCounter::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)])
        .counter(counter.address)
        .counter_timeout(3_000_000)
        .max_descriptors(40);
    let edge = configuration.start();
    let mut idle_clients = edge.connect_having_sent([READINESS_CHECK; 60]);
    for client in &mut idle_clients {
        assert_eq!(client.response().status(), 200);
    }
    let silent_discovery = FakeEndpoint::start();
    edge.reload(&configuration.discovery(silent_discovery.address).to_text());
    let _unanswered: Vec<ReceivedRequest> =
        (0..MAX_CALLS_IN_FLIGHT).map(|_| silent_discovery.next_request()).collect();

    let [.., mut connected] = idle_clients;
    // The calls for several accounts are spread over all connections to the counter service.
    for account in 1..=8 {
        let request = paid_request("post", &format!("p-{account}")).text();
        connected.send_raw(&request.replace("key=0000000000000007", &format!("key={account:016x}")));
        let mut increment = counter.next_call();
        increment.reply_total(increment.amount);
        endpoint.next_request().respond_ok("served");
        assert_eq!(connected.response().body, b"served");
    }
}
