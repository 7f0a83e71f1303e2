//! Beyond a part of the node's memory, new requests are rejected before their body is read, and open ones go
//! on. What holds memory lets go of it in time.

mod fakes;

use fakes::{
    active, request, wait_until_read_at, Client, EdgeProcess, FakeEndpoint, NodeConfiguration, RequestSpec,
};

/// A memory limit in megabytes with which requests may hold five bodies of the largest length.
const MEMORY_MB: f64 = 2.0;
/// The number of bodies of the largest length that requests may hold.
const BODIES: usize = 5;
/// The largest length of a body, in bytes.
const BODY_BYTES: usize = 64 * 1024;

fn node_with_little_memory(endpoint: &FakeEndpoint) -> EdgeProcess {
    NodeConfiguration::new(&[active("s-1", endpoint.address)]).memory_mb(MEMORY_MB).start()
}

fn post(number: usize) -> RequestSpec {
    request("post", &format!("p-{number}"))
}

/// Connects clients whose requests hold all memory that requests may hold, and sends only `sent_bytes` of each
/// body.
fn fill_memory(edge: &EdgeProcess, sent_bytes: usize) -> Vec<Client> {
    let send = |number| {
        let mut client = edge.connect();
        client.send_raw(&post(number).head_with_body_length(BODY_BYTES));
        client.send_raw(&"x".repeat(sent_bytes));
        client
    };
    let clients = (0..BODIES).map(send).collect();
    wait_until_read_at(edge.address);
    clients
}

/// Guards against bodies that together take the node over its limit on memory, and against a limit that ends
/// what was admitted.
#[test]
fn request_beyond_the_memory_for_bodies_is_rejected_unread_and_open_ones_are_served() {
    let endpoint = FakeEndpoint::start();
    let edge = node_with_little_memory(&endpoint);
    let mut open_clients = fill_memory(&edge, BODY_BYTES);
    // The node keeps the bodies for a further attempt until their requests have a response.
    let attempts: Vec<_> = open_clients.iter().map(|_| endpoint.next_request()).collect();
    let mut rejected_client = edge.connect();
    rejected_client.send_raw(&post(BODIES).head_with_body_length(BODY_BYTES));
    let rejection = rejected_client.response();
    assert_eq!(rejection.status(), 503, "{}", rejection.start_line);
    assert_eq!(rejection.header("connection"), Some("close"));
    for attempt in attempts {
        assert_eq!(attempt.message.body, "x".repeat(BODY_BYTES).as_bytes());
        attempt.respond_ok("ok");
    }
    for client in &mut open_clients {
        client.assert_ok("ok");
    }
    endpoint.assert_no_request();
    open_clients[0].send(&post(BODIES + 1));
    endpoint.next_request().respond_ok("ok");
    open_clients[0].assert_ok("ok");
}

/// Guards against bodies that are never completed keeping new requests out.
#[test]
fn bodies_that_are_never_completed_let_go_of_their_memory() {
    let endpoint = FakeEndpoint::start();
    let edge = node_with_little_memory(&endpoint);
    let mut unfinished = fill_memory(&edge, 1);
    for client in &mut unfinished {
        assert_eq!(client.response().status(), 408);
    }
    let mut client = edge.connect();
    client.send(&post(BODIES));
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
}
