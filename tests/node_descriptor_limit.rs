//! A node with fewer descriptors than clients must go on serving requests.
//!
//! Idle connections, connections without requests and connections with unfinished requests could hold all
//! descriptors and block other clients.

mod fakes;

use std::array::from_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

use fakes::{active, assert_served_by, request, Client, EdgeProcess, FakeEndpoint, NodeConfiguration};

/// The descriptor limit of the node.
const DESCRIPTORS: u32 = 40;

/// A node with few descriptors and one endpoint.
struct SmallNode {
    endpoint: FakeEndpoint,
    edge: EdgeProcess,
}

fn small_node() -> SmallNode {
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.max_descriptors(DESCRIPTORS).start();
    SmallNode { endpoint, edge }
}

#[test]
fn idle_connections_are_closed_for_new_ones_and_no_request_is_lost() {
    let SmallNode { endpoint, edge } = small_node();
    // There are many more clients than descriptors, and each connection is idle after its response.
    let mut idle_clients = Vec::new();
    for number in 0..100 {
        let [mut client] = edge.connect_having_sent([request("lookup", &format!("l-{number}")).text()]);
        endpoint.next_request().respond_ok("ok");
        client.assert_ok("ok");
        idle_clients.push(client);
    }
    drop(idle_clients);
    // More clients connect at once than there are descriptors for. The others wait in the backlog, and are
    // served as soon as one of the earlier clients has its response and is idle, although that client keeps
    // its connection open.
    let texts = from_fn(|number| request("post", &format!("p-{number}")).text());
    let mut clients: [Client; 20] = edge.connect_having_sent(texts);
    for _ in 0..20 {
        endpoint.next_request().respond_ok("ok");
    }
    for client in &mut clients {
        assert_eq!(client.response().status(), 200);
    }
}

#[test]
fn connections_with_unfinished_requests_are_closed_for_new_clients() {
    let SmallNode { endpoint, edge } = small_node();
    let text = request("lookup", "l-0").text();
    let _unfinished = edge.connect_having_sent([&text[..text.len() / 2]; 20]);
    let [mut client] = edge.connect_having_sent([request("lookup", "l-1").text()]);
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
}

#[test]
fn connections_without_requests_do_not_block_new_clients() {
    let SmallNode { endpoint, edge } = small_node();
    let mut regular = edge.connect();
    assert_served_by(&endpoint, &mut regular, &request("post", "first"));
    let mut clients_without_request = Vec::new();
    for number in 0..5 {
        // In each round there are more clients without a request than descriptors, and the connection in use
        // must stay open. The new client sends its request before the node runs: if it sent after the
        // response to the regular client, it would be a client without a request as well.
        let mut new_client = edge.while_suspended(|| {
            clients_without_request.extend((0..30).map(|_| edge.connect()));
            let mut client = edge.connect();
            client.send(&request("post", &format!("new-{number}")));
            client
        });
        regular.send(&request("post", &format!("usual-{number}")));
        for _ in 0..2 {
            endpoint.next_request().respond_ok("ok");
        }
        for client in [&mut regular, &mut new_client] {
            client.assert_ok("ok");
        }
    }
}

/// The number of clients that send only a part of a request: more than twice as many as there are descriptors
/// for.
const HALF_SENT_CLIENTS: usize = 20;

/// Asserts that many clients that have sent only `half_sent` of a request do not block another client for
/// long.
///
/// The other client has to be served before a node with free descriptors gives up a client that has sent only
/// `half_sent`.
fn assert_half_sent_requests_are_evicted_soon(half_sent: &str) {
    let unloaded_node = small_node();
    let SmallNode { endpoint, edge } = small_node();
    let send_to = |edge: &EdgeProcess, text: &str| {
        let mut client = edge.connect();
        client.send_raw(text);
        client
    };
    let (_partial_clients, mut client, mut undisturbed_client) = edge.while_suspended(|| {
        let partial_clients: [Client; HALF_SENT_CLIENTS] = from_fn(|_| send_to(&edge, half_sent));
        let client = send_to(&edge, &request("lookup", "l-1").text());
        (partial_clients, client, send_to(&unloaded_node.edge, half_sent))
    });
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
    assert!(
        undisturbed_client.is_still_waiting(),
        "expected the client to be served before a node with free descriptors gives up a partial request"
    );
}

#[test]
fn half_sent_heads_are_evicted_when_descriptors_run_out() {
    let text = request("lookup", "l-0").text();
    assert_half_sent_requests_are_evicted_soon(&text[..text.len() / 2]);
}

#[test]
fn half_sent_bodies_are_evicted_when_descriptors_run_out() {
    let text = request("post", "p-0").text();
    assert_half_sent_requests_are_evicted_soon(&text[..text.len() - 1]);
}

#[test]
fn slow_requests_are_evicted_when_descriptors_run_out() {
    let unloaded_node = small_node();
    let SmallNode { endpoint, edge } = small_node();
    let text = request("post", "p-0").text();
    let connect_half_sent = |edge: &EdgeProcess| {
        let mut client = edge.connect();
        client.send_raw(&text[..1]);
        client
    };
    // There are more than four times as many slow clients as there are descriptors for.
    let (partial_clients, mut client, mut undisturbed_client) = edge.while_suspended(|| {
        let partial_clients: Vec<Client> = (0..40).map(|_| connect_half_sent(&edge)).collect();
        let mut client = edge.connect();
        client.send(&request("lookup", "l-1"));
        (partial_clients, client, connect_half_sent(&unloaded_node.edge))
    });
    let has_ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| send_slowly(partial_clients, &text[1..], &has_ended));
        endpoint.next_request().respond_ok("ok");
        client.assert_ok("ok");
        has_ended.store(true, Ordering::Relaxed);
    });
    assert!(
        undisturbed_client.is_still_waiting(),
        "expected the client to be served before a node with free descriptors gives up a partial request"
    );
}

/// Sends one byte of `text` on each connection every 50 ms until `has_ended` is set.
fn send_slowly(mut clients: Vec<Client>, text: &str, has_ended: &AtomicBool) {
    for byte in text.chars() {
        sleep(Duration::from_millis(50));
        if has_ended.load(Ordering::Relaxed) {
            return;
        }
        clients.retain_mut(|client| client.try_send_raw(&byte.to_string()));
    }
}
