//! Service with fewer descriptors than clients.

mod fakes;

use std::array::from_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

use fakes::{active, assert_served_by, request, Client, EdgeProcess, FakeEndpoint, NodeConfiguration};

const DESCRIPTORS: u32 = 40;

/// A node with few descriptors and one endpoint.
struct SmallNode {
    endpoint: FakeEndpoint,
    edge: EdgeProcess,
}

fn small_node() -> SmallNode {
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.descriptors(DESCRIPTORS).start();
    SmallNode { endpoint, edge }
}

#[test]
fn idle_connections_give_way_to_new_ones_and_no_request_is_lost() {
    let SmallNode { endpoint, edge } = small_node();
    // Many more clients than descriptors, each idle after its response.
    let mut idle_clients = Vec::new();
    for number in 0..100 {
        let [mut client] = edge.connect_having_sent([request("lookup", &format!("l-{number}")).text()]);
        endpoint.next_request().respond_ok("ok");
        client.assert_ok("ok");
        idle_clients.push(client);
    }
    drop(idle_clients);
    // More at once than there are descriptors for: the others wait in the backlog, and are served as soon as one of
    // the earlier clients has its response and is idle, though its connection stays open.
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
fn clients_that_never_finish_their_request_give_way() {
    let SmallNode { endpoint, edge } = small_node();
    let text = request("lookup", "l-0").text();
    let _unfinished = edge.connect_having_sent([&text[..text.len() / 2]; 20]);
    let [mut client] = edge.connect_having_sent([request("lookup", "l-1").text()]);
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
}

#[test]
fn silent_connections_keep_no_client_out() {
    let SmallNode { endpoint, edge } = small_node();
    let mut regular = edge.connect();
    assert_served_by(&endpoint, &mut regular, &request("post", "first"));
    let mut silent_clients = Vec::new();
    for number in 0..5 {
        // Each time more of them than there are descriptors; the connection in use outlives them all. A new client
        // that sent only after the response to the regular one would be silent itself.
        let mut new_client = edge.while_suspended(|| {
            silent_clients.extend((0..30).map(|_| edge.connect()));
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

/// How many clients half-send a request in a crowd: more than twice as many as there are descriptors for.
const HALF_SENT: usize = 20;

/// Asserts that a client behind a crowd that sent this much of a request is served before a node without a lack of
/// descriptors has given up such a client.
fn assert_half_sent_requests_give_way_soon(half_sent: &str) {
    let empty_node = small_node();
    let SmallNode { endpoint, edge } = small_node();
    let send_to = |edge: &EdgeProcess, text: &str| {
        let mut client = edge.connect();
        client.send_raw(text);
        client
    };
    let (_crowd, mut client, mut alone) = edge.while_suspended(|| {
        let crowd: [Client; HALF_SENT] = from_fn(|_| send_to(&edge, half_sent));
        let client = send_to(&edge, &request("lookup", "l-1").text());
        (crowd, client, send_to(&empty_node.edge, half_sent))
    });
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
    assert!(alone.is_still_waiting(), "a client without a crowd was given up first");
}

#[test]
fn half_sent_heads_give_way_where_descriptors_run_out() {
    let text = request("lookup", "l-0").text();
    assert_half_sent_requests_give_way_soon(&text[..text.len() / 2]);
}

#[test]
fn half_sent_bodies_give_way_where_descriptors_run_out() {
    let text = request("post", "p-0").text();
    assert_half_sent_requests_give_way_soon(&text[..text.len() - 1]);
}

#[test]
fn slow_requests_give_way_where_descriptors_run_out() {
    let empty_node = small_node();
    let SmallNode { endpoint, edge } = small_node();
    let text = request("post", "p-0").text();
    let connect_half_sent = |edge: &EdgeProcess| {
        let mut client = edge.connect();
        client.send_raw(&text[..1]);
        client
    };
    // More than four times as many as there are descriptors for.
    let (crowd, mut client, mut alone) = edge.while_suspended(|| {
        let crowd: Vec<Client> = (0..40).map(|_| connect_half_sent(&edge)).collect();
        let mut client = edge.connect();
        client.send(&request("lookup", "l-1"));
        (crowd, client, connect_half_sent(&empty_node.edge))
    });
    let has_ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| send_slowly(crowd, &text[1..], &has_ended));
        endpoint.next_request().respond_ok("ok");
        client.assert_ok("ok");
        has_ended.store(true, Ordering::Relaxed);
    });
    assert!(alone.is_still_waiting(), "a client without a crowd was given up first");
}

/// Sends a byte of a request on each connection now and then, until the test has ended.
fn send_slowly(mut clients: Vec<Client>, text: &str, has_ended: &AtomicBool) {
    for byte in text.chars() {
        sleep(Duration::from_millis(50));
        if has_ended.load(Ordering::Relaxed) {
            return;
        }
        clients.retain_mut(|client| client.try_send_raw(&byte.to_string()));
    }
}
